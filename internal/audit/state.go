package audit

// requestKey identifies a request: references are unique to a client.
type requestKey struct {
	client int
	ref    uint64
}

// request is what is known of one request.
type request struct {
	sent        Record
	incarnation int // of its scheduler when it was sent
	responses   int
	abandoned   bool // the client withdrew it, or its connection ended
}

// attempt is what is known of one placement attempt. Times are ms.
type attempt struct {
	ticket         uint64
	number         uint8
	node           uint32
	token          uint64
	service        uint64
	job            int
	sentAt         float64
	deadline       float64
	concludedAt    float64 // 0: it has no outcome yet
	neverRan       bool    // its outcome proves that it never ran
	hasRun         bool
	confirmed      bool    // its scheduler was notified that it runs
	disconnectedAt float64 // when its connection ended, 0: it has not
}

// scheduler is what is known of one scheduler process. Times are ms.
type scheduler struct {
	incarnation     int
	dead            bool
	pausedAt        float64 // 0: it is not paused
	resumedAt       float64
	lastPausedAt    float64
	attempts        map[uint64][]*attempt // by ticket, in order of arrival
	ticketsByToken  map[uint64][]uint64
	running         []*attempt         // those that may hold a place of their service's spread
	unreadySince    map[uint32]float64 // since when it is notified that a node is not ready
	listDeliveredAt float64
	listFailed      bool               // its last call of the list failed
	finalAnswerAt   map[uint64]float64 // of the last answer other than "served", by token
}

// node is what is known of one node.
type node struct {
	startedAt  float64 // ms
	cold       bool
	placements []float64 // times in the last slow-start window, ms
}

func newScheduler() *scheduler {
	s := &scheduler{}
	s.reset()
	return s
}

// reset forgets what a scheduler process loses when it ends.
func (s *scheduler) reset() {
	s.attempts, s.ticketsByToken, s.finalAnswerAt = map[uint64][]*attempt{}, map[uint64][]uint64{}, map[uint64]float64{}
	s.running, s.unreadySince = nil, map[uint32]float64{}
}

// attempt returns the attempt that a record is about, nil if it is not known.
func (s *scheduler) attempt(r *Record) *attempt {
	for _, att := range s.attempts[r.Ticket] {
		if att.number == r.Attempt {
			return att
		}
	}
	return nil
}

// scheduler returns the scheduler of a name, a new one if it is not known.
func (a *Auditor) scheduler(name string) *scheduler {
	s := a.schedulers[name]
	if s == nil {
		s = newScheduler()
		a.schedulers[name] = s
	}
	return s
}
