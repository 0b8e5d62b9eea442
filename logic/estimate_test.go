package logic

import (
	"testing"

	"pgregory.net/rapid"
)

// TestEstimateError compares the estimate of the free resources of a node with a report. The report is expected to include own changes up to
// the time of its measurement but not later ones; what other schedulers allocated or released is the error.
func TestEstimateError(t *testing.T) {
	for _, c := range []struct {
		name                    string
		delay                   float64 // time from the attempt to the arrival of the report
		cores, memory           float64 // free resources in the report
		coresError, memoryError float64
	}{
		{"report as estimated", 2 * reportDelay, 29, 58, 0, 0},
		{"others allocated some", 2 * reportDelay, 20, 48, 9, 10},
		{"others released some", 2 * reportDelay, 35, 58, -6, 0},
		{"attempt after the measurement", reportDelay / 2, 30, 60, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			if _, _, ok := x.scheduler.EstimateError(x.now, 11, []float64{1, 1}); ok {
				t.Error("got an estimate error for an unknown node, want none")
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 60}})
			if _, _, ok := x.scheduler.EstimateError(x.now, 10, []float64{1, 1}); ok {
				t.Error("got an estimate error for a report that is no newer than the last, want none")
			}
			x.now += reportDelay
			x.request(1, 0, 5)
			x.expect("attempt 1 10", 1)
			x.now += c.delay
			report := []float64{c.cores, c.memory}
			cores, memory, ok := x.scheduler.EstimateError(x.now, 10, report)
			if !ok || cores != c.coresError || memory != c.memoryError {
				t.Errorf("estimate error: got %g cores, %g memory, ok %t; want %g cores, %g memory, ok true", cores, memory, ok, c.coresError, c.memoryError)
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: report})
			unreported := 0.0
			if c.delay < reportDelay {
				unreported = 1
			}
			if b, ok := x.scheduler.NodeEstimate(10); !ok || b.Cores != c.cores-unreported || b.Unhealthy || b.Degradation != 0 {
				t.Errorf("after the report: got estimate %+v; want the free cores of the report less unreported attempts, a healthy node and no degradation", b)
			}
			if _, _, ok := x.scheduler.EstimateError(x.now, 10, nil); ok {
				t.Error("got an estimate error without a report, want none")
			}
		})
	}
}

// TestNodeEstimate checks the failure rate and degradation in the estimate of a node.
func TestNodeEstimate(t *testing.T) {
	x := newHarness(t, testCluster(), 1)
	if _, ok := x.scheduler.NodeEstimate(11); ok {
		t.Error("got an estimate of an unknown node, want none")
	}
	x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 60}})
	x.request(1, 0, 5)
	x.complete(1, 0, Errored, ReasonUnknown)
	x.request(2, 0, 5)
	x.scheduler.OnStarted(x.now, 2, 0, 10)
	x.scheduler.OnTaskMetric(x.now, TaskSample{Allocation: 2, Node: 10, Metric: ServedShare, Value: 0})
	if b, ok := x.scheduler.NodeEstimate(10); !ok || b.FailureRate != 0.25 || b.Degradation != 0.5 {
		t.Errorf("got estimate %+v, want failure rate 0.25 and degradation 0.5", b)
	}
}

// TestEstimateNeverReady checks that the estimate can be read for nodes that have never been ready, but run allocations from before a restart
// of the scheduler. The outcomes of these allocations carry reports.
func TestEstimateNeverReady(t *testing.T) {
	for _, availability := range []Availability{Draining, Unavailable} {
		x := newHarness(t, testCluster(), 1)
		x.updateNode(11, availability, 0)
		x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 5, Service: 9, Cores: 1, Memory: 2}, Node: 11})
		x.scheduler.OnOutcome(x.now, AttemptResult{
			Allocation: 5, Node: 11, Duration: 100, Answered: true,
			Outcome: Completed, Report: []float64{30, 60},
		})
		if b, ok := x.scheduler.NodeEstimate(11); !ok || b.Cores != 31 || b.FailureRate != 0 { // one core was released after the measurement
			t.Errorf("node with availability %d: got estimate %+v, ok %t; want 31 free cores, failure rate 0, ok true", availability, b, ok)
		}
		x.scheduler.EstimateError(x.now+2*reportDelay, 11, []float64{30, 60})
	}
}

// estimateHistory delivers randomly drawn events to a scheduler.
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
	if rapid.Bool().Draw(h.rt, "no report") {
		return nil
	}
	return []float64{rapid.Float64Range(-5, 40).Draw(h.rt, "cores"), rapid.Float64Range(-5, 80).Draw(h.rt, "memory")}
}

// drawInFlight draws an allocation id and returns its allocation, or nil if that has no attempt in flight.
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
		startedAt := rapid.SampledFrom([]float64{0, h.now - 100, h.now + 50}).Draw(h.rt, "started at")
		h.listNode(h.drawNode(), Availability(rapid.IntRange(0, int(Draining)).Draw(h.rt, "availability")), startedAt)
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
			Reason: Reason(rapid.IntRange(0, int(Displaced)).Draw(h.rt, "reason")), Outcome: h.drawOutcome(), Report: h.drawReport(),
		})
	}
}

func (h *estimateHistory) probed(*rapid.T) {
	h.scheduler.OnProbeResult(h.now, ProbeResult{Node: h.drawNode(), Outcome: h.drawOutcome(), Duration: 5, Report: h.drawReport()})
}

// readAll reads the estimates of all nodes and of two ids that are never in the list.
func (h *estimateHistory) readAll(*rapid.T) {
	for id := uint32(9); id < 18; id++ {
		h.scheduler.NodeEstimate(id)
		h.scheduler.EstimateError(h.now, id, []float64{1, 1})
		h.scheduler.EstimateError(h.now, id, nil)
	}
}

// TestEstimateAnyHistory delivers random sequences of events: lists of every kind with nodes in every state, restarts, recovered allocations,
// attempts, probes and reports from any node. The estimates of all nodes are read after each event, which must not panic.
func TestEstimateAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &estimateHistory{harness: &harness{t: t}, rt: rt}
		h.restart()
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "restart now") == 0 {
					h.restart()
				}
			},
			"list": h.list, "recovered": h.recovered, "requested": h.requested, "started": h.started, "completed": h.completed, "probed": h.probed,
			"pass": func(*rapid.T) { h.advance(rapid.Float64Range(1, 1500).Draw(rt, "ms")) },
			"":     h.readAll,
		})
	})
}
