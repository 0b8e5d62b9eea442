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
	s.desk.Lock()
	begin, leave, err := s.acts.Resize(s.w.Now(), n)
	open := s.acts.OpenEach(max(1, n))
	shards := s.living()
	s.desk.Unlock()
	if err != nil {
		return err
	}
	for _, i := range begin {
		if err := s.restart(i); err != nil {
			return err
		}
	}
	for _, sh := range shards {
		sh.tell(func(float64) { sh.eng.SetOpenLimit(open) })
	}
	s.log.Info().Str("mode", "shards").Int("shards", n).Ints("begin", begin).Ints("leave", leave).Msg("number changes")
	return nil
}

// living gives the shards that have not left; under the desk.
func (s *Server) living() (all []*shard) {
	for i, sh := range s.shards {
		if !s.acts.Gone(i) {
			all = append(all, sh)
		}
	}
	return all
}

// allShards gives them to who does not hold the desk.
func (s *Server) allShards() []*shard {
	s.desk.Lock()
	defer s.desk.Unlock()
	return s.living()
}

// tellShards has every shard hear something on its own loop.
func (s *Server) tellShards(what func(sh *shard, now float64)) {
	for _, sh := range s.allShards() {
		sh.tell(func(now float64) { what(sh, now) })
	}
}

// handsOver has each shard give what belongs elsewhere, and ends those that leave and hold nothing more.
func (s *Server) handsOver() {
	s.every(handover.LookEach(), func() {
		now := s.w.Now()
		own := s.who.Site.Connections == site.OwnConnections // what runs can be reached by its shard's connections alone
		s.desk.Lock()
		var busy []*shard
		for _, sh := range s.living() {
			if gives := s.acts.Gives(now, sh.index); gives && !own || s.acts.Leaving(sh.index) {
				busy = append(busy, sh)
			}
		}
		s.desk.Unlock()
		for _, sh := range busy {
			if !sh.giving.CompareAndSwap(false, true) { // it is still at the last look
				continue
			}
			if !sh.tell(func(now float64) {
				idle := s.give(now, sh, !own)
				sh.giving.Store(false)
				if idle {
					s.end(sh)
				}
			}) {
				sh.giving.Store(false)
			}
		}
	})
}

// give runs as the shard's event. It tells whether the shard holds nothing more and may end.
func (s *Server) give(now float64, sh *shard, runsGo bool) (idle bool) {
	if now-sh.gaveAt > onTheWay {
		clear(sh.moved)
	}
	s.desk.Lock()
	leaves := s.acts.Leaving(sh.index)
	s.desk.Unlock()
	parts := sh.eng.CountByService(nil, runsGo, func(service uint64, tenant int) bool {
		s.desk.Lock()
		defer s.desk.Unlock()
		return s.acts.Goes(sh.index, service, tenant)
	})
	services, rest := sh.giver.Next(now, parts)
	s.desk.Lock()
	s.acts.Rest(now, rest)
	s.desk.Unlock()
	for _, service := range services {
		var all []engine.Transfer
		sh.eng.TransferOut(now, service, runsGo, func(g engine.Transfer) { all = append(all, g) })
		s.hand(now, sh, all)
	}
	return leaves && sh.eng.IsIdle()
}

// onTheWay is how long, in ms, after a handover a word for the giver may still wait in a queue of somebody who stood still.
const onTheWay = 2000

