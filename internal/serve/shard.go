package serve

import (
	"fmt"
	"math"
	"sync/atomic"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// shard is an engine with a loop of its own, which alone touches it.
type shard struct {
	server         *Server
	index          int
	incarnation    uint32
	connections    *nodeConnections
	inbox          *inbox
	loop           env.Loop
	started        atomic.Bool // it may turn
	engine         *engine.Engine
	queuedRequests atomic.Int64 // asks that came in and are not worked off
	roundRequests  int          // of those, how many this round works off
	lastRound      float64      // round
	spare          []event

	sharers int // schedulers that share cold nodes, as the module was told last

	links               map[uint32]*nodeLink // the trunk's, as far as the engine has heard of them
	handedOver          map[uint64]*shard    // tickets of what runs and was given away, for words of it that were on their way
	handoverCounts      [2]atomic.Int64      // allocations given away: waiting, running
	lastRunningHandover float64              // when one that runs was last given away
	handover            handover.Planner
	handoverActive      atomic.Bool
	heartbeat           atomic.Uint64 // bits of the time of the last sign of life
	fenced              atomic.Bool
}

// newShard makes a shard in a life of its own. It does not turn before it is begun.
func (s *Server) newShard(index int) (*shard, error) {
	incarnation, err := s.folder.NextIncarnation()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	sh := &shard{server: s, index: index, incarnation: incarnation, links: map[uint32]*nodeLink{}, handedOver: map[uint64]*shard{}}
	siteConfig := s.config.Site
	cluster := siteConfig.Cluster
	cluster.Schedulers *= siteConfig.MaxShards // each module instance that may run counts where cold nodes' budget is shared out
	cluster.Index = s.config.Index*siteConfig.MaxShards + index
	now := s.env.Now()
	sh.heartbeat.Store(math.Float64bits(now))
	var effects engine.Effects = shardEffects{sh}
	if s.config.Faults.WrapEffects != nil {
		effects = s.config.Faults.WrapEffects(effects)
	}
	sh.engine = engine.New(effects, now, engine.Config{
		Cluster: &cluster, Shares: siteConfig.Shares,
		MaxOpen: s.router.MaxOpenPerShard(siteConfig.Shards), AnswerMargin: siteConfig.AnswerMargin, SettleTime: siteConfig.SettleTime,
		NewPolicy: s.config.Policy, Incarnation: incarnation, Seed: s.config.Seed + uint64(incarnation)*0x9e3779b97f4a7c15, WallClockStart: float64(env.Epoch.UnixMilli()), AliveAtPeers: s.nodeAlive,
	})
	if s.config.Site.Members.Listen != "" {
		sh.engine.SetSchedulerCount(0) // until the others have given leave
	}
	sh.inbox = &inbox{wake: func() { sh.loop.Wake() }}
	sh.loop = s.env.StartLoop(sh.runRound)
	return sh, nil
}

// start lets the shard turn.
func (sh *shard) start() {
	sh.started.Store(true)
	sh.loop.Wake()
}

// post gives the shard an event; one that is fenced hears nothing more.
func (sh *shard) post(queued event) bool {
	ok, full := sh.inbox.put(sh.server.env.Now(), queued)
	if full { // by a call of its own, as whoever tells may hold what fencing needs
		sh.server.async(func() { sh.server.fence(sh, fmt.Sprintf("%d events wait", maxInbox)) })
	}
	return ok
}

// runRound gives the engine its events and a round: when there is news or something is due, at most once a step.
func (sh *shard) runRound() (wait float64) {
	defer func() {
		if recovered := recover(); recovered != nil {
			sh.server.fence(sh, fmt.Sprint("panic: ", recovered))
			wait = -1
		}
	}()
	env, step := sh.server.env, sh.server.config.Site.Cluster.MinRoundInterval
	startedAt := env.Now()
	switch untilNext := sh.lastRound + step - startedAt; {
	case sh.fenced.Load() || sh.server.stopped.Load():
		return -1
	case !sh.started.Load():
		return 1000
	case untilNext > 0:
		return untilNext
	}
	events := sh.inbox.take(startedAt, sh.spare)
	for i, handle := range events {
		if sh.fenced.Load() {
			return -1
		}
		handle(env.Now())
		events[i] = nil
	}
	if sh.spare = events; cap(sh.spare) > 1<<12 { // a burst's memory is given back
		sh.spare = nil
	}
	if sh.fenced.Load() { // an event was the last: it ends
		return -1
	}
	sh.lastRound = env.Now()
	if sh.server.membership.runner != nil {
		if n := sh.server.sharers(sh.lastRound); n != sh.sharers {
			sh.sharers = n
			sh.engine.SetSchedulerCount(n * sh.server.config.Site.MaxShards)
		}
	}
	sh.heartbeat.Store(math.Float64bits(sh.lastRound))
	sh.engine.Round(sh.lastRound)
	sh.inbox.done()
	sh.recordWork(startedAt)
	return min(1000, max(0, sh.engine.NextRound()-sh.lastRound))
}

// recordWork tells the gate what the round took.
func (sh *shard) recordWork(startedAt float64) {
	if sh.roundRequests == 0 {
		return
	}
	s := sh.server
	s.routerMu.Lock()
	s.router.OnRound(sh.index, s.env.Now()-startedAt, sh.roundRequests)
	s.routerMu.Unlock()
	sh.queuedRequests.Add(-int64(sh.roundRequests))
	sh.roundRequests = 0
}

// postList tells the shard news of the node list.
func (sh *shard) postList(kind logic.ListKind, entries []listEntry) {
	sh.post(func(now float64) {
		sh.engine.BeginList(now, kind)
		sh.putNodes(entries)
		sh.engine.EndList()
	})
}

// putNodes tells the engine entries of the node list.
func (sh *shard) putNodes(entries []listEntry) {
	for i := range entries {
		entry := &entries[i]
		sh.engine.AddListNode(entry.ID, entry.Address, logic.Availability(entry.Avail), entry.StartedAt, entry.FreeCores, entry.FreeMemory,
			entry.zone, entry.cell, entry.kind)
	}
}

// listEntry is an entry with its places as small indices.
type listEntry struct {
	state.Entry
	zone, cell, kind int
}

// shardEffects carries out the engine's effects. It fills queues and asks the desk; a fenced shard's effects go nowhere.
type shardEffects struct{ shard *shard }

func (e shardEffects) fenced() bool { return e.shard.fenced.Load() }

func (e shardEffects) Dial(nodeID uint32, address string) {
	if !e.fenced() {
		e.shard.connections.dial(nodeID, address)
	}
}

func (e shardEffects) Disconnect(nodeID uint32, reason string) {
	if link := e.shard.links[nodeID]; link != nil && !e.fenced() {
		link.disconnect(reason, false)
	}
}

func (e shardEffects) WatchList(active bool) {
	if active {
		e.shard.server.listClient.call(watchCall)
	} else {
		e.shard.server.listClient.call(unwatchCall)
	}
}

func (e shardEffects) ReloadList() { e.shard.server.listClient.call(fullCall) }

func (e shardEffects) Log(line string) {
	e.shard.server.log.Info().Str("mode", "engine").Int("shard", e.shard.index).Msg(line)
}

func (e shardEffects) PermitAttempt(tenant int, token uint64, epoch uint32, nodeID uint32, ticket uint64, attempt uint8) bool {
	s := e.shard.server
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	claim := shardownership.Claim{ID: shardownership.ID{Tenant: tenant, Token: token}, Shard: e.shard.index, Epoch: epoch}
	return s.router.PermitAttempt(claim, shardownership.Attempt{Node: nodeID, Ticket: ticket, Number: attempt})
}

func (e shardEffects) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	s := e.shard.server
	s.routerMu.Lock()
	s.router.CompleteAttempt(shardownership.Claim{ID: shardownership.ID{Tenant: tenant, Token: token}, Shard: e.shard.index, Epoch: epoch}, never)
	s.routerMu.Unlock()
}

