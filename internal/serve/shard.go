package serve

import (
	"fmt"
	"math"
	"sync/atomic"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/outside"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// shard is an engine with a loop of its own, which alone touches it.
type shard struct {
	s     *Server
	index int
	life  uint32
	trunk *trunk
	inbox *inbox
	loop  outside.Loop
	ready atomic.Bool // it may turn
	eng   *engine.Engine
	ahead atomic.Int64 // asks that came in and are not worked off
	asks  int          // of those, how many this round works off
	last  float64      // round
	spare []event

	sharing int // schedulers that share cold nodes, as the module was told last

	links  map[uint32]*link  // the trunk's, as far as the engine has heard of them
	moved  map[uint64]*shard // tickets of what runs and was given away, for words of it that were on their way
	gave   [2]atomic.Int64   // allocations given away: waiting, running
	gaveAt float64           // when one that runs was last given away
	giver  handover.Giver
	giving atomic.Bool
	beat   atomic.Uint64 // bits of the time of the last sign of life
	fenced atomic.Bool
}

// newShard makes a shard in a life of its own. It does not turn before it is begun.
func (s *Server) newShard(index int) (*shard, error) {
	life, err := s.folder.NextIncarnation()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	sh := &shard{s: s, index: index, life: life, links: map[uint32]*link{}, moved: map[uint64]*shard{}}
	place := s.who.Site
	cl := place.Cluster
	cl.Schedulers *= place.MaxShards // each module instance that may run counts where cold nodes' budget is shared out
	cl.Index = s.who.Index*place.MaxShards + index
	now := s.w.Now()
	sh.beat.Store(math.Float64bits(now))
	var out engine.Effects = edge{sh}
	if s.who.Faults.WrapEffects != nil {
		out = s.who.Faults.WrapEffects(out)
	}
	sh.eng = engine.New(out, now, engine.Config{
		Cluster: &cl, Shares: place.Shares,
		MaxOpen: s.acts.OpenEach(place.Shards), AnswerMargin: place.AnswerMargin, SettleTime: place.SettleTime,
		NewPolicy: s.who.Policy, Incarnation: life, Seed: s.who.Seed + uint64(life)*0x9e3779b97f4a7c15, WallClockStart: float64(outside.Epoch.UnixMilli()), AliveAtPeers: s.nodeLives,
	})
	if s.who.Site.Members.Listen != "" {
		sh.eng.SetSchedulerCount(0) // until the others have given leave
	}
	sh.inbox = &inbox{wake: func() { sh.loop.Wake() }}
	sh.loop = s.w.StartLoop(sh.turn)
	return sh, nil
}

// begin lets the shard turn.
func (sh *shard) begin() {
	sh.ready.Store(true)
	sh.loop.Wake()
}

// tell gives the shard an event; one that is fenced hears nothing more.
func (sh *shard) tell(ev event) bool {
	ok, full := sh.inbox.put(sh.s.w.Now(), ev)
	if full { // by a call of its own, as whoever tells may hold what fencing needs
		sh.s.soon(func() { sh.s.fence(sh, fmt.Sprintf("%d events wait", maxInbox)) })
	}
	return ok
}

// turn gives the engine its events and a round: when there is news or something is due, at most once a step.
func (sh *shard) turn() (wait float64) {
	defer func() {
		if p := recover(); p != nil {
			sh.s.fence(sh, fmt.Sprint("panic: ", p))
			wait = -1
		}
	}()
	w, step := sh.s.w, sh.s.who.Site.Cluster.MinRoundInterval
	began := w.Now()
	switch rest := sh.last + step - began; {
	case sh.fenced.Load() || sh.s.over.Load():
		return -1
	case !sh.ready.Load():
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
	sh.last = w.Now()
	if sh.s.circle.run != nil {
		if n := sh.s.sharing(sh.last); n != sh.sharing {
			sh.sharing = n
			sh.eng.SetSchedulerCount(n * sh.s.who.Site.MaxShards)
		}
	}
	sh.beat.Store(math.Float64bits(sh.last))
	sh.eng.Round(sh.last)
	sh.inbox.done()
	sh.worked(began)
	return min(1000, max(0, sh.eng.NextRound()-sh.last))
}

// worked tells the gate what the round took.
func (sh *shard) worked(began float64) {
	if sh.asks == 0 {
		return
	}
	s := sh.s
	s.desk.Lock()
	s.acts.Worked(sh.index, s.w.Now()-began, sh.asks)
	s.desk.Unlock()
	sh.ahead.Add(-int64(sh.asks))
	sh.asks = 0
}

// hearList tells the shard news of the node list.
func (sh *shard) hearList(kind logic.ListKind, entries []listEntry) {
	sh.tell(func(now float64) {
		sh.eng.BeginList(now, kind)
		sh.tellNodes(entries)
		sh.eng.EndList()
	})
}

// tellNodes tells the engine entries of the node list.
func (sh *shard) tellNodes(entries []listEntry) {
	for i := range entries {
		en := &entries[i]
		sh.eng.AddListNode(en.ID, en.Address, logic.Availability(en.Avail), en.StartedAt, en.FreeCores, en.FreeMemory,
			en.zone, en.cell, en.kind)
	}
}

// listEntry is an entry with its places as small indices.
type listEntry struct {
	state.Entry
	zone, cell, kind int
}

// edge carries out the engine's effects. It fills queues and asks the desk; a fenced shard's effects go nowhere.
type edge struct{ sh *shard }

func (d edge) dead() bool { return d.sh.fenced.Load() }

func (d edge) Dial(nd uint32, address string) {
	if !d.dead() {
		d.sh.trunk.dial(nd, address)
	}
}

func (d edge) Disconnect(nd uint32, why string) {
	if l := d.sh.links[nd]; l != nil && !d.dead() {
		l.end(why, false)
	}
}

func (d edge) WatchList(active bool) {
	if active {
		d.sh.s.lister.call(watchCall)
	} else {
		d.sh.s.lister.call(unwatchCall)
	}
}

func (d edge) ReloadList() { d.sh.s.lister.call(wholeCall) }

func (d edge) Log(line string) {
	d.sh.s.log.Info().Str("mode", "engine").Int("shard", d.sh.index).Msg(line)
}

func (d edge) PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool {
	s := d.sh.s
	s.desk.Lock()
	defer s.desk.Unlock()
	return s.acts.Send(shardownership.Name{Tenant: tenant, Token: token}, d.sh.index, epoch,
		shardownership.Try{Node: nd, Ticket: ticket, No: try})
}

func (d edge) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	s := d.sh.s
	s.desk.Lock()
	s.acts.Settle(shardownership.Name{Tenant: tenant, Token: token}, d.sh.index, epoch, never)
	s.desk.Unlock()
}

func (d edge) SetClient(tenant int, token uint64, epoch, owner uint32, ref uint64) {
	s := d.sh.s
	s.desk.Lock()
	s.acts.Owned(shardownership.Name{Tenant: tenant, Token: token}, d.sh.index, epoch, owner, ref)
	s.desk.Unlock()
}

func (d edge) RecoverTask(tenant int, token uint64, job int, service uint64, cores, memory float64, nd uint32,
	ticket uint64, try uint8,
) (epoch, owner uint32, ref uint64, ok bool) {
	s, n := d.sh.s, shardownership.Name{Tenant: tenant, Token: token}
	s.desk.Lock()
	defer s.desk.Unlock()
	if d.dead() {
		return 0, 0, 0, false
	}
	epoch, owner, ref, ok = s.acts.Adopt(n, d.sh.index, shardownership.Ask{Job: job, Service: service, Cores: cores, Memory: memory},
		shardownership.Try{Node: nd, Ticket: ticket, No: try})
	if ok && owner > 0 {
		s.ownedBy(owner, ref, d.sh.index)
	}
	return epoch, owner, ref, ok
}

func (d edge) ReleaseTask(tenant int, token uint64, service uint64, epoch uint32) {
	s := d.sh.s
	s.desk.Lock()
	s.acts.Drop(shardownership.Name{Tenant: tenant, Token: token}, d.sh.index, service, epoch)
	s.freed()
	s.desk.Unlock()
}

func (d edge) PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool {
	s := d.sh.s
	s.desk.Lock()
	defer s.desk.Unlock()
	defer s.freed()
	return s.acts.Final(s.w.Now(), shardownership.Name{Tenant: tenant, Token: token}, d.sh.index, epoch, served)
}

func (d edge) Answer(owner uint32, ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if !d.dead() {
		d.sh.s.answer(owner, ref, answer, nd, why, holdOff)
	}
}

func (d edge) NotifyEnd(owner uint32, ref uint64, verdict logic.Outcome, why logic.Reason) {
	if d.dead() {
		return
	}
	if o := d.sh.s.owner(owner); o != nil {
		o.over(ref, verdict, why)
	}
}

func (d edge) ExpireRequest(owner uint32, ref uint64) {
	if o := d.sh.s.owner(owner); o != nil && !d.dead() {
		o.end(ref)
	}
}

// fence ends a shard whose state can't be trusted any more: it gets no leave for anything, and what it acted for
// goes on at other shards, ends as its effect allows, or is found running by the shard's next life.
func (s *Server) fence(sh *shard, why string) {
	if !sh.fenced.CompareAndSwap(false, true) {
		return
	}
	now := s.w.Now()
	s.desk.Lock()
	n := s.carryOut(s.acts.Fence(now, sh.index), "shard-fenced")
	seconds := s.secondAsks(sh.index, math.Inf(1))
	s.desk.Unlock()
	sh.inbox.close()
	for _, x := range seconds {
		x.o.answer(x.ref, engine.Declined, 0, "shard-fenced", 0)
	}
	if s.who.Site.Connections == site.OwnConnections {
		sh.trunk.close("shard fenced", false)
	}
	s.log.Warn().Str("mode", "shards").Int("shard", sh.index).Int("moved", n[shardownership.Moves]).
		Int("declined", n[shardownership.Declines]).Int("failed", n[shardownership.Fails]).Int("run", n[shardownership.Continues]).
		Float64("ms", s.w.Now()-now).Msg("fenced: " + why)
}

// carryOut does what the desk decided about allocations whose shard can't go on with them: under the desk. It counts them.
func (s *Server) carryOut(fates []shardrouter.Fate, why string) (n [4]int) {
	for _, f := range fates {
		a := f.Entry.Ask
		n[f.Fate]++
		switch {
		case f.Fate == shardownership.Moves:
			s.ownedBy(a.Owner, a.Ref, f.To)
			s.goOn(s.shards[f.To], engine.Transfer{
				Client: a.Owner, RequestID: a.Ref, JobClass: a.Job, Tenant: f.Name.Tenant, Service: a.Service,
				Token: f.Name.Token, Cores: a.Cores, Memory: a.Memory, Deadline: a.Expiry, Epoch: f.Epoch,
			})
		case f.Fate == shardownership.Continues:
		case s.w.Now() >= a.Expiry: // its owner has given up by itself
			if x := s.owner(a.Owner); x != nil {
				x.end(a.Ref)
			}
		case f.Fate == shardownership.Declines:
			s.answer(a.Owner, a.Ref, engine.Declined, 0, why, 0)
		case f.Fate == shardownership.Fails:
			s.answer(a.Owner, a.Ref, engine.Failed, 0, why, 0)
		}
	}
	return n
}

// watch looks after the shards: fences those that stand still, starts those that were fenced.
func (s *Server) watch() {
	now := s.w.Now()
	s.look(now)
	s.desk.Lock()
	var beats, waited []float64
	for _, sh := range s.shards {
		beats = append(beats, math.Float64frombits(sh.beat.Load()))
		waited = append(waited, sh.inbox.waited(now))
	}
	fence, start, quiet, answers, lost := s.acts.Look(now, beats, waited)
	s.carryOut(answers, "shard-quiet")
	for _, i := range quiet {
		for _, x := range s.secondAsks(i, now+s.acts.Within()) {
			x.o.answer(x.ref, engine.Declined, 0, "shard-quiet", 0)
		}
	}
	var stuck []*shard
	for _, i := range fence {
		stuck = append(stuck, s.shards[i])
	}
	s.desk.Unlock()
	for _, a := range lost {
		if o := s.owner(a.Owner); o != nil {
			o.over(a.Ref, logic.ConnectionLost, logic.ReasonUnknown)
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
	if s.who.Site.Connections == site.OwnConnections {
		sh.trunk = newTrunk(s, index)
		sh.trunk.set(sh)
	}
	s.desk.Lock()
	if sh.trunk == nil {
		sh.trunk = s.shards[0].trunk
	}
	if index < len(s.shards) {
		s.shards[index] = sh
	} else {
		s.shards = append(s.shards, sh)
	}
	s.lives[sh.life] = sh
	s.acts.Started(index, sh.life)
	s.desk.Unlock()
	s.lastListTo(sh)
	if s.who.Site.Connections != site.OwnConnections {
		sh.trunk.replay(sh)
	}
	sh.begin()
	s.log.Info().Str("mode", "shards").Int("shard", index).Uint32("life", sh.life).Msg("started")
	return nil
}
