package workingset

const (
	maxActiveVisits    = 64   // under way
	visitRetryInterval = 2000 // ms after a visit that failed
)

// Visits are the nodes outside the set that are still to be asked once what they hold for this scheduler: an earlier
// incarnation of it may have left tasks there. The zero value has none.
type Visits struct {
	waiting []uint32 // in the order in which they came
	failed  []retry  // in the order of their time
	states  map[uint32]visitState
	active  int
}

type retry struct {
	at float64
	id uint32
}

type visitState uint8

const (
	visitWaits visitState = iota + 1
	visitActive
)

// Add asks for a visit to a node.
func (v *Visits) Add(id uint32) {
	if v.states == nil {
		v.states = map[uint32]visitState{}
	}
	if v.states[id] == 0 {
		v.states[id] = visitWaits
		v.waiting = append(v.waiting, id)
	}
}

// Remove says that a visit is not needed any more, or was made.
func (v *Visits) Remove(id uint32) {
	if v.states[id] == visitActive {
		v.active--
	}
	delete(v.states, id)
}

// Next gives a node to visit now, if one is due.
func (v *Visits) Next(now float64) (id uint32, ok bool) {
	if v.active >= maxActiveVisits {
		return 0, false
	}
	for len(v.failed) > 0 && v.failed[0].at <= now {
		v.waiting = append(v.waiting, v.failed[0].id)
		v.failed = v.failed[1:]
	}
	for len(v.waiting) > 0 {
		id, v.waiting = v.waiting[0], v.waiting[1:]
		if v.states[id] == visitWaits { // else it was dropped
			v.states[id] = visitActive
			v.active++
			return id, true
		}
	}
	return 0, false
}

// OnFailed says that a visit came to nothing: it is made again.
func (v *Visits) OnFailed(now float64, id uint32) {
	if v.states[id] != visitActive {
		return
	}
	v.active--
	v.states[id] = visitWaits
	v.failed = append(v.failed, retry{now + visitRetryInterval, id})
}

// Pending is how many visits are still to be made, or under way.
func (v *Visits) Pending() int { return len(v.states) }
