package zones

import (
	"fmt"
	"testing"

	"ravenpond/internal/decide/clusterstate"
)

// selectorFixture is a selector of a process in zone a.
type selectorFixture struct {
	*fixture
	selector Selector
}

// used returns summaries of zones of 100 cores each, of which some are used.
func used(cores ...float64) map[string]Summary {
	summaries := map[string]Summary{}
	for i, used := range cores {
		summaries[names[i]] = Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: used}
	}
	return summaries
}

// update returns the weights of all zones, each followed by a space.
func (x *selectorFixture) update(in Input) (weights string) {
	in.Now, in.State, in.Processes = x.now, x.state, 2
	byZone := x.selector.Update(in)
	for _, zone := range names {
		weights += fmt.Sprintf("%g ", byZone[zone])
	}
	return weights
}

// repeat updates for 15 s while the load is low.
func (x *selectorFixture) repeat() {
	for range 30 {
		x.now += 500
		x.update(Input{LeaseValid: true, Summaries: used(30, 30, 50, 50)})
	}
}

// TestSelector follows one process through the loss of its own zone, in degraded mode too.
func TestSelector(t *testing.T) {
	x := &selectorFixture{fixture: newFixture(t), selector: Selector{
		OwnZone: "a", LocalityAware: true, Zones: []Location{{"a", "one"}, {"b", "one"}, {"c", "two"}, {"d", "two"}},
	}}
	want := func(name, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	current := func(summaries map[string]Summary) string {
		return x.update(Input{LeaseValid: true, Summaries: summaries})
	}
	want("low load: its own zone", current(used(50, 50, 50, 50)), "1 0 0 0 ")
	want("its own is full: its region", current(used(82, 50, 50, 50)), "1 1 0 0 ")
	want("the region is full: all", current(used(90, 84, 50, 50)), "1 1 1 1 ")
	want("none beyond the limit but its own", current(used(90, 86, 50, 50)), "1 0 1 1 ")
	x.repeat()
	want("near again after a while", current(used(30, 30, 50, 50)), "1 0 0 0 ")
	unreachable := used(30, 30, 50, 50)
	unreachable["a"] = Summary{Nodes: 6, Capacity: 100}
	want("its own is unreachable: its region at once", current(unreachable), "1 1 0 0 ")
	x.repeat()
	want("degraded: nothing new is used", x.update(Input{Summaries: used(90, 50, 50, 50)}), "1 0 0 0 ")
	x.closeOwnZone()
	for range 3 {
		current(used(0, 50, 50, 50))
	}
	for _, c := range []struct {
		name       string
		leaseValid bool
		own        map[string]float64
		want       string
	}{
		{"closed: by the plan", true, map[string]float64{"b": 6.9, "c": 10.4}, "0 1 1 0 "},
		{"its share of one is used up", true, map[string]float64{"b": 7.1, "c": 10.4}, "0 0 1 0 "},
		{"degraded, cut off with its zone", false, map[string]float64{"b": 7.1}, "1 0 1 0 "},
	} {
		want(c.name, x.update(Input{LeaseValid: c.leaseValid, Summaries: used(0, 50, 50, 50), OwnCores: c.own}), c.want)
	}
	x.lostZones["a"] = false
	x.advance(6000)
	x.wantState("a", clusterstate.Returning)
	x.now = x.state.Zone("a").Since
	want("returning, first step", current(used(10, 10, 10, 10))[:5], "0.25 ")
	x.now += stepInterval
	want("second step", current(used(10, 10, 10, 10))[:4], "0.5 ")
}

// closeOwnZone has zone a be lost and closed, and divides its load.
func (x *selectorFixture) closeOwnZone() {
	x.lostZones["a"] = true
	x.advance(1500)
	x.wantState("a", clusterstate.Closed)
	x.lastNumber++
	plan := clusterstate.SetPlan{Shares: []clusterstate.Share{{From: "a", To: "b", Cores: 14}, {From: "a", To: "c", Cores: 21}}}
	if _, err := x.state.Apply(x.state.Version()+1, command("p0", 1+x.lastNumber, x.now, plan)); err != nil {
		x.t.Fatalf("%v", err)
	}
}
