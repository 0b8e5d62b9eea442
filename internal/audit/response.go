package audit

// onResponse checks a final answer: it has to be the only one, in time, and "declined" only if nothing may run.
func (a *Auditor) onResponse(_ *scheduler, r *Record) {
	req := a.requests[requestKey{r.Client, r.RequestRef}]
	if req == nil {
		a.report(RuleAnswer, r.At, "client %d got an answer to request %d, which it never sent", r.Client, r.RequestRef)
		return
	}
	req.responses++
	switch {
	case req.responses > 1:
		a.report(RuleAnswer, r.At, "client %d got %d answers to request %d, want one", r.Client, req.responses, r.RequestRef)
	case r.At > req.sent.Deadline && !a.isExcused(req):
		a.report(RuleAnswer, r.At, "answer to request %d of client %d came %.0f ms after the deadline", r.RequestRef, r.Client, r.At-req.sent.Deadline)
	}
	s := a.scheduler(req.sent.Scheduler)
	if s.incarnation != req.incarnation {
		return
	}
	if r.Detail != AnswerServed {
		s.finalAnswerAt[req.sent.Token] = r.At
	}
	if r.Detail == AnswerDeclined {
		a.checkDeclined(s, req, r)
	}
}

// checkDeclined checks that a declined request left nothing running that must not start twice, as the client may repeat the request at once.
func (a *Auditor) checkDeclined(s *scheduler, req *request, r *Record) {
	if a.rules.Jobs[req.sent.Job].Semantics == Restartable {
		return
	}
	for _, ticket := range s.ticketsByToken[req.sent.Token] {
		for _, att := range s.attempts[ticket] {
			job := a.rules.Jobs[att.job]
			recognizedEverywhere := job.Semantics == Idempotent && job.Scope == ScopeAll
			if att.sentAt >= req.sent.At && !att.neverRan && !recognizedEverywhere {
				a.report(RuleAttempts, r.At, "request %d of client %d was declined although attempt %x.%d may have run", r.RequestRef, r.Client, ticket, att.number)
			}
		}
	}
}

// isExcused reports whether the scheduler was unable to answer a request in time because it ended, or was paused at the request's deadline.
func (a *Auditor) isExcused(req *request) bool {
	s := a.scheduler(req.sent.Scheduler)
	return s.incarnation != req.incarnation || s.dead || s.pausedAt > 0 || s.resumedAt > req.sent.Deadline-a.rules.Slack
}
