package serve

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestShutdownAnswersWhatItTook shuts a scheduler down while clients go on requesting on the connections that they have, until these end: each
// request that was taken, as its call's reply says, gets its answer.
//
// Callers of `ravenpond serve` whose request came while the process ended were told that it was taken and never heard of it again (rule 1). The
// shards answered what they held once; a request that was read after that was taken as ever, and then its connection was cut, with the answers
// that were still queued on it.
func TestShutdownAnswersWhatItTook(t *testing.T) {
	const clients = 8
	s := newTestCluster(t, 1, 4, false)
	s.start(0, *s.siteConfig, Faults{})
	addr := s.clients[0].SchedulerAddress()
	time.Sleep(1800 * time.Millisecond) // the nodes are warm
	type client struct {
		*testClient
		taken []uint64
	}
	all := make([]*client, clients)
	done := make(chan bool, clients)
	for i := range all {
		c := &client{testClient: connect(t, addr)}
		all[i] = c
		go func() {
			for ref := uint64(1); c.allocate(ref, "free", fmt.Sprint("c", i, "-", ref)) == nil; ref++ {
				c.taken = append(c.taken, ref)
			}
			done <- true
		}()
	}
	time.Sleep(300 * time.Millisecond)
	s.stop()
	for range all {
		<-done
	}
	taken, lost := 0, 0
	for _, c := range all {
		answers := strings.Join(c.notifications(), "\n")
		for _, ref := range c.taken {
			taken++
			if !strings.Contains(answers, fmt.Sprintf(`answer{"ref":%d,`, ref)) {
				lost++
			}
		}
	}
	if lost > 0 || taken == 0 {
		t.Errorf("%d of %d requests that were taken have no answer", lost, taken)
	}
}
