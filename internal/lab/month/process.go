package month

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/engine"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

// proc is a scheduler process.
type proc struct {
	w       *world
	index   int
	skew    float64
	eng     *engine.Engine
	keep    *maintenance.Controller
	store   *memory
	out     map[uint32]bool
	down    bool
	life    uint32
	next    float64
	keepAt  float64
	refs    uint64
	moved   int
	lostNow map[string]bool
	stuck   float64 // it stands still until then
	blind   float64 // until then it could not act on its tries that were out: it was down or stood still
}

func (p *proc) clock() float64 { return p.w.now + p.skew + 1e6 } // engines begin well above 0

// start begins a life of the process: its store is what outlived the last.
func (p *proc) start() {
	p.down, p.blind = false, p.w.now+6000
	p.life++
	p.out = map[uint32]bool{}
	p.w.rep.Restarts += int(min(1, p.life-1))
	cl := &logic.Cluster{
		Schedulers: p.w.Processes, Index: p.index, ListMaxSilence: 1e12, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{32, 32}, KindMemory: []float64{64, 64}, CoresOvercommit: 2, MemoryOvercommit: 2, ReportFields: []string{"x0", "x1"},
		ReportsPiggybacked: true, SlowStartLimit: 100, SlowStartDuration: 8000, SlowStartWindow: 1000, MeanCores: 1, MeanMemory: 2, JobClasses: []logic.JobClass{
			{Semantics: logic.Restartable, LatencyObjective: 2000, PriorityWeight: 1, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 8000, LatencyObjective: 2000, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.AtMostOnce, LatencyObjective: 2000, PriorityWeight: 3, NodeKind: -1},
		},
	}
	p.eng = engine.New(hand{p}, p.clock(), engine.Config{
		Cluster: cl, Shares: []float64{1}, MaxOpen: 500, AnswerMargin: 100, SettleTime: 3000,
		Incarnation: p.life, Seed: p.w.rng.Uint64(),
	})
	lim := limits
	if p.w.Plant == NoGuard {
		lim.ClockGuard = 0
	}
	p.keep = &maintenance.Controller{Store: p.store, Executor: hand{p}, Limits: lim, Policies: []drainpace.Policy{drainpace.Late, drainpace.Early, drainpace.RunOut}}
	p.eng.BeginList(p.clock(), logic.ListCached)
	for _, s := range p.w.nodes {
		p.eng.AddListNode(s.id, "x", logic.Ready, 0, 32, 64, s.zone, s.cell, s.kind)
	}
	p.eng.EndList()
	p.tick() // what an earlier life took out is known before anything is placed
	p.next, p.keepAt = p.w.now, p.w.now+1000
}

// stop kills the process; its connections break, what it ran runs on.
func (p *proc) stop() {
	p.down, p.blind = true, math.Inf(1)
	p.w.note("process %d down", p.index)
}

func (p *proc) list(zone int, avail logic.Availability) {
	if p.down {
		return
	}
	p.eng.BeginList(p.clock(), logic.ListChanges)
	for _, s := range p.w.nodes {
		if s.zone == zone {
			p.eng.AddListNode(s.id, "x", avail, 0, 32, 64, s.zone, s.cell, s.kind)
			id := strconv.Itoa(int(s.id))
			if delete(p.lostNow, id); avail == logic.Unavailable {
				p.lostNow[id] = true
			}
		}
	}
	p.eng.EndList()
}

// tick is the keeper's look, by the process's own clock.
func (p *proc) tick() {
	now := begin.Add(time.Duration((p.w.now + p.skew) * 1e6))
	if err := p.keep.Tick(now, p.w.fleet, p.lostNow); err != nil {
		panic(err) // the store is in memory
	}
}

func (p *proc) ask() {
	p.refs++
	p.w.nextID++
	job := p.w.rng.IntN(jobs)
	_ = p.eng.Allocate(p.clock(), 1, p.refs, job, 0, uint64(p.w.rng.IntN(12)), p.w.nextID, 1, 2, 8000, 1) // refs are never reused
	p.next = p.w.now
}

func (p *proc) name() string { return strconv.Itoa(p.index) }

// hear decodes what came to a process.
func (p *proc) hear(s *spot, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	var buf [node.MaxReportValues]float64
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeNode(fields, reply{p, s}, buf[:]); err != nil {
			p.w.note("%d faults node %d: %v", p.index, s.id, err)
		}
	}
}
