// Package engine runs one instance of the placement module. It tells the module what happens and carries out what
// the module decides, keeps what must be known of each allocation and try for that, and is free of I/O: events
// come by the methods of Engine with their time, effects leave by Edge, and Round moves time. One goroutine at a
// time may call it.
//
// Times are milliseconds on the caller's clock, which only moves forward and which all schedulers share up to
// some tens of milliseconds.
package engine

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Answer is the final answer to an allocation.
type Answer uint8

const (
	Served Answer = iota
	Declined
	Failed
)

func (a Answer) String() string { return [...]string{"served", "declined", "failed"}[a] }

// Edge carries out effects in the order of its calls. It must not call the engine back from inside a call, and
// must not block.
type Edge interface {
	// Dial connects to a node; Linked or DialFailed follows.
	Dial(nd uint32, address string)
	// Hang closes the connection to a node; Unlinked follows.
	Hang(nd uint32, why string)

	Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
		service, token uint64, cores, memory float64)
	Recall(nd uint32, ticket uint64, try uint8)
	Stop(nd uint32, ticket uint64, try uint8)
	Claim(nd uint32, ticket uint64, try uint8)
	Probe(nd uint32, seq uint64)

	Follow(active bool)
	Reload()

	// Leave asks whether a try may be sent: not if another acts for the allocation by now.
	Leave(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool
	// Known tells a try's outcome, and whether it proves that it never ran.
	Known(tenant int, token uint64, epoch uint32, never bool)
	// Adopt asks whether what a node runs by a try is to be kept, under which epoch, and who was told that it is served.
	Adopt(tenant int, token uint64, jobType int, service uint64, cores, memory float64, nd uint32, ticket uint64,
		try uint8) (epoch, owner uint32, ref uint64, ok bool)
	// Owned tells that another ask is the one to be told of what runs.
	Owned(tenant int, token uint64, epoch uint32, owner uint32, ref uint64)
	// Dropped ends an allocation.
	Dropped(tenant int, token uint64, service uint64, epoch uint32)

	// Final asks whether the final answer may be given, and notes which it is: not if another acts for the allocation.
	Final(tenant int, token uint64, epoch uint32, served bool) bool
	// Answer gives an owner the final answer to its ask, Over the end of one that was served.
	Answer(owner uint32, ref uint64, answer Answer, nd uint32, why string, holdOff float64)
	Over(owner uint32, ref uint64, verdict logic.Verdict, why logic.Reason)
	// Lapsed tells that an ask's time was up before it could be answered: nothing is sent for it.
	Lapsed(owner uint32, ref uint64)

	Mode(line string)
}

// Terms are what an engine is started with.
type Terms struct {
	Cluster *logic.Cluster
	Shares  []float64 // of the tenants
	Open    int       // allocations open at once
	Margin  float64   // an answer leaves so long before the owner's time is up
	Settle  float64   // owners wait so long where a second start could do harm
	Life    uint32    // of this scheduler process, higher at each start
	Seed    uint64
	Clock   float64 // wall clock in ms at the engine's time 0
	Policy  Policy  // instead of the module, for comparisons; nil else
	// Lives tells whether others hear a node in a life in which it was lost here; nil: nobody is asked.
	Lives func(now float64, nd uint32, life uint64) bool
}

// Policy makes what decides.
type Policy func(host logic.Host, now float64, seed uint64, cl *logic.Cluster) logic.Told

type phase uint8

const (
	waits phase = iota // no try is out
	held               // a try waits for its node's connection and was never sent
	out                // a try is out
	runs
)

const (
	nobody = 0 // the owner of what nobody waits for
)

type alloc struct {
	id             uint32
	try            uint8
	phase          phase
	answered       bool
	recalled       bool
	tried          bool // its first try was sent
	found          bool // the module knows its running try as the first
	stopping       bool
	mayHave        bool // an earlier try may have run
	seen           bool // named by its node since it came back
	job, tenant    int
	owner          uint32
	ref            uint64
	ticket         uint64 // of the try that is out or runs
	epoch          uint32
	service, token uint64
	cores, memory  float64
	expiry         float64 // the owner's
	sentAt         float64
	dueAt          float64 // the time-out of the try
	waitsSince     float64 // without an attempt
	doubtAt        float64 // end of waiting for word of it, 0: not in doubt
	nd             int
	place          int // among its node's
	late           tryName
}

type tryName struct {
	ticket uint64
	try    uint8
}

