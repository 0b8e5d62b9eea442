package shards

import (
	"math/rand/v2"
	"time"

	"ravenpond/internal/engine"
)

// faultyEffects has a shard panic or pause at random intervals, while it is at work.
type faultyEffects struct {
	engine.Effects
	bench     *testbench
	rng       *rand.Rand
	nextFault time.Time
}

func (b *testbench) injectFaults(e engine.Effects) engine.Effects {
	incarnation := b.incarnations.Add(1)
	if b.FaultInterval == 0 {
		return e
	}
	faulty := &faultyEffects{Effects: e, bench: b, rng: rand.New(rand.NewPCG(b.Seed, uint64(incarnation)+100))}
	faulty.nextFault = time.Now().Add(time.Duration(faulty.rng.ExpFloat64() * float64(b.FaultInterval) * float64(b.Shards)))
	return faulty
}

// faultDue reports whether the next fault is due, and draws the time of the one after it.
func (h *faultyEffects) faultDue() bool {
	if time.Now().Before(h.nextFault) {
		return false
	}
	h.nextFault = time.Now().Add(time.Duration(h.rng.ExpFloat64() * float64(h.bench.FaultInterval) * float64(h.bench.Shards)))
	h.bench.faults.Add(1)
	return true
}

// PermitAttempt pauses the shard for longer than the watchdog allows, so that it is fenced and resumes later with an attempt to send.
// Sometimes it pauses with the permit already taken, and sometimes it panics with the permit.
func (h *faultyEffects) PermitAttempt(task engine.OwnedTask, node uint32, attempt engine.AttemptID) bool {
	faultNow, kind := h.faultDue(), h.rng.IntN(8)
	if h.bench.SkipEpochCheck { // The epoch check guards against a pause before the permit only.
		kind = 0
	}
	if faultNow && kind < 2 {
		time.Sleep(2400 * time.Millisecond)
	}
	permitted := h.Effects.PermitAttempt(task, node, attempt)
	if faultNow && kind == 2 {
		time.Sleep(2400 * time.Millisecond)
	} else if faultNow && kind > 2 {
		panic("injected fault: a shard panics with a permit for an attempt")
	}
	return permitted
}

// RecordOutcome sometimes panics with an outcome that is not recorded yet.
func (h *faultyEffects) RecordOutcome(task engine.OwnedTask, neverRan bool) {
	if h.rng.IntN(4) == 0 && h.faultDue() {
		panic("injected fault: a shard panics with an outcome to record")
	}
	h.Effects.RecordOutcome(task, neverRan)
}
