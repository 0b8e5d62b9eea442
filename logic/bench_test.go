package logic

import "testing"

// BenchmarkDecide measures the handling of one allocation from request to outcome with 400 nodes, both without other waiting allocations and
// while 500 are waiting that fit on no node.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct {
		name    string
		waiting int
		cores   float64
	}{{"none waiting", 0, 1}, {"500 waiting", 500, 100}} {
		b.Run(c.name, func(b *testing.B) {
			cluster := testCluster()
			cluster.JobClasses[2].PriorityWeight = 0.5
			r := &recorder{}
			s := New(r, testStart, 7, cluster)
			s.OnListBegin(testStart, ListCached)
			for i := range 400 {
				s.OnListNode(testStart, ListEntry{
					Node: uint32(10 + i), Availability: Ready, FreeCores: 40, FreeMemory: 80,
					Zone: i / 100, Cell: i / 10,
				})
			}
			s.OnListEnd(testStart)
			now := testStart
			for i := range c.waiting {
				s.OnRequest(now, Request{
					Allocation: uint32(1e6 + i), Class: 2, Deadline: now + 1e12, Service: uint64(i),
					Cores: c.cores, Memory: 2,
				})
			}
			for id := uint32(1); b.Loop(); id++ {
				now += 2
				r.lines = r.lines[:0]
				s.OnRequest(now, Request{Allocation: id, Deadline: now + 5000, Service: uint64(id % 40), Cores: 1, Memory: 2})
				s.Decide(now)
				s.OnStarted(now, id, 0, 50)
				if id > 500 {
					node := s.nodes.all[s.allocations.all[s.allocations.index[id-500]].node].id
					s.OnOutcome(now, AttemptResult{Allocation: id - 500, Node: node, Duration: 1000, Outcome: Completed})
				}
			}
		})
	}
}
