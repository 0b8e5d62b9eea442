package sim

import (
	"runtime"
	"strings"
	"testing"

	"ravenpond/internal/audit"
	"ravenpond/internal/site"
)

// TestSeedsWithSet plays drawn scripts with working sets: nothing may break.
func TestSeedsWithSet(t *testing.T) {
	sum := Batch{To: 40, Workers: runtime.NumCPU(), Change: func(s Script) Script { return s.WithWorkingSet(2) }}.Run(t.Context())
	for _, v := range sum.Failures {
		t.Errorf("seed %d: %s\n%s", v.Script.Seed, v.Failure, v.Script)
	}
	if sum.Seeds != 40 || sum.Served < sum.Requests*7/10 {
		t.Errorf("%d seeds, %d of %d asks served", sum.Seeds, sum.Served, sum.Requests)
	}
}

// longWork is a script of work that runs longer than a scheduler waits for a node that is gone, with sets that follow
// the load: they grow and shrink with bursts, and begin small again when a scheduler comes back.
func longWork(seed uint64) Simulation {
	working := site.WorkingSet{MinNodes: 2, SpareFactor: 3, NodesPerStart: 0.2, MinPerStratum: 1, NarrowAfter: 400}
	faults := []Fault{
		{At: 2000, Kind: "flood", Duration: 1500, Size: 4},
		{At: 9000, Kind: "kill", Target: "s0", Duration: 300},
		{At: 13_000, Kind: "flood", Duration: 1500, Size: 4},
		{At: 20_000, Kind: "kill", Target: "s1", Duration: 300},
	}
	return Simulation{TaskRuntime: 10_000, SettleTime: 20_000, WorkingSet: &working, Script: Script{
		Seed: seed, Nodes: 12, Schedulers: 2, Shards: 1,
		ConnectionSharing: "shared", Rate: 8, Duration: 28_000, Faults: faults,
	}}
}

// harm is what a scheduler without a way to its work does: it tells that work is lost that runs, and starts work that
// runs already. Some of the latter comes of a kill itself: owners ask again before all nodes were heard.
type harm struct{ lost, twice int }

// played plays work that runs long, of several seeds, and sums up what went wrong. No node fails, so no work is lost.
func played(t *testing.T, least int, plant *ProgramFault) (all harm) {
	for seed := range uint64(6) {
		type attempt struct {
			ticket uint64
			number uint8
		}
		tokens, runs := map[attempt]uint64{}, map[uint64]int{}
		g := longWork(seed)
		g.WorkingSet.MinNodes, g.ProgramFault = least, plant
		g.OnRecord = func(r *audit.Record) {
			a := attempt{r.Ticket, r.Attempt}
			switch r.Kind {
			case audit.PlacementReceived:
				tokens[a] = r.Token
			case audit.TaskStarted:
				if runs[tokens[a]]++; runs[tokens[a]] > 1 {
					all.twice++
				}
			case audit.AttemptConcluded:
				runs[tokens[a]] = max(0, runs[tokens[a]]-1)
			}
		}
		v := g.Run()
		if v.Failure != "" && plant == nil || v.Served < 50 {
			t.Errorf("seed %d: %d served, %s", seed, v.Served, v.Failure)
		}
		all.lost += v.LostTasks
	}
	return all
}

// TestSetPlants plants faults in what keeps a scheduler's way to its work: each must be found, and without them work
// fares as it does where schedulers work with all nodes.
func TestSetPlants(t *testing.T) {
	full, set := played(t, 0, nil), played(t, 2, nil)
	wrong := func(h harm) bool { return h.lost > full.lost || h.twice > 2*full.twice }
	if full.lost > 0 || wrong(set) {
		t.Errorf("all nodes: %+v, working sets: %+v", full, set)
	}
	for i := range WorkingSetFaults {
		h := played(t, 2, &WorkingSetFaults[i])
		t.Logf("%q: %+v, without it %+v, with all nodes %+v", WorkingSetFaults[i].Name, h, set, full)
		if !wrong(h) {
			t.Errorf("%q is not found", WorkingSetFaults[i].Name)
		}
	}
}

// TestSetText writes and reads a script with a set.
func TestSetText(t *testing.T) {
	s := Draw(3).WithWorkingSet(7)
	back, err := Parse(strings.NewReader(s.String()))
	if err != nil || back.WorkingSetSize != 7 || back.String() != s.String() {
		t.Errorf("%v\n%s\n%s", err, s, back)
	}
	s.ConnectionSharing = "own"
	if s.Check() == nil {
		t.Error("a set of shards with connections of their own passes")
	}
}
