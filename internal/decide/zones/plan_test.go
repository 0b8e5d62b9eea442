package zones

import (
	"maps"
	"testing"
)

// TestPlan checks that the load of a closed zone is assigned to the nearest spare capacity, and that no zone is filled beyond maxUtilization.
func TestPlan(t *testing.T) {
	latency := func(from, to string) float64 {
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
		{"the nearest zone has capacity for all load", map[string]float64{"a": 3, "b": 40, "c": 10, "d": 10}, map[string]uint32{"b": 40}},
		{"the nearest zone has capacity for half of the load", map[string]float64{"a": 40, "b": 65, "c": 10, "d": 80}, map[string]uint32{"b": 20, "c": 20}},
		{"all zones together have too little capacity", map[string]float64{"a": 40, "b": 80, "c": 80, "d": 85}, map[string]uint32{"b": 5, "c": 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newFixture(t)
			x.advance(2000)
			x.controller.Plan(x.now, x.state, zoneNames, latency) // records the 40 used cores of each zone, of which none is closed yet
			x.lostZones["a"] = true
			x.advance(1500)
			summaries := map[string]Summary{}
			for zone, used := range c.used {
				summaries[zone] = Summary{Nodes: 6, Reachable: 6, Capacity: 100, Used: used}
			}
			for _, p := range x.state.Processes() {
				x.controller.OnReport(x.now, p.Name, summaries)
			}
			plan, ok := x.controller.Plan(x.now, x.state, zoneNames, latency)
			got := map[string]uint32{}
			for _, transfer := range plan {
				if transfer.From != "a" { // the only closed zone
					t.Errorf("got transfer %+v from a zone that is not closed", transfer)
				}
				got[transfer.To] = transfer.Cores
			}
			if !ok || !maps.Equal(got, c.want) {
				t.Errorf("got transfers %v, want %v", got, c.want)
			}
		})
	}
}
