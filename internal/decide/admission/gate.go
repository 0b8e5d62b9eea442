package admission

import (
	"cmp"
	"math"
)

const (
	defaultBurstDelay    = 40  // ms; default of MaxBurstDelay
	defaultStandingDelay = 8   // ms; default of MaxStandingDelay
	overloadWindow       = 200 // ms after which an overloaded gate checks whether the overload has ended
	minShedFraction      = 0.2 // the overload has ended if a smaller fraction of the window's requests was shed
	costWeight           = 0.1 // weight of one request in the mean cost

	burstFraction    = 0.2  // MaxBurstDelay as a fraction of a latency objective
	standingFraction = 0.05 // MaxStandingDelay as a fraction of a latency objective
)

// Gate sheds requests that would wait too long at a shard behind those that have already arrived. It predicts the wait from the number of
// requests ahead and their mean recent cost. The age of waiting requests would reveal a flood too late: a gate that opens and closes by age
// admits a whole flood each time. A queue up to MaxBurstDelay, as a short stall leaves it, is worked off. A longer queue indicates overload;
// from then on only MaxStandingDelay of work may wait, until few requests are shed. The zero value is not overloaded and uses the default
// limits.
type Gate struct {
	MaxBurstDelay    float64 // ms of work that may wait without overload; 0 means defaultBurstDelay
	MaxStandingDelay float64 // ms of work that may wait under overload; 0 means defaultStandingDelay

	cost           float64 // mean ms of work per request
	overloaded     bool
	windowStart    float64
	admitted, shed int // numbers of requests in the current window
}

// NewGate returns a gate with limits in proportion to a latency objective in ms: the longer clients may wait, the more requests may queue.
func NewGate(objective float64) Gate {
	return Gate{MaxBurstDelay: burstFraction * objective, MaxStandingDelay: standingFraction * objective}
}

// OnRound records the duration, in ms, of a round of the shard that handled a number of requests.
func (g *Gate) OnRound(duration float64, requests int) {
	if requests == 0 {
		return
	}
	cost := duration / float64(requests)
	if g.cost == 0 {
		g.cost = cost
	}
	weight := 1 - math.Pow(1-costWeight, float64(requests)) // a round of n requests weighs as much as n rounds of one request
	g.cost += weight * (cost - g.cost)
}

// Admit reports whether a request is admitted. unread is how many ms it lay unread, and ahead the number of requests that wait before it.
func (g *Gate) Admit(now, unread float64, ahead int) bool {
	wait := unread + float64(ahead)*g.cost
	if !g.overloaded {
		if wait <= cmp.Or(g.MaxBurstDelay, defaultBurstDelay) {
			return true
		}
		g.overloaded, g.windowStart, g.admitted, g.shed = true, now, 0, 0
	}
	if now-g.windowStart > overloadWindow {
		g.overloaded = float64(g.shed) >= minShedFraction*float64(g.admitted+g.shed)
		g.windowStart, g.admitted, g.shed = now, 0, 0
	}
	if g.overloaded && wait > cmp.Or(g.MaxStandingDelay, defaultStandingDelay) {
		g.shed++
		return false
	}
	g.admitted++
	return true
}

// CostPerRequest returns the mean ms of work of recent requests.
func (g *Gate) CostPerRequest() float64 { return g.cost }

// IsOverloaded reports whether the gate is overloaded, so that it sheds by MaxStandingDelay.
func (g *Gate) IsOverloaded() bool { return g.overloaded }