func (e shardEffects) SetClient(tenant int, token uint64, epoch, clientID uint32, ref uint64) {
	s := e.shard.server
	s.routerMu.Lock()
	s.router.SetClient(shardownership.Claim{ID: shardownership.ID{Tenant: tenant, Token: token}, Shard: e.shard.index, Epoch: epoch}, clientID, ref)
	s.routerMu.Unlock()
}

func (e shardEffects) RecoverTask(tenant int, token uint64, job int, service uint64, cores, memory float64, nodeID uint32,
	ticket uint64, attempt uint8,
) (epoch, clientID uint32, ref uint64, ok bool) {
	s, name := e.shard.server, shardownership.ID{Tenant: tenant, Token: token}
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if e.fenced() {
		return 0, 0, 0, false
	}
	recovery, ok := s.router.Recover(name, e.shard.index, shardownership.Request{JobClass: job, Service: service, Cores: cores, Memory: memory},
		shardownership.Attempt{Node: nodeID, Ticket: ticket, Number: attempt})
	epoch, clientID, ref = recovery.Epoch, recovery.Client, recovery.Ref
	if ok && clientID > 0 {
		s.setRequestShard(clientID, ref, e.shard.index)
	}
	return epoch, clientID, ref, ok
}

func (e shardEffects) ReleaseTask(tenant int, token uint64, service uint64, epoch uint32) {
	s := e.shard.server
	s.routerMu.Lock()
	s.router.Remove(shardownership.Claim{ID: shardownership.ID{Tenant: tenant, Token: token}, Shard: e.shard.index, Epoch: epoch}, service)
	s.pumpIfFree()
	s.routerMu.Unlock()
}

