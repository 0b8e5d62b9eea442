package serve

import (
	"ravenpond/internal/site"
)

// Resize changes the number of shards to n, keeping those with the lowest indices. An added shard starts like the next incarnation of a
// fenced one, and is handed the services that belong to it. A removed shard gets nothing new, hands over what it may, and ends once it holds
// nothing.
func (s *shardSet) Resize(n int) error {
	s.routerMu.Lock()
	change, err := s.router.Resize(s.env.Now(), n)
	maxOpen := s.router.MaxOpenPerShard(max(1, n))
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	if err != nil {
		return err
	}
	s.startShards(change.Start)
	for _, sh := range shards {
		sh.post(func(float64) { sh.engine.SetOpenLimit(maxOpen) })
	}
	s.log.Info().Str("mode", "shards").Int("shards", n).Ints("begin", change.Start).Ints("leave", change.Drain).Msg("changing the number of shards")
	return nil
}

// endShard ends a shard that was removed and has handed over all its allocations.
func (s *shardSet) endShard(sh *shard) {
	s.routerMu.Lock()
	if !s.router.IsDraining(sh.index) || s.shards[sh.index] != sh || !sh.fenced.CompareAndSwap(false, true) {
		s.routerMu.Unlock()
		return
	}
	orphaned, _ := s.router.OnDrained(s.env.Now(), sh.index) // none, unless the shard was assigned something just now
	s.applyOrphanDecisions(orphaned, reasonShardRemoved)
	s.routerMu.Unlock()
	sh.inbox.close()
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections.close("shard left", false)
	}
	s.log.Info().Str("mode", "shards").Int("shard", sh.index).Int64("waits_given", sh.handoverCounts[0].Load()).
		Int64("runs_given", sh.handoverCounts[1].Load()).Int("left_over", len(orphaned)).Msg("shard removed")
}
