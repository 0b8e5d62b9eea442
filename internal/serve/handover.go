package serve

import (
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/site"
)

// handoverGrace is how long after a handover, in ms, a message for the giving shard may still wait in a queue, for example after a stall.
const handoverGrace = 2000

// startHandovers starts the periodic handover of allocations that belong to other shards, which also ends removed shards that are empty.
func (s *shardSet) startHandovers() {
	s.every(handover.PollInterval(), func() {
		for _, sh := range s.shardsWithHandovers() {
			if sh.handoverActive.CompareAndSwap(false, true) { // else the handover of an earlier poll is still under way
				s.postHandover(sh)
			}
		}
	})
}

// movesRunning reports whether running allocations may be handed over. They may not if shards have connections of their own, because a
// running task is reached only over the connections of the shard that started it.
func (s *shardSet) movesRunning() bool { return s.config.Site.Connections != site.OwnConnections }

// shardsWithHandovers returns the shards that hold allocations that belong elsewhere, and those that are being removed.
func (s *shardSet) shardsWithHandovers() (shards []*shard) {
	now := s.env.Now()
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if handsOver := s.router.HasHandover(now, sh.index); handsOver && s.movesRunning() || s.router.IsDraining(sh.index) {
			shards = append(shards, sh)
		}
	}
	return shards
}

// postHandover posts a handover to a shard, which ends the shard if it was removed and holds nothing more.
func (s *shardSet) postHandover(sh *shard) {
	posted := sh.post(func(now float64) {
		idle := s.handOverShard(now, sh)
		sh.handoverActive.Store(false)
		if idle {
			s.endShard(sh)
		}
	})
	if !posted {
		sh.handoverActive.Store(false)
	}
}

// handOverShard hands over the next services of a shard. It reports whether the shard was removed and holds nothing more. It is called on the
// shard's loop.
func (s *shardSet) handOverShard(now float64, sh *shard) (idle bool) {
	includeRunning := s.movesRunning()
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
		if !s.beginHandover(now, sh, service, shares) {
			continue
		}
		var allocations []engine.Transfer
		sh.engine.TransferOut(now, service, includeRunning, func(allocation engine.Transfer) { allocations = append(allocations, allocation) })
		s.handOverService(now, sh, service, allocations)
	}
	return leaving && sh.isEmpty()
}

// isEmpty reports whether a shard holds nothing. Allocations that it gave away and got back, because no other shard ran, wait in its inbox. It
// is called on the shard's loop.
func (sh *shard) isEmpty() bool { return sh.engine.IsIdle() && !sh.inbox.hasEvents() }

// beginHandover reports whether a shard may give away a service now. It is called on the shard's loop.
func (s *shardSet) beginHandover(now float64, sh *shard, service uint64, shares []handover.ServiceLoad) bool {
	known := 0
	for i := range shares {
		if shares[i].Service == service {
			known = shares[i].Waiting + shares[i].Running + shares[i].Unresolved
		}
	}
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.BeginHandover(now, sh.index, service, known)
}

// handOverService hands the allocations of one service over to its next shard. It is called on the loop of the giving shard. It holds
// routerMu throughout, so that a request for one of the allocations, or a fence of one of the two shards, comes before or after it.
func (s *shardSet) handOverService(now float64, sh *shard, service uint64, allocations []engine.Transfer) {
	items := make([]shardrouter.HandoverItem, 0, len(allocations))
	for _, allocation := range allocations {
		items = append(items, handoverItem(&allocation))
	}
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	defer s.router.EndHandover(service)
	for i, decision := range s.router.HandOver(now, sh.index, items) {
		allocation := allocations[i]
		if decision.Disposition != shardownership.Reassign {
			continue // the shard was fenced in the meantime
		}
		target := s.shards[decision.Shard]
		allocation.Epoch = decision.Epoch
		s.setRequestShard(allocation.Request.Client, allocation.Request.Number, decision.Shard)
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

// handoverItem converts an allocation to the router's form.
func handoverItem(a *engine.Transfer) shardrouter.HandoverItem {
	return shardrouter.HandoverItem{
		ID: ownerID(a.Task.Key()), Epoch: a.Epoch, Running: a.Running,
		Request: shardownership.Request{
			Client: a.Request.Client, Ref: a.Request.Number, JobClass: a.Task.JobClass, Service: a.Task.Service,
			Cores: a.Task.Cores, Memory: a.Task.Memory, Deadline: a.Deadline,
		},
	}
}

// continueAt has a shard go on with an allocation that another shard handed over or lost. If the client disconnected in the meantime, the
// shard was told so before it knew the allocation, and is told again.
func (s *shardSet) continueAt(sh *shard, allocation engine.Transfer) {
	sh.post(func(now float64) {
		if allocation.Running {
			// The allocation is back at this shard: without this the two shards would forward messages for it to each other without end.
			delete(sh.handedOver, allocation.Attempt.Ticket)
			if !sh.engine.TransferIn(now, allocation) && !sh.fenced.Load() {
				s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Uint32("node", allocation.Node).
					Msg("running task not taken over; its node will report it")
			}
		} else {
			_ = sh.engine.Allocate(now, engine.Request{ // can't fail: the client's request number is not in use at this shard
				ID: allocation.Request, Task: allocation.Task, TimeLeft: allocation.Deadline - now,
				Epoch: s.currentEpoch(ownerID(allocation.Task.Key()), sh, allocation.Epoch),
			})
		}
		if s.clients.byID(allocation.Request.Client) == nil {
			sh.engine.OnClientDisconnected(now, allocation.Request.Client)
		}
	})
}
