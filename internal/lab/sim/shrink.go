package sim

import (
	"fmt"
	"slices"
)

// Limits of the steps of Shrink.
const (
	maxReductions = 6 // applications of each reduction
	maxHalvings   = 4 // of the duration of each fault
)

// reductions lists functions that make a script smaller in one respect.
var reductions = []func(s *Script){
	func(s *Script) { s.Schedulers-- },
	func(s *Script) { s.Shards-- },
	func(s *Script) { s.Nodes-- },
	func(s *Script) { s.Rate *= 0.7 },
	func(s *Script) { s.Duration *= 0.8 },
	func(s *Script) { s.ColdStart = false },
	func(s *Script) { s.ListPolled = false },
	func(s *Script) { s.DynamicTenants = false },
	func(s *Script) { s.Members = false },
	func(s *Script) { s.ConnectionSharing = "shared" },
	func(s *Script) { s.WorkingSetSize = 0 },
}

// shrinker looks for a smaller script that still fails.
type shrinker struct {
	script   Script // smallest failing script so far
	fails    func(Script) bool
	progress func(Script)
}

// Shrink removes from a script what is not needed for it to fail: first faults, then parts of the cluster, load and time. It calls progress
// with each smaller script that still fails.
func Shrink(s Script, fails func(Script) bool, progress func(Script)) Script {
	sh := &shrinker{script: s, fails: fails, progress: progress}
	sh.dropFaults()
	for _, reduce := range reductions {
		sh.reduce(reduce)
	}
	for i := range sh.script.Faults {
		sh.shortenFault(i)
	}
	return sh.script
}

// try makes a candidate the current script if it can be run and still fails. It reports whether it did.
func (sh *shrinker) try(candidate Script) bool {
	if candidate.Check() != nil || !sh.fails(candidate) {
		return false
	}
	sh.script = candidate
	sh.progress(candidate)
	return true
}

// dropFaults removes faults: half of them at once, then fewer, then one by one.
func (sh *shrinker) dropFaults() {
	for size := max(1, len(sh.script.Faults)/2); ; size /= 2 {
		for at := 0; at+size <= len(sh.script.Faults); {
			candidate := sh.script
			candidate.Faults = slices.Delete(slices.Clone(sh.script.Faults), at, at+size)
			if !sh.try(candidate) {
				at++
			}
		}
		if size == 1 {
			return
		}
	}
}

func (sh *shrinker) reduce(reduce func(*Script)) {
	for range maxReductions {
		candidate := sh.script
		reduce(&candidate)
		if fmt.Sprint(candidate) == fmt.Sprint(sh.script) || !sh.try(candidate) {
			return
		}
	}
}

func (sh *shrinker) shortenFault(i int) {
	for range maxHalvings {
		candidate := sh.script
		candidate.Faults = slices.Clone(sh.script.Faults)
		candidate.Faults[i].Duration = truncate(candidate.Faults[i].Duration / 2)
		if candidate.Faults[i].Duration == sh.script.Faults[i].Duration || !sh.try(candidate) {
			return
		}
	}
}
