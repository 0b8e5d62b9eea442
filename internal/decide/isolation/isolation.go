// Package isolation determines how far a process is partitioned from the other members, by how many of them it knows and how many of those
// are alive. A change takes effect after a delay, so that the degree does not flap when a member is suspected or a single one dies. The
// caller passes the time. A Monitor is not safe for concurrent use.
package isolation

// Degree is the degree to which a process is partitioned from the other members.
type Degree uint8

// Degrees, from the best to the worst.
const (
	Complete Degree = iota // all known members are alive
	Majority               // this process and the members that it finds alive are more than half of all
	Minority               // they are half of all or less
	Isolated               // no other member is alive
)

// String returns the name that logs and membership views show.
func (d Degree) String() string {
	return [...]string{"whole", "large-part", "small-part", "alone"}[d%4]
}

// Delays in ms after which a changed degree takes effect.
const (
	worsenDelay  = 500
	improveDelay = 3000
)

// Monitor tracks the degree of one process. In its zero value, the degree is Complete.
type Monitor struct {
	current   Degree
	candidate Degree  // takes effect when its delay has passed
	since     float64 // ms; start of the delay
	pending   bool    // there is a candidate
}

// Classify returns the degree without any delay, by the number of other members that are alive and the number that are known.
func Classify(alive, known int) Degree {
	switch {
	case alive >= known:
		return Complete
	case alive == 0:
		return Isolated
	case 2*(alive+1) > known+1: // more than half, this process included
		return Majority
	}
	return Minority
}

// Update records at time now in ms how many other members are known and have not left, and how many of them are alive. It returns the degree
// in effect and whether it has just changed.
func (m *Monitor) Update(now float64, alive, known int) (d Degree, changed bool) {
	next := Classify(alive, known)
	switch {
	case next == m.current:
		m.pending = false
	case !m.pending || next != m.candidate && (next > m.current) != (m.candidate > m.current):
		m.candidate, m.since, m.pending = next, now, true
	case next != m.candidate:
		m.candidate = next // the change goes on in the same direction: the delay is not restarted
	}
	if !m.pending || now-m.since < m.delay() {
		return m.current, false
	}
	m.current, m.pending = m.candidate, false
	return m.current, true
}

// delay returns the delay in ms after which the candidate takes effect.
func (m *Monitor) delay() float64 {
	if m.candidate > m.current {
		return worsenDelay
	}
	return improveDelay
}

// Degree returns the degree in effect.
func (m *Monitor) Degree() Degree { return m.current }
