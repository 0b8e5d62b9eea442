package serve

import (
	"slices"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/engine"
)

// TestSilentShardAttemptIsNoDuplicate blocks a shard after it has sent the only attempt for a request. The request has waited for its
// connection's lock on arrival, as it does on a busy machine. It must be answered before its deadline, and with "failed", because the attempt
// may run.
//
// The test guards against "declined" answers, which say that a retry is harmless, while the attempt runs (audit rule 2). That happened when a request
// had two deadlines, the connection's from its arrival and the router's from a moment later: between the two, the check of silent shards found
// the request overdue but its router entry not, took the request for a duplicate without an entry, and declined it with the reason
// "shard-quiet" although the router still had the entry.
func TestSilentShardAttemptIsNoDuplicate(t *testing.T) {
	s := newTestCluster(t, 1, 4, false)
	release := make(chan struct{})
	defer close(release)
	server := s.startServer(2, withOffer(func(e engine.Effects, node uint32, offer engine.Offer) {
		e.Offer(node, offer)
		<-release
	}))
	time.Sleep(1800 * time.Millisecond) // the nodes are warm
	c := connect(t, s.clients[0].SchedulerAddress())
	waitFor(t, "connection of the second client", func() bool { return len(server.clients.connected()) == 2 })
	conn := server.clients.connected()[1]
	conn.mu.Lock()
	requested := make(chan error, 1)
	go func() { requested <- c.allocate(1, "once", "k") }()
	time.Sleep(140 * time.Millisecond) // long enough for three checks between two such deadlines
	conn.mu.Unlock()
	if err := <-requested; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "answer to the request", func() bool { return len(c.notifications()) > 0 })
	if got := c.notifications(); !slices.ContainsFunc(got, func(n string) bool { return strings.Contains(n, `"answer":"failed"`) }) {
		t.Errorf("got notifications %v, want the answer failed, as the attempt may run", got)
	}
}

// TestHandoverToSelf fences the target shard of a handover after the giving shard has chosen the allocations: they come back to the giving
// shard, which must not count as empty.
//
// The test guards against a removed shard that ends with all the allocations that it has just given to itself, because only its inbox holds
// them. Its running tasks were then unknown until the nodes reported them, and the spread of services was violated in the meantime (audit rule 5). A
// refused handover that took the same path violated the rule in 13 of 64 runs of TestResize: each trace shows handovers from a shard to itself,
// followed by the end of the shard.
func TestHandoverToSelf(t *testing.T) {
	s := newTestCluster(t, 1, 8, false)
	server := s.startServer(2, Faults{})
	s.load(3000, 60, "0")
	shards := server.liveShards()
	movedCount, empty := make(chan int, 1), make(chan bool, 1)
	shards[1].post(func(now float64) {
		server.fence(shards[0], "fenced by the test")
		running := 0
		for _, load := range shards[1].engine.CountByService(nil, true, func(uint64, int) bool { return true }) {
			var allocations []engine.Transfer
			shards[1].engine.TransferOut(now, load.Service, true, func(a engine.Transfer) { allocations = append(allocations, a) })
			running += len(allocations)
			server.handOverService(now, shards[1], load.Service, allocations)
		}
		movedCount <- running
		empty <- shards[1].isEmpty()
	})
	if n := <-movedCount; n == 0 {
		t.Fatal("the shard had no allocations to hand over")
	}
	if <-empty {
		t.Error("the shard counts as empty, though the allocations that it handed over wait in its inbox")
	}
}
