package sim

import (
	"testing"

	"ravenpond/internal/audit"
)

// TestWitness cuts the way between one scheduler and a node on which its work runs. Where the others hear the node, nobody is told
// that the work is lost, as it runs on; where they hear it in a later life, its owners are told soon. A scheduler that is alone waits as
// long as it does for any silent node, and then gives up what runs, or what is long over.
func TestWitness(t *testing.T) {
	cut := Fault{At: 10000, Kind: "cut", Target: "s0", Peer: "n1", Duration: 16000}
	for _, c := range []struct {
		name     string
		members  bool
		faults   []Fault
		lost     bool    // owners are told that work on the node is over while it is cut off
		from, to float64 // and when
	}{
		{"the way is broken, others hear the node", true, []Fault{cut}, false, 0, 0},
		{"the way is broken, nobody is asked", false, []Fault{cut}, true, 19000, 23000},
		{"the node began anew, others hear it", true, []Fault{cut, {At: 10100, Kind: "restart", Target: "n1", Duration: 500}}, true, 13000, 17000},
		{"the node began anew, nobody is asked", false, []Fault{cut, {At: 10100, Kind: "restart", Target: "n1", Duration: 500}}, true, 19000, 23000},
		{"the node is dead, the list has it as gone", true, []Fault{cut, {At: 10100, Kind: "lost", Target: "n1", Duration: 30000}}, true, 13000, 23000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Script{Seed: 8, Nodes: 4, Schedulers: 3, Shards: 2, ConnectionSharing: "shared", Rate: 12, Duration: 30000, Members: c.members, Faults: c.faults}
			type ask struct {
				owner int
				ref   uint64
			}
			asked, served, at := map[ask]uint64{}, map[uint64]float64{}, map[uint64]uint32{}
			lost, first, last := 0, 0.0, 0.0
			v := Simulation{Script: s, TaskRuntime: 60000, SettleTime: 62000, OnRecord: func(r *audit.Record) {
				switch key := (ask{r.Client, r.RequestRef}); {
				case r.Kind == audit.PlacementReceived:
					at[r.Token] = r.Node
				case r.Kind == audit.RequestSent:
					if when, ok := served[r.Token]; ok && when < 9000 && at[r.Token] == 1 && r.Scheduler == "s0" && r.At > 10000 && r.At < 26000 {
						if lost++; lost == 1 {
							first = r.At
						}
						last = r.At
					}
					asked[key] = r.Token
					delete(served, r.Token)
				case r.Kind == audit.ResponseReceived && r.Detail == "served":
					served[asked[key]] = r.At
				}
			}}.Run()
			if v.Failure != "" {
				t.Error(v.Failure)
			}
			if c.lost != (lost > 0) || c.lost && (first < c.from || last > c.to) {
				t.Errorf("%d told that their work is over, from %.0f to %.0f ms", lost, first, last)
			}
		})
	}
}
