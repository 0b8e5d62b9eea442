package audit

import (
	"slices"
)

func (c *checker) offered(r *Record, s *sched) {
	job, slack := c.rules.Jobs[r.Job], c.rules.Slack
	tries := s.tries[r.Ticket]
	doubtful := 0.0
	var first *place
	for _, p := range tries {
		switch {
		case p.try == r.Try || p.try > r.Try && p.at <= r.At: // one that was sent before may come after
			c.fail(2, r.At, "try %x.%d came after try %d", r.Ticket, r.Try, p.try)
		case p.at <= r.At && p.settled == 0 && p.cut == 0 && r.At < p.until-slack:
			c.fail(2, r.At, "try %x.%d at node %d while try %d is out at node %d", r.Ticket, r.Try, r.Node, p.try, p.node)
		}
		if !p.never && (p.settled == 0 || p.settled <= r.At) && first == nil {
			first, doubtful = p, p.at
		}
	}
	if first != nil {
		x, y := c.rules.Nodes[first.node], c.rules.Nodes[r.Node]
		switch {
		case job.Effect == RunOnce:
			c.fail(2, r.At, "run-once try %x.%d though try %d may have run", r.Ticket, r.Try, first.try)
		case job.Effect == Tokened && r.At > doubtful+job.Window+slack:
			c.fail(2, r.At, "tokened try %x.%d %.0f ms after a doubtful one, window %.0f", r.Ticket, r.Try,
				r.At-doubtful, job.Window)
		case job.Effect == Tokened && (job.Group == 1 && x.Zone != y.Zone || job.Group == 2 && x.Cell != y.Cell):
			c.fail(2, r.At, "tokened try %x.%d outside the group of try %d", r.Ticket, r.Try, first.try)
		}
	}
	if at, ok := s.answers[r.Token]; ok && len(tries) > 0 && at > tries[0].at && r.At > at+slack {
		c.fail(1, r.At, "try %x.%d sent %.0f ms after the final answer", r.Ticket, r.Try, r.At-at)
	}
	if t := s.told[r.Node]; t.since > 0 && r.At > t.since+c.rules.Grace+slack {
		c.fail(3, r.At, "offer to node %d, told %.0f ms ago that it drains or is gone", r.Node, r.At-t.since)
	}
	if since, ok := c.listed[r.Node]; ok && c.rules.Asks && s.heard < since {
		silence := c.rules.AskEvery // for so long it may not have asked; after a failed call four times that
		if s.failed {
			silence *= 4
		}
		if r.At > max(since, s.heard, s.resumed)+silence+c.rules.Grace+slack {
			c.fail(3, r.At, "offer to node %d, not ready for %.0f ms, last word of the list %.0f ms ago", r.Node,
				r.At-since, r.At-s.heard)
		}
	}
	if since, ok := c.windows[r.Node]; ok && r.At > max(since, s.resumed)+c.rules.Grace+slack {
		c.fail(3, r.At, "offer to node %d, which the calendar took out %.0f ms ago", r.Node, r.At-since)
	}
	c.coldOffer(r)
	p := &place{
		ticket: r.Ticket, try: r.Try, node: r.Node, token: r.Token, service: r.Service, job: r.Job, at: r.At,
		until: r.Until,
	}
	c.spread(r, s, p)
	if len(tries) == 0 {
		s.byToken[r.Token] = append(s.byToken[r.Token], r.Ticket)
	}
	s.tries[r.Ticket] = append(tries, p)
}

// coldOffer counts offers to a node that has just come up, from all schedulers.
func (c *checker) coldOffer(r *Record) {
	n := c.nodes[r.Node]
	if n == nil || !n.cold || r.At > n.born+c.rules.ColdFor {
		return
	}
	n.offers = slices.DeleteFunc(n.offers, func(at float64) bool { return at <= r.At-c.rules.ColdWindow })
	if n.offers = append(n.offers, r.At); len(n.offers) > c.rules.ColdBears {
		c.fail(4, r.At, "%d offers within %.0f ms to cold node %d, which bears %d", len(n.offers), c.rules.ColdWindow,
			r.Node, c.rules.ColdBears)
	}
}

// spread counts a service's tries that are out or run where the new one goes.
func (c *checker) spread(r *Record, s *sched, p *place) {
	job := c.rules.Jobs[r.Job]
	if job.Spread == 0 {
		return
	}
	here, there, together := c.rules.Nodes[r.Node], Stand{}, 0
	s.running = slices.DeleteFunc(s.running, func(q *place) bool {
		// The sender's time-out runs from its send, which the far end sees later than it sees the next one leave.
		return q.settled > 0 || !q.confirmed && (q.cut > 0 || r.At > q.until-c.rules.Slack)
	})
	for _, q := range s.running {
		there = c.rules.Nodes[q.node]
		if q.service == r.Service && (q.node == r.Node || job.Spread == 2 && here.Cell == there.Cell ||
			job.Spread == 3 && here.Zone == there.Zone) {
			together++
		}
	}
	if together >= job.Most {
		c.fail(5, r.At, "%d of service %x at node %d or its place, at most %d", together+1, r.Service, r.Node, job.Most)
	}
	s.running = append(s.running, p)
}