// ghost is a try that was given up but may still be heard of.
type ghost struct {
	alloc         uint32 // its allocation, if that is still open
	nd            int
	job, tenant   int
	service       uint64
	token         uint64
	cores, memory float64
	sentAt        float64
	started       bool
	stopped       bool
	counts        uint32 // by this number the module counts it for its service's spread, 0: it does not
}

type node struct {
	id       uint32
	address  string
	avail    logic.Availability
	last     entry
	out      bool // for maintenance
	page     int
	life     uint64
	began    float64 // the start of its life as it said itself, later than what the list knew then
	lostAt   float64 // when its connection ended last
	waited   bool    // and what ran there was waited for longer since, on the word of others
	same     bool    // it came back in the life in which it was left
	linked   bool
	ready    bool // and has told all that it holds
	heldAll  bool // it has told that at least once
	released bool // it is outside the working set and nothing stands there
	probing  bool
	sent     bool // the probe is on its way
	probeSeq uint64
	probeAt  float64
	on       []int // places of allocations with a try here
	ghosts   int
}

type named struct {
	tenant int
	token  uint64
}

// claim is a given up try that is to be claimed, and how often after that.
type claim struct {
	name tryName
	left int
}

// ask is an owner's reference to what it asked for.
type ask struct {
	owner uint32
	ref   uint64
}

type settlement struct {
	id      uint32
	try     uint8
	verdict logic.Verdict
}

// Engine is one scheduler.
type Engine struct {
	edge    Edge
	sched   logic.Told
	terms   Terms
	effects []logic.Effect
	now     float64
	bells   timers.Heap[due]
	pacer   *reconnect.Pacer
	door    *admit.Door
	watch   pausedetect.Detector
	news    bool

	allocs   []alloc
	free     []int
	at       map[uint32]int    // places of allocations by the module's id
	byToken  map[named]int     // the open or running one of a token
	asks     map[ask]int       // what owners were not yet told the end of
	adopted  map[tryName]int   // running ones whose ticket is not their id's
	ghosts   map[tryName]ghost // given up tries
	claims   []claim
	ids      uint32
	soon     []settlement // outcomes known while the module decides
	nodes    []node
	nodeAt   map[uint32]int
	outs     map[uint32]uint8 // nodes that are kept out, known or not, and why
	page     int
	listKind logic.ListKind
	stats    Stats
}

// Stats are counts since the start.
type Stats struct {
	Taken, Refused, Served, Declined, Failed, Offers, Found, Late, Lapsed uint64
	Open, Tries, Ghosts                                                   int
}

// New starts an engine at a time. The last list known comes next.
func New(edge Edge, now float64, terms Terms) *Engine {
	e := &Engine{edge: edge, terms: terms, now: now, pacer: reconnect.New(terms.Seed),
		door: admit.New(terms.Open, terms.Shares), at: map[uint32]int{}, byToken: map[named]int{}, asks: map[ask]int{},
		adopted: map[tryName]int{}, ghosts: map[tryName]ghost{}, nodeAt: map[uint32]int{},
		outs: map[uint32]uint8{}}
	for _, jt := range terms.Cluster.JobTypes {
		e.effects = append(e.effects, jt.Effect)
	}
	if terms.Policy != nil {
		e.sched = terms.Policy(host{e}, now, terms.Seed, terms.Cluster)
	} else {
		e.sched = logic.New(host{e}, now, terms.Seed, terms.Cluster)
	}
	return e
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Open, s.Tries, s.Ghosts = e.door.Open(), len(e.at), len(e.ghosts)
	return s
}

