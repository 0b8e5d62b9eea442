package serve

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestShutdownAnswersAcceptedRequests shuts a scheduler down while clients go on making requests until their connections end: each request that
// was accepted, according to the reply to its call, must be answered.
//
// The test guards against requests that are accepted during a shutdown and never answered (audit rule 1). The shards answered what they held once;
// a request that was read after that was accepted as usual, and then its connection was closed, and the answers that were still queued on it
// were lost.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	const clients = 8
	s := newTestCluster(t, 1, 4, false)
	s.start(0, *s.siteConfig, Faults{})
	addr := s.clients[0].SchedulerAddress()
	time.Sleep(1800 * time.Millisecond) // the nodes are warm
	type client struct {
		*testClient
		accepted []uint64
	}
	all := make([]*client, clients)
	done := make(chan bool, clients)
	for i := range all {
		c := &client{testClient: connect(t, addr)}
		all[i] = c
		go func() {
			for ref := uint64(1); c.allocate(ref, "free", fmt.Sprint("c", i, "-", ref)) == nil; ref++ {
				c.accepted = append(c.accepted, ref)
			}
			done <- true
		}()
	}
	time.Sleep(300 * time.Millisecond)
	s.stop()
	for range all {
		<-done
	}
	accepted, unanswered := 0, 0
	for _, c := range all {
		answers := strings.Join(c.notifications(), "\n")
		for _, ref := range c.accepted {
			accepted++
			if !strings.Contains(answers, fmt.Sprintf(`answer{"ref":%d,`, ref)) {
				unanswered++
			}
		}
	}
	if unanswered > 0 || accepted == 0 {
		t.Errorf("%d of %d accepted requests have no answer, want 0 of at least 1", unanswered, accepted)
	}
}
