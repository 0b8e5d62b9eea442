// Package isolation decides how far a process is cut off from the other members, by how many it knows and how many of them are alive. A
// degree takes effect after a delay, so that none flaps with a suspicion or a single death. The caller passes the time; a Monitor is not safe
// for concurrent use.
package isolation

// Degree is how far a process is cut off.
type Degree uint8

// Degrees, from the best to the worst.
const (
	Complete Degree = iota // no member is missing
	Majority               // this process is in the larger part
	Minority               // this process is in a part that is not the larger one
	Isolated               // no other member is alive
)

// String returns the name that logs and views show.
func (d Degree) String() string {
	return [...]string{"whole", "large-part", "small-part", "alone"}[d%4]
}

// Delays in ms after which a degree takes effect.
const (
	worsenDelay  = 500
	improveDelay = 3000
)

// Monitor follows the degree of one process. Its zero value is Complete.
type Monitor struct {
	current   Degree
	candidate Degree // takes effect when its delay has passed
	since     float64
	pending   bool // there is a candidate
}

// Classify returns the degree of a moment, by the number of other members that are alive and that are known.
func Classify(alive, known int) Degree {
	switch {
	case alive >= known:
		return Complete
	case alive == 0:
		return Isolated
	case 2*(alive+1) > known+1: // with this process, more than half
		return Majority
	}
	return Minority
}

// Update handles how many other members are alive now, of those that are known and have not left. It returns the degree in effect, and
// whether it has just changed.
func (m *Monitor) Update(now float64, alive, known int) (d Degree, changed bool) {
	next := Classify(alive, known)
	switch {
	case next == m.current:
		m.pending = false
	case !m.pending || next != m.candidate && (next > m.current) != (m.candidate > m.current):
		m.candidate, m.since, m.pending = next, now, true
	case next != m.candidate:
		m.candidate = next // worse or better still: the delay runs on
	}
	if !m.pending || now-m.since < m.delay() {
		return m.current, false
	}
	m.current, m.pending = m.candidate, false
	return m.current, true
}

// delay returns the delay of the candidate, ms.
func (m *Monitor) delay() float64 {
	if m.candidate > m.current {
		return worsenDelay
	}
	return improveDelay
}

// Degree returns the degree in effect.
func (m *Monitor) Degree() Degree { return m.current }