// Round acts on what is due and lets the module decide on the news since the last.
func (e *Engine) Round(now float64) {
	e.now = now
	stood, act := e.watch.Round(now, e.news)
	e.news = false
	if stood > 0 {
		e.edge.Mode(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", stood, e.door.Open()))
	}
	if !act {
		return
	}
	for {
		b, ok := e.bells.Next(now)
		if !ok {
			break
		}
		e.ring(b)
	}
	for i := 0; i < len(e.soon); i++ {
		s := e.soon[i]
		if p, ok := e.at[s.id]; ok && e.allocs[p].try == s.try && e.allocs[p].phase == held {
			e.settle(p, s.verdict, logic.NotTold, nil)
		}
	}
	e.soon = e.soon[:0]
	e.sched.Decide(now)
	for nd, ok := e.pacer.Next(now); ok; nd, ok = e.pacer.Next(now) {
		e.edge.Dial(e.nodes[nd].id, e.nodes[nd].address)
	}
}

// Next is when Round is to be called at the latest, unless there is news before.
func (e *Engine) Next() float64 {
	if len(e.soon) > 0 {
		return max(e.now, e.watch.Until())
	}
	at := e.pacer.Due()
	if first, ok := e.bells.First(); ok {
		at = min(at, first)
	}
	return max(at, e.watch.Until())
}

func (e *Engine) ring(b bell) {
	switch b.What {
	case dueWake:
		e.sched.Woken(e.now, b.Key)
	case dueTry:
		if p, ok := e.at[uint32(b.Key)]; ok {
			if a := &e.allocs[p]; a.phase == out && a.dueAt == b.At && a.try == uint8(b.Key>>32) {
				e.giveUp(p, logic.TimedOut)
			}
		}
	case dueDoubt:
		if p, ok := e.at[uint32(b.Key)]; ok && e.allocs[p].doubtAt == b.At {
			switch a := &e.allocs[p]; a.phase {
			case out:
				e.giveUp(p, logic.Broken)
			case runs:
				n := &e.nodes[a.nd]
				if more := outcome.Longer(e.now-n.lostAt, e.terms.Lives != nil && e.terms.Lives(e.now, n.id, n.life)); more > 0 {
					a.doubtAt = e.now + more
					e.bells.Set(a.doubtAt, dueDoubt, uint64(a.id))
					if !n.waited {
						n.waited = true
						e.edge.Mode(fmt.Sprintf("node %d: silent here for %.1f s, others hear it: what runs there is waited for", n.id, (e.now-n.lostAt)/1000))
					}
					return
				}
				e.settle(p, logic.Broken, logic.NotTold, nil)
			}
		}
	case dueKept:
		if p, ok := e.at[uint32(b.Key)]; ok {
			if a := &e.allocs[p]; a.phase == runs && a.owner == nobody && a.dueAt == b.At {
				e.stop(a)
			}
		}
	case dueProbe:
		if n := &e.nodes[int(uint32(b.Key))]; n.probing && uint32(n.probeSeq) == uint32(b.Key>>32) {
			verdict := logic.TimedOut
			if !n.sent {
				verdict = logic.Unreached
			}
			e.probed(int(uint32(b.Key)), verdict, nil)
		}
	case dueLink:
		if p, ok := e.at[uint32(b.Key)]; ok && e.allocs[p].phase == held && e.allocs[p].try == uint8(b.Key>>32) {
			e.settle(p, logic.Unreached, logic.NotTold, nil)
		}
	case dueClaim: // all are as long after their try as any other: the first is the one that is due
		c := e.claims[0]
		e.claims = e.claims[1:]
		if g, ok := e.ghosts[c.name]; ok && !g.started {
			if e.nodes[g.nd].ready {
				e.edge.Claim(e.nodes[g.nd].id, c.name.ticket, c.name.try)
			}
			e.askClaim(c.name, c.left)
		}
	case dueGhost:
		e.forgetAll(func(g ghost) bool { return e.now-g.sentAt > outcome.RememberFor() })
		if len(e.ghosts) > 0 {
			e.bells.Set(e.now+outcome.RememberFor()/4, dueGhost, 0)
		}
	}
}

func tryKey(id uint32, try uint8) uint64 { return uint64(try)<<32 | uint64(id) }

// take makes room for an allocation and gives it an id.
func (e *Engine) take() (int, *alloc) {
	var p int
	if n := len(e.free); n > 0 {
		p, e.free = e.free[n-1], e.free[:n-1]
	} else {
		p, e.allocs = len(e.allocs), append(e.allocs, alloc{})
	}
	e.ids++
	a := &e.allocs[p]
	*a = alloc{id: e.ids, nd: -1, ticket: uint64(e.terms.Life)<<32 | uint64(e.ids)}
	e.at[a.id] = p
	return p, a
}

// drop forgets an allocation that is answered and has nothing out.
func (e *Engine) drop(p int) {
	a := &e.allocs[p]
	delete(e.at, a.id)
	e.disown(a)
	name := named{a.tenant, a.token}
	if e.byToken[name] == p {
		delete(e.byToken, name)
	}
	delete(e.adopted, tryName{a.ticket, a.try})
	e.edge.Dropped(a.tenant, a.token, a.service, a.epoch)
	e.free = append(e.free, p)
	a.phase = waits
}

// own makes an owner hear of an allocation; disown ends that.
func (e *Engine) own(p int, owner uint32, ref uint64) {
	e.allocs[p].owner, e.allocs[p].ref = owner, ref
	if owner != nobody {
		e.asks[ask{owner, ref}] = p
	}
}

func (e *Engine) disown(a *alloc) {
	if a.owner != nobody {
		delete(e.asks, ask{a.owner, a.ref})
		a.owner = nobody
	}
}

// put counts a try in at its node, pull counts it out.
func (e *Engine) put(p, nd int) {
	a, n := &e.allocs[p], &e.nodes[nd]
	a.nd, a.place = nd, len(n.on)
	n.on = append(n.on, p)
	if n.released {
		e.retain(e.now, nd)
	}
}

func (e *Engine) pull(p int) {
	a := &e.allocs[p]
	n := &e.nodes[a.nd]
	last := len(n.on) - 1
	moved := n.on[last]
	n.on[a.place] = moved
	e.allocs[moved].place = a.place
	n.on = n.on[:last]
}

// settle ends a try and tells the module.
func (e *Engine) settle(p int, verdict logic.Verdict, why logic.Reason, report []float64) {
	a := &e.allocs[p]
	ran := a.phase == runs
	e.pull(p)
	nd, id, try, took := e.nodes[a.nd].id, a.id, a.moduleTry(), e.now-a.sentAt
	a.phase, a.doubtAt, a.waitsSince = waits, 0, e.now
	never := verdict == logic.Refused || verdict == logic.Unreached || verdict == logic.Unsent
	a.mayHave = a.mayHave || !never
	e.edge.Known(a.tenant, a.token, a.epoch, never)
	over := ran || a.answered
	if ran && a.owner != nobody {
		e.edge.Over(a.owner, a.ref, verdict, why)
	}
	if over {
		late := a.late
		e.drop(p)
		e.sched.Settled(e.now, id, nd, try, took, true, why, verdict, report)
		e.lapseLate(late)
		return
	}
	if a.late.ticket != 0 { // the earlier one runs: it serves, and the module need not try again
		late := a.late
		e.sched.Lapsed(e.now, id)
		e.sched.Settled(e.now, id, nd, try, took, true, why, verdict, report)
		e.serveLate(late, p)
		return
	}
	e.sched.Settled(e.now, id, nd, try, took, false, why, verdict, report)
}

// giveUp ends a try without word from its node; what may yet be heard of it is remembered.
func (e *Engine) giveUp(p int, verdict logic.Verdict) {
	a := &e.allocs[p]
	if !a.recalled {
		e.recall(a)
	}
	e.remember(tryName{a.ticket, a.try}, ghost{alloc: a.id, nd: a.nd, job: a.job, tenant: a.tenant,
		service: a.service, token: a.token, cores: a.cores, memory: a.memory, sentAt: a.sentAt})
	if e.effects[a.job] != logic.Restartable {
		e.askClaim(tryName{a.ticket, a.try}, outcome.Claims())
	}
	e.settle(p, verdict, logic.NotTold, nil)
}

// askClaim has a given up try claimed after a while, some times: if it runs after all, its owner's next ask must
// find that out rather than start a second.
func (e *Engine) askClaim(name tryName, times int) {
	if times > 0 {
		e.claims = append(e.claims, claim{name, times - 1})
		e.bells.Set(e.now+outcome.ClaimEvery(e.terms.Settle), dueClaim, 0)
	}
}

func (e *Engine) remember(name tryName, g ghost) {
	if len(e.ghosts) == 0 {
		e.bells.Set(e.now+outcome.RememberFor()/4, dueGhost, 0)
	}
	if _, ok := e.ghosts[name]; !ok {
		e.nodes[g.nd].ghosts++
		if outcome.Counts(e.terms.Cluster.JobTypes[g.job].Spread) {
			e.ids++
			g.counts = e.ids
			e.sched.Found(e.now, g.counts, g.job, g.tenant, g.service, g.cores, g.memory, e.nodes[g.nd].id)
		}
	}
	e.ghosts[name] = g
}

func (e *Engine) forget(name tryName) {
	if g, ok := e.ghosts[name]; ok {
		e.nodes[g.nd].ghosts--
		delete(e.ghosts, name)
		if g.counts > 0 {
			e.sched.Settled(e.now, g.counts, e.nodes[g.nd].id, 0, e.now-g.sentAt, true, logic.NotTold, logic.Ended, nil)
		}
	}
}

// forgetAll forgets those that are meant, in the order of their names: the module hears of them.
func (e *Engine) forgetAll(meant func(ghost) bool) {
	var names []tryName
	for name, g := range e.ghosts {
		if meant(g) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, tryName.compare)
	for _, name := range names {
		e.forget(name)
	}
}

func (x tryName) compare(y tryName) int {
	return cmp.Or(cmp.Compare(x.ticket, y.ticket), cmp.Compare(x.try, y.try))
}

// unsend ends a try that waits for its node's connection: it must not leave any more, even if that comes right now.
func (e *Engine) unsend(a *alloc) {
	a.recalled = true
	e.soon = append(e.soon, settlement{a.id, a.try, logic.Unsent})
}

func (e *Engine) recall(a *alloc) {
	a.recalled = true
	if e.nodes[a.nd].ready {
		e.edge.Recall(e.nodes[a.nd].id, a.ticket, a.try)
	}
}

// answer gives the final answer, once, and never after the owner's time is up.
func (e *Engine) answer(a *alloc, answer Answer, nd uint32, why string, holdOff float64) {
	a.answered = true
	e.door.Leave(a.tenant)
	if a.owner == nobody {
		return
	}
	if e.now >= a.expiry { // stood still: the owner has given up by itself, and nothing more is sent for it
		e.stats.Lapsed++
		e.edge.Lapsed(a.owner, a.ref)
		e.disown(a)
		return
	}
	if !e.edge.Final(a.tenant, a.token, a.epoch, answer == Served) {
		e.disown(a)
		return
	}
	switch answer {
	case Served:
		e.stats.Served++
	case Declined:
		e.stats.Declined++
	case Failed:
		e.stats.Failed++
	}
	e.edge.Answer(a.owner, a.ref, answer, nd, why, holdOff)
	if answer != Served {
		e.disown(a)
	}
}

// Allocate takes an ask under an epoch of the one who says which engine acts for it: left is the time that its owner
// still waits, counted from now. An error means that it was not understood as a new one, and no answer follows.
func (e *Engine) Allocate(now float64, owner uint32, ref uint64, jobType, tenant int, service, token uint64,
	cores, memory, left float64, epoch uint32) error {
	e.now, e.news = now, true
	if _, ok := e.asks[ask{owner, ref}]; ok {
		return fmt.Errorf("ask %d is not over", ref)
	}
	name := named{tenant, token}
	if p, ok := e.byToken[name]; ok {
		e.again(p, owner, ref)
		return nil
	}
	if epoch == 0 { // meant for one that was here a moment ago
		e.stats.Refused++
		e.edge.Answer(owner, ref, Declined, 0, "just-ended", 0)
		return nil
	}
	least := e.terms.Margin + 4*e.terms.Cluster.Step
	if why := e.door.Enter(tenant, left, least, e.fits(jobType, cores, memory)); why != admit.Taken {
		e.stats.Refused++
		if e.edge.Final(tenant, token, epoch, false) {
			e.edge.Answer(owner, ref, Declined, 0, why.String(), 0)
		}
		e.edge.Dropped(tenant, token, service, epoch)
		return nil
	}
	e.stats.Taken++
	p, a := e.take()
	a.job, a.tenant, a.service, a.token, a.epoch = jobType, tenant, service, token, epoch
	e.own(p, owner, ref)
	a.cores, a.memory, a.expiry, a.waitsSince = cores, memory, now+left, now
	e.byToken[name] = p
	e.sched.Allocate(now, a.id, jobType, tenant, a.expiry-e.terms.Margin, service, cores, memory)
	return nil
}

// again meets an ask for what is open or runs already: a second start is what its key guards against.
func (e *Engine) again(p int, owner uint32, ref uint64) {
	a := &e.allocs[p]
	switch {
	case a.phase == runs:
		e.disown(a)
		e.own(p, owner, ref)
		e.edge.Owned(a.tenant, a.token, a.epoch, owner, ref)
		e.stats.Served++
		e.edge.Answer(owner, ref, Served, e.nodes[a.nd].id, "runs", 0)
	case !a.answered:
		e.stats.Refused++
		e.edge.Answer(owner, ref, Declined, 0, "open-already", 0)
	default: // answered, and a try of it is still out: its outcome decides what a next ask may do
		e.stats.Refused++
		e.edge.Answer(owner, ref, Declined, 0, "earlier-try-out", 0)
	}
}

// fits tells whether an empty machine of the kind that the job type needs would accept so much.
func (e *Engine) fits(jobType int, cores, memory float64) bool {
	cl := e.terms.Cluster
	for k := range cl.KindCores {
		if kind := cl.JobTypes[jobType].Kind; (kind < 0 || kind == k) &&
			cores <= cl.KindCores[k]*cl.CoresLimit && memory <= cl.KindMemory[k]*cl.MemoryLimit {
			return true
		}
	}
	return false
}

// Withdraw ends an ask that its owner gives up: an open one is answered at once, one that runs is stopped.
func (e *Engine) Withdraw(now float64, owner uint32, ref uint64) error {
	e.now, e.news = now, true
	if p, ok := e.asks[ask{owner, ref}]; ok {
		e.withdraw(p, true)
		return nil
	}
	return fmt.Errorf("no ask %d to withdraw", ref)
}

func (e *Engine) withdraw(p int, answer bool) {
	a := &e.allocs[p]
	if a.phase == runs {
		e.stop(a)
		return
	}
	if !answer {
		e.disown(a)
	}
	jt, verdict := &e.terms.Cluster.JobTypes[a.job], Failed
	if outcome.Withdrawn(jt.Effect, jt.Group, a.phase == out, a.mayHave) {
		verdict = Declined
	}
	late := a.late
	a.late = tryName{}
	e.answer(a, verdict, 0, "withdrawn", 0)
	e.disown(a)
	e.sched.Lapsed(e.now, a.id)
	switch a.phase {
	case out:
		if !a.recalled {
			e.recall(a)
		}
	case held:
		e.unsend(a)
	case waits:
		e.drop(p)
	}
	e.lapseLate(late)
}

// OwnerGone ends all open asks of an owner whose connection is gone; what runs goes on for nobody.
func (e *Engine) OwnerGone(now float64, owner uint32) {
	e.now, e.news = now, true
	for p := range e.allocs {
		a := &e.allocs[p]
		if _, ok := e.at[a.id]; !ok || a.owner != owner || owner == nobody {
			continue
		}
		if a.phase == runs {
			e.disown(a)
		} else {
			e.withdraw(p, false)
		}
	}
}

// Close answers all that is open, as the process is about to end: what an owner is told now it need not wait for.
func (e *Engine) Close(now float64) {
	e.now = now
	for p := range e.allocs {
		a := &e.allocs[p]
		if _, ok := e.at[a.id]; ok && !a.answered {
			e.withdraw(p, true)
		}
	}
}

var errSecond = errors.New("second answer for a try")

// find gives the place of the allocation whose try is named.
func (e *Engine) find(ticket uint64, try uint8) (int, bool) {
	if p, ok := e.adopted[tryName{ticket, try}]; ok {
		return p, true
	}
	if uint32(ticket>>32) != e.terms.Life {
		return 0, false
	}
	p, ok := e.at[uint32(ticket)]
	if !ok || e.allocs[p].try != try || e.allocs[p].phase < out || e.allocs[p].ticket != ticket {
		return 0, false
	}
	return p, true
}

func (e *Engine) unknown(ticket uint64, try uint8) error {
	return fmt.Errorf("answer for unknown try %x.%d", ticket, try)
}

// Started is a node's word that a try runs. An error is the peer's fault: its connection should end.
func (e *Engine) Started(now float64, nd uint32, ticket uint64, try uint8, took float64) error {
	e.now, e.news = now, true
	name := tryName{ticket, try}
	if p, ok := e.find(ticket, try); ok {
		a := &e.allocs[p]
		if e.nodes[a.nd].id != nd {
			return e.unknown(ticket, try)
		}
		if a.phase == runs {
			return errSecond
		}
		e.started(p, took)
		return nil
	}
	g, ok := e.ghosts[name]
	if !ok || e.nodes[g.nd].id != nd {
		return e.unknown(ticket, try)
	}
	if g.started {
		return errSecond
	}
	e.startedLate(name, g)
	return nil
}

func (e *Engine) started(p int, took float64) {
	a := &e.allocs[p]
	a.phase, a.doubtAt = runs, 0
	late := a.late
	a.late = tryName{}
	e.sched.Started(e.now, a.id, a.moduleTry(), took)
	if !a.answered {
		e.answer(a, Served, e.nodes[a.nd].id, "", 0)
	}
	if a.owner == nobody { // answered before, or too late to be told
		e.stats.Late++
		if outcome.Late(e.effects[a.job], false, false) == outcome.Stop {
			e.stop(a)
		} else {
			e.keep(a)
		}
	}
	if late.ticket != 0 { // this try was faster than the recall: the other start is one too many
		e.stopLate(late)
	}
}

// stop asks the node of a running allocation to end it; a node that is away is asked when it is back.
func (e *Engine) stop(a *alloc) {
	a.stopping = true
	if e.nodes[a.nd].ready {
		e.edge.Stop(e.nodes[a.nd].id, a.ticket, a.try)
	}
}

// keep holds a running allocation of nobody's for its owner's next ask.
func (e *Engine) keep(a *alloc) {
	a.dueAt = e.now + outcome.KeepFor(e.terms.Settle)
	e.bells.Set(a.dueAt, dueKept, uint64(a.id))
}

// startedLate meets the start of a try that had been given up.
func (e *Engine) startedLate(name tryName, g ghost) {
	g.started = true
	e.ghosts[name] = g
	e.stats.Late++
	p, open := e.at[g.alloc]
	open = open && !e.allocs[p].answered && e.now < e.allocs[p].expiry
	if q, ok := e.byToken[named{g.tenant, g.token}]; ok && (!open || q != p) {
		if a := &e.allocs[q]; a.phase == runs { // it runs elsewhere by now
			e.stopLate(name)
			return
		} else if !a.answered && e.now < a.expiry { // asked for again
			p, open = q, true
		}
	}
	switch outcome.Late(e.effects[g.job], open, open && e.allocs[p].phase != waits) {
	case outcome.Stop:
		e.stopLate(name)
	case outcome.Serve:
		e.sched.Lapsed(e.now, e.allocs[p].id)
		e.serveLate(name, p)
	case outcome.Await:
		a := &e.allocs[p]
		if a.late.ticket != 0 {
			e.stopLate(name)
			return
		}
		a.late = name
		if a.phase == held {
			e.unsend(a)
		} else if !a.recalled {
			e.recall(a)
		}
	case outcome.Keep:
		if q := e.adopt(name, g); q >= 0 {
			e.keep(&e.allocs[q])
		}
	}
}

// serveLate answers the allocation at p, of which nothing is out, with a start that had been given up.
func (e *Engine) serveLate(name tryName, p int) {
	a := &e.allocs[p]
	g := e.ghosts[name]
	owner, ref := a.owner, a.ref
	e.answer(a, Served, e.nodes[g.nd].id, "late", 0)
	if a.owner == nobody { // too late after all
		owner = nobody
	}
	a.late = tryName{}
	e.disown(a)
	e.drop(p)
	q := e.adopt(name, g)
	if q < 0 {
		return
	}
	e.own(q, owner, ref)
	if owner == nobody {
		e.keep(&e.allocs[q])
	}
}

// lapseLate decides about a late start whose allocation was answered without it.
func (e *Engine) lapseLate(name tryName) {
	if g, ok := e.ghosts[name]; ok && name.ticket != 0 && !g.stopped {
		if outcome.Late(e.effects[g.job], false, false) == outcome.Stop {
			e.stopLate(name)
		} else {
			if q := e.adopt(name, g); q >= 0 {
				e.keep(&e.allocs[q])
			}
		}
	}
}

func (e *Engine) stopLate(name tryName) {
	if g, ok := e.ghosts[name]; ok {
		g.stopped = true
		e.ghosts[name] = g
		if e.nodes[g.nd].linked {
			e.edge.Stop(e.nodes[g.nd].id, name.ticket, name.try)
		}
	}
}

// adopt makes a running allocation of what a node runs and tells the module.
//
// It returns -1 and stops it if another acts for it by now.
func (e *Engine) adopt(name tryName, g ghost) int {
	epoch, owner, ref, ok := e.edge.Adopt(g.tenant, g.token, g.job, g.service, g.cores, g.memory,
		e.nodes[g.nd].id, name.ticket, name.try)
	if !ok {
		e.stopLate(name)
		return -1
	}
	e.forget(name)
	p, a := e.take()
	a.epoch = epoch
	a.phase, a.answered, a.found = runs, true, true
	a.job, a.tenant, a.service, a.token, a.cores, a.memory = g.job, g.tenant, g.service, g.token, g.cores, g.memory
	a.ticket, a.try, a.sentAt = name.ticket, name.try, e.now
	e.put(p, g.nd)
	e.adopted[name] = p
	e.byToken[named{a.tenant, a.token}] = p
	a.seen = true
	e.own(p, owner, ref)
	e.stats.Found++
	e.sched.Found(e.now, a.id, a.job, a.tenant, a.service, a.cores, a.memory, e.nodes[g.nd].id)
	return p
}

// Settled is a node's word on a try's outcome; never tells that the node proves that it never ran.
func (e *Engine) Settled(now float64, nd uint32, ticket uint64, try uint8, verdict logic.Verdict, why logic.Reason,
	report []float64) error {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok {
		a := &e.allocs[p]
		if e.nodes[a.nd].id != nd {
			return e.unknown(ticket, try)
		}
		if a.phase == runs && verdict == logic.Refused {
			return errors.New("try refused after its start")
		}
		e.settle(p, verdict, why, report)
		return nil
	}
	name := tryName{ticket, try}
	if g, ok := e.ghosts[name]; ok && e.nodes[g.nd].id == nd {
		e.forget(name)
		if p, ok := e.at[g.alloc]; ok && e.allocs[p].late == name {
			e.allocs[p].late = tryName{}
		}
		return nil
	}
	return e.unknown(ticket, try)
}

// Noted is a node's word on a running allocation. One that has just ended may still be named.
func (e *Engine) Noted(now float64, nd uint32, ticket uint64, try uint8, kind logic.NoteKind, value float64) error {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok && e.nodes[e.allocs[p].nd].id == nd {
		a := &e.allocs[p]
		e.sched.Noted(now, a.id, a.moduleTry(), nd, kind, value)
	}
	return nil
}

// Hint is a load report that another engine heard from a node.
func (e *Engine) Hint(now float64, nd uint32, report []float64) {
	e.now = now
	e.sched.Settled(now, 0, nd, 0, 0, true, logic.NotTold, logic.Ended, report) // no allocation has the number 0
}

// moduleTry is the number by which the module knows the try: what was found is its first.
func (a *alloc) moduleTry() uint8 {
	if a.found {
		return 0
	}
	return a.try
}

// host carries out what the module decides.
type host struct{ e *Engine }

func (h host) Offer(id, nodeID uint32, timeout float64) {
	e := h.e
	p := e.at[id]
	a := &e.allocs[p]
	nd := e.nodeAt[nodeID]
	if a.tried {
		a.try++
	}
	a.tried = true
	a.sentAt, a.recalled, a.doubtAt = e.now, false, 0
	a.dueAt = min(e.now+timeout, a.expiry)
	e.stats.Offers++
	e.put(p, nd)
	if n := &e.nodes[nd]; n.ready {
		e.send(a, n)
		return
	}
	a.phase = held
	e.pacer.Want(e.now, nd)
	e.bells.Set(e.now+min(outcome.LinkFor(), timeout), dueLink, tryKey(id, a.try))
}

func (e *Engine) send(a *alloc, n *node) {
	a.phase = out
	if !e.edge.Leave(a.tenant, a.token, a.epoch, n.id, a.ticket, a.try) {
		a.phase = held // never sent, and no other try will be either
		e.unsend(a)
		return
	}
	e.bells.Set(a.dueAt, dueTry, tryKey(a.id, a.try))
	e.edge.Offer(n.id, a.ticket, a.try, a.epoch, a.dueAt-e.now, a.job, a.tenant, a.service, a.token, a.cores, a.memory)
}

func (h host) Decline(id uint32, holdOff float64) { h.e.final(id, Declined, holdOff) }
func (h host) Fail(id uint32)                     { h.e.final(id, Failed, 0) }

func (e *Engine) final(id uint32, answer Answer, holdOff float64) {
	p, ok := e.at[id]
	if !ok || e.allocs[p].answered {
		return
	}
	a := &e.allocs[p]
	e.answer(a, answer, 0, "", holdOff)
	late := a.late
	a.late = tryName{}
	if a.phase == waits {
		e.drop(p)
	}
	e.lapseLate(late)
}

func (h host) Recall(id uint32, try uint8) {
	e := h.e
	p, ok := e.at[id]
	if !ok || e.allocs[p].try != try {
		return
	}
	switch a := &e.allocs[p]; a.phase {
	case held:
		e.unsend(a)
	case out:
		if !a.recalled {
			e.recall(a)
		}
	}
}

func (h host) Move(id uint32) {
	if p, ok := h.e.at[id]; ok && h.e.allocs[p].phase == runs {
		h.e.stop(&h.e.allocs[p])
	}
}

func (h host) Probe(nodeID uint32) {
	e := h.e
	nd := e.nodeAt[nodeID]
	n := &e.nodes[nd]
	if n.probing {
		return
	}
	n.probing, n.sent, n.probeAt = true, n.ready, e.now
	n.probeSeq++
	e.bells.Set(e.now+outcome.ProbeFor(), dueProbe, uint64(uint32(n.probeSeq))<<32|uint64(uint32(nd)))
	if n.ready {
		e.edge.Probe(n.id, n.probeSeq)
	} else {
		e.pacer.Want(e.now, nd)
	}
}

func (h host) Follow(active bool) { h.e.edge.Follow(active) }
func (h host) Reload()            { h.e.edge.Reload() }
func (h host) Wake(delay float64, key uint64) {
	h.e.bells.Set(h.e.now+math.Max(0, delay), dueWake, key)
}
func (h host) Log(line string) { h.e.edge.Mode(line) }