// hand gives one service's allocations to its next shard: under the desk, so that whoever asks for one of them, or
// fences one of the two shards, comes before or after.
func (s *Server) hand(now float64, sh *shard, all []engine.Transfer) {
	var items []shardrouter.Item
	for _, g := range all {
		items = append(items, shardrouter.Item{
			Name: shardownership.Name{Tenant: g.Tenant, Token: g.Token}, Epoch: g.Epoch, Runs: g.Running,
			Ask: shardownership.Ask{
				Owner: g.Client, Ref: g.RequestID, Job: g.JobClass, Service: g.Service, Cores: g.Cores, Memory: g.Memory,
				Expiry: g.Deadline,
			},
		})
	}
	s.desk.Lock()
	defer s.desk.Unlock()
	for i, f := range s.acts.Hand(now, sh.index, items) {
		g := all[i]
		if f.Fate != shardownership.Moves {
			continue // fenced meanwhile
		}
		to := s.shards[f.To]
		g.Epoch = f.Epoch
		s.ownedBy(g.Client, g.RequestID, f.To)
		s.goOn(to, g)
		if !g.Running {
			sh.gave[0].Add(1)
			continue
		}
		sh.gave[1].Add(1)
		sh.gaveAt = now
		sh.moved[g.Ticket] = to
		if l := sh.links[g.Node]; l != nil {
			l.mu.Lock()
			l.foreign[g.Ticket] = to
			l.mu.Unlock()
		}
	}
}

// goOn has a shard go on with what another gave or lost. An owner that left meanwhile told this shard before it knew.
func (s *Server) goOn(to *shard, g engine.Transfer) {
	to.tell(func(now float64) {
		if g.Running {
			delete(to.moved, g.Ticket) // it is back: a word of it is for nobody else now, or the two would pass it on for good
			if !to.eng.TransferIn(now, g) && !to.fenced.Load() {
				s.log.Warn().Str("mode", "shards").Int("shard", to.index).Uint32("node", g.Node).
					Msg("what runs not taken over; its node will tell of it")
			}
		} else {
			_ = to.eng.Allocate(now, g.Client, g.RequestID, g.JobClass, g.Tenant, g.Service, g.Token, g.Cores, g.Memory, g.Deadline-now,
				s.epochNow(shardownership.Name{Tenant: g.Tenant, Token: g.Token}, to, g.Epoch)) // the ask was free at this owner, and still is
		}
		if s.owner(g.Client) == nil {
			to.eng.OnClientDisconnected(now, g.Client)
		}
	})
}

// end ends a shard that has given all it had.
func (s *Server) end(sh *shard) {
	s.desk.Lock()
	if !s.acts.Leaving(sh.index) || s.shards[sh.index] != sh || !sh.fenced.CompareAndSwap(false, true) {
		s.desk.Unlock()
		return
	}
	left, _ := s.acts.Left(s.w.Now(), sh.index) // none, unless something slipped in just now
	s.carryOut(left, "shard-left")
	s.desk.Unlock()
	sh.inbox.close()
	if s.who.Site.Connections == site.OwnConnections {
		sh.trunk.close("shard left", false)
	}
	s.log.Info().Str("mode", "shards").Int("shard", sh.index).Int64("waits_given", sh.gave[0].Load()).
		Int64("runs_given", sh.gave[1].Load()).Int("left_over", len(left)).Msg("shard left")
}

// withdrawAt gives up an ask at the shard that it is at, or was handed to on the way there; where it is handed to the very
// shard that gave it, it is there only a moment later.
func (s *Server) withdrawAt(o *owner, ref uint64, at int) { s.withdrawNow(o, ref, at, 2) }

func (s *Server) withdrawNow(o *owner, ref uint64, at, tries int) {
	s.desk.Lock()
	sh := s.shards[at]
	s.desk.Unlock()
	sh.tell(func(now float64) {
		if sh.eng.Withdraw(now, o.id, ref) == nil {
			return
		}
		if next, ok := o.at(ref); ok && next >= 0 && (next != at || tries > 1) {
			s.withdrawNow(o, ref, next, tries-1)
		} // else it has just ended, which needs nothing
	})
}

// epochNow gives the epoch of a request that reaches its shard: 0 if the shard does not act for it any more. While it was
// on its way, a node may have told of an earlier attempt that ran, which took its place, and that this has ended.
func (s *Server) epochNow(name shardownership.Name, sh *shard, epoch uint32) uint32 {
	s.desk.Lock()
	defer s.desk.Unlock()
	if !s.acts.ActsFor(name, sh.index, epoch) {
		return 0
	}
	return epoch
}
