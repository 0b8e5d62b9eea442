package serve

import (
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/site"
)

// The number of shards changes while the process runs: an added one begins like one that was fenced, and is given the
// services that belong to it; one that leaves gets nothing new, gives what it may and ends when it holds nothing.

// Resize brings the number of shards to n, of which those with the lowest indices stay.
func (s *Server) Resize(n int) error {
	s.routerMu.Lock()
	change, err := s.router.Resize(s.env.Now(), n)
	maxOpen := s.router.MaxOpenPerShard(max(1, n))
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	if err != nil {
		return err
	}
	for _, i := range change.Start {
		if err := s.restart(i); err != nil {
			return err
		}
	}
	for _, sh := range shards {
		sh.post(func(float64) { sh.engine.SetOpenLimit(maxOpen) })
	}
	s.log.Info().Str("mode", "shards").Int("shards", n).Ints("begin", change.Start).Ints("leave", change.Drain).Msg("number changes")
	return nil
}

// liveShardsLocked gives the shards that have not left; under the desk.
func (s *Server) liveShardsLocked() (all []*shard) {
	for i, sh := range s.shards {
		if !s.router.IsStopped(i) {
			all = append(all, sh)
		}
	}
	return all
}

// liveShards gives them to who does not hold the desk.
func (s *Server) liveShards() []*shard {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.liveShardsLocked()
}

// postAll has every shard hear something on its own loop.
func (s *Server) postAll(handle func(sh *shard, now float64)) {
	for _, sh := range s.liveShards() {
		sh.post(func(now float64) { handle(sh, now) })
	}
}

// startHandovers has each shard give what belongs elsewhere, and ends those that leave and hold nothing more.
func (s *Server) startHandovers() {
	s.every(handover.PollInterval(), func() {
		now := s.env.Now()
		ownConnections := s.config.Site.Connections == site.OwnConnections // what runs can be reached by its shard's connections alone
		s.routerMu.Lock()
		var busy []*shard
		for _, sh := range s.liveShardsLocked() {
			if handsOver := s.router.HasHandover(now, sh.index); handsOver && !ownConnections || s.router.IsDraining(sh.index) {
				busy = append(busy, sh)
			}
		}
		s.routerMu.Unlock()
		for _, sh := range busy {
			if !sh.handoverActive.CompareAndSwap(false, true) { // it is still at the last look
				continue
			}
			if !sh.post(func(now float64) {
				idle := s.handOverShard(now, sh, !ownConnections)
				sh.handoverActive.Store(false)
				if idle {
					s.endShard(sh)
				}
			}) {
				sh.handoverActive.Store(false)
			}
		}
	})
}

// handOverShard runs as the shard's event. It tells whether the shard holds nothing more and may end.
func (s *Server) handOverShard(now float64, sh *shard, includeRunning bool) (idle bool) {
	if now-sh.lastRunningHandover > handoverGrace {
		clear(sh.handedOver)
	}
	s.routerMu.Lock()
	leaving := s.router.IsDraining(sh.index)
	s.routerMu.Unlock()
	shares := sh.engine.CountByService(nil, includeRunning, func(service uint64, tenant int) bool {
		s.routerMu.Lock()
		defer s.routerMu.Unlock()
		return s.router.BelongsElsewhere(sh.index, service, tenant)
	})
	services, remaining := sh.handover.Next(now, shares)
	s.routerMu.Lock()
	s.router.PauseServices(now, remaining)
	s.routerMu.Unlock()
	for _, service := range services {
		var allocations []engine.Transfer
		sh.engine.TransferOut(now, service, includeRunning, func(allocation engine.Transfer) { allocations = append(allocations, allocation) })
		s.handOverService(now, sh, allocations)
	}
	return leaving && sh.engine.IsIdle()
}

// handoverGrace is how long, in ms, after a handover a word for the giver may still wait in a queue of somebody who stood still.
const handoverGrace = 2000

