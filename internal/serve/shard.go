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
	life, err := s.folder.NextIncarnation()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	sh := &shard{server: s, index: index, incarnation: life, links: map[uint32]*nodeLink{}, handedOver: map[uint64]*shard{}}
	place := s.config.Site
	cl := place.Cluster
	cl.Schedulers *= place.MaxShards // each module instance that may run counts where cold nodes' budget is shared out
	cl.Index = s.config.Index*place.MaxShards + index
	now := s.env.Now()
	sh.heartbeat.Store(math.Float64bits(now))
	var out engine.Effects = shardEffects{sh}
	if s.config.Faults.WrapEffects != nil {
		out = s.config.Faults.WrapEffects(out)
	}
	sh.engine = engine.New(out, now, engine.Config{
		Cluster: &cl, Shares: place.Shares,
		MaxOpen: s.router.MaxOpenPerShard(place.Shards), AnswerMargin: place.AnswerMargin, SettleTime: place.SettleTime,
		NewPolicy: s.config.Policy, Incarnation: life, Seed: s.config.Seed + uint64(life)*0x9e3779b97f4a7c15, WallClockStart: float64(env.Epoch.UnixMilli()), AliveAtPeers: s.nodeAlive,
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
func (sh *shard) post(ev event) bool {
	ok, full := sh.inbox.put(sh.server.env.Now(), ev)
	if full { // by a call of its own, as whoever tells may hold what fencing needs
		sh.server.async(func() { sh.server.fence(sh, fmt.Sprintf("%d events wait", maxInbox)) })
	}
	return ok
}

// runRound gives the engine its events and a round: when there is news or something is due, at most once a step.
func (sh *shard) runRound() (wait float64) {
	defer func() {
		if p := recover(); p != nil {
			sh.server.fence(sh, fmt.Sprint("panic: ", p))
			wait = -1
		}
	}()
	w, step := sh.server.env, sh.server.config.Site.Cluster.MinRoundInterval
	began := w.Now()
	switch rest := sh.lastRound + step - began; {
	case sh.fenced.Load() || sh.server.stopped.Load():
		return -1
	case !sh.started.Load():
		return 1000
	case rest > 0:
		return rest
	}
	events := sh.inbox.take(began, sh.spare)
	for i, ev := range events {
		if sh.fenced.Load() {
			return -1
		}
		ev(w.Now())
		events[i] = nil
	}
	if sh.spare = events; cap(sh.spare) > 1<<12 { // a burst's memory is given back
		sh.spare = nil
	}
	if sh.fenced.Load() { // an event was the last: it ends
		return -1
	}
	sh.lastRound = w.Now()
	if sh.server.membership.runner != nil {
		if n := sh.server.sharers(sh.lastRound); n != sh.sharers {
			sh.sharers = n
			sh.engine.SetSchedulerCount(n * sh.server.config.Site.MaxShards)
		}
	}
	sh.heartbeat.Store(math.Float64bits(sh.lastRound))
	sh.engine.Round(sh.lastRound)
	sh.inbox.done()
	sh.recordWork(began)
	return min(1000, max(0, sh.engine.NextRound()-sh.lastRound))
}

// recordWork tells the gate what the round took.
func (sh *shard) recordWork(began float64) {
	if sh.roundRequests == 0 {
		return
	}
	s := sh.server
	s.routerMu.Lock()
	s.router.OnRound(sh.index, s.env.Now()-began, sh.roundRequests)
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
		en := &entries[i]
		sh.engine.AddListNode(en.ID, en.Address, logic.Availability(en.Avail), en.StartedAt, en.FreeCores, en.FreeMemory,
			en.zone, en.cell, en.kind)
	}
}

// listEntry is an entry with its places as small indices.
type listEntry struct {
	state.Entry
	zone, cell, kind int
}

// shardEffects carries out the engine's effects. It fills queues and asks the desk; a fenced shard's effects go nowhere.
type shardEffects struct{ shard *shard }

func (d shardEffects) fenced() bool { return d.shard.fenced.Load() }

func (d shardEffects) Dial(nd uint32, address string) {
	if !d.fenced() {
		d.shard.connections.dial(nd, address)
	}
}

func (d shardEffects) Disconnect(nd uint32, why string) {
	if l := d.shard.links[nd]; l != nil && !d.fenced() {
		l.disconnect(why, false)
	}
}

func (d shardEffects) WatchList(active bool) {
	if active {
		d.shard.server.listClient.call(watchCall)
	} else {
		d.shard.server.listClient.call(unwatchCall)
	}
}

func (d shardEffects) ReloadList() { d.shard.server.listClient.call(fullCall) }

func (d shardEffects) Log(line string) {
	d.shard.server.log.Info().Str("mode", "engine").Int("shard", d.shard.index).Msg(line)
}

func (d shardEffects) PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool {
	s := d.shard.server
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.PermitAttempt(shardownership.ID{Tenant: tenant, Token: token}, d.shard.index, epoch,
		shardownership.Attempt{Node: nd, Ticket: ticket, Number: try})
}

func (d shardEffects) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	s := d.shard.server
	s.routerMu.Lock()
	s.router.CompleteAttempt(shardownership.ID{Tenant: tenant, Token: token}, d.shard.index, epoch, never)
	s.routerMu.Unlock()
}

func (d shardEffects) SetClient(tenant int, token uint64, epoch, owner uint32, ref uint64) {
	s := d.shard.server
	s.routerMu.Lock()
	s.router.SetClient(shardownership.ID{Tenant: tenant, Token: token}, d.shard.index, epoch, owner, ref)
	s.routerMu.Unlock()
}

