package maintenance

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

// process is a simulated scheduler process.
type process struct {
	sim               *simulation
	index             int
	skew              float64
	engine            *engine.Engine
	controller        *maintenance.Controller
	store             *memoryStore
	draining          map[uint32]bool
	down              bool
	incarnation       uint32
	nextRound         float64
	nextTick          float64
	lastRef           uint64
	evicted           int
	lostNodes         map[string]bool
	pausedUntil       float64 // the process is paused until then
	unresponsiveUntil float64 // until then the process may be unable to recall its open attempts: it was down or paused
}

// clock returns the time of the process's own clock, in ms.
func (p *process) clock() float64 { return p.sim.now + p.skew + 1e6 } // an engine's clock starts well above 0

// start starts an incarnation of the process. Only its store survives from the last one.
func (p *process) start() {
	p.down, p.unresponsiveUntil = false, p.sim.now+6000
	p.incarnation++
	p.draining = map[uint32]bool{}
	p.sim.report.Restarts += int(min(1, p.incarnation-1))
	cl := &logic.Cluster{
		Schedulers: p.sim.Processes, Index: p.index, ListMaxSilence: 1e12, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{32, 32}, KindMemory: []float64{64, 64}, CoresOvercommit: 2, MemoryOvercommit: 2, ReportFields: []string{"x0", "x1"},
		ReportsPiggybacked: true, SlowStartLimit: 100, SlowStartDuration: 8000, SlowStartWindow: 1000, MeanCores: 1, MeanMemory: 2, JobClasses: []logic.JobClass{
			{Semantics: logic.Restartable, LatencyObjective: 2000, PriorityWeight: 1, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 8000, LatencyObjective: 2000, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.AtMostOnce, LatencyObjective: 2000, PriorityWeight: 3, NodeKind: -1},
		},
	}
	p.engine = engine.New(effects{p}, p.clock(), engine.Config{
		Cluster: cl, Shares: []float64{1}, MaxOpen: 500, AnswerMargin: 100, SettleTime: 3000,
		Incarnation: p.incarnation, Seed: p.sim.rng.Uint64(),
	})
	lim := limits
	if p.sim.Fault == NoClockGuard {
		lim.ClockGuard = 0
	}
	p.controller = &maintenance.Controller{Store: p.store, Executor: effects{p}, Limits: lim, Policies: []drainpace.Policy{drainpace.Late, drainpace.Early, drainpace.RunOut}}
	p.engine.BeginList(p.clock(), logic.ListCached)
	for _, s := range p.sim.nodes {
		p.engine.AddListEntry(engine.ListEntry{Node: s.id, Address: "x", Availability: logic.Ready, FreeCores: 32, FreeMemory: 64, Zone: s.zone, Cell: s.cell, Kind: s.kind})
	}
	p.engine.EndList()
	p.tickController() // before any placement, so that the drains of an earlier incarnation are known
	p.nextRound, p.nextTick = p.sim.now, p.sim.now+1000
}

// stop kills the process. Its connections break, and its tasks continue to run.
func (p *process) stop() {
	p.down, p.unresponsiveUntil = true, math.Inf(1)
	p.sim.tracef("process %d down", p.index)
}

// updateList gives the process a change of the node list: the nodes of a zone have a new availability.
func (p *process) updateList(zone int, avail logic.Availability) {
	if p.down {
		return
	}
	p.engine.BeginList(p.clock(), logic.ListChanges)
	for _, s := range p.sim.nodes {
		if s.zone == zone {
			p.engine.AddListEntry(engine.ListEntry{Node: s.id, Address: "x", Availability: avail, FreeCores: 32, FreeMemory: 64, Zone: s.zone, Cell: s.cell, Kind: s.kind})
			id := strconv.Itoa(int(s.id))
			if delete(p.lostNodes, id); avail == logic.Unavailable {
				p.lostNodes[id] = true
			}
		}
	}
	p.engine.EndList()
}

// tickController calls the maintenance controller with the time of the process's own clock.
func (p *process) tickController() {
	now := epoch.Add(time.Duration((p.sim.now + p.skew) * 1e6))
	if err := p.controller.Tick(now, p.sim.fleet, p.lostNodes); err != nil {
		panic(err) // the store is in memory
	}
}

// request requests a task of a random job class.
func (p *process) request() {
	p.lastRef++
	p.sim.nextID++
	job := p.sim.rng.IntN(jobClasses)
	_ = p.engine.Allocate(p.clock(), engine.Request{ID: engine.RequestID{Client: 1, Number: p.lastRef}, Task: engine.Task{JobClass: job, Tenant: 0, Service: uint64(p.sim.rng.IntN(12)), Token: p.sim.nextID, Cores: 1, Memory: 2}, TimeLeft: 8000, Epoch: 1}) // request numbers are never reused
	p.nextRound = p.sim.now
}

func (p *process) name() string { return strconv.Itoa(p.index) }

// receive decodes and handles messages from a node.
func (p *process) receive(s *simNode, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	var buf [node.MaxReportValues]float64
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeNode(fields, processHandler{p, s}, buf[:]); err != nil {
			p.sim.tracef("process %d: invalid message from node %d: %v", p.index, s.id, err)
		}
	}
}
