package sim

import (
	"fmt"
	"testing"
)

// TestSlowNodes delays all messages between a scheduler and its nodes by up to 300 ms each way, so that attempts are given up before their
// nodes answer. Attempts that may run there must still count toward their service's spread.
func TestSlowNodes(t *testing.T) {
	for _, seed := range []uint64{3, 4, 5} {
		s := Script{Seed: seed, Nodes: 4, Schedulers: 1, Shards: 1, ConnectionSharing: "shared", Rate: 100, Duration: 15000}
		for n := range s.Nodes {
			s.Faults = append(s.Faults, Fault{At: 5, Kind: "slow", Target: "s0", Peer: fmt.Sprint("n", n+1), Duration: 25000, Size: 300})
		}
		if v := Run(s, nil, nil); v.Failure != "" || v.Served < 100 {
			t.Errorf("seed %d: got %d of %d requests served, want at least 100 and no failure: %s", seed, v.Served, v.Requests, v.Failure)
		}
	}
}