// handOverService gives one service's allocations to its next shard: under the desk, so that whoever asks for one of them, or
// fences one of the two shards, comes before or after.
func (s *Server) handOverService(now float64, sh *shard, allocations []engine.Transfer) {
	var items []shardrouter.HandoverItem
	for _, allocation := range allocations {
		items = append(items, shardrouter.HandoverItem{
			ID: ownerID(allocation.Task.Key()), Epoch: allocation.Epoch, Running: allocation.Running,
			Request: shardownership.Request{
				Client: allocation.Request.Client, Ref: allocation.Request.Number, JobClass: allocation.Task.JobClass, Service: allocation.Task.Service,
				Cores: allocation.Task.Cores, Memory: allocation.Task.Memory, Deadline: allocation.Deadline,
			},
		})
	}
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for i, fate := range s.router.HandOver(now, sh.index, items) {
		allocation := allocations[i]
		if fate.Disposition != shardownership.Reassign {
			continue // fenced meanwhile
		}
		target := s.shards[fate.Shard]
		allocation.Epoch = fate.Epoch
		s.setRequestShard(allocation.Request.Client, allocation.Request.Number, fate.Shard)
		s.continueAt(target, allocation)
		if !allocation.Running {
			sh.handoverCounts[0].Add(1)
			continue
		}
		sh.handoverCounts[1].Add(1)
		sh.lastRunningHandover = now
		sh.handedOver[allocation.Attempt.Ticket] = target
		if link := sh.links[allocation.Node]; link != nil {
			link.mu.Lock()
			link.reassigned[allocation.Attempt.Ticket] = target
			link.mu.Unlock()
		}
	}
}

// continueAt has a shard go on with what another gave or lost. An owner that left meanwhile told this shard before it knew.
func (s *Server) continueAt(sh *shard, allocation engine.Transfer) {
	sh.post(func(now float64) {
		if allocation.Running {
			delete(sh.handedOver, allocation.Attempt.Ticket) // it is back: a word of it is for nobody else now, or the two would pass it on for good
			if !sh.engine.TransferIn(now, allocation) && !sh.fenced.Load() {
				s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Uint32("node", allocation.Node).
					Msg("what runs not taken over; its node will tell of it")
			}
		} else {
			_ = sh.engine.Allocate(now, engine.Request{ // its number was free at this client, and still is
				ID: allocation.Request, Task: allocation.Task, TimeLeft: allocation.Deadline - now,
				Epoch: s.currentEpoch(ownerID(allocation.Task.Key()), sh, allocation.Epoch),
			})
		}
		if s.clientByID(allocation.Request.Client) == nil {
			sh.engine.OnClientDisconnected(now, allocation.Request.Client)
		}
	})
}

// endShard ends a shard that has given all it had.
func (s *Server) endShard(sh *shard) {
	s.routerMu.Lock()
	if !s.router.IsDraining(sh.index) || s.shards[sh.index] != sh || !sh.fenced.CompareAndSwap(false, true) {
		s.routerMu.Unlock()
		return
	}
	orphaned, _ := s.router.OnDrained(s.env.Now(), sh.index) // none, unless something slipped in just now
	s.applyFates(orphaned, "shard-left")
	s.routerMu.Unlock()
	sh.inbox.close()
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections.close("shard left", false)
	}
	s.log.Info().Str("mode", "shards").Int("shard", sh.index).Int64("waits_given", sh.handoverCounts[0].Load()).
		Int64("runs_given", sh.handoverCounts[1].Load()).Int("left_over", len(orphaned)).Msg("shard left")
}

// withdrawAt gives up an ask at the shard that it is at, or was handed to on the way there; where it is handed to the very
// shard that gave it, it is there only a moment later.
func (s *Server) withdrawAt(c *clientConn, ref uint64, shard int) {
	s.withdrawAttempt(c, ref, shard, 2)
}

func (s *Server) withdrawAttempt(c *clientConn, ref uint64, shard, attempts int) {
	s.routerMu.Lock()
	sh := s.shards[shard]
	s.routerMu.Unlock()
	sh.post(func(now float64) {
		if sh.engine.Withdraw(now, engine.RequestID{Client: c.id, Number: ref}) == nil {
			return
		}
		if next, ok := c.requestShard(ref); ok && next >= 0 && (next != shard || attempts > 1) {
			s.withdrawAttempt(c, ref, next, attempts-1)
		} // else it has just ended, which needs nothing
	})
}

// currentEpoch gives the epoch of a request that reaches its shard: 0 if the shard does not act for it any more. While it was
// on its way, a node may have told of an earlier attempt that ran, which took its place, and that this has ended.
func (s *Server) currentEpoch(name shardownership.ID, sh *shard, epoch uint32) uint32 {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if !s.router.IsOwner(shardownership.Claim{ID: name, Shard: sh.index, Epoch: epoch}) {
		return 0
	}
	return epoch
}
