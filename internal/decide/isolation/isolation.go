// Package isolation decides how far a process is cut off from the others, by how many it knows and how many of them are there.
// Degrees are entered late and left later, so that none flaps with a suspicion or a single death.
package isolation

// Degree is how far a process is cut off.
type Degree uint8

const (
	Complete Degree = iota // nobody is missing
	Majority               // it is in the larger part
	Minority               // it is in a part that is not the larger one
	Isolated               // it hears nobody, and knows of others
)

func (d Degree) String() string {
	return [...]string{"whole", "large-part", "small-part", "alone"}[d%4]
}

// Times in ms: a worse degree counts once it has lasted so long, a better one after longer.
const (
	worsenDelay  = 500
	improveDelay = 3000
)

// Monitor tells the degree. The zero value is whole.
type Monitor struct {
	current   Degree
	candidate Degree
	since     float64
	pending   bool
}

// Classify is the degree of a moment: so many others are there, of so many that should be.
func Classify(alive, known int) Degree {
	switch {
	case alive >= known:
		return Complete
	case alive == 0:
		return Isolated
	case 2*(alive+1) > known+1: // with this one, more than half
		return Majority
	}
	return Minority
}

// Update takes how many others are there now, of so many that are known and have not left. It tells the degree that counts,
// and whether that has just changed.
func (g *Monitor) Update(now float64, alive, known int) (d Degree, changed bool) {
	to := Classify(alive, known)
	switch {
	case to == g.current:
		g.pending = false
	case !g.pending || to != g.candidate && (to > g.current) != (g.candidate > g.current):
		g.candidate, g.since, g.pending = to, now, true
	case to != g.candidate:
		g.candidate = to // still the same way: its time runs on
	}
	if delay := map[bool]float64{true: worsenDelay, false: improveDelay}[g.candidate > g.current]; g.pending && now-g.since >= delay {
		g.current, g.pending = g.candidate, false
		return g.current, true
	}
	return g.current, false
}

// Degree is the degree that counts.
func (g *Monitor) Degree() Degree { return g.current }
