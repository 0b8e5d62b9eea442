package sim

import (
	"fmt"
	"testing"

	"ravenpond/internal/site"
)

// TestLent has three schedulers share a tenant's limit, under more load than it allows. When one dies the others use what it may use no
// more, once it provably uses it no more; when it is back, all three share again; when none hears another each has what is
// never lent alone. At no time more is open than the limit says.
func TestLent(t *testing.T) {
	const may = 12 // 2 each that are never lent, and 6 among all
	parts := func() (all []Fault) {
		for i := range 3 {
			for j := range 3 {
				if i != j {
					all = append(all, Fault{At: 26000, Kind: "deaf", Target: fmt.Sprint("s", i), Peer: fmt.Sprint("s", j), Duration: 15000})
				}
			}
		}
		return all
	}()
	for _, c := range []struct {
		name                   string
		faults                 []Fault
		plant                  *ProgramFault
		all, dead, back, apart int // the most that are seen open while all are there, one is dead, is back, and none hears another
	}{
		{name: "killed", faults: append(parts, Fault{At: 8000, Kind: "kill", Target: "s2", Duration: 9000}), all: 12, dead: 10, back: 12, apart: 6},
		{name: "stopped", faults: append(parts, Fault{At: 8000, Kind: "pause", Target: "s2", Duration: 9000}), all: 12, dead: 10, back: 12, apart: 6},
		{
			name: "lent nothing", faults: append(parts, Fault{At: 8000, Kind: "kill", Target: "s2", Duration: 9000}), plant: &ProgramFault{Site: func(p *site.Config) { p.Members.LeasedPart = 0 }},
			all: 12, dead: 8, back: 12, apart: 12,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Script{
				Seed: 3, Nodes: 4, Schedulers: 3, Shards: 1, ConnectionSharing: "shared", Rate: 90, Duration: 40000, Members: true, DynamicTenants: true,
				Faults: append([]Fault{{At: 10, Kind: "tenant-limit", Target: "a", Size: may}}, c.faults...),
			}
			for i := range s.Schedulers {
				for n := range s.Nodes { // each start takes long enough to fill the limit
					s.Faults = append(s.Faults, Fault{At: 5, Kind: "slow", Target: fmt.Sprint("s", i), Peer: fmt.Sprint("n", n+1), Duration: 50000, Size: 300})
				}
			}
			var all, dead, back, apart int
			v := Simulation{Script: s, ProgramFault: c.plant, OnUsage: func(now float64, tenant string, open []int) {
				sum := open[0] + open[1] + open[2]
				switch {
				case tenant != "a":
				case now > 6000 && now < 8000:
					all = max(all, sum)
				case now > 13500 && now < 16900:
					dead = max(dead, open[0]+open[1])
				case now > 23500 && now < 26000:
					back = max(back, sum)
				case now > 32000 && now < 40000:
					apart = max(apart, sum)
				}
			}}.Run()
			if v.Failure != "" {
				t.Error(v.Failure)
			}
			if all != c.all || dead != c.dead || back != c.back || apart != c.apart {
				t.Errorf("open of %d: %d with all, %d with one dead, %d when it was back, %d where none hears another; %d, %d, %d, %d are expected",
					may, all, dead, back, apart, c.all, c.dead, c.back, c.apart)
			}
		})
	}
}
