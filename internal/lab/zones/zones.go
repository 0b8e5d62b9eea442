// Package zones simulates the loss of zones, on the simulated clock and network of package sim: processes in four zones of two regions run
// the program's own packages members, consensus, control and decide/zones. Nodes are modelled only by which of them answer which process.
//
// Input is a seed; output is a Result with the first violation, and times. Checked throughout: no zone is closed that most others reach; never
// more than half of the zones are closed; a process whose lease is valid sends nothing to a zone that was closed long enough ago; no process
// exceeds its share; a lost zone is evacuated by all, and recovers in steps.
//
// Play runs in one goroutine; Seeds plays many seeds at once.
package zones

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

// Times in ms.
const (
	faultsFrom     = 6000 // when the first fault may start; there is a cluster state by then
	settleTime     = 40000
	checkInterval  = 50
	reportInterval = 250  // between two reports of a process on zones
	silenceTimeout = 1000 // after which a node that does not answer counts as unreachable
	maxStaleness   = consensus.LeaseDuration*1.03 + 200
)

// Sizes of each zone.
const (
	nodesPerZone = 10
	zoneCapacity = 640.0 // cores
)

var zoneList = []zones.Location{{Name: "a", Region: "one"}, {Name: "b", Region: "one"}, {Name: "c", Region: "two"}, {Name: "d", Region: "two"}}

// Faults are injected into the program to show that the simulation finds them.
type Faults struct {
	SingleWitness  bool // the report of one other zone closes a zone
	StaleVerdicts  bool // a verdict holds without a valid lease
	UncappedShares bool // shares of the plan are exceeded
}

// Result is the outcome of a seed.
type Result struct {
	Seed       uint64
	Failure    string // the first violation, empty if there was none
	Fault      string // name of the zone fault
	Closings   int
	Evacuation float64 // ms from the loss of a zone until all processes that could know sent nothing there, 0: never
	Recovery   float64 // ms from its return until all sent to their own zones as before, 0: never
}

// simulation is the run of one seed. Times are true times in ms.
type simulation struct {
	result    Result
	faulty    Faults // injected into the program
	clock     *sim.Clock
	rng       *rand.Rand
	processes []*process
	voters    []string // their names

	lostZones   map[string]bool       // zones whose nodes answer no process
	silentNodes map[string]int        // how many nodes of a zone answer no process
	zoneCuts    map[[2]string]bool    // between zones
	brokenLinks map[[2]string]bool    // from a process to a zone
	lastHeard   map[[2]string]float64 // when a process last reached a zone
	load        float64               // fraction of all capacity
	usedCores   map[string]float64    // by zone

	closedSince map[string]float64 // since when zones are closed in the newest cluster state
	lostAt      map[string]float64
	restoredAt  float64
	faultsUntil float64
	targetZone  string                 // zone that has to be evacuated
	mayClose    func(zone string) bool // whether the faults allow a zone to be closed
}

// Play simulates a seed, with faults injected into the program.
func Play(seed uint64, faulty Faults) (result Result) {
	sm := &simulation{
		result: Result{Seed: seed}, faulty: faulty, clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0x20e5)),
		lostZones: map[string]bool{}, silentNodes: map[string]int{}, zoneCuts: map[[2]string]bool{}, brokenLinks: map[[2]string]bool{},
		lastHeard: map[[2]string]float64{}, usedCores: map[string]float64{}, closedSince: map[string]float64{}, lostAt: map[string]float64{},
		mayClose: func(string) bool { return false },
	}
	defer func() {
		if p := recover(); p != nil {
			sm.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		result = sm.result
	}()
	sm.startProcesses()
	sm.faultsUntil = faultsFrom
	sm.scheduleFaults()
	for at := 0.0; at < sm.faultsUntil+settleTime && sm.result.Failure == ""; at += checkInterval {
		sm.clock.RunUntil(at)
		sm.checkVerdicts()
		sm.placeLoad()
	}
	if sm.result.Failure == "" {
		sm.checkFinalState()
	}
	return sm.result
}

// fail records the first violation.
func (sm *simulation) fail(violation string) {
	if sm.result.Failure == "" {
		sm.result.Failure = fmt.Sprintf("at %.0f ms, %s: %s", sm.clock.TrueTime(), sm.result.Fault, violation)
	}
}

// Seeds plays the seeds from first up to but not including end, as many at a time as there are workers. It leaves out seeds that were not
// played when the context ended.
func Seeds(ctx context.Context, first, end uint64, workers int, faulty Faults) []Result {
	results := seeds.Run(ctx, first, end, workers, func(seed uint64) Result { return Play(seed, faulty) })
	return slices.DeleteFunc(results, func(r Result) bool { return r.Fault == "" && r.Failure == "" })
}

// RecoveryTimes returns the times of evacuations and recoveries of all seeds that had them, sorted, in ms.
func RecoveryTimes(results []Result) (evacuations, recoveries []float64) {
	for i := range results {
		if r := &results[i]; r.Evacuation > 0 {
			evacuations = append(evacuations, r.Evacuation)
		}
		if r := &results[i]; r.Recovery > 0 {
			recoveries = append(recoveries, r.Recovery)
		}
	}
	slices.Sort(evacuations)
	slices.Sort(recoveries)
	return evacuations, recoveries
}

// Quantile returns a quantile of sorted values, NaN if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
