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

// Reasons of answers that follow from the failure or removal of a shard.
const (
	reasonShardFenced  engine.AnswerReason = "shard-fenced" // the shard was fenced
	reasonShardSilent  engine.AnswerReason = "shard-quiet"  // the shard is silent and may not answer before the deadline
	reasonShardRemoved engine.AnswerReason = "shard-left"   // the shard was removed
)

// fence ends a shard whose state can't be trusted any more. From then on the router rejects all its claims. The allocations that it owned
// are reassigned to other shards, end as the semantics of their job class allow, or are found running by the shard's next incarnation.
func (s *shardSet) fence(sh *shard, cause string) {
	if !sh.fenced.CompareAndSwap(false, true) {
		return
	}
	now := s.env.Now()
	s.routerMu.Lock()
	counts := s.applyOrphanDecisions(s.router.Fence(now, sh.index), reasonShardFenced)
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

// applyOrphanDecisions carries out the router's decisions about allocations whose shard can't go on with them. It counts the allocations by
// disposition. The caller holds routerMu.
func (s *shardSet) applyOrphanDecisions(decisions []shardrouter.OrphanDecision, reason engine.AnswerReason) (counts [4]int) {
	for i := range decisions {
		d := &decisions[i]
		request := &d.Entry.Request
		counts[d.Disposition]++
		switch {
		case d.Disposition == shardownership.Reassign:
			s.setRequestShard(request.Client, request.Ref, d.Shard)
			s.continueAt(s.shards[d.Shard], engine.Transfer{
				Request: requestID(request), Task: taskOf(d.ID, request), Deadline: request.Deadline, Epoch: d.Epoch,
			})
		case d.Disposition == shardownership.Continue:
		case s.env.Now() >= request.Deadline: // the client has given up without an answer
			if c := s.clients.byID(request.Client); c != nil {
				c.closeRequest(request.Ref)
			}
		case d.Disposition == shardownership.Shed:
			s.answerClient(requestID(request), engine.Answer{Kind: engine.Declined, Reason: reason})
		case d.Disposition == shardownership.Fail:
			s.answerClient(requestID(request), engine.Answer{Kind: engine.Failed, Reason: reason})
		}
	}
	return counts
}

// checkShards fences the shards that are stuck and restarts those that were fenced.
func (s *shardSet) checkShards() {
	now := s.env.Now()
	s.stalls.check(now)
	s.routerMu.Lock()
	var heartbeats, oldest []float64
	for _, sh := range s.shards {
		heartbeats = append(heartbeats, math.Float64frombits(sh.heartbeat.Load()))
		oldest = append(oldest, sh.inbox.oldestAge(now))
	}
	s.router.SetCheckLateness(s.stalls.recent(now))
	health := s.router.CheckHealth(now, heartbeats, oldest)
	s.applyOrphanDecisions(health.Overdue, reasonShardSilent)
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
		s.fence(sh, fmt.Sprintf("no heartbeat for %.0f ms", now-heartbeats[sh.index]))
	}
	if len(health.Restart) > 0 { // a start writes to the disk, and the next check must not wait for that
		s.async(func() { s.startShards(health.Restart) })
	}
}

// errStartOrder reports that a shard can't be started before one with a lower index.
var errStartOrder = errors.New("a shard with a lower index has not started")

// startShards starts new incarnations of shards, in ascending order of their indices. A start that fails is retried later.
func (s *shardSet) startShards(indices []int) {
	s.startMu.Lock()
	defer s.startMu.Unlock()
	for _, index := range indices {
		if s.stopped.Load() {
			return
		}
		if err := s.startShard(index); err != nil {
			s.log.Error().Str("mode", "shards").Int("shard", index).Err(err).Msg("shard not started")
			s.routerMu.Lock()
			s.router.OnStartFailed(s.env.Now(), index)
			s.routerMu.Unlock()
		}
	}
}

// startShard starts a new incarnation of a shard. The nodes report the tasks that run for it.
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
	s.initShard(sh) // before the router assigns it anything: the shard can't take over a task at a node that it does not know
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

// register adds a shard that is being started to the set, so that it gets the events that are posted to all shards.
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

// requestID converts the identity of a router's request to the engine's form.
func requestID(r *shardownership.Request) engine.RequestID {
	return engine.RequestID{Client: r.Client, Number: r.Ref}
}

// taskOf converts a request of the router to the engine's task.
func taskOf(id shardownership.ID, r *shardownership.Request) engine.Task {
	return engine.Task{
		JobClass: r.JobClass, Tenant: id.Tenant, Service: r.Service, Token: id.Token, Cores: r.Cores, Memory: r.Memory,
	}
}
