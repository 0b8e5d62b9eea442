package zones

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/clusterstate"
)

var names = []string{"a", "b", "c", "d"}

// court is a judge with a book that takes what it proposes.
type court struct {
	t       interface{ Fatalf(string, ...any) }
	j       Controller
	b       *clusterstate.State
	now     float64
	numbers uint64
	lost    map[string]bool            // zones that nobody else hears
	deaf    map[string]map[string]bool // processes that do not hear a zone
	held    map[string]clusterstate.ZoneState
	closed  int
}

// command encodes a command of a process's first incarnation.
func command(proposer string, number uint64, at float64, change clusterstate.Change) []byte {
	c := clusterstate.Command{Proposer: proposer, Incarnation: 1, Number: number, ProposedAt: at, Change: change}
	return c.Append(nil)
}

// sit begins with two processes in each zone.
func sit(t interface{ Fatalf(string, ...any) }) *court {
	x := &court{t: t, b: clusterstate.New(), now: 1e6, lost: map[string]bool{}, deaf: map[string]map[string]bool{}}
	for i, z := range append(slices.Clone(names), names...) {
		p := fmt.Sprint("p", i)
		_, _ = x.b.Apply(x.b.Version()+1, command(p, 1, x.now, clusterstate.Activate{Process: p, Zone: z}))
	}
	return x
}

func (x *court) verdict(zone string, seen uint64, to clusterstate.ZoneState) clusterstate.Refusal {
	x.numbers++
	r, err := x.b.Apply(x.b.Version()+1, command("p0", 1+x.numbers, x.now, clusterstate.SetZoneState{Zone: zone, SeenVersion: seen, State: to, Cause: "t"}))
	if err != nil {
		x.t.Fatalf("%v", err)
	}
	return r
}

// pass lets time go by: all report, the judge decides, the book takes it.
func (x *court) pass(ms float64) {
	for end := x.now + ms; x.now < end; x.now += 100 {
		for _, p := range x.b.Processes() {
			sums := map[string]Summary{}
			for _, z := range names {
				s := Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: 40}
				if x.lost[z] || x.deaf[p.Name][z] {
					s.Reachable = 0
				}
				sums[z] = s
			}
			x.j.OnReport(x.now, p.Name, sums)
		}
		for _, p := range x.j.Decide(x.now, x.b, names, x.held) {
			if x.verdict(p.Zone, p.Version, p.To) == clusterstate.Accepted && p.To == clusterstate.Closed {
				x.closed++
			}
		}
		if err := x.b.Check(); err != nil {
			x.t.Fatalf("%v", err)
		}
	}
}

func (x *court) want(zone string, s clusterstate.ZoneState) {
	if got := x.b.Zone(zone).State; got != s {
		x.t.Fatalf("zone %s is %s, want %s", zone, got, s)
	}
}

func TestLostAndBack(t *testing.T) {
	x := sit(t)
	x.pass(2000)
	x.want("a", clusterstate.Open)
	x.lost["a"] = true
	x.pass(suspectAfter + 200)
	x.want("a", clusterstate.Suspect)
	x.pass(closeAfter + 200)
	x.want("a", clusterstate.Closed)
	x.lost["a"] = false
	x.pass(returnAfter - 300)
	x.want("a", clusterstate.Closed)
	x.pass(4000) // its rest
	x.want("a", clusterstate.Returning)
	x.pass(returnSteps*stepInterval + 500)
	x.want("a", clusterstate.Open)
}

func TestNoVerdict(t *testing.T) {
	for what, deaf := range map[string]map[string]map[string]bool{
		"one process hears nothing of two zones": {"p0": {"b": true, "c": true}},
		"one zone hears nothing of another":      {"p0": {"b": true}, "p4": {"b": true}},
		"half of each of two zones":              {"p0": {"b": true}, "p2": {"b": true}},
	} {
		t.Run(what, func(t *testing.T) {
			x := sit(t)
			x.deaf = deaf
			x.pass(10000)
			for _, z := range names {
				x.want(z, clusterstate.Open)
			}
		})
	}
	x := sit(t)
	x.lost["a"] = true
	x.pass(suspectAfter + 100)
	x.lost["a"] = false
	x.pass(reopenAfter + 400)
	x.want("a", clusterstate.Open)
	x.lost["a"], x.lost["b"], x.lost["c"] = true, true, true
	x.pass(10000)
	if x.closed > 2 {
		t.Errorf("%d of four zones were closed", x.closed)
	}
}

func TestHeld(t *testing.T) {
	x := sit(t)
	x.held = map[string]clusterstate.ZoneState{"a": clusterstate.Closed, "b": clusterstate.Open}
	x.lost["b"] = true
	x.pass(3000)
	x.want("a", clusterstate.Closed)
	x.want("b", clusterstate.Open)
	x.held = nil
	x.lost["b"] = false
	x.pass(20000)
	x.want("a", clusterstate.Open)
}

