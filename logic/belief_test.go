package logic

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBeliefError compares what is believed to be free on a node with a report: own changes up to its time are expected in it, later ones are
// not, and what others took is the error.
func TestBeliefError(t *testing.T) {
	for _, c := range []struct {
		name          string
		after         float64 // from the attempt to the report's arrival
		cores, memory float64 // what the report says is free
		off, offM     float64
	}{
		{"as believed", 2 * reportDelay, 29, 58, 0, 0},
		{"others took some", 2 * reportDelay, 20, 48, 9, 10},
		{"others gave some back", 2 * reportDelay, 35, 58, -6, 0},
		{"an attempt since it was measured", reportDelay / 2, 30, 60, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			if _, _, ok := x.scheduler.BeliefError(x.now, 11, []float64{1, 1}); ok {
				t.Error("an unknown node")
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 60}})
			if _, _, ok := x.scheduler.BeliefError(x.now, 10, []float64{1, 1}); ok {
				t.Error("a report no newer than the last")
			}
			x.now += reportDelay
			x.request(1, 0, 5)
			x.expect("attempt 1 10", 1)
			x.now += c.after
			report := []float64{c.cores, c.memory}
			cores, memory, ok := x.scheduler.BeliefError(x.now, 10, report)
			if !ok || cores != c.off || memory != c.offM {
				t.Errorf("%g cores, %g memory, %t; want %g, %g", cores, memory, ok, c.off, c.offM)
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: report})
			held := 0.0
			if c.after < reportDelay {
				held = 1
			}
			if b, ok := x.scheduler.NodeBelief(10); !ok || b.Cores != c.cores-held || b.Unhealthy || b.Degradation != 0 {
				t.Errorf("then %+v", b)
			}
			if _, _, ok := x.scheduler.BeliefError(x.now, 10, nil); ok {
				t.Error("no report")
			}
		})
	}
}

// TestNodeBelief checks failure rate and degradation.
func TestNodeBelief(t *testing.T) {
	x := newHarness(t, testCluster(), 1)
	if _, ok := x.scheduler.NodeBelief(11); ok {
		t.Error("an unknown node")
	}
	x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 60}})
	x.request(1, 0, 5)
	x.complete(1, 0, Errored, ReasonUnknown)
	x.request(2, 0, 5)
	x.scheduler.OnStarted(x.now, 2, 0, 10)
	x.scheduler.OnTaskMetric(x.now, TaskSample{Allocation: 2, Node: 10, Metric: ServedShare, Value: 0})
	if b, ok := x.scheduler.NodeBelief(10); !ok || b.FailureRate != 0.25 || b.Degradation != 0.5 {
		t.Errorf("%+v", b)
	}
}

// TestBeliefNeverReady names nodes that have never been ready, with allocations from before a restart whose ends bring reports: the belief
// can be read all the same.
func TestBeliefNeverReady(t *testing.T) {
	for _, avail := range []Availability{Draining, Unavailable} {
		x := newHarness(t, testCluster(), 1)
		x.updateNode(11, avail, 0)
		x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 5, Service: 9, Cores: 1, Memory: 2}, Node: 11})
		x.scheduler.OnOutcome(x.now, AttemptResult{
			Allocation: 5, Node: 11, Duration: 100, Answered: true,
			Outcome: Completed, Report: []float64{30, 60},
		})
		if b, ok := x.scheduler.NodeBelief(11); !ok || b.Cores != 31 || b.FailureRate != 0 { // one core was released since it was measured
			t.Errorf("named as %d: %+v, %t", avail, b, ok)
		}
		x.scheduler.BeliefError(x.now+2*reportDelay, 11, []float64{30, 60})
	}
}

// estimateHistory draws events for a scheduler.
type estimateHistory struct {
	*harness
	rt     *rapid.T
	lastID uint32
}

func (h *estimateHistory) restart() {
	h.harness, h.lastID = &harness{t: h.t, effects: &recorder{}, now: testStart}, 0
	h.scheduler = New(h.effects, testStart, rapid.Uint64().Draw(h.rt, "seed"), testCluster())
}

