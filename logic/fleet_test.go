package logic

import "testing"

// TestSurplusNodes checks that, if FleetPrice is set, empty nodes stay empty while the nodes in use have spare capacity.
func TestSurplusNodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		price float64
		free  float64 // unallocated memory of the node in use
		empty bool    // whether an empty node is expected to be used
	}{{"spare capacity", 0.2, 60, false}, {"node in use is full", 0.2, -10, true}, {"no fleet price", 0, 60, true}} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			cl.FleetPrice = c.price
			x := newHarness(t, cl, 4)
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, c.free}})
			for id := range uint32(6) {
				x.request(id, 0, uint64(id))
			}
			used := false
			for _, node := range x.scheduler.nodes.all[1:] {
				used = used || len(node.unanswered) > 0
			}
			if used != c.empty {
				t.Errorf("empty node used: got %t, want the opposite", used)
			}
		})
	}
}

// TestReservedForLarge checks that, while capacity is scarce, nodes are reserved for large allocations and get no small allocations with a lower
// priority weight.
func TestReservedForLarge(t *testing.T) {
	for _, c := range []struct {
		name     string
		free     float64 // unallocated memory on each node
		class    int
		reserved bool // whether any node is expected to be reserved
		used     bool // whether reserved nodes are expected to get small allocations
	}{{"enough capacity", 75, 0, false, false}, {"scarce capacity", -10, 0, true, false}, {"scarce capacity, higher weight", -10, 1, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 8)
			x.scheduler.OnRequest(x.now, Request{
				Allocation: 99, Class: 2, Deadline: x.now + 5000, Service: 7, Cores: 20,
				Memory: 32,
			}) // a large allocation is requested
			x.scheduler.OnExpired(x.now, 99)
			x.scheduler.large.memory, x.scheduler.large.totalMemory = 100, 400
			for i := range x.scheduler.nodes.all {
				x.scheduler.OnProbeResult(x.now, ProbeResult{
					Node: uint32(10 + i), Outcome: Completed, Duration: 1,
					Report: []float64{20, c.free},
				})
			}
			for id := range uint32(8 * maxUnanswered) {
				x.request(id, c.class, uint64(id))
			}
			reserved, used := 0, false
			for _, node := range x.scheduler.nodes.all {
				if node.reservedForLarge {
					reserved++
					used = used || len(node.unanswered) > 0
				}
			}
			if reserved > 0 != c.reserved || reserved > 6 || used != c.used {
				t.Errorf("got %d reserved nodes, used for small allocations: %t; want as in the case and at most 6 reserved nodes", reserved, used)
			}
		})
	}
}
