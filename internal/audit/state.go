package audit

// requestKey identifies a request, as references are unique only to a client.
type requestKey struct {
	client int
	ref    uint64
}

// request is the state of one request.
type request struct {
	sent        Record
	incarnation int // incarnation of its scheduler when it was sent
	responses   int
	abandoned   bool // the client withdrew it, or its connection ended
}

// attempt is the state of one placement attempt. Times are in ms.
type attempt struct {
	ticket         uint64
	number         uint8
	node           uint32
	token          uint64
	service        uint64
	job            int
	sentAt         float64
	deadline       float64
	concludedAt    float64 // 0 if it has no outcome yet
	neverRan       bool    // its outcome proves that it never ran
	hasRun         bool
	confirmed      bool    // whether its scheduler was notified that it runs
	disconnectedAt float64 // when its connection ended, 0 if it has not
}

// scheduler is the state of one scheduler process. Times are in ms.
type scheduler struct {
	incarnation     int
	dead            bool
	pausedAt        float64 // 0 if it is not paused
	resumedAt       float64
	lastPausedAt    float64
	attempts        map[uint64][]*attempt // by ticket, in order of arrival
	ticketsByToken  map[uint64][]uint64
	running         []*attempt         // attempts that may count against their service's spread
	unreadySince    map[uint32]float64 // when it was notified that a node is not ready
	listDeliveredAt float64
	listFailed      bool               // whether its last call of the list failed
	finalAnswerAt   map[uint64]float64 // time of the last answer other than "served", by token
}

// node is the state of one node.
type node struct {
	startedAt  float64 // ms
	cold       bool
	placements []float64 // times of placements in the last slow-start window, ms
}

func newScheduler() *scheduler {
	s := &scheduler{}
	s.reset()
	return s
}

// reset clears the state that a scheduler process loses when it ends.
func (s *scheduler) reset() {
	s.attempts, s.ticketsByToken, s.finalAnswerAt = map[uint64][]*attempt{}, map[uint64][]uint64{}, map[uint64]float64{}
	s.running, s.unreadySince = nil, map[uint32]float64{}
}

// attempt returns the attempt that a record describes, or nil if it is unknown.
func (s *scheduler) attempt(r *Record) *attempt {
	for _, att := range s.attempts[r.Ticket] {
		if att.number == r.Attempt {
			return att
		}
	}
	return nil
}

// scheduler returns the scheduler with a name, which it creates if it is unknown.
func (a *Auditor) scheduler(name string) *scheduler {
	s := a.schedulers[name]
	if s == nil {
		s = newScheduler()
		a.schedulers[name] = s
	}
	return s
}
