package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// mine is a script whose edge panics under the module when it is told to, as a module would that meets what nobody
// thought of.
type mine struct {
	*script
	blows bool
	modes []string
}

func (m *mine) RequestPlacement(id uint32, try uint8, node uint32, left float64) {
	if m.blows {
		m.blows = false
		var none []int
		_ = none[try]
	}
	m.script.RequestPlacement(id, try, node, left)
}

func (m *mine) LogLine(line string) { m.modes = append(m.modes, line) }

// told is how often a mode was told that begins so.
func (m *mine) told(prefix string) (n int) {
	for _, l := range m.modes {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

func mined(t *testing.T, nodes int) *mine {
	m := &mine{script: begin(t, nodes)}
	m.h.effects = m
	return m
}

// TestFenced has the module panic with an allocation that stands, one of each job type tried, and more behind them:
// each gets one answer at once, harmless or not as its tries say, and nothing is offered before a new module has begun.
func TestFenced(t *testing.T) {
	m := mined(t, 4)
	stood := m.ask(tokened)
	m.pass(10)
	if !m.h.OnStarted(m.now, stood, m.offer.try) {
		t.Fatal("the first does not start")
	}
	at := m.offer.node
	var tried [3]uint32
	for job := range tried {
		tried[job] = m.h.Allocate(m.now, job, 0, m.now+2500, uint64(20+job), 1, 2)
		m.pass(10)
	}
	m.look()
	m.blows = true
	fresh := m.ask(runOnce)
	m.pass(100)
	got := m.look()
	for id, want := range map[uint32]string{tried[restartable]: "declined", tried[tokened]: "failed", tried[runOnce]: "failed"} {
		if strings.Count(got, fmt.Sprintf("answer %d ", id)) != 1 || !strings.Contains(got, fmt.Sprintf("answer %d %s", id, want)) ||
			!strings.Contains(got, fmt.Sprintf("give up %d.0", id)) {
			t.Errorf("%d: want it given up and %s, in %q", id, want, got)
		}
	}
	if !strings.Contains(got, fmt.Sprintf("answer %d failed", fresh)) || strings.Contains(got, "offer") {
		t.Errorf("the one under which it fell may have left: %q", got)
	}
	late := m.ask(runOnce)
	m.pass(20)
	if got := m.look(); got != fmt.Sprintf("answer %d declined, forget %d", late, late) {
		t.Errorf("asked while it rests: %q", got)
	}
	m.pass(400)
	if m.told("module: fenced") != 1 || m.told("module: begun anew, life 2, 4 nodes, 1 stand") != 1 {
		t.Errorf("%q", m.modes)
	}
	m.look()
	for range 8 { // spread of the tokened type: one a node, and one stands
		m.ask(tokened)
		m.pass(10)
		if m.offer.node == at {
			t.Error("offered to a node where one of its service stands")
		}
	}
	m.look()
	m.h.OnOutcome(m.now, stood, 0, logic.Completed, logic.ReasonUnknown, []float64{30, 60})
	if got := m.look(); got != fmt.Sprintf("over %d 0, forget %d", stood, stood) {
		t.Errorf("the end of what stood before: %q", got)
	}
}

// TestFencedTries has what stands by a second try end under a new module, which knows it as its first.
func TestFencedTries(t *testing.T) {
	m := mined(t, 4)
	id := m.ask(restartable)
	m.pass(10)
	m.settle(id, logic.Rejected, logic.InsufficientCores)
	if m.offer.try != 1 || !m.h.OnStarted(m.now, id, 1) {
		t.Fatal("no second try")
	}
	m.blows = true
	m.ask(restartable)
	m.pass(1000)
	m.look()
	m.h.OnOutcome(m.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	m.pass(50)
	if got := m.look(); got != fmt.Sprintf("over %d 0, forget %d", id, id) || m.h.RunningTasks() != 0 {
		t.Errorf("%q, %d stand", got, m.h.RunningTasks())
	}
}

// TestFencedAgain has each new module fall: it rests longer each time, and every ask is answered all the same.
func TestFencedAgain(t *testing.T) {
	m := mined(t, 4)
	asks := 0
	for range 200 {
		m.blows = true
		m.ask(runOnce)
		asks++
		m.pass(100)
	}
	m.pass(50)
	if n := m.told("module: fenced"); n < 4 || n > 8 {
		t.Errorf("fell %d times in 20 s", n)
	}
	if got := m.look(); strings.Count(got, "answer") != asks || m.h.OpenRequests() != 0 {
		t.Errorf("%d asks, %d answers, %d open", asks, strings.Count(got, "answer"), m.h.OpenRequests())
	}
}

// TestFencedList holds what a new module is told: a node that drains gets nothing, one that came up before our eyes is
// paced as one that may be cold.
func TestFencedList(t *testing.T) {
	m := mined(t, 2)
	m.h.ListBegin(m.now, logic.ListChanges)
	m.h.ListNode(100, logic.Draining, 0, 32, 64, 0, 0, 0)
	m.h.ListNode(101, logic.Unavailable, 0, 32, 64, 0, 0, 0)
	m.h.ListNode(102, logic.Ready, 0, 32, 64, 0, 0, 0)
	m.h.ListEnd()
	m.pass(3000)
	m.blows = true
	m.ask(restartable)
	m.pass(1000)
	if m.told("module: begun anew") != 1 {
		t.Fatalf("%q", m.modes)
	}
	m.look()
	offers := 0
	for range 60 {
		m.ask(restartable)
		m.pass(15)
		if got := m.look(); strings.Contains(got, "offer") {
			offers++
			if m.offer.node != 102 {
				t.Fatalf("offered to node %d", m.offer.node)
			}
		}
	}
	if offers > 20 {
		t.Errorf("%d offers within a second to a node that came up 4 s ago and bears 20", offers)
	}
}

// TestWords has what is read for people panic: it is switched off, and the allocation under it goes its way.
func TestWords(t *testing.T) {
	m := mined(t, 2)
	mod := m.h.module
	id := m.ask(restartable)
	m.pass(10)
	m.h.module = nil // any read of it panics
	m.h.Belief(100)
	m.h.Belief(100)
	m.h.recordBeliefError(100, []float64{1, 1})
	m.h.module = mod
	if _, ok := m.h.Belief(100); ok || m.told("words: beliefs switched off: panic") != 1 || m.told("words: mistakes") != 1 {
		t.Errorf("%q", m.modes)
	}
	if !m.h.OnStarted(m.now, id, 0) || m.told("module") != 0 {
		t.Error("it no longer serves")
	}
}
