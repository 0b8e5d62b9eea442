package zones

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/clusterstate"
)

var zoneNames = []string{"a", "b", "c", "d"}

// fixture is a controller and a cluster state to which its proposals are applied.
type fixture struct {
	t           interface{ Fatalf(string, ...any) }
	controller  Controller
	state       *clusterstate.State
	now         float64                    // ms
	lastNumber  uint64                     // number of the last command
	lostZones   map[string]bool            // zones that no process can reach
	unreachable map[string]map[string]bool // zones that a process cannot reach, by process
	held        map[string]clusterstate.ZoneState
	closings    int // number of accepted proposals to close a zone
}

// command encodes a command that the first incarnation of a process proposes.
func command(proposer string, number uint64, at float64, change clusterstate.Change) []byte {
	c := clusterstate.Command{Proposer: proposer, Incarnation: 1, Number: number, ProposedAt: at, Change: change}
	return c.Append(nil)
}

// newFixture returns a fixture with two processes in each zone: p0 and p4 in zone a, p1 and p5 in zone b, and so on.
func newFixture(t interface{ Fatalf(string, ...any) }) *fixture {
	x := &fixture{t: t, state: clusterstate.New(), now: 1e6, lostZones: map[string]bool{}, unreachable: map[string]map[string]bool{}}
	for i, z := range append(slices.Clone(zoneNames), zoneNames...) {
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

// advance lets some ms pass in steps of 100 ms. In each step all processes report, the controller decides, and its proposals are applied.
func (x *fixture) advance(ms float64) {
	for end := x.now + ms; x.now < end; x.now += 100 {
		for _, p := range x.state.Processes() {
			x.controller.OnReport(x.now, p.Name, x.summaries(p.Name))
		}
		for _, p := range x.controller.Decide(x.now, x.state, zoneNames, x.held) {
			if x.apply(p.Zone, p.Version, p.To) == clusterstate.Accepted && p.To == clusterstate.Closed {
				x.closings++
			}
		}
		if err := x.state.Check(); err != nil {
			x.t.Fatalf("%v", err)
		}
	}
}

// summaries returns a process's summaries of all zones.
func (x *fixture) summaries(process string) map[string]Summary {
	summaries := map[string]Summary{}
	for _, zone := range zoneNames {
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
		x.t.Fatalf("got zone %s in state %s, want %s", zone, got, s)
	}
}

// TestLossAndReturn checks each state of a zone that is lost, closed, and healthy again.
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
	x.advance(4000) // longer than the hold-down
	x.wantState("a", clusterstate.Returning)
	x.advance(returnSteps*stepInterval + 500)
	x.wantState("a", clusterstate.Open)
}

// TestNotClosed checks that broken network paths and short losses do not close a zone, and that at most half of the zones are closed.
func TestNotClosed(t *testing.T) {
	for name, unreachable := range map[string]map[string]map[string]bool{
		"one process cannot reach two zones":                              {"p0": {"b": true, "c": true}},
		"one zone cannot reach another":                                   {"p0": {"b": true}, "p4": {"b": true}},
		"half of the processes in each of two zones cannot reach another": {"p0": {"b": true}, "p2": {"b": true}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t)
			x.unreachable = unreachable
			x.advance(10000)
			for _, z := range zoneNames {
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
	t.Run("at most half of the zones", func(t *testing.T) {
		x := newFixture(t)
		x.lostZones["a"] = true
		x.advance(suspectAfter + 100)
		x.lostZones["a"] = false
		x.advance(reopenAfter + 400)
		x.lostZones["a"], x.lostZones["b"], x.lostZones["c"] = true, true, true
		x.advance(10000)
		if x.closings > 2 {
			t.Errorf("got %d closings of four zones, want at most 2", x.closings)
		}
	})
}

// TestHeldByOperator checks that an operator's choice overrides the reports while a zone is held, and not afterwards.
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

// TestRandomLosses simulates random losses and unreachable zones. At most half of the zones may be closed at any time, and all have to be open
// again when all have been reachable for longer than the hold-down.
func TestRandomLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newFixture(t)
		for range rapid.IntRange(1, 12).Draw(t, "number of periods") {
			clear(x.lostZones)
			x.unreachable = map[string]map[string]bool{}
			for _, z := range zoneNames {
				x.lostZones[z] = rapid.IntRange(0, 3).Draw(t, "lost "+z) == 0
			}
			for i := range 8 {
				x.unreachable[fmt.Sprint("p", i)] = map[string]bool{rapid.SampledFrom(zoneNames).Draw(t, "unreachable zone"): true}
			}
			x.advance(rapid.Float64Range(100, 8000).Draw(t, "ms"))
			if closed := x.closedZones(); closed > 2 {
				t.Fatalf("got %d closed zones, want at most 2", closed)
			}
		}
		clear(x.lostZones)
		x.unreachable = nil
		x.now += longerThanMaxHoldDown
		x.advance(15000)
		for _, z := range zoneNames {
			x.wantState(z, clusterstate.Open)
		}
	})
}

// longerThanMaxHoldDown is a time in ms that is longer than the hold-down of a closed zone can be.
const longerThanMaxHoldDown = 700e3

func (x *fixture) closedZones() (closed int) {
	for _, z := range zoneNames {
		if x.state.Zone(z).State == clusterstate.Closed {
			closed++
		}
	}
	return closed
}
