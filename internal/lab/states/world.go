// Package states explores exhaustively what can become of one allocation: two shards on the engine's own code and the
// ledger, two nodes, and every order of what may happen to them, a few faults included. It plays each path anew from
// the beginning; states that look alike are gone on from once.
package states

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

// World is what is explored.
type World struct {
	Job    int    // the allocation's job type, a place in Jobs
	Faults int    // on one path at most
	Kinds  string // of faults: b connections break, f shards are fenced, h they give, n nodes restart, w owners withdraw; "": all
	Depth  int    // steps on one path at most
	Plant  Plant
}

// Plant is a fault that must be found.
type Plant string

// Faults that can be planted.
const (
	None     Plant = ""
	Trust    Plant = "the ledger gives leave to any epoch"
	MovesOut Plant = "a fence moves what is out"
	Declines Plant = "a fence declines what may have run"
)

// Jobs are the job types by their effect.
var Jobs = []logic.JobClass{
	{Semantics: logic.Restartable, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 900, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 900, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
	{Semantics: logic.AtMostOnce, LatencyObjective: 300, PriorityWeight: 1, NodeKind: -1},
}

const (
	shards = 2
	nodes  = 2
	expiry = 900.0
	margin = 100.0
	start  = 1000.0
	owner  = 1
	token  = 77
)

// service is one that belongs to shard 1, which can leave.
var service = func() uint64 {
	for s := uint64(1); ; s++ {
		if shardplacement.New(shardplacement.ByService, []float64{1, 1}).TargetOf(s, 0) == 1 {
			return s
		}
	}
}()

var name = shardownership.ID{Tenant: 0, Token: token}

// msg is a line on its way between a shard and a node.
type msg struct {
	kind   byte // o offer, r recall, s stop, c claim; S started, E settled, C claimed
	ticket uint64
	try    uint8
	epoch  uint32
	until  float64
	ask    int
	out    int // outcome: 0 refused, 1 ended, 2 unknown; of a claim: 3 waits, 4 runs
}

// try is a try at a node.
type try struct {
	ticket uint64
	try    uint8
	shard  int
	runs   bool
	until  float64
	ask    int
}

type name2 struct {
	ticket uint64
	try    uint8
}

// play is one path through the world.
type play struct {
	w      World
	now    float64
	acts   *shardrouter.Router
	eng    [shards]*engine.Engine
	life   [shards]uint32
	lives  uint32
	up     [shards][nodes]bool
	to     [shards][nodes][]msg
	from   [shards][nodes][]msg
	at     [nodes][]try
	past   [nodes]map[name2]int // outcomes that a node remembers
	bars   [nodes]map[name2]bool
	epochs [nodes]uint32
	nlife  [nodes]uint64
	news   [shards]bool     // it was told something and has not gone on since
	old    []*engine.Engine // fenced ones that stood still and go on later
	faults int

	asks     int
	answer   [8]string // by ref
	answers  [8]int
	expiryOf [8]float64
	overs    int
	ran      int
	broken   string
}

func (p *play) fail(format string, args ...any) {
	if p.broken == "" {
		p.broken = fmt.Sprintf("at %.0f ms: ", p.now-start) + fmt.Sprintf(format, args...)
	}
}

// begin makes the world: both shards connected to both nodes, nothing asked yet.
func (w World) begin() *play {
	p := &play{w: w, now: start}
	p.acts = shardrouter.New(start, shardrouter.Config{
		JobClasses: Jobs, Shards: shards, MaxShards: shards, MaxOpen: 10, AnswerMargin: margin, RoundInterval: 1, FirstEpoch: 1,
		FaultAnyEpoch: w.Plant == Trust,
	})
	for n := range nodes {
		p.past[n], p.bars[n], p.nlife[n] = map[name2]int{}, map[name2]bool{}, 1
	}
	for s := range shards {
		p.shard(s)
	}
	return p
}

// shard begins a life of a shard.
func (p *play) shard(s int) {
	p.lives++
	p.life[s] = p.lives
	cl := &logic.Cluster{
		Schedulers: shards, Index: s, ListMaxSilence: 1e6, MinRoundInterval: 1, MaxAttempts: 4, CanCancel: true, KindCores: []float64{8},
		KindMemory: []float64{8}, CoresOvercommit: 1, MemoryOvercommit: 1, ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 100,
		SlowStartDuration: 10, SlowStartWindow: 10, MeanCores: 1, MeanMemory: 1, JobClasses: Jobs,
	}
	p.eng[s] = engine.New(edge{p, s, p.life[s]}, p.now, engine.Config{
		Cluster: cl, Shares: []float64{1}, MaxOpen: 10, AnswerMargin: margin,
		SettleTime: 300, Incarnation: p.lives, Seed: uint64(p.lives),
	})
	e := p.eng[s]
	e.BeginList(p.now, logic.ListCached)
	for n := range nodes {
		e.AddListNode(uint32(n+1), "n", logic.Ready, 0, 8, 8, 0, n, 0) // one zone, two cells
	}
	e.EndList()
	for n := range nodes {
		p.connect(s, n)
	}
	p.round(s)
}

// connect makes a connection: the node tells what it holds for the shard's scheduler.
func (p *play) connect(s, n int) {
	p.up[s][n], p.to[s][n], p.from[s][n] = true, nil, nil
	e := p.eng[s]
	e.OnConnected(p.now, uint32(n+1), p.nlife[n], 0)
	for _, t := range p.at[n] {
		if t.shard != s { // the other shard's connection carries it, unless that shard's life is over
			if uint32(t.ticket>>32) == p.life[t.shard] {
				continue
			}
		}
		if at, _ := p.acts.ShardOf(name, t.ticket, t.try, service, -1); at != s {
			continue
		}
		_ = e.OnHeld(p.now, uint32(n+1), t.ticket, t.try, t.runs, p.w.Job, 0, service, token, 1, 1)
	}
	e.OnHeldAll(p.now, uint32(n+1))
}

func (p *play) round(s int) {
	p.news[s] = false
	p.eng[s].Round(p.now)
}

// edge carries a shard's effects out.
type edge struct {
	p    *play
	s    int
	life uint32
}

func (d edge) dead() bool { return d.p.life[d.s] != d.life }

// send sends a line. A fenced shard's tries are held back by the ledger alone, as in the program.
func (d edge) send(nd uint32, m msg) {
	if n := int(nd) - 1; d.p.up[d.s][n] && (!d.dead() || m.kind == 'o') {
		d.p.to[d.s][n] = append(d.p.to[d.s][n], m)
	}
}

func (d edge) Dial(uint32, string)       {}
func (d edge) Disconnect(uint32, string) {}
func (d edge) Offer(nd uint32, ticket uint64, no uint8, epoch uint32, timeout float64, _, _ int, _, _ uint64, _, _ float64) {
	p := d.p
	for n := range nodes { // never two tries out: one that is held, on its way, or told of by a word on its way
		for _, t := range p.at[n] {
			if t.ask == p.asks && p.now < t.until {
				p.fail("try %x.%d sent while %x.%d is held by node %d", ticket, no, t.ticket, t.try, n+1)
			}
		}
		for s := range shards {
			for _, m := range p.to[s][n] {
				if m.kind == 'o' && m.ask == p.asks && p.now < m.until {
					p.fail("try %x.%d sent while %x.%d is on its way", ticket, no, m.ticket, m.try)
				}
			}
		}
	}
	d.send(nd, msg{kind: 'o', ticket: ticket, try: no, epoch: epoch, until: p.now + timeout, ask: p.asks})
}

func (d edge) Recall(nd uint32, ticket uint64, no uint8) {
	d.send(nd, msg{kind: 'r', ticket: ticket, try: no})
}

func (d edge) Stop(nd uint32, ticket uint64, no uint8) {
	d.send(nd, msg{kind: 's', ticket: ticket, try: no})
}

func (d edge) Claim(nd uint32, ticket uint64, no uint8) {
	d.send(nd, msg{kind: 'c', ticket: ticket, try: no})
}
func (d edge) Probe(uint32, uint64) {}
func (d edge) WatchList(bool)       {}
func (d edge) ReloadList()          {}
func (d edge) Log(string)           {}

func (d edge) PermitAttempt(_ int, _ uint64, epoch uint32, nd uint32, ticket uint64, no uint8) bool {
	return d.p.acts.PermitAttempt(name, d.s, epoch, shardownership.Attempt{Node: nd, Ticket: ticket, Number: no})
}

func (d edge) RecordOutcome(_ int, _ uint64, epoch uint32, never bool) {
	d.p.acts.CompleteAttempt(name, d.s, epoch, never)
}

func (d edge) RecoverTask(_ int, _ uint64, job int, service uint64, cores, memory float64, nd uint32, ticket uint64,
	no uint8,
) (epoch, who uint32, ref uint64, ok bool) {
	if d.dead() {
		return 0, 0, 0, false
	}
	return d.p.acts.Recover(name, d.s, shardownership.Request{JobClass: job, Service: service}, shardownership.Attempt{Node: nd, Ticket: ticket, Number: no})
}

func (d edge) SetClient(_ int, _ uint64, epoch uint32, who uint32, ref uint64) {
	d.p.acts.SetClient(name, d.s, epoch, who, ref)
}

func (d edge) ReleaseTask(_ int, _ uint64, service uint64, epoch uint32) {
	d.p.acts.Remove(name, d.s, service, epoch)
}

func (d edge) PermitAnswer(_ int, _ uint64, epoch uint32, served bool) bool {
	return d.p.acts.PermitAnswer(d.p.now, name, d.s, epoch, served)
}

func (d edge) ExpireRequest(uint32, uint64) {
	if !d.dead() {
		d.p.fail("an ask lapsed though nothing stood still")
	}
}

func (d edge) Answer(_ uint32, ref uint64, a engine.Answer, _ uint32, _ string, _ float64) {
	if !d.dead() {
		d.p.answered(ref, a)
	}
}

func (d edge) NotifyEnd(uint32, uint64, logic.Outcome, logic.Reason) {
	if !d.dead() {
		d.p.overs++
	}
}

// answered takes the final answer to an ask.
func (p *play) answered(ref uint64, a engine.Answer) {
	p.answers[ref]++
	p.answer[ref] = a.String()
	switch {
	case p.answers[ref] > 1:
		p.fail("ask %d answered twice", ref)
	case p.now > p.expiryOf[ref]:
		p.fail("ask %d answered after its expiry", ref)
	case a == engine.Declined && p.ran > 0 && Jobs[p.w.Job].Semantics == logic.AtMostOnce && ref == 1 && p.overs == 0:
		p.fail("run-once ask declined though it ran")
	}
}

// fence ends a shard's life as the server does, and begins the next.
func (p *play) fence(s int) {
	fates := p.acts.Fence(p.now, s)
	p.old = append(p.old, p.eng[s])
	p.life[s], p.news[s] = 0, false
	for n := range nodes { // shared connections: they stand, what is on its way to nodes still arrives
		p.from[s][n] = nil
	}
	for _, f := range fates {
		a := f.Entry.Request
		if p.w.Plant == MovesOut && f.Disposition != shardownership.Reassign && f.Disposition != shardownership.Continue {
			if to, epoch, why := p.acts.Route(p.now, name, a, 0, calm); why == "" {
				f.Disposition, f.Shard, f.Epoch = shardownership.Reassign, to, epoch
			}
		}
		if p.w.Plant == Declines && f.Disposition == shardownership.Fail {
			f.Disposition = shardownership.Shed
		}
		switch f.Disposition {
		case shardownership.Reassign:
			_ = p.eng[f.Shard].Allocate(p.now, owner, a.Ref, p.w.Job, 0, service, token, 1, 1, a.Deadline-p.now, f.Epoch)
			p.news[f.Shard] = true
		case shardownership.Shed:
			p.answered(a.Ref, engine.Declined)
		case shardownership.Fail:
			p.answered(a.Ref, engine.Failed)
		}
	}
	to := p.to[s]
	p.shard(s)
	p.acts.OnShardStarted(s, p.life[s])
	for n := range nodes {
		p.to[s][n] = append(to[n], p.to[s][n]...)
	}
}

// hand gives the allocation from one shard to the other, as when it leaves.
func (p *play) hand(s int) {
	to, e := 1-s, p.eng[s]
	parts := e.CountByService(nil, true, func(uint64, int) bool { return true })
	var g handover.Planner
	if give, _ := g.Next(p.now, parts); len(give) == 0 {
		return
	}
	var all []engine.Transfer
	e.TransferOut(p.now, service, true, func(g engine.Transfer) { all = append(all, g) })
	_, _, _ = p.acts.Resize(p.now, 1) // it is to leave, and called back after
	defer func() { _, _, _ = p.acts.Resize(p.now, shards) }()
	var items []shardrouter.HandoverItem
	for _, g := range all {
		items = append(items, shardrouter.HandoverItem{ID: name, Epoch: g.Epoch, Running: g.Running, Request: shardownership.Request{
			Client: g.Client, Ref: g.RequestID, JobClass: g.JobClass,
			Service: service, Deadline: g.Deadline,
		}})
	}
	for i, f := range p.acts.HandOver(p.now, s, items) {
		g := all[i]
		if f.Disposition != shardownership.Reassign {
			p.fail("the desk does not let go what the engine gave: %+v", f)
			return
		}
		to, g.Epoch = f.Shard, f.Epoch
		if !g.Running {
			_ = p.eng[to].Allocate(p.now, g.Client, g.RequestID, g.JobClass, g.Tenant, g.Service, g.Token, g.Cores, g.Memory, g.Deadline-p.now, g.Epoch)
			continue
		}
		if !p.eng[to].TransferIn(p.now, g) {
			p.fail("what runs was not taken over")
		}
		n := int(g.Node) - 1
		for i := range p.at[n] { // its words go to the other shard from now on
			if t := &p.at[n][i]; t.ticket == g.Ticket && t.try == g.Attempt {
				t.shard = to
			}
		}
		rest := p.from[s][n][:0]
		for _, m := range p.from[s][n] {
			if m.ticket == g.Ticket && m.try == g.Attempt {
				p.from[to][n] = append(p.from[to][n], m)
			} else {
				rest = append(rest, m)
			}
		}
		p.from[s][n] = rest
	}
	p.news[to] = true
}

// calm tells of a shard that it is not behind.
func calm(int) (stuck float64, ahead int) { return 0, 0 }

// print is what the state looks like.
func (p *play) print() uint64 {
	b := make([]byte, 0, 512)
	for s := range shards {
		b = append(p.eng[s].AppendState(b), b2(p.news[s]))
		for n := range nodes {
			b = append(b, byte(n), b2(p.up[s][n]))
			for _, q := range [][]msg{p.to[s][n], p.from[s][n]} {
				b = append(b, '|')
				for _, m := range q {
					b = append(b, m.kind, m.try, byte(m.out))
					b = binary.LittleEndian.AppendUint64(b, m.ticket)
					b = binary.LittleEndian.AppendUint64(b, math.Float64bits(max(-1, m.until-p.now)))
				}
			}
		}
	}
	for n := range nodes {
		b = append(b, byte(p.nlife[n]), byte(p.epochs[n]), byte(len(p.past[n])), byte(len(p.bars[n])))
		for _, t := range p.at[n] {
			b = append(b, t.try, byte(t.shard), b2(t.runs))
			b = binary.LittleEndian.AppendUint64(b, t.ticket)
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(max(-1, t.until-p.now)))
		}
	}
	for _, e := range p.old {
		b = e.AppendState(b)
	}
	home, _ := p.acts.ShardOf(name, 0, 255, service, -1)
	b = append(b, byte(home), byte(p.acts.Open()), byte(p.acts.Epoch()))
	b = append(b, byte(p.faults), byte(p.asks), byte(p.ran), byte(p.overs))
	for i := range p.answers {
		b = append(b, byte(p.answers[i]))
		b = append(b, p.answer[i]...)
	}
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(p.now))
	return xxhash.Sum64(b)
}

func b2(v bool) byte {
	if v {
		return 1
	}
	return 0
}
