// Package isolation decides how far a process is cut off from the others, by how many it knows and how many of them are there.
// Degrees are entered late and left later, so that none flaps with a suspicion or a single death.
package isolation

// Degree is how far a process is cut off.
type Degree uint8

const (
	Whole Degree = iota // nobody is missing
	Large               // it is in the larger part
	Small               // it is in a part that is not the larger one
	Alone               // it hears nobody, and knows of others
)

func (d Degree) String() string {
	return [...]string{"whole", "large-part", "small-part", "alone"}[d%4]
}

// Times in ms: a worse degree counts once it has lasted so long, a better one after longer.
const (
	worse  = 500
	better = 3000
)

// Gauge tells the degree. The zero value is whole.
type Gauge struct {
	now   Degree
	next  Degree
	since float64
	wait  bool
}

// Of is the degree of a moment: so many others are there, of so many that should be.
func Of(alive, known int) Degree {
	switch {
	case alive >= known:
		return Whole
	case alive == 0:
		return Alone
	case 2*(alive+1) > known+1: // with this one, more than half
		return Large
	}
	return Small
}

// Look takes how many others are there now, of so many that are known and have not left. It tells the degree that counts,
// and whether that has just changed.
func (g *Gauge) Look(now float64, alive, known int) (d Degree, turned bool) {
	to := Of(alive, known)
	switch {
	case to == g.now:
		g.wait = false
	case !g.wait || to != g.next && (to > g.now) != (g.next > g.now):
		g.next, g.since, g.wait = to, now, true
	case to != g.next:
		g.next = to // still the same way: its time runs on
	}
	if lasts := map[bool]float64{true: worse, false: better}[g.next > g.now]; g.wait && now-g.since >= lasts {
		g.now, g.wait = g.next, false
		return g.now, true
	}
	return g.now, false
}

// Now is the degree that counts.
func (g *Gauge) Now() Degree { return g.now }
