package serve

import (
	"testing"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
)

// TestHeldTaskDuringHandover has nodes report the tasks that they hold while a shard hands over tasks that it was handed before: the tasks must
// run on.
//
// The test guards against running tasks that the scheduler stops though no client has asked for it. When a shard starts, each node reports all
// tasks that it holds. The report of a task that the router had at one shard was posted to that shard after the task had been handed over. The
// shard no longer knew the task, and a shard stops running tasks that it does not know and that another shard owns. In 19 of 24 runs
// of TestResize under load the log showed, in this order for one attempt: the handover, the node's report to the giving shard, the stop by that
// shard, and the end at the node.
func TestHeldTaskDuringHandover(t *testing.T) {
	s := newTestCluster(t, 1, 8, false)
	server := s.startServer(1, Faults{})
	s.load(3000, 60, "0")
	if err := server.Resize(2); err != nil {
		t.Fatal(err)
	}
	s.load(1000, 60, "0")
	shards := server.liveShards()
	moved := make(chan int, 1)
	shards[1].post(func(now float64) { moved <- server.moveWhileNodesReport(t, now, shards[1], shards[0]) })
	if n := <-moved; n == 0 {
		t.Fatal("no running task was handed over, want at least 1")
	}
	time.Sleep(time.Second)
	for _, r := range s.testbed.Trace.Records() {
		if r.Kind == audit.AttemptConcluded && r.Detail == node.OutcomeNames[node.OutcomeStopped] {
			t.Errorf("node %d was told to stop the attempt with ticket %x, want it to run on", r.Node, r.Ticket)
		}
	}
}

// moveWhileNodesReport removes a shard and hands all its allocations over to another shard. Between the two steps of the handover the nodes
// report the tasks that they hold. It returns the number of allocations that were handed over. It is called on the loop of the removed shard.
func (s *Server) moveWhileNodesReport(t *testing.T, now float64, from, to *shard) (moved int) {
	t.Helper()
	from.handoverActive.Store(true) // keeps the periodic handovers away from the shard
	if err := s.Resize(1); err != nil {
		t.Error(err)
	}
	given := map[uint64][]engine.Transfer{}
	for _, load := range from.engine.CountByService(nil, true, func(uint64, int) bool { return true }) {
		from.engine.TransferOut(now, load.Service, true, func(a engine.Transfer) { given[load.Service] = append(given[load.Service], a) })
		moved += len(given[load.Service])
	}
	for _, link := range from.links {
		link.mu.Lock()
		link.inventoryWaiters = append(link.inventoryWaiters, []*shard{to})
		link.mu.Unlock()
		link.send(node.AppendResync)
	}
	time.Sleep(200 * time.Millisecond)
	for service, allocations := range given {
		s.handOverService(now, from, service, allocations)
	}
	return moved
}