func (e shardEffects) PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool {
	s := e.shard.server
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	defer s.pumpIfFree()
	return s.router.PermitAnswer(s.env.Now(), shardownership.Claim{ID: shardownership.ID{Tenant: tenant, Token: token}, Shard: e.shard.index, Epoch: epoch}, served)
}

func (e shardEffects) Answer(clientID uint32, ref uint64, answer engine.Answer, nodeID uint32, reason string, retryAfter float64) {
	if !e.fenced() {
		e.shard.server.answerClient(clientID, ref, answer, nodeID, reason, retryAfter)
	}
}

func (e shardEffects) NotifyEnd(clientID uint32, ref uint64, verdict logic.Outcome, reason logic.Reason) {
	if e.fenced() {
		return
	}
	if c := e.shard.server.clientByID(clientID); c != nil {
		c.sendEnd(ref, verdict, reason)
	}
}

func (e shardEffects) ExpireRequest(clientID uint32, ref uint64) {
	if c := e.shard.server.clientByID(clientID); c != nil && !e.fenced() {
		c.closeRequest(ref)
	}
}

// fence ends a shard whose state can't be trusted any more: it gets no leave for anything, and what it acted for
// goes on at other shards, ends as its effect allows, or is found running by the shard's next life.
func (s *Server) fence(sh *shard, reason string) {
	if !sh.fenced.CompareAndSwap(false, true) {
		return
	}
	now := s.env.Now()
	s.routerMu.Lock()
	counts := s.applyFates(s.router.Fence(now, sh.index), "shard-fenced")
	duplicates := s.duplicateRequests(sh.index, math.Inf(1))
	s.routerMu.Unlock()
	sh.inbox.close()
	for _, duplicate := range duplicates {
		duplicate.client.sendAnswer(duplicate.ref, engine.Declined, 0, "shard-fenced", 0)
	}
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections.close("shard fenced", false)
	}
	s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Int("moved", counts[shardownership.Reassign]).
		Int("declined", counts[shardownership.Shed]).Int("failed", counts[shardownership.Fail]).Int("run", counts[shardownership.Continue]).
		Float64("ms", s.env.Now()-now).Msg("fenced: " + reason)
}