func (h *estimateHistory) drawNode() uint32 { return uint32(rapid.IntRange(10, 16).Draw(h.rt, "node")) }
func (h *estimateHistory) drawClass() int   { return rapid.IntRange(0, 2).Draw(h.rt, "class") }

func (h *estimateHistory) drawOutcome() Outcome {
	return Outcome(rapid.IntRange(0, int(NotSent)).Draw(h.rt, "outcome"))
}

func (h *estimateHistory) drawReport() []float64 {
	if rapid.Bool().Draw(h.rt, "without a report") {
		return nil
	}
	return []float64{rapid.Float64Range(-5, 40).Draw(h.rt, "cores"), rapid.Float64Range(-5, 80).Draw(h.rt, "memory")}
}

// drawInFlight is an allocation with an attempt in flight, nil if the draw meets none.
func (h *estimateHistory) drawInFlight() *allocation {
	id := rapid.Uint32Range(1, 20).Draw(h.rt, "alloc")
	if i, ok := h.scheduler.allocations.index[id]; ok && h.scheduler.allocations.all[i].inFlight {
		return &h.scheduler.allocations.all[i]
	}
	return nil
}

func (h *estimateHistory) list(*rapid.T) {
	h.scheduler.OnListBegin(h.now, ListKind(rapid.IntRange(0, int(ListFailed)).Draw(h.rt, "kind")))
	for range rapid.IntRange(0, 4).Draw(h.rt, "nodes") {
		since := rapid.SampledFrom([]float64{0, h.now - 100, h.now + 50}).Draw(h.rt, "since")
		h.listNode(h.drawNode(), Availability(rapid.IntRange(0, int(Draining)).Draw(h.rt, "state")), since)
	}
	h.scheduler.OnListEnd(h.now)
}

func (h *estimateHistory) recovered(*rapid.T) {
	h.lastID++
	node := h.drawNode()
	request := Request{Allocation: h.lastID, Class: h.drawClass(), Service: 9, Cores: 1, Memory: 2}
	h.scheduler.OnRecovered(h.now, Recovered{Request: request, Node: node})
}

func (h *estimateHistory) requested(*rapid.T) {
	h.lastID++
	h.request(h.lastID, h.drawClass(), 9)
}

func (h *estimateHistory) started(*rapid.T) {
	if a := h.drawInFlight(); a != nil && !a.running {
		h.scheduler.OnStarted(h.now, a.id, uint8(a.attempts-1), 50)
	}
}

func (h *estimateHistory) completed(*rapid.T) {
	if a := h.drawInFlight(); a != nil {
		h.scheduler.OnOutcome(h.now, AttemptResult{
			Allocation: a.id, Node: h.scheduler.nodes.all[a.node].id, Attempt: uint8(a.attempts - 1), Duration: 50, Answered: a.answered,
			Reason: Reason(rapid.IntRange(0, int(Displaced)).Draw(h.rt, "why")), Outcome: h.drawOutcome(), Report: h.drawReport(),
		})
	}
}

func (h *estimateHistory) probed(*rapid.T) {
	h.scheduler.OnProbeResult(h.now, ProbeResult{Node: h.drawNode(), Outcome: h.drawOutcome(), Duration: 5, Report: h.drawReport()})
}

// readAll reads the belief of every node and of two that are not known.
func (h *estimateHistory) readAll(*rapid.T) {
	for id := uint32(9); id < 18; id++ {
		h.scheduler.NodeBelief(id)
		h.scheduler.BeliefError(h.now, id, []float64{1, 1})
		h.scheduler.BeliefError(h.now, id, nil)
	}
}

// TestBeliefAnyHistory names nodes in every state, in lists of every kind, over restarts, with recovered allocations, attempts, probes and
// reports from any of them; after each event the belief of every node is read.
func TestBeliefAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &estimateHistory{harness: &harness{t: t}, rt: rt}
		h.restart()
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "really") == 0 {
					h.restart()
				}
			},
			"list": h.list, "recovered": h.recovered, "requested": h.requested, "started": h.started, "completed": h.completed, "probed": h.probed,
			"pass": func(*rapid.T) { h.advance(rapid.Float64Range(1, 1500).Draw(rt, "ms")) },
			"":     h.readAll,
		})
	})
}
