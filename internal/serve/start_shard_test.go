package serve

import "testing"

// TestAddedShardKnowsNodesFirst adds a shard and looks which services belong to it when it is told of the nodes: none yet.
//
// The log said "what runs not taken over; its node will tell of it" for tasks that were handed to an added shard, beside load: 1 of 24 runs of
// TestResize. The router gave services to the shard before the node list was posted to it. A handover that came between was read first, and
// named nodes that the shard did not know; until the nodes named the tasks no shard counted them, and their services' spread was not kept.
func TestAddedShardKnowsNodesFirst(t *testing.T) {
	const services = 100
	s := newTestCluster(t, 1, 2, false)
	server := s.startServer(1, Faults{})
	belong := func() (count int) {
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
		atInit = belong()
		initShard(sh)
	}
	if err := server.Resize(2); err != nil {
		t.Fatal(err)
	}
	if atInit != 0 || belong() == 0 {
		t.Errorf("%d services belong to the shard before it knows nodes, %d when it has started", atInit, belong())
	}
}