// applyFates does what the desk decided about allocations whose shard can't go on with them: under the desk. It counts them.
func (s *Server) applyFates(fates []shardrouter.OrphanDecision, reason string) (counts [4]int) {
	for _, fate := range fates {
		ask := fate.Entry.Request
		counts[fate.Disposition]++
		switch {
		case fate.Disposition == shardownership.Reassign:
			s.setRequestShard(ask.Client, ask.Ref, fate.Shard)
			s.continueAt(s.shards[fate.Shard], engine.Transfer{
				Client: ask.Client, RequestID: ask.Ref, JobClass: ask.JobClass, Tenant: fate.ID.Tenant, Service: ask.Service,
				Token: fate.ID.Token, Cores: ask.Cores, Memory: ask.Memory, Deadline: ask.Deadline, Epoch: fate.Epoch,
			})
		case fate.Disposition == shardownership.Continue:
		case s.env.Now() >= ask.Deadline: // its owner has given up by itself
			if c := s.clientByID(ask.Client); c != nil {
				c.closeRequest(ask.Ref)
			}
		case fate.Disposition == shardownership.Shed:
			s.answerClient(ask.Client, ask.Ref, engine.Declined, 0, reason, 0)
		case fate.Disposition == shardownership.Fail:
			s.answerClient(ask.Client, ask.Ref, engine.Failed, 0, reason, 0)
		}
	}
	return counts
}

// checkShards looks after the shards: fences those that stand still, starts those that were fenced.
func (s *Server) checkShards() {
	now := s.env.Now()
	s.recordCheck(now)
	s.routerMu.Lock()
	var heartbeats, queueAges []float64
	for _, sh := range s.shards {
		heartbeats = append(heartbeats, math.Float64frombits(sh.heartbeat.Load()))
		queueAges = append(queueAges, sh.inbox.oldestAge(now))
	}
	health := s.router.CheckHealth(now, heartbeats, queueAges)
	s.applyFates(health.Overdue, "shard-quiet")
	for _, i := range health.Silent {
		for _, duplicate := range s.duplicateRequests(i, now+s.router.OverdueMargin()) {
			duplicate.client.sendAnswer(duplicate.ref, engine.Declined, 0, "shard-quiet", 0)
		}
	}
	var stuck []*shard
	for _, i := range health.Fence {
		stuck = append(stuck, s.shards[i])
	}
	s.routerMu.Unlock()
	for _, ask := range health.Lost {
		if c := s.clientByID(ask.Client); c != nil {
			c.sendEnd(ask.Ref, logic.ConnectionLost, logic.ReasonUnknown)
		}
	}
	for _, sh := range stuck {
		s.fence(sh, fmt.Sprintf("no sign of life for %.0f ms", now-heartbeats[sh.index]))
	}
	for _, i := range health.Restart {
		if err := s.restart(i); err != nil {
			s.log.Error().Str("mode", "shards").Int("shard", i).Err(err).Msg("not started again")
		}
	}
}

// restart gives a fenced shard a new life; it hears from the nodes what runs for it.
func (s *Server) restart(index int) error {
	sh, err := s.newShard(index)
	if err != nil {
		return err
	}
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections = newNodeConnections(s, index)
		sh.connections.attach(sh)
	}
	s.routerMu.Lock()
	if sh.connections == nil {
		sh.connections = s.shards[0].connections
	}
	if index < len(s.shards) {
		s.shards[index] = sh
	} else {
		s.shards = append(s.shards, sh)
	}
	s.incarnations[sh.incarnation] = sh
	s.router.OnShardStarted(index, sh.incarnation)
	s.routerMu.Unlock()
	s.sendCachedList(sh)
	if s.config.Site.Connections != site.OwnConnections {
		sh.connections.replayTo(sh)
	}
	sh.start()
	s.log.Info().Str("mode", "shards").Int("shard", index).Uint32("life", sh.incarnation).Msg("started")
	return nil
}
