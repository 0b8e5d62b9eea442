package shards

import (
	"math/rand/v2"
	"time"

	"ravenpond/internal/engine"
)

// faultyEffects lets a shard panic or stand still now and then, in the middle of what it does.
type faultyEffects struct {
	engine.Effects
	bench     *testbench
	rng       *rand.Rand
	nextFault time.Time
}

func (b *testbench) injectFaults(e engine.Effects) engine.Effects {
	life := b.incarnations.Add(1)
	if b.FaultInterval == 0 {
		return e
	}
	h := &faultyEffects{Effects: e, bench: b, rng: rand.New(rand.NewPCG(b.Seed, uint64(life)+100))}
	h.nextFault = time.Now().Add(time.Duration(h.rng.ExpFloat64() * float64(b.FaultInterval) * float64(b.Shards)))
	return h
}

// faultDue tells whether a harm is.
func (h *faultyEffects) faultDue() bool {
	if time.Now().Before(h.nextFault) {
		return false
	}
	h.nextFault = time.Now().Add(time.Duration(h.rng.ExpFloat64() * float64(h.bench.FaultInterval) * float64(h.bench.Shards)))
	h.bench.faults.Add(1)
	return true
}

// PermitAttempt is where a shard stands still: longer than the watchdog allows, so that it is fenced and wakes up later with
// a try in hand. Sometimes it has leave for it already, and sometimes it panics with that.
func (h *faultyEffects) PermitAttempt(task engine.OwnedTask, node uint32, attempt engine.AttemptID) bool {
	harm, kind := h.faultDue(), h.rng.IntN(8)
	if h.bench.SkipEpochCheck { // what is left out guards against that alone
		kind = 0
	}
	if harm && kind < 2 {
		time.Sleep(2400 * time.Millisecond)
	}
	ok := h.Effects.PermitAttempt(task, node, attempt)
	if harm && kind == 2 {
		time.Sleep(2400 * time.Millisecond)
	} else if harm && kind > 2 {
		panic("planted, with leave for a try")
	}
	return ok
}

// RecordOutcome is where it panics with an outcome in hand.
func (h *faultyEffects) RecordOutcome(task engine.OwnedTask, neverRan bool) {
	if h.rng.IntN(4) == 0 && h.faultDue() {
		panic("planted, with an outcome")
	}
	h.Effects.RecordOutcome(task, neverRan)
}