func (d shardEffects) RecoverTask(tenant int, token uint64, job int, service uint64, cores, memory float64, nd uint32,
	ticket uint64, try uint8,
) (epoch, owner uint32, ref uint64, ok bool) {
	s, n := d.shard.server, shardownership.ID{Tenant: tenant, Token: token}
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if d.fenced() {
		return 0, 0, 0, false
	}
	epoch, owner, ref, ok = s.router.Recover(n, d.shard.index, shardownership.Request{JobClass: job, Service: service, Cores: cores, Memory: memory},
		shardownership.Attempt{Node: nd, Ticket: ticket, Number: try})
	if ok && owner > 0 {
		s.setRequestShard(owner, ref, d.shard.index)
	}
	return epoch, owner, ref, ok
}

func (d shardEffects) ReleaseTask(tenant int, token uint64, service uint64, epoch uint32) {
	s := d.shard.server
	s.routerMu.Lock()
	s.router.Remove(shardownership.ID{Tenant: tenant, Token: token}, d.shard.index, service, epoch)
	s.pumpIfFree()
	s.routerMu.Unlock()
}

func (d shardEffects) PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool {
	s := d.shard.server
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	defer s.pumpIfFree()
	return s.router.PermitAnswer(s.env.Now(), shardownership.ID{Tenant: tenant, Token: token}, d.shard.index, epoch, served)
}

func (d shardEffects) Answer(owner uint32, ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if !d.fenced() {
		d.shard.server.answerClient(owner, ref, answer, nd, why, holdOff)
	}
}

func (d shardEffects) NotifyEnd(owner uint32, ref uint64, verdict logic.Outcome, why logic.Reason) {
	if d.fenced() {
		return
	}
	if o := d.shard.server.clientByID(owner); o != nil {
		o.sendEnd(ref, verdict, why)
	}
}

func (d shardEffects) ExpireRequest(owner uint32, ref uint64) {
	if o := d.shard.server.clientByID(owner); o != nil && !d.fenced() {
		o.closeRequest(ref)
	}
}

// fence ends a shard whose state can't be trusted any more: it gets no leave for anything, and what it acted for
// goes on at other shards, ends as its effect allows, or is found running by the shard's next life.
func (s *Server) fence(sh *shard, why string) {
	if !sh.fenced.CompareAndSwap(false, true) {
		return
	}
	now := s.env.Now()
	s.routerMu.Lock()
	n := s.applyFates(s.router.Fence(now, sh.index), "shard-fenced")
	seconds := s.duplicateRequests(sh.index, math.Inf(1))
	s.routerMu.Unlock()
	sh.inbox.close()
	for _, x := range seconds {
		x.client.sendAnswer(x.ref, engine.Declined, 0, "shard-fenced", 0)
	}
	if s.config.Site.Connections == site.OwnConnections {
		sh.connections.close("shard fenced", false)
	}
	s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Int("moved", n[shardownership.Reassign]).
		Int("declined", n[shardownership.Shed]).Int("failed", n[shardownership.Fail]).Int("run", n[shardownership.Continue]).
		Float64("ms", s.env.Now()-now).Msg("fenced: " + why)
}

// applyFates does what the desk decided about allocations whose shard can't go on with them: under the desk. It counts them.
func (s *Server) applyFates(fates []shardrouter.OrphanDecision, why string) (n [4]int) {
	for _, f := range fates {
		a := f.Entry.Request
		n[f.Disposition]++
		switch {
		case f.Disposition == shardownership.Reassign:
			s.setRequestShard(a.Client, a.Ref, f.Shard)
			s.continueAt(s.shards[f.Shard], engine.Transfer{
				Client: a.Client, RequestID: a.Ref, JobClass: a.JobClass, Tenant: f.ID.Tenant, Service: a.Service,
				Token: f.ID.Token, Cores: a.Cores, Memory: a.Memory, Deadline: a.Deadline, Epoch: f.Epoch,
			})
		case f.Disposition == shardownership.Continue:
		case s.env.Now() >= a.Deadline: // its owner has given up by itself
			if x := s.clientByID(a.Client); x != nil {
				x.closeRequest(a.Ref)
			}
		case f.Disposition == shardownership.Shed:
			s.answerClient(a.Client, a.Ref, engine.Declined, 0, why, 0)
		case f.Disposition == shardownership.Fail:
			s.answerClient(a.Client, a.Ref, engine.Failed, 0, why, 0)
		}
	}
	return n
}

// checkShards looks after the shards: fences those that stand still, starts those that were fenced.
func (s *Server) checkShards() {
	now := s.env.Now()
	s.recordCheck(now)
	s.routerMu.Lock()
	var beats, waited []float64
	for _, sh := range s.shards {
		beats = append(beats, math.Float64frombits(sh.heartbeat.Load()))
		waited = append(waited, sh.inbox.oldestAge(now))
	}
	fence, start, quiet, answers, lost := s.router.CheckHealth(now, beats, waited)
	s.applyFates(answers, "shard-quiet")
	for _, i := range quiet {
		for _, x := range s.duplicateRequests(i, now+s.router.OverdueMargin()) {
			x.client.sendAnswer(x.ref, engine.Declined, 0, "shard-quiet", 0)
		}
	}
	var stuck []*shard
	for _, i := range fence {
		stuck = append(stuck, s.shards[i])
	}
	s.routerMu.Unlock()
	for _, a := range lost {
		if o := s.clientByID(a.Client); o != nil {
			o.sendEnd(a.Ref, logic.ConnectionLost, logic.ReasonUnknown)
		}
	}
	for _, sh := range stuck {
		s.fence(sh, fmt.Sprintf("no sign of life for %.0f ms", now-beats[sh.index]))
	}
	for _, i := range start {
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
		sh.connections = newTrunk(s, index)
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
