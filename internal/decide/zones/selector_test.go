package zones

import (
	"fmt"
	"testing"

	"ravenpond/internal/decide/clusterstate"
)

// selectorFixture is a fixture with the selector of a process in zone a.
type selectorFixture struct {
	*fixture
	selector Selector
}

// summariesWithUse returns summaries of zones of 100 cores each, given the number of used cores in each.
func summariesWithUse(cores ...float64) map[string]Summary {
	summaries := map[string]Summary{}
	for i, used := range cores {
		summaries[zoneNames[i]] = Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: used}
	}
	return summaries
}

// update updates the selector and returns the weights of all zones, each followed by a space.
func (x *selectorFixture) update(in Input) (weights string) {
	in.Now, in.State, in.Processes = x.now, x.state, 2
	byZone := x.selector.Update(in)
	for _, zone := range zoneNames {
		weights += fmt.Sprintf("%g ", byZone[zone])
	}
	return weights
}

// runAtLowLoad updates the selector for 15 s while the load is low.
func (x *selectorFixture) runAtLowLoad() {
	for range 30 {
		x.now += 500
		x.update(Input{LeaseValid: true, Summaries: summariesWithUse(30, 30, 50, 50)})
	}
}

// TestSelector checks the weights at one process while the load grows and falls, while its own zone is unreachable, closed and returning, and
// in degraded mode.
func TestSelector(t *testing.T) {
	x := &selectorFixture{fixture: newFixture(t), selector: Selector{
		OwnZone: "a", LocalityAware: true, Zones: []Location{{"a", "one"}, {"b", "one"}, {"c", "two"}, {"d", "two"}},
	}}
	want := func(name, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got weights %q, want %q", name, got, want)
		}
	}
	updateWithLease := func(summaries map[string]Summary) string {
		return x.update(Input{LeaseValid: true, Summaries: summaries})
	}
	want("low load: only its own zone", updateWithLease(summariesWithUse(50, 50, 50, 50)), "1 0 0 0 ")
	want("its own zone is full: its region", updateWithLease(summariesWithUse(82, 50, 50, 50)), "1 1 0 0 ")
	want("the region is full: all zones", updateWithLease(summariesWithUse(90, 84, 50, 50)), "1 1 1 1 ")
	want("no zone above maxUtilization except its own", updateWithLease(summariesWithUse(90, 86, 50, 50)), "1 0 1 1 ")
	x.runAtLowLoad()
	want("only its own zone after narrowAfter at low load", updateWithLease(summariesWithUse(30, 30, 50, 50)), "1 0 0 0 ")
	ownUnreachable := summariesWithUse(30, 30, 50, 50)
	ownUnreachable["a"] = Summary{Nodes: 6, Capacity: 100}
	want("its own zone is unreachable: its region at once", updateWithLease(ownUnreachable), "1 1 0 0 ")
	x.runAtLowLoad()
	want("degraded mode: no zone that was not in use", x.update(Input{Summaries: summariesWithUse(90, 50, 50, 50)}), "1 0 0 0 ")
	x.closeOwnZone()
	for range 3 {
		updateWithLease(summariesWithUse(0, 50, 50, 50))
	}
	for _, c := range []struct {
		name       string
		leaseValid bool
		own        map[string]float64
		want       string
	}{
		{"its own zone is closed: the zones of the plan", true, map[string]float64{"b": 6.9, "c": 10.4}, "0 1 1 0 "},
		{"its share of one zone is used up", true, map[string]float64{"b": 7.1, "c": 10.4}, "0 0 1 0 "},
		{"degraded mode, partitioned together with its own zone", false, map[string]float64{"b": 7.1}, "1 0 1 0 "},
	} {
		want(c.name, x.update(Input{LeaseValid: c.leaseValid, Summaries: summariesWithUse(0, 50, 50, 50), OwnCores: c.own}), c.want)
	}
	x.lostZones["a"] = false
	x.advance(6000)
	x.wantState("a", clusterstate.Returning)
	x.now = x.state.Zone("a").Since
	want("its own zone returns: first step", updateWithLease(summariesWithUse(10, 10, 10, 10))[:5], "0.25 ")
	x.now += stepInterval
	want("its own zone returns: second step", updateWithLease(summariesWithUse(10, 10, 10, 10))[:4], "0.5 ")
}

// closeOwnZone simulates the loss of zone a until it is closed, and commits a plan that divides its load.
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
