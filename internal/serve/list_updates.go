package serve

import "ravenpond/logic"

// onListAnswer applies a complete answer of the list server. It passes the answer on to the other schedulers and to all shards, not only to
// the shard that polled.
func (s *Server) onListAnswer(answer listAnswer) error {
	entries, err := s.endpoints.update(answer.kind, answer.version, answer.entries)
	if err != nil {
		return err
	}
	s.membership.gossipList(answer.version, answer.entries)
	s.broadcastList(answer.listKind(), entries)
	return nil
}

// onListFailed tells all shards that a call to the list server has failed.
func (s *Server) onListFailed() { s.broadcastList(logic.ListFailed, nil) }

// broadcastList passes an answer or a failure of the list server on to all shards. With a working set, shards get only the entries of nodes
// that they know.
func (s *Server) broadcastList(kind logic.ListKind, entries []listEntry) {
	if s.workingSet != nil && kind != logic.ListFailed {
		s.workingSet.onList(kind, entries)
		return
	}
	for _, sh := range s.liveShards() {
		sh.postList(kind, entries)
	}
}

// initShard posts to a starting shard what is known of nodes, even if no node is known.
func (s *Server) initShard(sh *shard) {
	if s.workingSet != nil {
		s.workingSet.sendKnownNodes(sh)
	} else {
		sh.postList(logic.ListCached, s.endpoints.all())
	}
	nodes := s.maintenance.nodesInMaintenance()
	sh.post(func(now float64) { sh.engine.SetMaintenance(now, nodes, true) })
	s.membership.sendUnready(sh)
	s.clusterControl.sendExcluded(sh)
}
