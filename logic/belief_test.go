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
		{"as believed", 2 * reportLag, 29, 58, 0, 0},
		{"others took some", 2 * reportLag, 20, 48, 9, 10},
		{"others gave some back", 2 * reportLag, 35, 58, -6, 0},
		{"a bind since it was measured", reportLag / 2, 30, 60, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := start(t, cluster(), 1)
			if _, _, ok := x.s.BeliefError(x.now, 11, []float64{1, 1}); ok {
				t.Error("an unknown node")
			}
			x.s.OnProbeResult(x.now, 10, Completed, 1, []float64{30, 60})
			if _, _, ok := x.s.BeliefError(x.now, 10, []float64{1, 1}); ok {
				t.Error("a report no newer than the last")
			}
			x.now += reportLag
			x.ask(1, 0, 5)
			x.expect("offer 1 10", 1)
			x.now += c.after
			report := []float64{c.cores, c.memory}
			cores, memory, ok := x.s.BeliefError(x.now, 10, report)
			if !ok || cores != c.off || memory != c.offM {
				t.Errorf("%g cores, %g memory, %t; want %g, %g", cores, memory, ok, c.off, c.offM)
			}
			x.s.OnProbeResult(x.now, 10, Completed, 1, report)
			held := 0.0
			if c.after < reportLag {
				held = 1
			}
			if b, ok := x.s.NodeBelief(10); !ok || b.Cores != c.cores-held || b.Unhealthy || b.Degradation != 0 {
				t.Errorf("then %+v", b)
			}
			if _, _, ok := x.s.BeliefError(x.now, 10, nil); ok {
				t.Error("no report")
			}
		})
	}
}

// TestBelieves tells health as it was judged.
func TestBelieves(t *testing.T) {
	x := start(t, cluster(), 1)
	if _, ok := x.s.NodeBelief(11); ok {
		t.Error("an unknown node")
	}
	x.s.OnProbeResult(x.now, 10, Completed, 1, []float64{30, 60})
	x.ask(1, 0, 5)
	x.settle(1, 0, Errored, ReasonUnknown)
	x.ask(2, 0, 5)
	x.s.OnStarted(x.now, 2, 0, 10)
	x.s.OnTaskMetric(x.now, 2, 0, 10, ServedShare, 0)
	if b, ok := x.s.NodeBelief(10); !ok || b.FailureRate != 0.25 || b.Degradation != 0.5 {
		t.Errorf("%+v", b)
	}
}

// TestNeverReady has nodes named that this scheduler has never seen ready, with tasks from before a restart whose ends
// bring reports: all that is offered to be read can be read.
func TestNeverReady(t *testing.T) {
	for _, avail := range []Availability{Draining, Unavailable} {
		x := start(t, cluster(), 1)
		x.change(11, avail, 0)
		x.s.OnRecovered(x.now, 5, 0, 0, 9, 1, 2, 11)
		x.s.OnOutcome(x.now, 5, 11, 0, 100, true, ReasonUnknown, Completed, []float64{30, 60})
		if b, ok := x.s.NodeBelief(11); !ok || b.Cores != 31 || b.FailureRate != 0 { // one of them given back since it was measured
			t.Errorf("named as %d: %+v, %t", avail, b, ok)
		}
		x.s.BeliefError(x.now+2*reportLag, 11, []float64{30, 60})
	}
}

// TestRead names nodes in every state, in lists of every kind, over restarts, with found tasks, tries, probes and
// reports from any of them; after each event all that the module offers to be read is read of every node.
func TestRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var x *bench
		var ids uint32
		found := map[uint32]uint32{}
		begin := func() {
			x, ids = &bench{t: t, b: &book{}, now: t0}, 0
			x.s = New(x.b, t0, rapid.Uint64().Draw(rt, "seed"), cluster())
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
				x.s.OnListBegin(x.now, ListKind(rapid.IntRange(0, int(ListFailed)).Draw(rt, "kind")))
				for range rapid.IntRange(0, 4).Draw(rt, "nodes") {
					since := rapid.SampledFrom([]float64{0, x.now - 100, x.now + 50}).Draw(rt, "since")
					x.node(node(), Availability(rapid.IntRange(0, int(Draining)).Draw(rt, "state")), since)
				}
				x.s.OnListEnd(x.now)
			},
			"found": func(*rapid.T) {
				ids++
				found[ids] = node()
				x.s.OnRecovered(x.now, ids, rapid.IntRange(0, 2).Draw(rt, "job"), 0, 9, 1, 2, found[ids])
			},
			"ask": func(*rapid.T) {
				ids++
				x.ask(ids, rapid.IntRange(0, 2).Draw(rt, "job"), 9)
			},
			"started": func(*rapid.T) {
				id := rapid.Uint32Range(1, 20).Draw(rt, "alloc")
				if i, ok := x.s.allocAt[id]; ok && x.s.allocs[i].out && !x.s.allocs[i].placed {
					x.s.OnStarted(x.now, id, uint8(x.s.allocs[i].tries-1), 50)
				}
			},
			"settled": func(*rapid.T) {
				id := rapid.Uint32Range(1, 20).Draw(rt, "alloc")
				if i, ok := x.s.allocAt[id]; ok && x.s.allocs[i].out {
					a := &x.s.allocs[i]
					x.s.OnOutcome(x.now, id, x.s.nodes[a.nd].id, uint8(a.tries-1), 50, a.over,
						Reason(rapid.IntRange(0, int(Displaced)).Draw(rt, "why")), verdict(), report())
				}
			},
			"probed": func(*rapid.T) { x.s.OnProbeResult(x.now, node(), verdict(), 5, report()) },
			"pass":   func(*rapid.T) { x.pass(rapid.Float64Range(1, 1500).Draw(rt, "ms")) },
			"": func(*rapid.T) {
				for id := uint32(9); id < 18; id++ {
					x.s.NodeBelief(id)
					x.s.BeliefError(x.now, id, []float64{1, 1})
					x.s.BeliefError(x.now, id, nil)
				}
			},
		})
	})
}
