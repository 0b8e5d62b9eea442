package audit

import "slices"

// failedPollFactor is the number of poll intervals that a scheduler may wait after a call of the list failed.
const failedPollFactor = 4

// onPlacement checks a placement request that a node received. The rules apply to the time at which it was sent: rejecting one that arrives
// late is up to the node.
func (a *Auditor) onPlacement(s *scheduler, r *Record) {
	if r.SentAt > 0 {
		sent := *r
		sent.At = r.SentAt
		r = &sent
	}
	earlier := s.attempts[r.Ticket]
	a.checkOverlap(earlier, r)
	a.checkEffect(earlier, r)
	if at, ok := s.finalAnswerAt[r.Token]; ok && len(earlier) > 0 && at > earlier[0].sentAt && r.At > at+a.rules.Slack {
		a.report(RuleAnswer, r.At, "attempt %x.%d was sent %.0f ms after the final answer", r.Ticket, r.Attempt, r.At-at)
	}
	a.checkAvailable(s, r)
	a.checkSlowStart(r)
	att := &attempt{
		ticket: r.Ticket, number: r.Attempt, node: r.Node, token: r.Token, service: r.Service, job: r.Job, sentAt: r.At,
		deadline: r.Deadline,
	}
	a.checkSpread(s, att)
	if len(earlier) == 0 {
		s.ticketsByToken[r.Token] = append(s.ticketsByToken[r.Token], r.Ticket)
	}
	s.attempts[r.Ticket] = append(earlier, att)
}

// checkOverlap checks that the attempts of a ticket are sent in order and one at a time.
func (a *Auditor) checkOverlap(earlier []*attempt, r *Record) {
	for _, att := range earlier {
		switch {
		case att.number == r.Attempt || att.number > r.Attempt && att.sentAt <= r.At: // an attempt that was sent earlier may arrive later
			a.report(RuleAttempts, r.At, "attempt %x.%d was sent after attempt %d", r.Ticket, r.Attempt, att.number)
		case att.sentAt <= r.At && att.concludedAt == 0 && att.disconnectedAt == 0 && r.At < att.deadline-a.rules.Slack:
			a.report(RuleAttempts, r.At, "attempt %x.%d was sent to node %d while attempt %d was open at node %d", r.Ticket, r.Attempt, r.Node, att.number, att.node)
		}
	}
}

// checkEffect checks that a new attempt does no harm if an earlier one may have run.
func (a *Auditor) checkEffect(earlier []*attempt, r *Record) {
	i := slices.IndexFunc(earlier, func(att *attempt) bool {
		return !att.neverRan && (att.concludedAt == 0 || att.concludedAt <= r.At)
	})
	if i < 0 {
		return
	}
	first, job := earlier[i], a.rules.Jobs[r.Job]
	switch {
	case job.Semantics == AtMostOnce:
		a.report(RuleAttempts, r.At, "at-most-once attempt %x.%d was sent although attempt %d may have run", r.Ticket, r.Attempt, first.number)
	case job.Semantics == Idempotent && r.At > first.sentAt+job.Window+a.rules.Slack:
		a.report(RuleAttempts, r.At, "idempotent attempt %x.%d was sent %.0f ms after one that may have run, want within %.0f ms", r.Ticket, r.Attempt, r.At-first.sentAt, job.Window)
	case job.Semantics == Idempotent && !inScope(job.Scope, a.rules.Nodes[first.node], a.rules.Nodes[r.Node]):
		a.report(RuleAttempts, r.At, "idempotent attempt %x.%d was sent outside the idempotency scope of attempt %d, which may have run", r.Ticket, r.Attempt, first.number)
	}
}

// inScope reports whether an idempotency key that one node has seen is recognized by the other.
func inScope(scope IdempotencyScope, x, y Location) bool {
	switch scope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkAvailable checks that the node was not draining, gone or under maintenance for longer than the grace period, as far as the scheduler
// could know: from notifications, from polls that it should have made, and from its maintenance calendar.
func (a *Auditor) checkAvailable(s *scheduler, r *Record) {
	grace, slack := a.rules.DrainGrace, a.rules.Slack
	if since := s.unreadySince[r.Node]; since > 0 && r.At > since+grace+slack {
		a.report(RuleAvailable, r.At, "offer to node %d, %.0f ms after the notification that it drains or is gone", r.Node, r.At-since)
	}
	if since, ok := a.unreadySince[r.Node]; ok && a.rules.ListPolled && s.listDeliveredAt < since {
		silence := a.rules.PollInterval
		if s.listFailed {
			silence *= failedPollFactor
		}
		if r.At > max(since, s.listDeliveredAt, s.resumedAt)+silence+grace+slack {
			a.report(RuleAvailable, r.At, "offer to node %d, which has not been ready for %.0f ms; the list last answered %.0f ms ago", r.Node, r.At-since,
				r.At-s.listDeliveredAt)
		}
	}
	if since, ok := a.maintenanceSince[r.Node]; ok && r.At > max(since, s.resumedAt)+grace+slack {
		a.report(RuleAvailable, r.At, "offer to node %d, whose maintenance window began %.0f ms ago", r.Node, r.At-since)
	}
}

// checkSlowStart checks the number of placements by all schedulers on a node in slow start.
func (a *Auditor) checkSlowStart(r *Record) {
	n := a.nodes[r.Node]
	if n == nil || !n.cold || r.At > n.startedAt+a.rules.SlowStartDuration {
		return
	}
	n.placements = slices.DeleteFunc(n.placements, func(at float64) bool { return at <= r.At-a.rules.SlowStartWindow })
	if n.placements = append(n.placements, r.At); len(n.placements) > a.rules.SlowStartLimit {
		a.report(RuleOverload, r.At, "%d offers within %.0f ms to node %d in slow start, limit %d", len(n.placements), a.rules.SlowStartWindow, r.Node,
			a.rules.SlowStartLimit)
	}
}

// checkSpread checks the number of attempts of a service that are open or running in the spread domain of a new one.
func (a *Auditor) checkSpread(s *scheduler, att *attempt) {
	job := a.rules.Jobs[att.job]
	if job.Spread == SpreadAnywhere {
		return
	}
	s.running = slices.DeleteFunc(s.running, func(other *attempt) bool {
		// The sender's timeout runs from its send, which the node sees later than it sees the next attempt leave: the slack allows for that.
		return other.concludedAt > 0 || !other.confirmed && (other.disconnectedAt > 0 || att.sentAt > other.deadline-a.rules.Slack)
	})
	together := 0
	for _, other := range s.running {
		if other.service == att.service && a.sameDomain(job.Spread, att.node, other.node) {
			together++
		}
	}
	if together >= job.MaxPerDomain {
		a.report(RuleSpread, att.sentAt, "%d tasks of service %x in the spread domain of node %d, limit %d", together+1, att.service, att.node, job.MaxPerDomain)
	}
	s.running = append(s.running, att)
}

// sameDomain reports whether two nodes are in the same spread domain.
func (a *Auditor) sameDomain(spread Spread, x, y uint32) bool {
	at, other := a.rules.Nodes[x], a.rules.Nodes[y]
	return x == y || spread == SpreadCell && at.Cell == other.Cell || spread == SpreadZone && at.Zone == other.Zone
}
