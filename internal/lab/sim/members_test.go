package sim

import (
	"testing"

	"ravenpond/internal/audit"
)

// TestDrainByGossip cuts a scheduler off from the node list while a node drains. Where schedulers know each other, it learns of the drain
// from the others within two seconds and places no more tasks there. Where they do not, it continues to place tasks on the node.
func TestDrainByGossip(t *testing.T) {
	for _, members := range []bool{true, false} {
		s := Script{Seed: 4, Nodes: 5, Schedulers: 3, Shards: 2, ConnectionSharing: "shared", Rate: 60, Duration: 12000, Members: members, Faults: []Fault{
			{At: 2000, Kind: "cut", Target: "s0", Peer: "list", Duration: 9000},
			{At: 4000, Kind: "drain", Target: "n1", Duration: 6000},
		}}
		late, before := 0, 0
		result := Simulation{Script: s, CountViolations: true, OnRecord: func(r *audit.Record) {
			if r.Kind == audit.PlacementReceived && r.Scheduler[:2] == "s0" && r.Node == 1 {
				switch {
				case r.At > 6000 && r.At < 9900:
					late++
				case r.At < 4000:
					before++
				}
			}
		}}.Run()
		if result.Failure != "" {
			t.Errorf("members %t: %s", members, result.Failure)
		}
		if before < 5 || members && late > 0 || !members && late == 0 {
			t.Errorf("members %t: got %d offers before the drain, want at least 5; got %d from two seconds after it, want some only without members", members, before, late)
		}
	}
}
