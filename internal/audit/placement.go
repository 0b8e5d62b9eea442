package audit

import (
	"slices"
)

func (c *checker) checkPlacement(r *Record, s *scheduler) {
	job, slack := c.rules.Jobs[r.Job], c.rules.Slack
	tries := s.attempts[r.Ticket]
	doubtful := 0.0
	var first *attempt
	for _, p := range tries {
		switch {
		case p.number == r.Attempt || p.number > r.Attempt && p.sentAt <= r.At: // one that was sent before may come after
			c.report(2, r.At, "try %x.%d came after try %d", r.Ticket, r.Attempt, p.number)
		case p.sentAt <= r.At && p.concludedAt == 0 && p.disconnectedAt == 0 && r.At < p.deadline-slack:
			c.report(2, r.At, "try %x.%d at node %d while try %d is out at node %d", r.Ticket, r.Attempt, r.Node, p.number, p.node)
		}
		if !p.neverRan && (p.concludedAt == 0 || p.concludedAt <= r.At) && first == nil {
			first, doubtful = p, p.sentAt
		}
	}
	if first != nil {
		x, y := c.rules.Nodes[first.node], c.rules.Nodes[r.Node]
		switch {
		case job.Effect == AtMostOnce:
			c.report(2, r.At, "run-once try %x.%d though try %d may have run", r.Ticket, r.Attempt, first.number)
		case job.Effect == Idempotent && r.At > doubtful+job.Window+slack:
			c.report(2, r.At, "tokened try %x.%d %.0f ms after a doubtful one, window %.0f", r.Ticket, r.Attempt,
				r.At-doubtful, job.Window)
		case job.Effect == Idempotent && (job.Group == 1 && x.Zone != y.Zone || job.Group == 2 && x.Cell != y.Cell):
			c.report(2, r.At, "tokened try %x.%d outside the group of try %d", r.Ticket, r.Attempt, first.number)
		}
	}
	if at, ok := s.finalAnswerAt[r.Token]; ok && len(tries) > 0 && at > tries[0].sentAt && r.At > at+slack {
		c.report(1, r.At, "try %x.%d sent %.0f ms after the final answer", r.Ticket, r.Attempt, r.At-at)
	}
	if t := s.notices[r.Node]; t.unreadySince > 0 && r.At > t.unreadySince+c.rules.DrainGrace+slack {
		c.report(3, r.At, "offer to node %d, told %.0f ms ago that it drains or is gone", r.Node, r.At-t.unreadySince)
	}
	if since, ok := c.unreadySince[r.Node]; ok && c.rules.ListPolled && s.listDeliveredAt < since {
		silence := c.rules.PollInterval // for so long it may not have asked; after a failed call four times that
		if s.listFailed {
			silence *= 4
		}
		if r.At > max(since, s.listDeliveredAt, s.resumedAt)+silence+c.rules.DrainGrace+slack {
			c.report(3, r.At, "offer to node %d, not ready for %.0f ms, last word of the list %.0f ms ago", r.Node,
				r.At-since, r.At-s.listDeliveredAt)
		}
	}
	if since, ok := c.maintenanceSince[r.Node]; ok && r.At > max(since, s.resumedAt)+c.rules.DrainGrace+slack {
		c.report(3, r.At, "offer to node %d, which the calendar took out %.0f ms ago", r.Node, r.At-since)
	}
	c.checkSlowStart(r)
	p := &attempt{
		ticket: r.Ticket, number: r.Attempt, node: r.Node, token: r.Token, service: r.Service, job: r.Job, sentAt: r.At,
		deadline: r.Deadline,
	}
	c.checkSpread(r, s, p)
	if len(tries) == 0 {
		s.ticketsByToken[r.Token] = append(s.ticketsByToken[r.Token], r.Ticket)
	}
	s.attempts[r.Ticket] = append(tries, p)
}

// checkSlowStart counts offers to a node that has just come up, from all schedulers.
func (c *checker) checkSlowStart(r *Record) {
	n := c.nodes[r.Node]
	if n == nil || !n.cold || r.At > n.startedAt+c.rules.SlowStartDuration {
		return
	}
	n.placements = slices.DeleteFunc(n.placements, func(at float64) bool { return at <= r.At-c.rules.SlowStartWindow })
	if n.placements = append(n.placements, r.At); len(n.placements) > c.rules.SlowStartLimit {
		c.report(4, r.At, "%d offers within %.0f ms to cold node %d, which bears %d", len(n.placements), c.rules.SlowStartWindow,
			r.Node, c.rules.SlowStartLimit)
	}
}

// checkSpread counts a service's tries that are out or run where the new one goes.
func (c *checker) checkSpread(r *Record, s *scheduler, p *attempt) {
	job := c.rules.Jobs[r.Job]
	if job.Spread == 0 {
		return
	}
	here, there, together := c.rules.Nodes[r.Node], Location{}, 0
	s.running = slices.DeleteFunc(s.running, func(q *attempt) bool {
		// The sender's time-out runs from its send, which the far end sees later than it sees the next one leave.
		return q.concludedAt > 0 || !q.confirmed && (q.disconnectedAt > 0 || r.At > q.deadline-c.rules.Slack)
	})
	for _, q := range s.running {
		there = c.rules.Nodes[q.node]
		if q.service == r.Service && (q.node == r.Node || job.Spread == 2 && here.Cell == there.Cell ||
			job.Spread == 3 && here.Zone == there.Zone) {
			together++
		}
	}
	if together >= job.MaxTogether {
		c.report(5, r.At, "%d of service %x at node %d or its place, at most %d", together+1, r.Service, r.Node, job.MaxTogether)
	}
	s.running = append(s.running, p)
}
