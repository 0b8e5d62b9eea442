// Package modelcheck explores exhaustively what can happen to one allocation, with two shards that run the real engine and the real router with
// its ownership table, two nodes, and every order of events, including a few faults. It replays each path from the initial state, and continues
// only once from states with the same fingerprint.
package modelcheck

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/logic"
)

// Model is the configuration of an exploration.
type Model struct {
	Job    int    // the allocation's job class, an index into Jobs
	Faults int    // maximum number on one path
	Kinds  string // of faults: b connections break, f shards are fenced, h shards hand over, n nodes restart, w clients withdraw; "": all
	Depth  int    // maximum number of steps on one path
	Fault  Fault  // that is injected
}

// Fault is an injected fault, which the exploration has to find.
type Fault string

// Faults that can be injected.
const (
	None              Fault = ""
	StaleEpochs       Fault = "the ledger gives leave to any epoch"
	MovesSentAttempts Fault = "a fence moves what is out"
	DeclinesUnknown   Fault = "a fence declines what may have run"
)

// Jobs are the job classes that can be explored, one for each semantics and scope.
var Jobs = []logic.JobClass{
	{Semantics: logic.Restartable, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 900, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 900, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.AtMostOnce, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
}

const (
	shards       = 2
	nodes        = 2
	expiry       = 900.0  // time from a request to its deadline, in ms
	answerMargin = 100.0  // ms before the deadline at which an answer is sent
	startTime    = 1000.0 // ms
	clientID     = 1
	token        = 77
)

// service is a service that belongs to shard 1, because only shard 1 can hand over.
var service = func() uint64 {
	for s := uint64(1); ; s++ {
		if shardplacement.New(shardplacement.ByService, []float64{1, 1}).TargetOf(s, 0) == 1 {
			return s
		}
	}
}()

var allocation = shardownership.ID{Tenant: 0, Token: token}

// message is a message in transit between a shard and a node.
type message struct {
	kind     byte // to a node: o offer, r recall, s stop, c claim; to a shard: S started, E outcome, C answer to a claim
	ticket   uint64
	attempt  uint8
	epoch    uint32
	deadline float64
	request  int
	outcome  int // 0 rejected, 1 ended, 2 unknown; in the answer to a claim also 3 held but not started, 4 running
}

// attempt is an attempt that a node holds.
type attempt struct {
	ticket   uint64
	number   uint8
	shard    int
	running  bool
	deadline float64
	request  int
}

type attemptID struct {
	ticket uint64
	try    uint8
}

// path is the state at the end of one path through the model.
type path struct {
	model           Model
	now             float64
	router          *shardrouter.Router
	engines         [shards]*engine.Engine
	incarnation     [shards]uint32
	lastIncarnation uint32
	connected       [shards][nodes]bool
	toNode          [shards][nodes][]message
	toShard         [shards][nodes][]message
	held            [nodes][]attempt
	outcomes        [nodes]map[attemptID]int  // outcomes that a node remembers, as in messages
	barred          [nodes]map[attemptID]bool // attempts that a node rejects when their offer arrives
	epochs          [nodes]uint32             // highest epoch of the offers that a node accepted
	nodeIncarnation [nodes]uint64
	pendingRound    [shards]bool     // the shard received an event and has not run a round since
	fencedEngines   []*engine.Engine // fenced engines, which may run rounds later as if they had stalled
	faults          int              // so far

	requests    int
	answers     [8]string // by number of the request
	answerCount [8]int
	deadlines   [8]float64
	ended       int // ends of tasks that clients were notified of
	starts      int // of tasks at nodes
	failure     string
}

func (p *path) fail(format string, args ...any) {
	if p.failure == "" {
		p.failure = fmt.Sprintf("at %.0f ms: ", p.now-startTime) + fmt.Sprintf(format, args...)
	}
}

// start returns the initial state: both shards are connected to both nodes, and nothing has been requested.
func (w Model) start() *path {
	p := &path{model: w, now: startTime}
	p.router = shardrouter.New(startTime, shardrouter.Config{
		JobClasses: Jobs, Shards: shards, MaxShards: shards, MaxOpen: 10, AnswerMargin: answerMargin, RoundInterval: 1, FirstEpoch: 1,
		FaultAnyEpoch: w.Fault == StaleEpochs,
	})
	for n := range nodes {
		p.outcomes[n], p.barred[n], p.nodeIncarnation[n] = map[attemptID]int{}, map[attemptID]bool{}, 1
	}
	for s := range shards {
		p.startShard(s)
	}
	return p
}

// startShard starts the next incarnation of a shard.
func (p *path) startShard(s int) {
	p.lastIncarnation++
	p.incarnation[s] = p.lastIncarnation
	cl := &logic.Cluster{
		Schedulers: shards, Index: s, ListMaxSilence: 1e6, MinRoundInterval: 1, MaxAttempts: 4, CanCancel: true, KindCores: []float64{8},
		KindMemory: []float64{8}, CoresOvercommit: 1, MemoryOvercommit: 1, ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 100,
		SlowStartDuration: 10, SlowStartWindow: 10, MeanCores: 1, MeanMemory: 1, JobClasses: Jobs,
	}
	p.engines[s] = engine.New(effects{p, s, p.incarnation[s]}, p.now, engine.Config{
		Cluster: cl, Shares: []float64{1}, MaxOpen: 10, AnswerMargin: answerMargin,
		SettleTime: 300, Incarnation: p.lastIncarnation, Seed: uint64(p.lastIncarnation),
	})
	e := p.engines[s]
	e.BeginList(p.now, logic.ListCached)
	for n := range nodes {
		e.AddListEntry(engine.ListEntry{Node: uint32(n + 1), Address: "n", Availability: logic.Ready, FreeCores: 8, FreeMemory: 8, Cell: n}) // one zone, two cells
	}
	e.EndList()
	for n := range nodes {
		p.connect(s, n)
	}
	p.runRound(s)
}

// connect connects a shard to a node. The node reports the attempts that it holds for the shard.
func (p *path) connect(s, n int) {
	p.connected[s][n], p.toNode[s][n], p.toShard[s][n] = true, nil, nil
	e := p.engines[s]
	e.OnConnected(p.now, uint32(n+1), p.nodeIncarnation[n], 0)
	for _, t := range p.held[n] {
		if t.shard != s { // the other shard handles it, unless the incarnation that sent it has ended
			if uint32(t.ticket>>32) == p.incarnation[t.shard] {
				continue
			}
		}
		if at, _ := p.router.ShardOf(shardrouter.ReportedAttempt{ID: allocation, Ticket: t.ticket, Number: t.number, Service: service, Shard: -1}); at != s {
			continue
		}
		_ = e.OnHeld(p.now, uint32(n+1), engine.HeldTask{Attempt: engine.AttemptID{Ticket: t.ticket, Number: t.number}, Running: t.running, Task: engine.Task{JobClass: p.model.Job, Tenant: 0, Service: service, Token: token, Cores: 1, Memory: 1}})
	}
	e.OnHeldAll(p.now, uint32(n+1))
}

// runRound runs a round of a shard's engine.
func (p *path) runRound(s int) {
	p.pendingRound[s] = false
	p.engines[s].Round(p.now)
}

// effects carries out the effects of one incarnation of a shard. It implements engine.Effects.
type effects struct {
	path        *path
	shard       int
	incarnation uint32
}

func (d effects) isFenced() bool { return d.path.incarnation[d.shard] != d.incarnation }

// send sends a message to a node. As in the real scheduler, only the router's permits stop the offers of a fenced shard; its other messages
// are dropped.
func (d effects) send(nd uint32, m message) {
	if n := int(nd) - 1; d.path.connected[d.shard][n] && (!d.isFenced() || m.kind == 'o') {
		d.path.toNode[d.shard][n] = append(d.path.toNode[d.shard][n], m)
	}
}

func (d effects) Dial(uint32, string)       {}
func (d effects) Disconnect(uint32, string) {}
func (d effects) Offer(nd uint32, o engine.Offer) {
	p, id := d.path, o.Attempt
	for n := range nodes { // no other attempt may be open: neither held by a node nor on its way to one
		for _, t := range p.held[n] {
			if t.request == p.requests && p.now < t.deadline {
				p.fail("attempt %x.%d was sent while %x.%d was held by node %d", id.Ticket, id.Number, t.ticket, t.number, n+1)
			}
		}
		for s := range shards {
			for _, m := range p.toNode[s][n] {
				if m.kind == 'o' && m.request == p.requests && p.now < m.deadline {
					p.fail("attempt %x.%d was sent while %x.%d was on its way", id.Ticket, id.Number, m.ticket, m.attempt)
				}
			}
		}
	}
	d.send(nd, message{kind: 'o', ticket: id.Ticket, attempt: id.Number, epoch: o.Epoch, deadline: p.now + o.Timeout, request: p.requests})
}

func (d effects) Recall(nd uint32, id engine.AttemptID) {
	d.send(nd, message{kind: 'r', ticket: id.Ticket, attempt: id.Number})
}

func (d effects) Stop(nd uint32, id engine.AttemptID) {
	d.send(nd, message{kind: 's', ticket: id.Ticket, attempt: id.Number})
}

func (d effects) Claim(nd uint32, id engine.AttemptID) {
	d.send(nd, message{kind: 'c', ticket: id.Ticket, attempt: id.Number})
}
func (d effects) Probe(uint32, uint64) {}
func (d effects) WatchList(bool)       {}
func (d effects) ReloadList()          {}
func (d effects) Log(string)           {}

// engineRequest returns the request for the allocation in the form that an engine accepts.
func (p *path) engineRequest(number uint64, timeLeft float64, epoch uint32) engine.Request {
	return engine.Request{
		ID:       engine.RequestID{Client: clientID, Number: number},
		Task:     engine.Task{JobClass: p.model.Job, Service: service, Token: token, Cores: 1, Memory: 1},
		TimeLeft: timeLeft,
		Epoch:    epoch,
	}
}

// claim returns the shard's claim to own the allocation.
func (d effects) claim(task engine.OwnedTask) shardownership.Claim {
	return shardownership.Claim{ID: allocation, Shard: d.shard, Epoch: task.Epoch}
}

func (d effects) PermitAttempt(task engine.OwnedTask, nd uint32, id engine.AttemptID) bool {
	return d.path.router.PermitAttempt(d.claim(task), shardownership.Attempt{Node: nd, Ticket: id.Ticket, Number: id.Number})
}

func (d effects) RecordOutcome(task engine.OwnedTask, neverRan bool) {
	d.path.router.CompleteAttempt(d.claim(task), neverRan)
}

func (d effects) RecoverTask(running engine.RunningTask) (engine.RecoveredTask, bool) {
	if d.isFenced() {
		return engine.RecoveredTask{}, false
	}
	recovery, ok := d.path.router.Recover(allocation, d.shard,
		shardownership.Request{JobClass: running.Task.JobClass, Service: running.Task.Service},
		shardownership.Attempt{Node: running.Node, Ticket: running.Attempt.Ticket, Number: running.Attempt.Number})
	return engine.RecoveredTask{
		Epoch: recovery.Epoch, Request: engine.RequestID{Client: recovery.Client, Number: recovery.Ref},
	}, ok
}

func (d effects) SetClient(task engine.OwnedTask, request engine.RequestID) {
	d.path.router.SetClient(d.claim(task), request.Client, request.Number)
}

func (d effects) ReleaseTask(task engine.OwnedTask, service uint64) {
	d.path.router.Remove(d.claim(task), service)
}

func (d effects) PermitAnswer(task engine.OwnedTask, served bool) bool {
	return d.path.router.PermitAnswer(d.path.now, d.claim(task), served)
}

func (d effects) ExpireRequest(engine.RequestID) {
	if !d.isFenced() {
		d.path.fail("a request expired unanswered although its shard had not stalled")
	}
}

func (d effects) Answer(request engine.RequestID, a engine.Answer) {
	if !d.isFenced() {
		d.path.onAnswer(request.Number, a.Kind)
	}
}

func (d effects) NotifyEnd(engine.RequestID, logic.Outcome, logic.Reason) {
	if !d.isFenced() {
		d.path.ended++
	}
}

// onAnswer handles the final answer to a request.
func (p *path) onAnswer(ref uint64, a engine.AnswerKind) {
	p.answerCount[ref]++
	p.answers[ref] = a.String()
	switch {
	case p.answerCount[ref] > 1:
		p.fail("request %d was answered twice", ref)
	case p.now > p.deadlines[ref]:
		p.fail("request %d was answered after its deadline", ref)
	case a == engine.Declined && p.starts > 0 && Jobs[p.model.Job].Semantics == logic.AtMostOnce && ref == 1 && p.ended == 0:
		p.fail("at-most-once request was declined although its task had started")
	}
}

// fence fences a shard as the server does, and starts its next incarnation.
func (p *path) fence(s int) {
	decisions := p.router.Fence(p.now, s)
	p.fencedEngines = append(p.fencedEngines, p.engines[s])
	p.incarnation[s], p.pendingRound[s] = 0, false
	for n := range nodes { // connections are shared and stay open: messages in transit to nodes still arrive
		p.toShard[s][n] = nil
	}
	for _, f := range decisions {
		a := f.Entry.Request
		if p.model.Fault == MovesSentAttempts && f.Disposition != shardownership.Reassign && f.Disposition != shardownership.Continue {
			if d := p.router.Route(p.now, shardrouter.Arrival{ID: allocation, Request: a}, neverBehind); !d.IsRejected() {
				f.Disposition, f.Shard, f.Epoch = shardownership.Reassign, d.Shard, d.Epoch
			}
		}
		if p.model.Fault == DeclinesUnknown && f.Disposition == shardownership.Fail {
			f.Disposition = shardownership.Shed
		}
		switch f.Disposition {
		case shardownership.Reassign:
			_ = p.engines[f.Shard].Allocate(p.now, p.engineRequest(a.Ref, a.Deadline-p.now, f.Epoch))
			p.pendingRound[f.Shard] = true
		case shardownership.Shed:
			p.onAnswer(a.Ref, engine.Declined)
		case shardownership.Fail:
			p.onAnswer(a.Ref, engine.Failed)
		}
	}
	to := p.toNode[s]
	p.startShard(s)
	p.router.OnShardStarted(p.now, s, p.incarnation[s])
	for n := range nodes {
		p.toNode[s][n] = append(to[n], p.toNode[s][n]...)
	}
}

// handOver hands the allocation over from one shard to the other, as when the shard is removed.
func (p *path) handOver(s int) {
	to, e := 1-s, p.engines[s]
	parts := e.CountByService(nil, true, func(uint64, int) bool { return true })
	var g handover.Planner
	if give, _ := g.Next(p.now, parts); len(give) == 0 {
		return
	}
	var all []engine.Transfer
	e.TransferOut(p.now, service, true, func(g engine.Transfer) { all = append(all, g) })
	_, _ = p.router.Resize(p.now, 1) // removes shard 1, which is added again at the end
	defer func() { _, _ = p.router.Resize(p.now, shards) }()
	var items []shardrouter.HandoverItem
	for _, g := range all {
		items = append(items, shardrouter.HandoverItem{ID: allocation, Epoch: g.Epoch, Running: g.Running, Request: shardownership.Request{
			Client: g.Request.Client, Ref: g.Request.Number, JobClass: g.Task.JobClass,
			Service: service, Deadline: g.Deadline,
		}})
	}
	for i, f := range p.router.HandOver(p.now, s, items) {
		g := all[i]
		if f.Disposition != shardownership.Reassign {
			p.fail("the router did not reassign an allocation that the engine handed over: %+v", f)
			return
		}
		to, g.Epoch = f.Shard, f.Epoch
		if !g.Running {
			_ = p.engines[to].Allocate(p.now, engine.Request{ID: g.Request, Task: g.Task, TimeLeft: g.Deadline - p.now, Epoch: g.Epoch})
			continue
		}
		if !p.engines[to].TransferIn(p.now, g) {
			p.fail("the new shard did not accept the running task")
		}
		n := int(g.Node) - 1
		for i := range p.held[n] { // the node's messages about it go to the new shard from now on
			if t := &p.held[n][i]; t.ticket == g.Attempt.Ticket && t.number == g.Attempt.Number {
				t.shard = to
			}
		}
		remaining := p.toShard[s][n][:0]
		for _, m := range p.toShard[s][n] {
			if m.ticket == g.Attempt.Ticket && m.attempt == g.Attempt.Number {
				p.toShard[to][n] = append(p.toShard[to][n], m)
			} else {
				remaining = append(remaining, m)
			}
		}
		p.toShard[s][n] = remaining
	}
	p.pendingRound[to] = true
}

// neverBehind reports that no shard is behind with its work.
func neverBehind(int) (stuck float64, ahead int) { return 0, 0 }

// fingerprint returns a hash of the state.
func (p *path) fingerprint() uint64 {
	b := make([]byte, 0, 512)
	for s := range shards {
		b = append(p.engines[s].AppendState(b), boolByte(p.pendingRound[s]))
		for n := range nodes {
			b = append(b, byte(n), boolByte(p.connected[s][n]))
			for _, q := range [][]message{p.toNode[s][n], p.toShard[s][n]} {
				b = append(b, '|')
				for _, m := range q {
					b = append(b, m.kind, m.attempt, byte(m.outcome))
					b = binary.LittleEndian.AppendUint64(b, m.ticket)
					b = binary.LittleEndian.AppendUint64(b, math.Float64bits(max(-1, m.deadline-p.now)))
				}
			}
		}
	}
	for n := range nodes {
		b = append(b, byte(p.nodeIncarnation[n]), byte(p.epochs[n]), byte(len(p.outcomes[n])), byte(len(p.barred[n])))
		for _, t := range p.held[n] {
			b = append(b, t.number, byte(t.shard), boolByte(t.running))
			b = binary.LittleEndian.AppendUint64(b, t.ticket)
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(max(-1, t.deadline-p.now)))
		}
	}
	for _, e := range p.fencedEngines {
		b = e.AppendState(b)
	}
	home, _ := p.router.ShardOf(shardrouter.ReportedAttempt{ID: allocation, Ticket: 0, Number: 255, Service: service, Shard: -1})
	b = append(b, byte(home), byte(p.router.Open()), byte(p.router.Epoch()))
	b = append(b, byte(p.faults), byte(p.requests), byte(p.starts), byte(p.ended))
	for i := range p.answerCount {
		b = append(b, byte(p.answerCount[i]))
		b = append(b, p.answers[i]...)
	}
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(p.now))
	return xxhash.Sum64(b)
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
