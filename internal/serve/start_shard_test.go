package serve

import "testing"

// TestAddedShardKnowsNodesFirst adds a shard and checks that no services belong to it before the node list is posted to it.
//
// The test guards against tasks that an added shard cannot take over, which happened in 1 of 24 runs of TestResize under load and was logged as
// "running task not taken over; its node will report it". The router assigned services to the shard before the node list was posted to it, and a
// handover in between came first and referred to nodes that the shard did not know. Until the nodes reported the tasks no shard counted
// them, and the spread of their services was violated.
func TestAddedShardKnowsNodesFirst(t *testing.T) {
	const services = 100
	s := newTestCluster(t, 1, 2, false)
	server := s.startServer(1, Faults{})
	servicesOfAdded := func() (count int) {
		server.routerMu.Lock()
		defer server.routerMu.Unlock()
		for service := range uint64(services) {
			if server.router.BelongsElsewhere(0, service, 0) {
				count++
			}
		}
		return count
	}
	atInit := -1
	initShard := server.initShard
	server.shardSet.initShard = func(sh *shard) {
		atInit = servicesOfAdded()
		initShard(sh)
	}
	if err := server.Resize(2); err != nil {
		t.Fatal(err)
	}
	if atInit != 0 || servicesOfAdded() == 0 {
		t.Errorf("got %d services of the shard before it knows nodes, want 0; %d after its start, want some", atInit, servicesOfAdded())
	}
}
