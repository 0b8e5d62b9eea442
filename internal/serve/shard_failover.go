package serve

import (
	"errors"
	"fmt"
	"math"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// Reasons of answers that a shard's failure brings.
const (
	reasonShardFenced engine.AnswerReason = "shard-fenced" // the shard acts for nothing any more
	reasonShardSilent engine.AnswerReason = "shard-quiet"  // the shard may not answer before the deadline
	reasonShardLeft   engine.AnswerReason = "shard-left"   // the shard was ended
)

// fence ends a shard whose state can't be trusted any more. The router permits it nothing from then on; what it acted for goes on at
// other shards, ends as its effect allows, or is found running by the shard's next incarnation.
func (s *shardSet) fence(sh *shard, cause string) {
	if !sh.fenced.CompareAndSwap(false, true) {
		return
	}
	now := s.env.Now()
	s.routerMu.Lock()
	counts := s.applyFates(s.router.Fence(now, sh.index), reasonShardFenced)
	duplicates := s.duplicateRequests(sh.index, math.Inf(1))
	s.routerMu.Unlock()
	sh.inbox.close()
	for _, d := range duplicates {
		d.client.sendAnswer(d.ref, engine.Answer{Kind: engine.Declined, Reason: reasonShardFenced})
	}
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections.close("shard fenced", false)
	}
	s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Int("moved", counts[shardownership.Reassign]).
		Int("declined", counts[shardownership.Shed]).Int("failed", counts[shardownership.Fail]).Int("run", counts[shardownership.Continue]).
		Float64("ms", s.env.Now()-now).Msg("fenced: " + cause)
}

// applyFates carries out what the router decided about allocations whose shard can't go on with them. It counts them by what was
// decided. The caller holds the router lock.
func (s *shardSet) applyFates(fates []shardrouter.OrphanDecision, reason engine.AnswerReason) (counts [4]int) {
	for i := range fates {
		f := &fates[i]
		request := &f.Entry.Request
		counts[f.Disposition]++
		switch {
		case f.Disposition == shardownership.Reassign:
			s.setRequestShard(request.Client, request.Ref, f.Shard)
			s.continueAt(s.shards[f.Shard], engine.Transfer{
				Request: requestID(request), Task: taskOf(f.ID, request), Deadline: request.Deadline, Epoch: f.Epoch,
			})
		case f.Disposition == shardownership.Continue:
		case s.env.Now() >= request.Deadline: // its client has given up by itself
			if c := s.clients.byID(request.Client); c != nil {
				c.closeRequest(request.Ref)
			}
		case f.Disposition == shardownership.Shed:
			s.answerClient(requestID(request), engine.Answer{Kind: engine.Declined, Reason: reason})
		case f.Disposition == shardownership.Fail:
			s.answerClient(requestID(request), engine.Answer{Kind: engine.Failed, Reason: reason})
		}
	}
	return counts
}

// checkShards fences the shards that stand still and restarts those that were fenced.
func (s *shardSet) checkShards() {
	now := s.env.Now()
	s.stalls.check(now)
	s.routerMu.Lock()
	var heartbeats, oldest []float64
	for _, sh := range s.shards {
		heartbeats = append(heartbeats, math.Float64frombits(sh.heartbeat.Load()))
		oldest = append(oldest, sh.inbox.oldestAge(now))
	}
	s.router.SetLateness(s.stalls.recent(now))
	health := s.router.CheckHealth(now, heartbeats, oldest)
	s.applyFates(health.Overdue, reasonShardSilent)
	for _, index := range health.Silent {
		for _, d := range s.duplicateRequests(index, now+s.router.OverdueMargin()) {
			d.client.sendAnswer(d.ref, engine.Answer{Kind: engine.Declined, Reason: reasonShardSilent})
		}
	}
	var toFence []*shard
	for _, index := range health.Fence {
		toFence = append(toFence, s.shards[index])
	}
	s.routerMu.Unlock()
	for _, request := range health.Lost {
		if c := s.clients.byID(request.Client); c != nil {
			c.sendEnd(request.Ref, logic.ConnectionLost, logic.ReasonUnknown)
		}
	}
	for _, sh := range toFence {
		s.fence(sh, fmt.Sprintf("no sign of life for %.0f ms", now-heartbeats[sh.index]))
	}
	if len(health.Restart) > 0 { // it writes to the disk, which the next check must not wait for
		s.async(func() { s.startShards(health.Restart) })
	}
}

// errStartOrder reports that a shard waits for the start of one with a lower index.
var errStartOrder = errors.New("a shard with a lower index has not started")

// startShards starts new incarnations of shards, in ascending order of their indices. One that can't be started is tried again later.
func (s *shardSet) startShards(indices []int) {
	s.startMu.Lock()
	defer s.startMu.Unlock()
	for _, index := range indices {
		if s.stopped.Load() {
			return
		}
		if err := s.startShard(index); err != nil {
			s.log.Error().Str("mode", "shards").Int("shard", index).Err(err).Msg("not started")
			s.routerMu.Lock()
			s.router.OnStartFailed(s.env.Now(), index)
			s.routerMu.Unlock()
		}
	}
}

// startShard starts a new incarnation of a shard. The nodes name what runs for it.
func (s *shardSet) startShard(index int) error {
	s.routerMu.Lock()
	known := len(s.shards)
	s.routerMu.Unlock()
	if index > known {
		return errStartOrder
	}
	sh, err := s.newShard(index)
	if err != nil {
		return err
	}
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections = newNodeConnections(s, index)
		sh.connections.attach(sh)
	}
	s.register(sh)
	s.initShard(sh) // before it is given anything: a task at a node that it does not know it can't take over
	s.routerMu.Lock()
	s.router.OnShardStarted(s.env.Now(), index, sh.incarnation)
	s.routerMu.Unlock()
	if s.config.Site.Connections != site.OwnConnections {
		sh.connections.replayTo(sh)
	}
	sh.start()
	s.log.Info().Str("mode", "shards").Int("shard", index).Uint32("life", sh.incarnation).Msg("started")
	return nil
}

// register has a shard that is being started get what is posted to all shards.
func (s *shardSet) register(sh *shard) {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if sh.connections == nil {
		sh.connections = s.shards[0].connections
	}
	if sh.index < len(s.shards) {
		s.shards[sh.index] = sh
	} else {
		s.shards = append(s.shards, sh)
	}
	s.incarnations[sh.incarnation] = sh
}

// requestID is a request of the router as the engine names it.
func requestID(r *shardownership.Request) engine.RequestID {
	return engine.RequestID{Client: r.Client, Number: r.Ref}
}

// taskOf is a request of the router as the engine has it.
func taskOf(id shardownership.ID, r *shardownership.Request) engine.Task {
	return engine.Task{
		JobClass: r.JobClass, Tenant: id.Tenant, Service: r.Service, Token: id.Token, Cores: r.Cores, Memory: r.Memory,
	}
}
