package logic

import "testing"

// TestUnreachableAttemptsAreNotCounted has an allocation meet one node after the other that can't be reached. Where such attempts do not count, it
// tries each node once and then waits for another; elsewhere it is shed after MaxAttempts. It guards against requests that are declined
// because a whole set of nodes was lost, though other nodes have capacity.
func TestUnreachableAttemptsAreNotCounted(t *testing.T) {
	const nodes = 8
	for _, c := range []struct {
		name               string
		retriesUnreachable bool
		attempts, shed     int
	}{
		{"counted", false, 4, 1},
		{"not counted", true, nodes, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.RetriesUnreachable = c.retriesUnreachable
			x := newHarness(t, cluster, nodes+1)
			x.updateNode(10+nodes, Draining, 0)
			x.request(1, 0, 1)
			for attempt := range uint8(nodes) {
				if x.effects.count("attempt") > int(attempt) {
					x.complete(1, attempt, Unreachable, ReasonUnknown)
				}
				x.advance(scanInterval)
			}
			x.expect("attempt", c.attempts)
			x.expect("shed", c.shed)
			if c.retriesUnreachable {
				x.updateNode(10+nodes, Ready, 0)
				x.advance(scanInterval)
				x.expect("attempt", nodes+1)
			}
		})
	}
}

// TestAttemptNumbersAreBounded checks that an allocation makes no more attempts than there are numbers for them, however many nodes can't be
// reached.
func TestAttemptNumbersAreBounded(t *testing.T) {
	cluster := testCluster()
	cluster.RetriesUnreachable = true
	x := newHarness(t, cluster, 300)
	x.request(1, 0, 1)
	for attempt := 0; x.effects.count("attempt") > attempt; attempt++ {
		x.complete(1, uint8(attempt), Unreachable, ReasonUnknown)
	}
	x.expect("attempt", maxAttemptNumber)
	x.expect("shed", 1)
}

// TestNodeWithoutConnection checks that a node without a connection is used only if no other is left, and again once it is connected.
func TestNodeWithoutConnection(t *testing.T) {
	x := newHarness(t, testCluster(), 2)
	x.scheduler.SetNodeReachable(x.now, 10, false)
	for id := range uint32(4) {
		x.request(id+1, 0, uint64(id))
	}
	x.expect("attempt", 4)
	for id := range uint32(4) {
		x.scheduler.OnStarted(x.now, id+1, 0, 50)
	}
	if got := x.effects.count("attempt 1 10") + x.effects.count("attempt 2 10") + x.effects.count("attempt 3 10") + x.effects.count("attempt 4 10"); got > 0 {
		t.Errorf("got %d attempts at the node without a connection, want none", got)
	}
	x.scheduler.SetNodeReachable(x.now, 10, true)
	x.scheduler.SetNodeReachable(x.now, 11, false)
	x.request(5, 0, 9)
	x.expect("attempt 5 10", 1)
	x.scheduler.SetNodeReachable(x.now, 10, false)
	x.request(6, 0, 9)
	x.expect("attempt 6", 1)
}