// TestPlan divides what leaves a zone by what is left near first, and nothing beyond the bound.
func TestPlan(t *testing.T) {
	far := func(from, to string) float64 {
		if from < "c" == (to < "c") {
			return 1
		}
		return 10
	}
	for _, c := range []struct {
		name string
		used map[string]float64
		want map[string]uint32
	}{
		{"the near one has room for all", map[string]float64{"a": 3, "b": 40, "c": 10, "d": 10}, map[string]uint32{"b": 40}},
		{"and for half", map[string]float64{"a": 40, "b": 65, "c": 10, "d": 80}, map[string]uint32{"b": 20, "c": 20}},
		{"not enough anywhere", map[string]float64{"a": 40, "b": 80, "c": 80, "d": 85}, map[string]uint32{"b": 5, "c": 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := sit(t)
			x.pass(2000)
			x.j.Plan(x.now, x.b, names, far) // nothing leaves yet; 40 cores are used in each
			x.lost["a"] = true
			x.pass(1500)
			sums := map[string]Summary{}
			for z, u := range c.used {
				sums[z] = Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: u}
			}
			for _, p := range x.b.Processes() {
				x.j.OnReport(x.now, p.Name, sums)
			}
			plan, ok := x.j.Plan(x.now, x.b, names, far)
			got := map[string]uint32{}
			for _, s := range plan {
				if s.From != "a" { // whose work has mostly ended since
					t.Errorf("%+v leaves a zone that is open", s)
				}
				got[s.To] = s.Cores
			}
			if !ok || !maps.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// TestReach follows one process through a loss of its own zone, in its careful reading too.
func TestReach(t *testing.T) {
	places := []Location{{"a", "one"}, {"b", "one"}, {"c", "two"}, {"d", "two"}}
	sums := func(used ...float64) map[string]Summary {
		m := map[string]Summary{}
		for i, u := range used {
			m[names[i]] = Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: u}
		}
		return m
	}
	x := sit(t)
	r := &Selector{OwnZone: "a", Zones: places, LocalityAware: true}
	look := func(sure bool, s map[string]Summary, own map[string]float64) string {
		parts := r.Update(x.now, x.b, sure, s, 0, own, 2)
		out := ""
		for _, z := range names {
			out += fmt.Sprintf("%g ", parts[z])
		}
		return out
	}
	want := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	want("calm: its own zone", look(true, sums(50, 50, 50, 50), nil), "1 0 0 0 ")
	want("its own is full: its region", look(true, sums(82, 50, 50, 50), nil), "1 1 0 0 ")
	want("the region is full: all", look(true, sums(90, 84, 50, 50), nil), "1 1 1 1 ")
	want("none beyond the bound but its own", look(true, sums(90, 86, 50, 50), nil), "1 0 1 1 ")
	for range 30 {
		x.now += 500
		look(true, sums(30, 30, 50, 50), nil)
	}
	want("near again after a while", look(true, sums(30, 30, 50, 50), nil), "1 0 0 0 ")
	deaf := sums(30, 30, 50, 50)
	deaf["a"] = Summary{Nodes: 6, Capacity: 100}
	want("its own is not heard: its region at once", look(true, deaf, nil), "1 1 0 0 ")
	for range 30 {
		x.now += 500
		look(true, sums(30, 30, 50, 50), nil)
	}
	want("not sure: nothing is opened", look(false, sums(90, 50, 50, 50), nil), "1 0 0 0 ")
	x.lost["a"] = true
	x.pass(1500)
	x.want("a", clusterstate.Closed)
	x.numbers++
	plan := clusterstate.SetPlan{Shares: []clusterstate.Share{{From: "a", To: "b", Cores: 14}, {From: "a", To: "c", Cores: 21}}}
	if _, err := x.b.Apply(x.b.Version()+1, command("p0", 1+x.numbers, x.now, plan)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		look(true, sums(0, 50, 50, 50), nil)
	}
	want("closed: by the plan", look(true, sums(0, 50, 50, 50), map[string]float64{"b": 6.9, "c": 10.4}), "0 1 1 0 ")
	want("its share of one is used up", look(true, sums(0, 50, 50, 50), map[string]float64{"b": 7.1, "c": 10.4}), "0 0 1 0 ")
	want("not sure, cut off with its zone", look(false, sums(0, 50, 50, 50), map[string]float64{"b": 7.1}), "1 0 1 0 ")
	x.lost["a"] = false
	x.pass(6000)
	x.want("a", clusterstate.Returning)
	x.now = x.b.Zone("a").Since
	want("returning, first step", look(true, sums(10, 10, 10, 10), nil)[:5], "0.25 ")
	x.now += stepInterval
	want("second step", look(true, sums(10, 10, 10, 10), nil)[:4], "0.5 ")
}

// TestRandom plays losses and deafness by random: never more than half are closed, none by one zone alone, and all are open again
// when all is heard for long.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := sit(t)
		for range rapid.IntRange(1, 12).Draw(t, "spells") {
			clear(x.lost)
			x.deaf = map[string]map[string]bool{}
			for _, z := range names {
				x.lost[z] = rapid.IntRange(0, 3).Draw(t, "lost "+z) == 0
			}
			for i := range 8 {
				x.deaf[fmt.Sprint("p", i)] = map[string]bool{rapid.SampledFrom(names).Draw(t, "deaf"): true}
			}
			x.pass(rapid.Float64Range(100, 8000).Draw(t, "ms"))
			closed := 0
			for _, z := range names {
				if x.b.Zone(z).State == clusterstate.Closed {
					closed++
				}
			}
			if closed > 2 {
				t.Fatalf("%d closed", closed)
			}
		}
		clear(x.lost)
		x.deaf = nil
		x.now += restsOver
		x.pass(15000)
		for _, z := range names {
			x.want(z, clusterstate.Open)
		}
	})
}

// restsOver is longer than any rest.
const restsOver = 700e3
