package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// panickingHarness is a harness that panics on demand in an effect that the module calls, as a faulty module would.
type panickingHarness struct {
	*harness
	panics   bool
	logLines []string
}

func (m *panickingHarness) RequestPlacement(id uint32, attempt uint8, node uint32, left float64) {
	if m.panics {
		m.panics = false
		var none []int
		_ = none[attempt]
	}
	m.harness.RequestPlacement(id, attempt, node, left)
}

func (m *panickingHarness) LogLine(line string) { m.logLines = append(m.logLines, line) }

// countLog returns how many log lines begin with a prefix.
func (m *panickingHarness) countLog(prefix string) (n int) {
	for _, l := range m.logLines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

func newPanickingHarness(t *testing.T, nodes int) *panickingHarness {
	t.Helper()
	m := &panickingHarness{harness: newHarness(t, nodes)}
	m.host.effects = m
	return m
}

// TestModulePanics has the module panic while one task runs, a request of each job class has an attempt in flight, and another request is being
// offered: each open request gets one answer at once, shed or failed as its attempts require, and no attempt is made before a new module has
// started.
func TestModulePanics(t *testing.T) {
	m := newPanickingHarness(t, 4)
	running := m.request(idempotent)
	m.advance(10)
	if !m.host.OnStarted(m.now, running, m.lastAttempt.number) {
		t.Fatal("the start of the first task was not accepted")
	}
	node := m.lastAttempt.node
	var attempted [3]uint32
	for class := range attempted {
		attempted[class] = m.host.Allocate(m.now, logic.Request{Class: class, Deadline: m.now + 2500, Service: uint64(20 + class), Cores: 1, Memory: 2})
		m.advance(10)
	}
	m.takeEffects()
	m.panics = true
	fresh := m.request(atMostOnce)
	m.advance(100)
	got := m.takeEffects()
	for id, want := range map[uint32]string{attempted[restartable]: "shed", attempted[idempotent]: "failed", attempted[atMostOnce]: "failed"} {
		if strings.Count(got, fmt.Sprintf("answer %d ", id)) != 1 || !strings.Contains(got, fmt.Sprintf("answer %d %s", id, want)) ||
			!strings.Contains(got, fmt.Sprintf("cancel %d.0", id)) {
			t.Errorf("allocation %d: want its attempt cancelled and one answer %s, got effects %q", id, want, got)
		}
	}
	if !strings.Contains(got, fmt.Sprintf("answer %d failed", fresh)) || strings.Contains(got, "offer") {
		t.Errorf("want the request during which the module panicked failed and none offered, got effects %q", got)
	}
	late := m.request(atMostOnce)
	m.advance(20)
	if got := m.takeEffects(); got != fmt.Sprintf("answer %d shed, forget %d", late, late) {
		t.Errorf("request while there is no module: effects %q, want it shed and dropped", got)
	}
	m.advance(400)
	if m.countLog("module: fenced") != 1 || m.countLog("module: restarted as instance 2 with 4 nodes and 1 running tasks") != 1 {
		t.Errorf("want one line for the panic and one for the restart, got %q", m.logLines)
	}
	m.takeEffects()
	for range 8 { // the idempotent class allows one task of a service per node, and one runs
		m.request(idempotent)
		m.advance(10)
		if m.lastAttempt.node == node {
			t.Error("offered to a node on which a task of the same service runs")
		}
	}
	m.takeEffects()
	m.host.OnOutcome(m.now, running, 0, logic.Completed, logic.ReasonUnknown, []float64{30, 60})
	if got := m.takeEffects(); got != fmt.Sprintf("end %d 0, forget %d", running, running) {
		t.Errorf("end of the task that ran before the panic: effects %q, want a notification and the allocation dropped", got)
	}
}

// TestRestartKeepsAttempts checks that a task started by a second attempt ends correctly under a new module, which counts that attempt as the
// first.
func TestRestartKeepsAttempts(t *testing.T) {
	m := newPanickingHarness(t, 4)
	id := m.request(restartable)
	m.advance(10)
	m.complete(id, logic.Rejected, logic.InsufficientCores)
	if m.lastAttempt.number != 1 || !m.host.OnStarted(m.now, id, 1) {
		t.Fatal("the second attempt was not made or its start not accepted")
	}
	m.panics = true
	m.request(restartable)
	m.advance(1000)
	m.takeEffects()
	m.host.OnOutcome(m.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	m.advance(50)
	if got := m.takeEffects(); got != fmt.Sprintf("end %d 0, forget %d", id, id) || m.host.RunningTasks() != 0 {
		t.Errorf("effects %q, %d running tasks, want a notification of the end and none running", got, m.host.RunningTasks())
	}
}

// TestRepeatedPanics has each new module panic: the delay before the restart grows each time, and every request is still answered.
func TestRepeatedPanics(t *testing.T) {
	m := newPanickingHarness(t, 4)
	requests := 0
	for range 200 {
		m.panics = true
		m.request(atMostOnce)
		requests++
		m.advance(100)
	}
	m.advance(50)
	if n := m.countLog("module: fenced"); n < 4 || n > 8 {
		t.Errorf("the module panicked %d times in 20 s, want 4 to 8", n)
	}
	if got := m.takeEffects(); strings.Count(got, "answer") != requests || m.host.OpenRequests() != 0 {
		t.Errorf("%d requests, %d answers, %d open, want each answered once", requests, strings.Count(got, "answer"), m.host.OpenRequests())
	}
}

// TestRestartReplaysList checks what a new module knows of the node list: a draining node gets nothing, and a node that was observed to start is
// in slow start.
func TestRestartReplaysList(t *testing.T) {
	m := newPanickingHarness(t, 2)
	m.host.ListBegin(m.now, logic.ListChanges)
	m.host.ListNode(logic.ListEntry{Node: 100, Availability: logic.Draining, FreeCores: 32, FreeMemory: 64})
	m.host.ListNode(logic.ListEntry{Node: 101, Availability: logic.Unavailable, FreeCores: 32, FreeMemory: 64})
	m.host.ListNode(logic.ListEntry{Node: 102, Availability: logic.Ready, FreeCores: 32, FreeMemory: 64})
	m.host.ListEnd()
	m.advance(3000)
	m.panics = true
	m.request(restartable)
	m.advance(1000)
	if m.countLog("module: restarted as instance") != 1 {
		t.Fatalf("want one line for the restart, got %q", m.logLines)
	}
	m.takeEffects()
	offers := 0
	for range 60 {
		m.request(restartable)
		m.advance(15)
		if got := m.takeEffects(); strings.Contains(got, "offer") {
			offers++
			if m.lastAttempt.node != 102 {
				t.Fatalf("offered to node %d, want 102, the only ready one", m.lastAttempt.node)
			}
		}
	}
	if offers > 20 {
		t.Errorf("%d offers within 1 s to a node that started 4 s ago, want at most its slow-start limit of 20", offers)
	}
}

// TestDiagnosticsPanic has reads of the module for the log panic: they are switched off, and the allocation is not affected by it.
func TestDiagnosticsPanic(t *testing.T) {
	m := newPanickingHarness(t, 2)
	module := m.host.module
	id := m.request(restartable)
	m.advance(10)
	m.host.module = nil // any read of it panics
	m.host.NodeEstimate(100)
	m.host.NodeEstimate(100)
	m.host.recordEstimateError(100, []float64{1, 1})
	m.host.module = module
	if _, ok := m.host.NodeEstimate(100); ok || m.countLog("words: beliefs switched off: panic") != 1 || m.countLog("words: mistakes") != 1 {
		t.Errorf("want each diagnostic switched off with one line, got %q", m.logLines)
	}
	if !m.host.OnStarted(m.now, id, 0) || m.countLog("module") != 0 {
		t.Error("the start was not accepted, or the module was affected")
	}
}
