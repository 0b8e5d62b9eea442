package logic

import (
	"fmt"
	"strings"
	"testing"
)

// recorder implements Effects: it keeps one line for each call.
type recorder struct{ lines []string }

func (b *recorder) record(f string, args ...any) { b.lines = append(b.lines, fmt.Sprintf(f, args...)) }

func (b *recorder) StartAttempt(alloc, node uint32, _ float64) {
	b.record("attempt %d %d", alloc, node)
}
func (b *recorder) Shed(alloc uint32, _ float64)       { b.record("shed %d", alloc) }
func (b *recorder) Fail(alloc uint32)                  { b.record("fail %d", alloc) }
func (b *recorder) Cancel(alloc uint32, attempt uint8) { b.record("cancel %d %d", alloc, attempt) }
func (b *recorder) Migrate(alloc uint32)               { b.record("migrate %d", alloc) }
func (b *recorder) Probe(node uint32)                  { b.record("probe %d", node) }
func (b *recorder) WatchList(active bool)              { b.record("watch") }
func (b *recorder) ReloadList()                        { b.record("reload") }
func (b *recorder) SetTimer(float64, uint64)           {}
func (b *recorder) Log(line string)                    { b.record("log %s", line) }

// count is the number of lines with a prefix.
func (b *recorder) count(prefix string) int {
	n := 0
	for _, l := range b.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// lastNode is the node of the last attempt, or 0.
func (b *recorder) lastNode() uint32 {
	var alloc, node uint32
	for _, l := range b.lines {
		_, _ = fmt.Sscanf(l, "attempt %d %d", &alloc, &node)
	}
	return node
}

const testStart = 1e6 // when a test begins, ms

// testCluster is a deployment of three job classes, one of each retry semantics, on nodes of two kinds.
func testCluster() *Cluster {
	return &Cluster{
		Schedulers: 2, ListMaxSilence: 10000, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true,
		CanProbe: true, ReportsPiggybacked: true, KindCores: []float64{40, 64}, KindMemory: []float64{80, 128}, CoresOvercommit: 2,
		MemoryOvercommit: 1.5, ListsReportLoad: true, ReportFields: []string{"x0", "x1"}, SlowStartLimit: 8, SlowStartDuration: 10000,
		SlowStartWindow: 2000, MeanCores: 1, MeanMemory: 2, JobClasses: []JobClass{
			{Semantics: Restartable, LatencyObjective: 700, PriorityWeight: 1, NodeKind: -1},
			{Semantics: Idempotent, IdempotencyScope: ScopeZone, IdempotencyWindow: 3000, LatencyObjective: 700, PriorityWeight: 5, NodeKind: -1},
			{Semantics: AtMostOnce, LatencyObjective: 4000, PriorityWeight: 3, NodeKind: -1},
		},
	}
}

// harness is a scheduler with a record of its effects. Node ids begin at 10; a cell has two nodes, a zone two cells.
type harness struct {
	t         *testing.T
	effects   *recorder
	scheduler *Scheduler
	now       float64
}

func newHarness(t *testing.T, cl *Cluster, nodes int) *harness {
	t.Helper()
	x := &harness{t: t, effects: &recorder{}, now: testStart}
	x.scheduler = New(x.effects, testStart, 7, cl)
	x.scheduler.OnListBegin(testStart, ListCached)
	for i := range nodes {
		x.listNode(uint32(10+i), Ready, 0)
	}
	x.scheduler.OnListEnd(testStart)
	for i := range x.scheduler.nodes.all {
		x.scheduler.nodes.all[i].health.lastAnswerAt = testStart
	}
	return x
}

func (x *harness) listNode(id uint32, availability Availability, startedAt float64) {
	i := int(id - 10)
	x.scheduler.OnListNode(x.now, ListEntry{
		Node: id, Availability: availability, StartedAt: startedAt, FreeCores: 40, FreeMemory: 80,
		Zone: i / 4, Cell: i / 2,
	})
}

// updateNode delivers a change of one node.
func (x *harness) updateNode(id uint32, availability Availability, startedAt float64) {
	x.scheduler.OnListBegin(x.now, ListChanges)
	x.listNode(id, availability, startedAt)
	x.scheduler.OnListEnd(x.now)
}

// request asks for an allocation of 1 core and 2 memory with a deadline in 5 s.
func (x *harness) request(id uint32, class int, service uint64) {
	x.scheduler.OnRequest(x.now, Request{Allocation: id, Class: class, Deadline: x.now + 5000, Service: service, Cores: 1, Memory: 2})
	x.scheduler.Decide(x.now)
}

// complete delivers the outcome of the last attempt of an allocation.
func (x *harness) complete(id uint32, attempt uint8, outcome Outcome, reason Reason) {
	x.scheduler.OnOutcome(x.now, AttemptResult{
		Allocation: id, Node: x.effects.lastNode(), Attempt: attempt, Duration: 100,
		Reason: reason, Outcome: outcome,
	})
	x.scheduler.Decide(x.now)
}

// advance lets time pass and the timers fire.
func (x *harness) advance(ms float64) {
	for end := x.now + ms; x.now < end; {
		x.now = min(x.now+tickInterval, end)
		x.scheduler.OnTimer(x.now, timerTick)
		x.scheduler.OnTimer(x.now, timerScan)
		x.scheduler.Decide(x.now)
	}
}

// expect checks how many lines have a prefix.
func (x *harness) expect(prefix string, n int) {
	x.t.Helper()
	if got := x.effects.count(prefix); got != n {
		x.t.Errorf("%q: %d times, want %d, in %q", prefix, got, n, x.effects.lines)
	}
}
