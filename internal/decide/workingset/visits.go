package workingset

const (
	maxActiveVisits    = 64
	visitRetryInterval = 2000 // ms from a failed visit to the next one of the same node
)

// Visits is a queue of nodes to visit: nodes outside the set to which this scheduler still has to connect once, to ask for the tasks that
// they hold for it. An earlier incarnation of the scheduler may have left some there. The zero value is an empty queue.
type Visits struct {
	waiting []uint32     // in order of arrival
	failed  []visitRetry // sorted by time
	states  map[uint32]visitState
	active  int
}

// visitRetry is the next try of a visit that failed.
type visitRetry struct {
	at float64
	id uint32
}

type visitState uint8

const (
	visitWaiting visitState = iota + 1
	visitActive
)

// Add adds a node to visit, unless it waits or is being visited already.
func (v *Visits) Add(id uint32) {
	if v.states == nil {
		v.states = map[uint32]visitState{}
	}
	if v.states[id] == 0 {
		v.states[id] = visitWaiting
		v.waiting = append(v.waiting, id)
	}
}

// Remove removes a node whose visit has been completed or is no longer needed.
func (v *Visits) Remove(id uint32) {
	if v.states[id] == visitActive {
		v.active--
	}
	delete(v.states, id)
}

// Next returns a node to visit now, or false if none is due or too many visits are active.
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
		if v.states[id] == visitWaiting { // otherwise it has been removed
			v.states[id] = visitActive
			v.active++
			return id, true
		}
	}
	return 0, false
}

// OnFailed records that a visit failed, and schedules another one.
func (v *Visits) OnFailed(now float64, id uint32) {
	if v.states[id] != visitActive {
		return
	}
	v.active--
	v.states[id] = visitWaiting
	v.failed = append(v.failed, visitRetry{now + visitRetryInterval, id})
}

// Pending returns the number of visits that wait or are active.
func (v *Visits) Pending() int { return len(v.states) }
