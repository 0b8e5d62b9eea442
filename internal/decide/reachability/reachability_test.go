package reachability

import (
	"fmt"
	"testing"
)

// TestOnReply checks what replies about node 7 imply, which became unreachable in its incarnation 5 at 1000 ms.
func TestOnReply(t *testing.T) {
	for _, c := range []struct {
		name        string
		events      func(tracker *Tracker)
		now         float64
		isReachable bool
		ended       string
	}{
		{"no reply", func(*Tracker) {}, 2000, false, ""},
		{"contact since the loss", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 100) }, 2000, true, ""},
		{"contact before the loss", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 900) }, 2000, false, ""},
		{"contact within minContactDelay after the loss", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 650) }, 2000, false, ""},
		{"contact longer ago than maxContactAge", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 100) }, 5000, false, ""},
		{"older contact reported after a newer one", func(tracker *Tracker) { tracker.OnReply(4000, 7, 5, 0); tracker.OnReply(4500, 7, 5, 3000) }, 5000, true, ""},
		{"reply about another node", func(tracker *Tracker) { tracker.OnReply(1800, 8, 5, 100) }, 2000, false, ""},
		{"contact with another incarnation", func(tracker *Tracker) { tracker.OnReply(1800, 7, 6, 100) }, 2000, false, "7:5 "},
		{"contact with another incarnation before the loss", func(tracker *Tracker) { tracker.OnReply(1800, 7, 6, 900) }, 2000, false, ""},
		{"contact with both incarnations", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 100); tracker.OnReply(1900, 7, 6, 100) }, 2000, false, "7:5 "},
		{"reply without an incarnation", func(tracker *Tracker) { tracker.OnReply(1800, 7, 0, 100) }, 2000, false, ""},
		{"contact in the future", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, -1e9) }, 2000, false, ""},
		{"contact restored", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 100); tracker.OnReachable(7) }, 2000, false, ""},
		{"contact lost again after the reply", func(tracker *Tracker) { tracker.OnReply(1800, 7, 5, 100); tracker.OnUnreachable(1900, 7, 5) }, 2000, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := &Tracker{}
			tracker.OnUnreachable(1000, 7, 5)
			c.events(tracker)
			if got := tracker.IsReachable(c.now, 7, 5); got != c.isReachable {
				t.Errorf("got reachable %t, want the opposite", got)
			}
			if tracker.IsReachable(c.now, 7, 4) {
				t.Error("an incarnation with which contact was not lost is reported as reachable")
			}
			ended := ""
			for range 2 { // the second call yields nothing more
				tracker.Ended(func(node uint32, incarnation uint64) { ended += fmt.Sprintf("%d:%d ", node, incarnation) })
			}
			if ended != c.ended {
				t.Errorf("got ended incarnations %q, want %q", ended, c.ended)
			}
		})
	}
}

// TestQueries checks that all unreachable nodes are asked about in turn, MaxQueries at a time, and that nodes are removed after
// queryDuration.
func TestQueries(t *testing.T) {
	tracker := &Tracker{}
	for i := range 5000 {
		tracker.OnUnreachable(float64(i), uint32(i), 1)
	}
	if tracker.Unreachable() != maxNodes {
		t.Errorf("got %d unreachable nodes, want the limit of maxNodes", tracker.Unreachable())
	}
	seen := map[uint32]int{}
	for range maxNodes / MaxQueries {
		n := 0
		tracker.Queries(5000, func(node uint32) bool { seen[node]++; n++; return true })
		if n != MaxQueries {
			t.Fatalf("got %d queries in one datagram, want MaxQueries", n)
		}
	}
	if len(seen) != maxNodes {
		t.Errorf("got queries about %d nodes in one round of all, want %d", len(seen), maxNodes)
	}
	tracker.Queries(queryDuration+float64(maxNodes)/2, func(uint32) bool { return false })
	if tracker.Unreachable() != maxNodes/2-1 {
		t.Errorf("got %d unreachable nodes after queryDuration for the older half, want maxNodes/2-1", tracker.Unreachable())
	}
}
