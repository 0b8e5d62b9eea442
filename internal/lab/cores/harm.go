package cores

import (
	"math/rand/v2"
	"time"

	"ravenpond/internal/engine"
)

// harmed lets a shard panic or stand still now and then, in the middle of what it does.
type harmed struct {
	engine.Effects
	b    *bench
	rng  *rand.Rand
	next time.Time
}

func (b *bench) harm(e engine.Effects) engine.Effects {
	life := b.lives.Add(1)
	if b.Harm == 0 {
		return e
	}
	h := &harmed{Effects: e, b: b, rng: rand.New(rand.NewPCG(b.Seed, uint64(life)+100))}
	h.next = time.Now().Add(time.Duration(h.rng.ExpFloat64() * float64(b.Harm) * float64(b.Shards)))
	return h
}

// due tells whether a harm is.
func (h *harmed) due() bool {
	if time.Now().Before(h.next) {
		return false
	}
	h.next = time.Now().Add(time.Duration(h.rng.ExpFloat64() * float64(h.b.Harm) * float64(h.b.Shards)))
	h.b.harms.Add(1)
	return true
}

// PermitAttempt is where a shard stands still: longer than the watchdog allows, so that it is fenced and wakes up later with
// a try in hand. Sometimes it has leave for it already, and sometimes it panics with that.
func (h *harmed) PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool {
	harm, kind := h.due(), h.rng.IntN(8)
	if h.b.Trust { // what is left out guards against that alone
		kind = 0
	}
	if harm && kind < 2 {
		time.Sleep(2400 * time.Millisecond)
	}
	ok := h.Effects.PermitAttempt(tenant, token, epoch, nd, ticket, try)
	if harm && kind == 2 {
		time.Sleep(2400 * time.Millisecond)
	} else if harm && kind > 2 {
		panic("planted, with leave for a try")
	}
	return ok
}

// RecordOutcome is where it panics with an outcome in hand.
func (h *harmed) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	if h.rng.IntN(4) == 0 && h.due() {
		panic("planted, with an outcome")
	}
	h.Effects.RecordOutcome(tenant, token, epoch, never)
}
