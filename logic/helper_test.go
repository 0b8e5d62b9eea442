package logic

import (
	"fmt"
	"strings"
	"testing"
)

// book is a host that writes down what the module asks for.
type book struct{ lines []string }

func (b *book) add(f string, args ...any) { b.lines = append(b.lines, fmt.Sprintf(f, args...)) }

func (b *book) StartAttempt(alloc, node uint32, _ float64) { b.add("offer %d %d", alloc, node) }
func (b *book) Shed(alloc uint32, _ float64)               { b.add("decline %d", alloc) }
func (b *book) Fail(alloc uint32)                          { b.add("fail %d", alloc) }
func (b *book) Cancel(alloc uint32, try uint8)             { b.add("recall %d %d", alloc, try) }
func (b *book) Migrate(alloc uint32)                       { b.add("move %d", alloc) }
func (b *book) Probe(node uint32)                          { b.add("probe %d", node) }
func (b *book) WatchList(active bool)                      { b.add("follow") }
func (b *book) ReloadList()                                { b.add("reload") }
func (b *book) SetTimer(float64, uint64)                   {}
func (b *book) Log(line string)                            { b.add("log %s", line) }

// count is the number of lines that begin so.
func (b *book) count(prefix string) int {
	n := 0
	for _, l := range b.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// last is the node of the last offer, or 0.
func (b *book) last() uint32 {
	var alloc, node uint32
	for _, l := range b.lines {
		_, _ = fmt.Sscanf(l, "offer %d %d", &alloc, &node)
	}
	return node
}

const t0 = 1e6 // the start of a test's clock, ms

// cluster is a deployment of three job types, one of each effect, on machines of one kind.
func cluster() *Cluster {
	return &Cluster{Schedulers: 2, ListMaxSilence: 10000, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true,
		CanProbe: true, ReportsPiggybacked: true, KindCores: []float64{40, 64}, KindMemory: []float64{80, 128}, CoresOvercommit: 2,
		MemoryOvercommit: 1.5, ListsReportLoad: true, ReportFields: []string{"x0", "x1"}, SlowStartLimit: 8, SlowStartDuration: 10000,
		SlowStartWindow: 2000, MeanCores: 1, MeanMemory: 2, JobClasses: []JobClass{
			{Semantics: Restartable, LatencyObjective: 700, PriorityWeight: 1, NodeKind: -1},
			{Semantics: Idempotent, IdempotencyScope: ScopeZone, IdempotencyWindow: 3000, LatencyObjective: 700, PriorityWeight: 5, NodeKind: -1},
			{Semantics: AtMostOnce, LatencyObjective: 4000, PriorityWeight: 3, NodeKind: -1},
		}}
}

// bench is a scheduler at work with its book; nodes are numbered from 10, two to a cell, two cells to a zone.
type bench struct {
	t   *testing.T
	b   *book
	s   *Scheduler
	now float64
}

func start(t *testing.T, cl *Cluster, nodes int) *bench {
	x := &bench{t: t, b: &book{}, now: t0}
	x.s = New(x.b, t0, 7, cl)
	x.s.OnListBegin(t0, ListCached)
	for i := range nodes {
		x.node(uint32(10+i), Ready, 0)
	}
	x.s.OnListEnd(t0)
	for i := range x.s.nodes {
		x.s.nodes[i].heard = t0
	}
	return x
}

func (x *bench) node(id uint32, avail Availability, since float64) {
	i := int(id - 10)
	x.s.OnListNode(x.now, id, avail, since, 40, 80, i/4, i/2, 0)
}

// change tells of one node's new state.
func (x *bench) change(id uint32, avail Availability, since float64) {
	x.s.OnListBegin(x.now, ListChanges)
	x.node(id, avail, since)
	x.s.OnListEnd(x.now)
}

// ask hands in an allocation of 1 core and 2 memory with 5 s to go.
func (x *bench) ask(id uint32, jobType int, service uint64) {
	x.s.OnRequest(x.now, id, jobType, 0, x.now+5000, service, 1, 2)
	x.s.Decide(x.now)
}

// settle reports an outcome of the last offer of an allocation.
func (x *bench) settle(id uint32, try uint8, v Outcome, why Reason) {
	x.s.OnOutcome(x.now, id, x.b.last(), try, 100, false, why, v, nil)
	x.s.Decide(x.now)
}

// pass lets time go by, with the module's housekeeping.
func (x *bench) pass(ms float64) {
	for end := x.now + ms; x.now < end; {
		x.now = min(x.now+tickEvery, end)
		x.s.OnTimer(x.now, keyTick)
		x.s.OnTimer(x.now, keyScan)
		x.s.Decide(x.now)
	}
}

func (x *bench) expect(prefix string, n int) {
	x.t.Helper()
	if got := x.b.count(prefix); got != n {
		x.t.Errorf("%q: %d times, want %d, in %q", prefix, got, n, x.b.lines)
	}
}
