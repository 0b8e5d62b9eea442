package workingset

const (
	maxActiveVisits    = 64
	visitRetryInterval = 2000 // ms after a visit that failed
)

// Visits are the nodes outside the set that this scheduler still has to ask once for the tasks that they hold for it: an earlier
// incarnation of the scheduler may have left some there. The zero value is empty.
type Visits struct {
	waiting []uint32     // in order of arrival
	failed  []visitRetry // in order of time
	states  map[uint32]visitState
	active  int
}

// visitRetry is a failed visit that is made again.
type visitRetry struct {
	at float64
	id uint32
}

type visitState uint8

const (
	visitWaiting visitState = iota + 1
	visitActive
)

// Add adds a node to visit.
func (v *Visits) Add(id uint32) {
	if v.states == nil {
		v.states = map[uint32]visitState{}
	}
	if v.states[id] == 0 {
		v.states[id] = visitWaiting
		v.waiting = append(v.waiting, id)
	}
}

// Remove removes a node whose visit is done or no longer needed.
func (v *Visits) Remove(id uint32) {
	if v.states[id] == visitActive {
		v.active--
	}
	delete(v.states, id)
}

// Next returns a node to visit now; false if none is due.
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
		if v.states[id] == visitWaiting { // else it was removed
			v.states[id] = visitActive
			v.active++
			return id, true
		}
	}
	return 0, false
}

// OnFailed records that a visit failed. It is made again.
func (v *Visits) OnFailed(now float64, id uint32) {
	if v.states[id] != visitActive {
		return
	}
	v.active--
	v.states[id] = visitWaiting
	v.failed = append(v.failed, visitRetry{now + visitRetryInterval, id})
}

// Pending returns how many visits are still to be made or active.
func (v *Visits) Pending() int { return len(v.states) }
