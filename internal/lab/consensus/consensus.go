// Package consensus simulates schedulers that agree on the cluster state, on the simulated clock and network of package sim. It runs the
// program's own packages members, consensus and control, with voters' disks that outlive their processes, and faults drawn from a seed.
//
// Input is a seed; output is a Result with the first violation, and counts. Checked throughout: two processes with the same version of the
// cluster state hold the same bytes; the version that a process holds never decreases; a process whose lease is valid holds all that was
// agreed on longer ago than the lease lasts. In the end all hold one state, which has the present incarnation of each process.
//
// Play runs in one goroutine; Seeds plays many seeds at once. Other simulations start schedulers by StartScheduler.
package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

// Times in ms.
const (
	activeTime    = 20000 // during which faults and commands come
	settleTime    = 12000 // after the faults, within which all have to hold one state
	commandsFrom  = 2500
	maxStaleness  = consensus.LeaseDuration * 1.03
	checkInterval = 25
)

// Result is the outcome of a seed.
type Result struct {
	Seed               uint64
	Failure            string // the first violation, empty if there was none
	Commands, Answered int
	Versions           uint64  // of the cluster state
	Convergence        float64 // ms after the last fault until all held one state with valid leases
}

// simulation is the run of one seed.
type simulation struct {
	result    Result
	clock     *sim.Clock
	rng       *rand.Rand
	faulty    consensus.Faults // injected into the program
	processes []*process
	voters    []string          // their names
	snapshots map[uint64][]byte // by version, as it was first held
	firstHeld []versionMark     // when each version was first held by any process, in order
	diskLost  bool              // a voter has lost its disk
}

// versionMark is when a version was first held.
type versionMark struct {
	at      float64 // true time in ms
	version uint64
}

func newSimulation(seed uint64, faulty consensus.Faults) *simulation {
	return &simulation{
		result: Result{Seed: seed}, clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0xc0)), faulty: faulty, snapshots: map[uint64][]byte{},
	}
}

// Play simulates a seed, with faults injected into the program.
func Play(seed uint64, faulty consensus.Faults) (result Result) {
	sm := newSimulation(seed, faulty)
	defer func() {
		if p := recover(); p != nil {
			sm.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		result = sm.result
	}()
	processes, voters := 3+sm.rng.IntN(6), 3
	if processes >= 5 && sm.rng.IntN(2) == 0 {
		voters = 5
	}
	sm.addProcesses(processes, voters)
	for _, p := range sm.processes {
		p.start()
	}
	sm.scheduleFaults()
	for at := 0.0; at < activeTime; at += 150 + 900*sm.rng.Float64() {
		sm.clock.At(commandsFrom+at, sm.proposeCommand)
	}
	for at := 0.0; at < activeTime+settleTime && sm.result.Failure == ""; at += checkInterval {
		sm.clock.RunUntil(at)
		sm.checkInvariants()
	}
	sm.checkFinalState()
	return sm.result
}

// addProcesses makes processes, the first of them voters.
func (sm *simulation) addProcesses(count, voters int) {
	for i := range voters {
		sm.voters = append(sm.voters, processName(i))
	}
	for i := range count {
		p := &process{sim: sm, name: processName(i), host: sm.clock.NewProcess(processName(i))}
		if i < voters {
			p.disk = &Disk{}
		}
		sm.processes = append(sm.processes, p)
	}
}

func processName(i int) string { return fmt.Sprint("s", i) }

// after calls f after a delay in ms.
func (sm *simulation) after(ms float64, f func()) { sm.clock.At(sm.clock.TrueTime()+ms, f) }

// fail records the first violation.
func (sm *simulation) fail(violation string) {
	if sm.result.Failure == "" {
		sm.result.Failure = fmt.Sprintf("at %.0f ms: %s", sm.clock.TrueTime(), violation)
	}
}

// Seeds plays the seeds from first up to but not including end, as many at a time as there are workers. It leaves out seeds that were not
// played when the context ended.
func Seeds(ctx context.Context, first, end uint64, workers int, faulty consensus.Faults) []Result {
	results := seeds.Run(ctx, first, end, workers, func(seed uint64) Result { return Play(seed, faulty) })
	return slices.DeleteFunc(results, func(r Result) bool { return r.Commands == 0 && r.Failure == "" })
}
