package audit

// handlers holds the handler for each kind of record. Kinds without a handler do not matter to the rules.
var handlers = [numKinds]func(*Auditor, *scheduler, *Record){
	SchedulerStarted:   (*Auditor).onSchedulerStarted,
	SchedulerKilled:    func(_ *Auditor, s *scheduler, _ *Record) { s.dead = true },
	SchedulerPaused:    func(_ *Auditor, s *scheduler, r *Record) { s.pausedAt, s.lastPausedAt = r.At, r.At },
	SchedulerResumed:   (*Auditor).onSchedulerResumed,
	RequestSent:        (*Auditor).onRequestSent,
	ResponseReceived:   (*Auditor).onResponse,
	RequestAbandoned:   (*Auditor).onRequestAbandoned,
	EndpointDelivered:  (*Auditor).onEndpointDelivered,
	ListDelivered:      (*Auditor).onListDelivered,
	EndpointChanged:    (*Auditor).onEndpointChanged,
	MaintenanceChanged: (*Auditor).onMaintenanceChanged,
	NodeStarted:        (*Auditor).onNodeStarted,
	NodeOverloaded:     (*Auditor).onNodeOverloaded,
	LinkClosed:         (*Auditor).onLinkClosed,
	PlacementReceived:  (*Auditor).onPlacement,
	TaskStarted:        (*Auditor).onTaskStarted,
	StartConfirmed:     (*Auditor).onStartConfirmed,
	AttemptConcluded:   (*Auditor).onAttemptConcluded,
}

func (a *Auditor) onSchedulerStarted(s *scheduler, r *Record) {
	s.incarnation++
	s.dead, s.pausedAt, s.listDeliveredAt = false, 0, r.At
	s.reset()
}

// onSchedulerResumed changes the time of what was delivered during the pause to now, as the scheduler reads it only after it resumes.
func (a *Auditor) onSchedulerResumed(s *scheduler, r *Record) {
	s.pausedAt, s.resumedAt = 0, r.At
	for id, since := range s.unreadySince {
		if since > s.lastPausedAt {
			s.unreadySince[id] = r.At
		}
	}
}

func (a *Auditor) onRequestSent(s *scheduler, r *Record) {
	a.requests[requestKey{r.Client, r.RequestRef}] = &request{sent: *r, incarnation: s.incarnation}
}

func (a *Auditor) onRequestAbandoned(_ *scheduler, r *Record) {
	if req := a.requests[requestKey{r.Client, r.RequestRef}]; req != nil {
		req.abandoned = true
	}
}

func (a *Auditor) onEndpointDelivered(s *scheduler, r *Record) {
	switch {
	case r.Detail == AvailabilityReady:
		delete(s.unreadySince, r.Node)
	case s.unreadySince[r.Node] == 0:
		s.unreadySince[r.Node] = r.At
	}
}

func (a *Auditor) onListDelivered(s *scheduler, r *Record) {
	if s.listFailed = r.Detail != ""; !s.listFailed {
		s.listDeliveredAt = r.At
	}
}

func (a *Auditor) onEndpointChanged(_ *scheduler, r *Record) {
	setSince(a.unreadySince, r, r.Detail == AvailabilityReady)
}

func (a *Auditor) onMaintenanceChanged(_ *scheduler, r *Record) {
	setSince(a.maintenanceSince, r, r.Detail == MaintenanceOver)
}

// setSince records since when a node is out of service, or that it is back in service.
func setSince(since map[uint32]float64, r *Record, inService bool) {
	if inService {
		delete(since, r.Node)
	} else if _, ok := since[r.Node]; !ok {
		since[r.Node] = r.At
	}
}

// onNodeStarted records a new incarnation of a node, and concludes what its earlier incarnation ran.
func (a *Auditor) onNodeStarted(_ *scheduler, r *Record) {
	a.nodes[r.Node] = &node{startedAt: r.At, cold: r.Detail == StartedCold}
	for _, s := range a.schedulers {
		for _, att := range s.running {
			if att.node == r.Node && att.concludedAt == 0 {
				att.concludedAt = r.At
			}
		}
	}
}

func (a *Auditor) onNodeOverloaded(_ *scheduler, r *Record) {
	a.report(RuleOverload, r.At, "node %d was overloaded and broke down", r.Node)
}

func (a *Auditor) onLinkClosed(s *scheduler, r *Record) {
	for _, attempts := range s.attempts {
		for _, att := range attempts {
			if att.node == r.Node && att.concludedAt == 0 && att.disconnectedAt == 0 {
				att.disconnectedAt = r.At
			}
		}
	}
}

func (a *Auditor) onTaskStarted(s *scheduler, r *Record) {
	if att := s.attempt(r); att != nil {
		att.hasRun = true
	}
}

func (a *Auditor) onStartConfirmed(s *scheduler, r *Record) {
	if att := s.attempt(r); att != nil {
		att.confirmed = true
	}
}

func (a *Auditor) onAttemptConcluded(s *scheduler, r *Record) {
	att := s.attempt(r)
	if att == nil || att.concludedAt != 0 {
		return
	}
	att.concludedAt = r.At
	att.neverRan = (r.Detail == OutcomeRefused || r.Detail == OutcomeBarred) && !att.hasRun
	if att.hasRun && r.Detail == OutcomeRefused {
		a.report(RuleAttempts, r.At, "node %d refused attempt %x.%d, which had already run", r.Node, r.Ticket, r.Attempt)
	}
}
