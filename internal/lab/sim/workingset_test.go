package sim

import (
	"runtime"
	"strings"
	"testing"

	"ravenpond/internal/audit"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// TestSeedsWithWorkingSet runs random scripts with working sets. None may fail.
func TestSeedsWithWorkingSet(t *testing.T) {
	sum := Batch{To: 40, Workers: runtime.NumCPU(), Change: func(s Script) Script { return s.WithWorkingSet(2) }}.Run(t.Context())
	for _, r := range sum.Failures {
		t.Errorf("seed %d: %s\n%s", r.Script.Seed, r.Failure, r.Script)
	}
	if sum.Seeds != 40 || sum.Served < sum.Requests*7/10 {
		t.Errorf("got %d seeds and %d of %d requests served, want 40 seeds and at least 7 of 10 requests served", sum.Seeds, sum.Served, sum.Requests)
	}
}

// longTasks returns a simulation of tasks that run longer than a scheduler waits for a node that is gone. Its working sets follow the load:
// they grow and shrink with bursts, and are small again when a scheduler restarts.
func longTasks(seed uint64) Simulation {
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

// taskHarm counts the effects of a scheduler that can't reach its tasks: clients are notified that running tasks are lost, and tasks are started
// twice. Some second starts follow from the kills, as clients repeat requests before the scheduler has heard from all nodes.
type taskHarm struct{ lost, startedTwice int }

// startCounter counts second starts of running tasks.
type startCounter struct {
	tokens       map[standin.AttemptID]uint64
	running      map[uint64]int // by token
	startedTwice int
}

func (c *startCounter) onRecord(r *audit.Record) {
	id := standin.AttemptID{Ticket: r.Ticket, Attempt: r.Attempt}
	switch r.Kind {
	case audit.PlacementReceived:
		c.tokens[id] = r.Token
	case audit.TaskStarted:
		if c.running[c.tokens[id]]++; c.running[c.tokens[id]] > 1 {
			c.startedTwice++
		}
	case audit.AttemptConcluded:
		c.running[c.tokens[id]] = max(0, c.running[c.tokens[id]]-1)
	}
}

// runLongTasks runs longTasks with six seeds and returns the total harm. No node fails, so no task may be lost.
func runLongTasks(t *testing.T, minNodes int, fault *ProgramFault) (total taskHarm) {
	t.Helper()
	for seed := range uint64(6) {
		starts := &startCounter{tokens: map[standin.AttemptID]uint64{}, running: map[uint64]int{}}
		sim := longTasks(seed)
		sim.WorkingSet.MinNodes, sim.ProgramFault, sim.OnRecord = minNodes, fault, starts.onRecord
		r := sim.Run()
		if r.Failure != "" && fault == nil || r.Served < 50 {
			t.Errorf("seed %d: got %d requests served, want at least 50; failure: %s", seed, r.Served, r.Failure)
		}
		total.lost += r.LostTasks
		total.startedTwice += starts.startedTwice
	}
	return total
}

// TestWorkingSetFaults injects faults into the code that lets a scheduler reach its tasks. Each must be detected. Without them there is
// no more harm than where schedulers work with all nodes, apart from second starts, which may double.
func TestWorkingSetFaults(t *testing.T) {
	full, set := runLongTasks(t, 0, nil), runLongTasks(t, 2, nil)
	isWorse := func(h taskHarm) bool { return h.lost > full.lost || h.startedTwice > 2*full.startedTwice }
	if full.lost > 0 || isWorse(set) {
		t.Errorf("harm with all nodes %+v, want no lost task; with working sets %+v, want no more lost tasks and at most twice the second starts", full, set)
	}
	for i := range WorkingSetFaults {
		h := runLongTasks(t, 2, &WorkingSetFaults[i])
		t.Logf("fault %q: harm %+v, without the fault %+v, with all nodes %+v", WorkingSetFaults[i].Name, h, set, full)
		if !isWorse(h) {
			t.Errorf("fault %q is not detected", WorkingSetFaults[i].Name)
		}
	}
}

// TestWorkingSetText formats and parses a script with a working set.
func TestWorkingSetText(t *testing.T) {
	s := Draw(3).WithWorkingSet(7)
	parsed, err := Parse(strings.NewReader(s.String()))
	if err != nil || parsed.WorkingSetSize != 7 || parsed.String() != s.String() {
		t.Errorf("parsed script differs or has no working set of 7 nodes: %v\n%s\n%s", err, s, parsed)
	}
	s.ConnectionSharing = "own"
	if s.Check() == nil {
		t.Error("a script with a working set and shards with connections of their own passes Check")
	}
}
