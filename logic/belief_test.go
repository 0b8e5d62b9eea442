package logic

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMistaken holds what is believed of a node's free room against a report: own binds up to its time are expected in
// it, later ones are not, and what others took is the error.
func TestMistaken(t *testing.T) {
	for _, c := range []struct {
		name          string
		after         float64 // from the bind to the report's arrival
		cores, memory float64 // what the report says is free
		off, offM     float64
	}{
		{"as believed", 2 * reportDelay, 29, 58, 0, 0},
		{"others took some", 2 * reportDelay, 20, 48, 9, 10},
		{"others gave some back", 2 * reportDelay, 35, 58, -6, 0},
		{"a bind since it was measured", reportDelay / 2, 30, 60, 0, 0},
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
			x.expect("offer 1 10", 1)
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

// TestBelieves tells health as it was judged.
func TestBelieves(t *testing.T) {
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

// TestNeverReady has nodes named that this scheduler has never seen ready, with tasks from before a restart whose ends
// bring reports: all that is offered to be read can be read.
func TestNeverReady(t *testing.T) {
	for _, avail := range []Availability{Draining, Unavailable} {
		x := newHarness(t, testCluster(), 1)
		x.updateNode(11, avail, 0)
		x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 5, Service: 9, Cores: 1, Memory: 2}, Node: 11})
		x.scheduler.OnOutcome(x.now, AttemptResult{
			Allocation: 5, Node: 11, Duration: 100, Answered: true,
			Outcome: Completed, Report: []float64{30, 60},
		})
		if b, ok := x.scheduler.NodeBelief(11); !ok || b.Cores != 31 || b.FailureRate != 0 { // one of them given back since it was measured
			t.Errorf("named as %d: %+v, %t", avail, b, ok)
		}
		x.scheduler.BeliefError(x.now+2*reportDelay, 11, []float64{30, 60})
	}
}

// TestRead names nodes in every state, in lists of every kind, over restarts, with found tasks, tries, probes and
// reports from any of them; after each event all that the module offers to be read is read of every node.
func TestRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var x *harness
		var ids uint32
		found := map[uint32]uint32{}
		begin := func() {
			x, ids = &harness{t: t, effects: &recorder{}, now: testStart}, 0
			x.scheduler = New(x.effects, testStart, rapid.Uint64().Draw(rt, "seed"), testCluster())
			clear(found)
		}
		begin()
		node := func() uint32 { return uint32(rapid.IntRange(10, 16).Draw(rt, "node")) }
		report := func() []float64 {
			if rapid.Bool().Draw(rt, "without a report") {
				return nil
			}
			return []float64{rapid.Float64Range(-5, 40).Draw(rt, "cores"), rapid.Float64Range(-5, 80).Draw(rt, "memory")}
		}
		verdict := func() Outcome { return Outcome(rapid.IntRange(0, int(NotSent)).Draw(rt, "verdict")) }
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "really") == 0 {
					begin()
				}
			},
			"list": func(*rapid.T) {
				x.scheduler.OnListBegin(x.now, ListKind(rapid.IntRange(0, int(ListFailed)).Draw(rt, "kind")))
				for range rapid.IntRange(0, 4).Draw(rt, "nodes") {
					since := rapid.SampledFrom([]float64{0, x.now - 100, x.now + 50}).Draw(rt, "since")
					x.node(node(), Availability(rapid.IntRange(0, int(Draining)).Draw(rt, "state")), since)
				}
				x.scheduler.OnListEnd(x.now)
			},
			"found": func(*rapid.T) {
				ids++
				found[ids] = node()
				x.scheduler.OnRecovered(x.now, Recovered{Request: Request{
					Allocation: ids,
					Class:      rapid.IntRange(0, 2).Draw(rt, "job"), Service: 9, Cores: 1, Memory: 2,
				}, Node: found[ids]})
			},
			"ask": func(*rapid.T) {
				ids++
				x.request(ids, rapid.IntRange(0, 2).Draw(rt, "job"), 9)
			},
			"started": func(*rapid.T) {
				id := rapid.Uint32Range(1, 20).Draw(rt, "alloc")
				if i, ok := x.scheduler.allocations.index[id]; ok && x.scheduler.allocations.all[i].inFlight && !x.scheduler.allocations.all[i].running {
					x.scheduler.OnStarted(x.now, id, uint8(x.scheduler.allocations.all[i].attempts-1), 50)
				}
			},
			"settled": func(*rapid.T) {
				id := rapid.Uint32Range(1, 20).Draw(rt, "alloc")
				if i, ok := x.scheduler.allocations.index[id]; ok && x.scheduler.allocations.all[i].inFlight {
					a := &x.scheduler.allocations.all[i]
					x.scheduler.OnOutcome(x.now, AttemptResult{
						Allocation: id, Node: x.scheduler.nodes.all[a.node].id,
						Attempt: uint8(a.attempts - 1), Duration: 50, Answered: a.answered,
						Reason: Reason(rapid.IntRange(0, int(Displaced)).Draw(rt, "why")), Outcome: verdict(), Report: report(),
					})

				}
			},
			"probed": func(*rapid.T) {
				x.scheduler.OnProbeResult(x.now, ProbeResult{Node: node(), Outcome: verdict(), Duration: 5, Report: report()})
			},
			"pass": func(*rapid.T) { x.advance(rapid.Float64Range(1, 1500).Draw(rt, "ms")) },
			"": func(*rapid.T) {
				for id := uint32(9); id < 18; id++ {
					x.scheduler.NodeBelief(id)
					x.scheduler.BeliefError(x.now, id, []float64{1, 1})
					x.scheduler.BeliefError(x.now, id, nil)
				}
			},
		})
	})
}
