package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// panickingHarness is a script whose effects panic under the module on demand, as a module with a fault would.
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

// TestModulePanics has the module panic with a running task, one request of each job class attempted, and more behind them: each request gets one
// answer at once, shed or failed as its attempts require, and no attempt is made before a new module has started.
func TestModulePanics(t *testing.T) {
	m := newPanickingHarness(t, 4)
	stood := m.request(idempotent)
	m.advance(10)
	if !m.host.OnStarted(m.now, stood, m.lastAttempt.number) {
		t.Fatal("the first does not start")
	}
	at := m.lastAttempt.node
	var tried [3]uint32
	for job := range tried {
		tried[job] = m.host.Allocate(m.now, logic.Request{Class: job, Deadline: m.now + 2500, Service: uint64(20 + job), Cores: 1, Memory: 2})
		m.advance(10)
	}
	m.takeEffects()
	m.panics = true
	fresh := m.request(atMostOnce)
	m.advance(100)
	got := m.takeEffects()
	for id, want := range map[uint32]string{tried[restartable]: "declined", tried[idempotent]: "failed", tried[atMostOnce]: "failed"} {
		if strings.Count(got, fmt.Sprintf("answer %d ", id)) != 1 || !strings.Contains(got, fmt.Sprintf("answer %d %s", id, want)) ||
			!strings.Contains(got, fmt.Sprintf("give up %d.0", id)) {
			t.Errorf("%d: want it given up and %s, in %q", id, want, got)
		}
	}
	if !strings.Contains(got, fmt.Sprintf("answer %d failed", fresh)) || strings.Contains(got, "offer") {
		t.Errorf("the one under which it fell may have left: %q", got)
	}
	late := m.request(atMostOnce)
	m.advance(20)
	if got := m.takeEffects(); got != fmt.Sprintf("answer %d declined, forget %d", late, late) {
		t.Errorf("asked while it rests: %q", got)
	}
	m.advance(400)
	if m.countLog("module: fenced") != 1 || m.countLog("module: begun anew, life 2, 4 nodes, 1 stand") != 1 {
		t.Errorf("%q", m.logLines)
	}
	m.takeEffects()
	for range 8 { // the idempotent class is spread one a node, and one runs
		m.request(idempotent)
		m.advance(10)
		if m.lastAttempt.node == at {
			t.Error("offered to a node where one of its service stands")
		}
	}
	m.takeEffects()
	m.host.OnOutcome(m.now, stood, 0, logic.Completed, logic.ReasonUnknown, []float64{30, 60})
	if got := m.takeEffects(); got != fmt.Sprintf("over %d 0, forget %d", stood, stood) {
		t.Errorf("the end of what stood before: %q", got)
	}
}

// TestRestartKeepsAttempts has a task of a second attempt end under a new module, which knows it as its first.
func TestRestartKeepsAttempts(t *testing.T) {
	m := newPanickingHarness(t, 4)
	id := m.request(restartable)
	m.advance(10)
	m.complete(id, logic.Rejected, logic.InsufficientCores)
	if m.lastAttempt.number != 1 || !m.host.OnStarted(m.now, id, 1) {
		t.Fatal("no second try")
	}
	m.panics = true
	m.request(restartable)
	m.advance(1000)
	m.takeEffects()
	m.host.OnOutcome(m.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	m.advance(50)
	if got := m.takeEffects(); got != fmt.Sprintf("over %d 0, forget %d", id, id) || m.host.RunningTasks() != 0 {
		t.Errorf("%q, %d stand", got, m.host.RunningTasks())
	}
}

// TestRepeatedPanics has each new module panic: the pause grows each time, and every request is answered all the same.
func TestRepeatedPanics(t *testing.T) {
	m := newPanickingHarness(t, 4)
	asks := 0
	for range 200 {
		m.panics = true
		m.request(atMostOnce)
		asks++
		m.advance(100)
	}
	m.advance(50)
	if n := m.countLog("module: fenced"); n < 4 || n > 8 {
		t.Errorf("fell %d times in 20 s", n)
	}
	if got := m.takeEffects(); strings.Count(got, "answer") != asks || m.host.OpenRequests() != 0 {
		t.Errorf("%d asks, %d answers, %d open", asks, strings.Count(got, "answer"), m.host.OpenRequests())
	}
}

// TestRestartReplaysList checks what a new module knows of the list: a draining node gets nothing, and a node that was seen starting is in slow start.
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
	if m.countLog("module: begun anew") != 1 {
		t.Fatalf("%q", m.logLines)
	}
	m.takeEffects()
	offers := 0
	for range 60 {
		m.request(restartable)
		m.advance(15)
		if got := m.takeEffects(); strings.Contains(got, "offer") {
			offers++
			if m.lastAttempt.node != 102 {
				t.Fatalf("offered to node %d", m.lastAttempt.node)
			}
		}
	}
	if offers > 20 {
		t.Errorf("%d offers within a second to a node that came up 4 s ago and bears 20", offers)
	}
}

// TestDiagnosticsPanic has reads of the module for the log panic: they are switched off, and the allocation is not affected.
func TestDiagnosticsPanic(t *testing.T) {
	m := newPanickingHarness(t, 2)
	mod := m.host.module
	id := m.request(restartable)
	m.advance(10)
	m.host.module = nil // any read of it panics
	m.host.Belief(100)
	m.host.Belief(100)
	m.host.recordBeliefError(100, []float64{1, 1})
	m.host.module = mod
	if _, ok := m.host.Belief(100); ok || m.countLog("words: beliefs switched off: panic") != 1 || m.countLog("words: mistakes") != 1 {
		t.Errorf("%q", m.logLines)
	}
	if !m.host.OnStarted(m.now, id, 0) || m.countLog("module") != 0 {
		t.Error("it no longer serves")
	}
}
