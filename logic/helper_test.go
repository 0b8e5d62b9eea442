package logic

import (
	"fmt"
	"strings"
	"testing"
)

// recorder implements Effects and records one line for each call, except for timers.
type recorder struct{ lines []string }

func (r *recorder) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) StartAttempt(alloc, node uint32, _ float64) {
	r.record("attempt %d %d", alloc, node)
}
func (r *recorder) Shed(alloc uint32, _ float64)       { r.record("shed %d", alloc) }
func (r *recorder) Fail(alloc uint32)                  { r.record("fail %d", alloc) }
func (r *recorder) Cancel(alloc uint32, attempt uint8) { r.record("cancel %d %d", alloc, attempt) }
func (r *recorder) Migrate(alloc uint32)               { r.record("migrate %d", alloc) }
func (r *recorder) Probe(node uint32)                  { r.record("probe %d", node) }
func (r *recorder) WatchList(active bool)              { r.record("watch") }
func (r *recorder) ReloadList()                        { r.record("reload") }
func (r *recorder) SetTimer(float64, uint64)           {}
func (r *recorder) Log(line string)                    { r.record("log %s", line) }

// count returns the number of recorded lines with a prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, l := range r.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// lastNode returns the node of the last attempt, or 0 if there was none.
func (r *recorder) lastNode() uint32 {
	var alloc, node uint32
	for _, l := range r.lines {
		_, _ = fmt.Sscanf(l, "attempt %d %d", &alloc, &node)
	}
	return node
}

const testStart = 1e6 // time at which each test starts, ms

// testCluster returns a deployment with three job classes, one for each retry semantics, and two node kinds.
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

// harness is a scheduler whose effects are recorded. Node ids start at 10; a cell has two nodes and a zone two cells.
type harness struct {
	t         *testing.T
	effects   *recorder
	scheduler *Scheduler
	now       float64
}

// newHarness starts a scheduler that has received a cached list with a number of ready nodes, all of which have answered before.
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

// listNode delivers one list entry of an empty node.
func (x *harness) listNode(id uint32, availability Availability, startedAt float64) {
	i := int(id - 10)
	x.scheduler.OnListNode(x.now, ListEntry{
		Node: id, Availability: availability, StartedAt: startedAt, FreeCores: 40, FreeMemory: 80,
		Zone: i / 4, Cell: i / 2,
	})
}

// updateNode delivers a list message with a change of one node.
func (x *harness) updateNode(id uint32, availability Availability, startedAt float64) {
	x.scheduler.OnListBegin(x.now, ListChanges)
	x.listNode(id, availability, startedAt)
	x.scheduler.OnListEnd(x.now)
}

// request delivers a request for an allocation of 1 core and 2 units of memory with a deadline in 5 s.
func (x *harness) request(id uint32, class int, service uint64) {
	x.scheduler.OnRequest(x.now, Request{Allocation: id, Class: class, Deadline: x.now + 5000, Service: service, Cores: 1, Memory: 2})
	x.scheduler.Decide(x.now)
}

// complete delivers the outcome of an attempt of an allocation at the node of the last attempt.
func (x *harness) complete(id uint32, attempt uint8, outcome Outcome, reason Reason) {
	x.scheduler.OnOutcome(x.now, AttemptResult{
		Allocation: id, Node: x.effects.lastNode(), Attempt: attempt, Duration: 100,
		Reason: reason, Outcome: outcome,
	})
	x.scheduler.Decide(x.now)
}

// advance moves time forward and fires the timers.
func (x *harness) advance(ms float64) {
	for end := x.now + ms; x.now < end; {
		x.now = min(x.now+tickInterval, end)
		x.scheduler.OnTimer(x.now, timerTick)
		x.scheduler.OnTimer(x.now, timerScan)
		x.scheduler.Decide(x.now)
	}
}

// expect checks the number of recorded effects with a prefix.
func (x *harness) expect(prefix string, n int) {
	x.t.Helper()
	if got := x.effects.count(prefix); got != n {
		x.t.Errorf("effects with prefix %q: got %d, want %d; all effects: %q", prefix, got, n, x.effects.lines)
	}
}
