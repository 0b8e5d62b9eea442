package zones

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/clusterstate"
)

var names = []string{"a", "b", "c", "d"}

// fixture is a controller with a cluster state that takes its proposals.
type fixture struct {
	t           interface{ Fatalf(string, ...any) }
	controller  Controller
	state       *clusterstate.State
	now         float64
	lastNumber  uint64
	lostZones   map[string]bool            // zones that no process of another zone reaches
	unreachable map[string]map[string]bool // zones that a process does not reach, by process
	held        map[string]clusterstate.ZoneState
	closings    int
}

// command encodes a command of a process's first incarnation.
func command(proposer string, number uint64, at float64, change clusterstate.Change) []byte {
	c := clusterstate.Command{Proposer: proposer, Incarnation: 1, Number: number, ProposedAt: at, Change: change}
	return c.Append(nil)
}

// newFixture returns a fixture with two processes in each zone.
func newFixture(t interface{ Fatalf(string, ...any) }) *fixture {
	x := &fixture{t: t, state: clusterstate.New(), now: 1e6, lostZones: map[string]bool{}, unreachable: map[string]map[string]bool{}}
	for i, z := range append(slices.Clone(names), names...) {
		p := fmt.Sprint("p", i)
		_, _ = x.state.Apply(x.state.Version()+1, command(p, 1, x.now, clusterstate.Activate{Process: p, Zone: z}))
	}
	return x
}

func (x *fixture) apply(zone string, seen uint64, to clusterstate.ZoneState) clusterstate.Refusal {
	x.lastNumber++
	r, err := x.state.Apply(x.state.Version()+1, command("p0", 1+x.lastNumber, x.now, clusterstate.SetZoneState{Zone: zone, SeenVersion: seen, State: to, Cause: "t"}))
	if err != nil {
		x.t.Fatalf("%v", err)
	}
	return r
}

// advance lets time pass: all processes report, the controller decides, the state takes its proposals.
func (x *fixture) advance(ms float64) {
	for end := x.now + ms; x.now < end; x.now += 100 {
		for _, p := range x.state.Processes() {
			x.controller.OnReport(x.now, p.Name, x.summaries(p.Name))
		}
		for _, p := range x.controller.Decide(x.now, x.state, names, x.held) {
			if x.apply(p.Zone, p.Version, p.To) == clusterstate.Accepted && p.To == clusterstate.Closed {
				x.closings++
			}
		}
		if err := x.state.Check(); err != nil {
			x.t.Fatalf("%v", err)
		}
	}
}

// summaries returns what a process observes of all zones.
func (x *fixture) summaries(process string) map[string]Summary {
	summaries := map[string]Summary{}
	for _, zone := range names {
		s := Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: 40}
		if x.lostZones[zone] || x.unreachable[process][zone] {
			s.Reachable = 0
		}
		summaries[zone] = s
	}
	return summaries
}

func (x *fixture) wantState(zone string, s clusterstate.ZoneState) {
	if got := x.state.Zone(zone).State; got != s {
		x.t.Fatalf("zone %s is %s, want %s", zone, got, s)
	}
}

func TestLossAndReturn(t *testing.T) {
	x := newFixture(t)
	x.advance(2000)
	x.wantState("a", clusterstate.Open)
	x.lostZones["a"] = true
	x.advance(suspectAfter + 200)
	x.wantState("a", clusterstate.Suspect)
	x.advance(closeAfter + 200)
	x.wantState("a", clusterstate.Closed)
	x.lostZones["a"] = false
	x.advance(returnAfter - 300)
	x.wantState("a", clusterstate.Closed)
	x.advance(4000) // the rest of a closed zone
	x.wantState("a", clusterstate.Returning)
	x.advance(returnSteps*stepInterval + 500)
	x.wantState("a", clusterstate.Open)
}

func TestNotClosed(t *testing.T) {
	for name, unreachable := range map[string]map[string]map[string]bool{
		"one process reaches nothing in two zones":             {"p0": {"b": true, "c": true}},
		"one zone reaches nothing in another":                  {"p0": {"b": true}, "p4": {"b": true}},
		"half of each of two zones reaches nothing in another": {"p0": {"b": true}, "p2": {"b": true}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t)
			x.unreachable = unreachable
			x.advance(10000)
			for _, z := range names {
				x.wantState(z, clusterstate.Open)
			}
		})
	}
	t.Run("a suspect zone recovers", func(t *testing.T) {
		x := newFixture(t)
		x.lostZones["a"] = true
		x.advance(suspectAfter + 100)
		x.lostZones["a"] = false
		x.advance(reopenAfter + 400)
		x.wantState("a", clusterstate.Open)
	})
	t.Run("no more than half of the zones", func(t *testing.T) {
		x := newFixture(t)
		x.lostZones["a"] = true
		x.advance(suspectAfter + 100)
		x.lostZones["a"] = false
		x.advance(reopenAfter + 400)
		x.lostZones["a"], x.lostZones["b"], x.lostZones["c"] = true, true, true
		x.advance(10000)
		if x.closings > 2 {
			t.Errorf("%d of four zones were closed", x.closings)
		}
	})
}

func TestHeldByOperator(t *testing.T) {
	x := newFixture(t)
	x.held = map[string]clusterstate.ZoneState{"a": clusterstate.Closed, "b": clusterstate.Open}
	x.lostZones["b"] = true
	x.advance(3000)
	x.wantState("a", clusterstate.Closed)
	x.wantState("b", clusterstate.Open)
	x.held = nil
	x.lostZones["b"] = false
	x.advance(20000)
	x.wantState("a", clusterstate.Open)
}

// TestRandomLosses simulates random losses and unreachable zones: never more than half of the zones are closed, and all are open again when
// all have been reachable for long.
func TestRandomLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newFixture(t)
		for range rapid.IntRange(1, 12).Draw(t, "spells") {
			clear(x.lostZones)
			x.unreachable = map[string]map[string]bool{}
			for _, z := range names {
				x.lostZones[z] = rapid.IntRange(0, 3).Draw(t, "lost "+z) == 0
			}
			for i := range 8 {
				x.unreachable[fmt.Sprint("p", i)] = map[string]bool{rapid.SampledFrom(names).Draw(t, "deaf"): true}
			}
			x.advance(rapid.Float64Range(100, 8000).Draw(t, "ms"))
			if closed := x.closedZones(); closed > 2 {
				t.Fatalf("%d closed", closed)
			}
		}
		clear(x.lostZones)
		x.unreachable = nil
		x.now += afterAnyRest
		x.advance(15000)
		for _, z := range names {
			x.wantState(z, clusterstate.Open)
		}
	})
}

// afterAnyRest is a time in ms that is longer than any rest of a closed zone.
const afterAnyRest = 700e3

func (x *fixture) closedZones() (closed int) {
	for _, z := range names {
		if x.state.Zone(z).State == clusterstate.Closed {
			closed++
		}
	}
	return closed
}
