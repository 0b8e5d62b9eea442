// Package engine runs one instance of the placement module. It tells the module what happens and carries out what
// the module decides, keeps what must be known of each allocation and try for that, and is free of I/O: events
// come by the methods of Engine with their time, effects leave by Edge, and Round moves time. One goroutine at a
// time may call it.
//
// Times are milliseconds on the caller's clock, which only moves forward and which all schedulers share up to
// some tens of milliseconds.
package engine

import (
	"fmt"

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

// Effects carries out effects in the order of its calls. It must not call the engine back from inside a call, and
// must not block.
type Effects interface {
	// Dial connects to a node; Linked or DialFailed follows.
	Dial(nd uint32, address string)
	// Disconnect closes the connection to a node; Unlinked follows.
	Disconnect(nd uint32, why string)

	Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
		service, token uint64, cores, memory float64)
	Recall(nd uint32, ticket uint64, try uint8)
	Stop(nd uint32, ticket uint64, try uint8)
	Claim(nd uint32, ticket uint64, try uint8)
	Probe(nd uint32, seq uint64)

	WatchList(active bool)
	ReloadList()

	// PermitAttempt asks whether a try may be sent: not if another acts for the allocation by now.
	PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool
	// RecordOutcome tells a try's outcome, and whether it proves that it never ran.
	RecordOutcome(tenant int, token uint64, epoch uint32, never bool)
	// RecoverTask asks whether what a node runs by a try is to be kept, under which epoch, and who was told that it is served.
	RecoverTask(tenant int, token uint64, jobType int, service uint64, cores, memory float64, nd uint32, ticket uint64,
		try uint8) (epoch, owner uint32, ref uint64, ok bool)
	// SetClient tells that another ask is the one to be told of what runs.
	SetClient(tenant int, token uint64, epoch uint32, owner uint32, ref uint64)
	// ReleaseTask ends an allocation.
	ReleaseTask(tenant int, token uint64, service uint64, epoch uint32)

	// PermitAnswer asks whether the final answer may be given, and notes which it is: not if another acts for the allocation.
	PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool
	// Answer gives an owner the final answer to its ask, Over the end of one that was served.
	Answer(owner uint32, ref uint64, answer Answer, nd uint32, why string, holdOff float64)
	NotifyEnd(owner uint32, ref uint64, verdict logic.Verdict, why logic.Reason)
	// ExpireRequest tells that an ask's time was up before it could be answered: nothing is sent for it.
	ExpireRequest(owner uint32, ref uint64)

	Log(line string)
}

// Config are what an engine is started with.
type Config struct {
	Cluster        *logic.Cluster
	Shares         []float64 // of the tenants
	MaxOpen        int       // allocations open at once
	AnswerMargin   float64   // an answer leaves so long before the owner's time is up
	SettleTime     float64   // owners wait so long where a second start could do harm
	Incarnation    uint32    // of this scheduler process, higher at each start
	Seed           uint64
	WallClockStart float64       // wall clock in ms at the engine's time 0
	NewPolicy      PolicyFactory // instead of the module, for comparisons; nil else
	// AliveAtPeers tells whether others hear a node in a life in which it was lost here; nil: nobody is asked.
	AliveAtPeers func(now float64, nd uint32, life uint64) bool
}

// PolicyFactory makes what decides.
type PolicyFactory func(host logic.Host, now float64, seed uint64, cl *logic.Cluster) logic.Told

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
	delayed  bool // its start counts as later than the list has it
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
	edge    Effects
	sched   logic.Told
	terms   Config
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
	entering bool // the news is of nodes that enter the working set
	stats    Stats
}

// Stats are counts since the start.
type Stats struct {
	Admitted, Rejected, Served, Declined, Failed, Offers, Recovered, LateStarts, Expired uint64
	Open, Held, Abandoned                                                                int
}

// New starts an engine at a time. The last list known comes next.
func New(edge Effects, now float64, terms Config) *Engine {
	e := &Engine{edge: edge, terms: terms, now: now, pacer: reconnect.New(terms.Seed),
		door: admit.New(terms.MaxOpen, terms.Shares), at: map[uint32]int{}, byToken: map[named]int{}, asks: map[ask]int{},
		adopted: map[tryName]int{}, ghosts: map[tryName]ghost{}, nodeAt: map[uint32]int{},
		outs: map[uint32]uint8{}}
	for _, jt := range terms.Cluster.JobTypes {
		e.effects = append(e.effects, jt.Effect)
	}
	if terms.NewPolicy != nil {
		e.sched = terms.NewPolicy(host{e}, now, terms.Seed, terms.Cluster)
	} else {
		e.sched = logic.New(host{e}, now, terms.Seed, terms.Cluster)
	}
	return e
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Open, s.Held, s.Abandoned = e.door.Open(), len(e.at), len(e.ghosts)
	return s
}

// Round acts on what is due and lets the module decide on the news since the last.
func (e *Engine) Round(now float64) {
	e.now = now
	stood, act := e.watch.Round(now, e.news)
	e.news = false
	if stood > 0 {
		e.edge.Log(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", stood, e.door.Open()))
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

// NextRound is when Round is to be called at the latest, unless there is news before.
func (e *Engine) NextRound() float64 {
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
				if more := outcome.Longer(e.now-n.lostAt, e.terms.AliveAtPeers != nil && e.terms.AliveAtPeers(e.now, n.id, n.life)); more > 0 {
					a.doubtAt = e.now + more
					e.bells.Set(a.doubtAt, dueDoubt, uint64(a.id))
					if !n.waited {
						n.waited = true
						e.edge.Log(fmt.Sprintf("node %d: silent here for %.1f s, others hear it: what runs there is waited for", n.id, (e.now-n.lostAt)/1000))
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
	*a = alloc{id: e.ids, nd: -1, ticket: uint64(e.terms.Incarnation)<<32 | uint64(e.ids)}
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
	e.edge.ReleaseTask(a.tenant, a.token, a.service, a.epoch)
	e.free = append(e.free, p)
	a.phase = waits
}
