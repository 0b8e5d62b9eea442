package admission

import (
	"cmp"
	"math"
)

const (
	defaultBurstDelay    = 40  // ms of work that may wait as long as it seldom does
	defaultStandingDelay = 8   // ms of work that may wait under overload
	overloadSpan         = 200 // ms after which an overloaded gate checks whether the overload has ended
	minShedFraction      = 0.2 // of the requests in a span below which it has
	costWeight           = 0.1 // weight of a request in the mean cost

	burstFraction    = 0.2 // of a latency objective, in place of defaultBurstDelay
	standingFraction = 0.05
)

// Gate sheds requests that would wait too long at a shard behind those that have arrived already. It predicts the wait from the number of
// requests ahead and the time that each took lately, because the age of waiting requests shows a flood only when it is too late: a gate
// that opens and closes by age admits a whole flood each time. What a hiccup leaves is worked off; a queue that grows beyond
// MaxBurstDelay is a sign of overload, and then only MaxStandingDelay may wait until few requests are shed. Its zero value is open and has
// the default limits.
type Gate struct {
	MaxBurstDelay    float64 // ms; 0: defaultBurstDelay
	MaxStandingDelay float64 // ms; 0: defaultStandingDelay

	cost           float64 // mean ms of work per request
	overloaded     bool
	spanStart      float64
	admitted, shed int // in the present span
}

// NewGate returns a gate whose limits follow from a latency objective in ms: clients that wait longer let more requests wait.
func NewGate(objective float64) Gate {
	return Gate{MaxBurstDelay: burstFraction * objective, MaxStandingDelay: standingFraction * objective}
}

// OnRound records how long, in ms, a round took that handled a number of requests.
func (g *Gate) OnRound(took float64, requests int) {
	if requests == 0 {
		return
	}
	cost := took / float64(requests)
	if g.cost == 0 {
		g.cost = cost
	}
	weight := 1 - math.Pow(1-costWeight, float64(requests)) // a round of many requests counts as many rounds
	g.cost += weight * (cost - g.cost)
}

// Admit reports whether a request is admitted that lay unread for some ms and has a number of requests ahead.
func (g *Gate) Admit(now, unread float64, ahead int) bool {
	wait := unread + float64(ahead)*g.cost
	if !g.overloaded {
		if wait <= cmp.Or(g.MaxBurstDelay, defaultBurstDelay) {
			return true
		}
		g.overloaded, g.spanStart, g.admitted, g.shed = true, now, 0, 0
	}
	if now-g.spanStart > overloadSpan {
		g.overloaded = float64(g.shed) >= minShedFraction*float64(g.admitted+g.shed)
		g.spanStart, g.admitted, g.shed = now, 0, 0
	}
	if g.overloaded && wait > cmp.Or(g.MaxStandingDelay, defaultStandingDelay) {
		g.shed++
		return false
	}
	g.admitted++
	return true
}

// CostPerRequest returns how many ms of work a request took lately.
func (g *Gate) CostPerRequest() float64 { return g.cost }

// IsOverloaded reports whether the gate sheds by MaxStandingDelay.
func (g *Gate) IsOverloaded() bool { return g.overloaded }
