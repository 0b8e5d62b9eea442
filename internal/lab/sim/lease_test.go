package sim

import (
	"fmt"
	"testing"

	"ravenpond/internal/site"
)

// leaseLimit is the limit on the tenant's open allocations. Each of three schedulers has 2 that it never leases; 6 are leased among them.
const leaseLimit = 12

// openCounts holds the largest numbers of the tenant's open allocations in four phases of TestLeasedQuota: all schedulers share, one is
// dead, it is back, and no scheduler reaches another.
type openCounts struct{ all, dead, back, apart int }

func (c *openCounts) onUsage(now float64, tenant string, open []int) {
	sum := open[0] + open[1] + open[2]
	switch {
	case tenant != "a":
	case now > 6000 && now < 8000:
		c.all = max(c.all, sum)
	case now > 13500 && now < 16900:
		c.dead = max(c.dead, open[0]+open[1])
	case now > 23500 && now < 26000:
		c.back = max(c.back, sum)
	case now > 32000 && now < 40000:
		c.apart = max(c.apart, sum)
	}
}

// leaseScript returns a script of three schedulers under more load than a tenant's limit allows. All links between schedulers are cut from
// 26 s on.
func leaseScript(fault Fault) Script {
	s := Script{
		Seed: 3, Nodes: 4, Schedulers: 3, Shards: 1, ConnectionSharing: "shared", Rate: 90, Duration: 40000, Members: true, DynamicTenants: true,
		Faults: []Fault{{At: 10, Kind: "tenant-limit", Target: "a", Size: leaseLimit}},
	}
	for i := range s.Schedulers {
		for j := range s.Schedulers {
			if i != j {
				s.Faults = append(s.Faults, Fault{At: 26000, Kind: "deaf", Target: fmt.Sprint("s", i), Peer: fmt.Sprint("s", j), Duration: 15000})
			}
		}
	}
	s.Faults = append(s.Faults, fault)
	for i := range s.Schedulers {
		for n := range s.Nodes { // each start takes long enough to fill the limit
			s.Faults = append(s.Faults, Fault{At: 5, Kind: "slow", Target: fmt.Sprint("s", i), Peer: fmt.Sprint("n", n+1), Duration: 50000, Size: 300})
		}
	}
	return s
}

// TestLeasedQuota has three schedulers lease parts of a tenant's limit to each other. When one dies, the others use its leased part once the
// leases have expired. When it is back, all three share again. When no scheduler reaches another, each has only the part that it never
// leases. The open allocations never exceed the limit.
func TestLeasedQuota(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		plant *ProgramFault
		want  openCounts
	}{
		{name: "scheduler killed", fault: Fault{At: 8000, Kind: "kill", Target: "s2", Duration: 9000}, want: openCounts{all: 12, dead: 10, back: 12, apart: 6}},
		{name: "scheduler paused", fault: Fault{At: 8000, Kind: "pause", Target: "s2", Duration: 9000}, want: openCounts{all: 12, dead: 10, back: 12, apart: 6}},
		{
			name: "nothing is leased", fault: Fault{At: 8000, Kind: "kill", Target: "s2", Duration: 9000},
			plant: &ProgramFault{Site: func(config *site.Config) { config.Members.LeasedFraction = 0 }},
			want:  openCounts{all: 12, dead: 8, back: 12, apart: 12},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got openCounts
			result := Simulation{Script: leaseScript(c.fault), ProgramFault: c.plant, OnUsage: got.onUsage}.Run()
			if result.Failure != "" {
				t.Error(result.Failure)
			}
			if got != c.want {
				t.Errorf("most open allocations of %d in each phase: got %+v, want %+v", leaseLimit, got, c.want)
			}
		})
	}
}
