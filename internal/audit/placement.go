package audit

import "slices"

// failedPollFactor is how many poll intervals a scheduler may wait after a call of the list failed.
const failedPollFactor = 4

// onPlacement checks a placement request that a node received. The rules are about when it was sent: one that arrives late is for its
// node to reject.
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
		a.report(RuleAnswer, r.At, "try %x.%d sent %.0f ms after the final answer", r.Ticket, r.Attempt, r.At-at)
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

// checkOverlap checks that attempts of a ticket come in order and one at a time.
func (a *Auditor) checkOverlap(earlier []*attempt, r *Record) {
	for _, att := range earlier {
		switch {
		case att.number == r.Attempt || att.number > r.Attempt && att.sentAt <= r.At: // one that was sent before may arrive after
			a.report(RuleAttempts, r.At, "try %x.%d came after try %d", r.Ticket, r.Attempt, att.number)
		case att.sentAt <= r.At && att.concludedAt == 0 && att.disconnectedAt == 0 && r.At < att.deadline-a.rules.Slack:
			a.report(RuleAttempts, r.At, "try %x.%d at node %d while try %d is out at node %d", r.Ticket, r.Attempt, r.Node, att.number, att.node)
		}
	}
}

// checkEffect checks that an attempt after one that may have run does no harm.
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
		a.report(RuleAttempts, r.At, "run-once try %x.%d though try %d may have run", r.Ticket, r.Attempt, first.number)
	case job.Semantics == Idempotent && r.At > first.sentAt+job.Window+a.rules.Slack:
		a.report(RuleAttempts, r.At, "tokened try %x.%d %.0f ms after a doubtful one, window %.0f", r.Ticket, r.Attempt, r.At-first.sentAt, job.Window)
	case job.Semantics == Idempotent && !inScope(job.Scope, a.rules.Nodes[first.node], a.rules.Nodes[r.Node]):
		a.report(RuleAttempts, r.At, "tokened try %x.%d outside the group of try %d", r.Ticket, r.Attempt, first.number)
	}
}

// inScope reports whether an idempotency key that one node knows is recognized by the other.
func inScope(scope IdempotencyScope, x, y Location) bool {
	switch scope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkAvailable checks that the node was not drained, gone or under maintenance for longer than the grace period, as far as the
// scheduler could know: by notification, by polls that it should have made, and by its calendar.
func (a *Auditor) checkAvailable(s *scheduler, r *Record) {
	grace, slack := a.rules.DrainGrace, a.rules.Slack
	if since := s.unreadySince[r.Node]; since > 0 && r.At > since+grace+slack {
		a.report(RuleAvailable, r.At, "offer to node %d, told %.0f ms ago that it drains or is gone", r.Node, r.At-since)
	}
	if since, ok := a.unreadySince[r.Node]; ok && a.rules.ListPolled && s.listDeliveredAt < since {
		silence := a.rules.PollInterval
		if s.listFailed {
			silence *= failedPollFactor
		}
		if r.At > max(since, s.listDeliveredAt, s.resumedAt)+silence+grace+slack {
			a.report(RuleAvailable, r.At, "offer to node %d, not ready for %.0f ms, last word of the list %.0f ms ago", r.Node, r.At-since,
				r.At-s.listDeliveredAt)
		}
	}
	if since, ok := a.maintenanceSince[r.Node]; ok && r.At > max(since, s.resumedAt)+grace+slack {
		a.report(RuleAvailable, r.At, "offer to node %d, which the calendar took out %.0f ms ago", r.Node, r.At-since)
	}
}

// checkSlowStart counts placements of all schedulers on a node that warms up.
func (a *Auditor) checkSlowStart(r *Record) {
	n := a.nodes[r.Node]
	if n == nil || !n.cold || r.At > n.startedAt+a.rules.SlowStartDuration {
		return
	}
	n.placements = slices.DeleteFunc(n.placements, func(at float64) bool { return at <= r.At-a.rules.SlowStartWindow })
	if n.placements = append(n.placements, r.At); len(n.placements) > a.rules.SlowStartLimit {
		a.report(RuleOverload, r.At, "%d offers within %.0f ms to cold node %d, which bears %d", len(n.placements), a.rules.SlowStartWindow, r.Node,
			a.rules.SlowStartLimit)
	}
}

// checkSpread counts the attempts of a service that are sent or running in the domain of a new one.
func (a *Auditor) checkSpread(s *scheduler, att *attempt) {
	job := a.rules.Jobs[att.job]
	if job.Spread == SpreadAnywhere {
		return
	}
	s.running = slices.DeleteFunc(s.running, func(other *attempt) bool {
		// The sender's time-out runs from its send, which the far end sees later than it sees the next one leave.
		return other.concludedAt > 0 || !other.confirmed && (other.disconnectedAt > 0 || att.sentAt > other.deadline-a.rules.Slack)
	})
	together := 0
	for _, other := range s.running {
		if other.service == att.service && a.sameDomain(job.Spread, att.node, other.node) {
			together++
		}
	}
	if together >= job.MaxTogether {
		a.report(RuleSpread, att.sentAt, "%d of service %x at node %d or its place, at most %d", together+1, att.service, att.node, job.MaxTogether)
	}
	s.running = append(s.running, att)
}

// sameDomain reports whether two nodes are in one domain of a spread.
func (a *Auditor) sameDomain(spread Spread, x, y uint32) bool {
	at, other := a.rules.Nodes[x], a.rules.Nodes[y]
	return x == y || spread == SpreadCell && at.Cell == other.Cell || spread == SpreadZone && at.Zone == other.Zone
}
