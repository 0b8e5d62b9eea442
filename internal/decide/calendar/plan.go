package calendar

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	week = 7 * 24 * time.Hour
	// slackStep is the step by which a window is postponed within its slack.
	slackStep = 15 * time.Minute
	// timeFormat is the format of times in reasons.
	timeFormat = "Mon 2 Jan 15:04"
)

// Outcome is the decision on an occurrence of a window. The values are part of stored records.
type Outcome uint8

// Outcomes of an occurrence.
const (
	Kept Outcome = iota
	Postponed
	Refused
)

// String returns the name that is shown to operators.
func (o Outcome) String() string { return [...]string{"kept", "postponed", "refused"}[o] }

// Verdict is the decision on one occurrence of a window.
type Verdict struct {
	Window         string    `json:"Window"`
	ScheduledStart time.Time `json:"Nominal"` // according to the calendar
	Outcome        Outcome   `json:"Outcome"`
	DrainStart     time.Time `json:"Drain"` // the nodes get no new tasks from then on
	Start          time.Time `json:"Start"` // the nodes are out of service from then on
	End            time.Time `json:"End"`
	Nodes          []string  `json:"Nodes"` // IDs
	Reason         string    `json:"Why"`   // text for operators
	FleetFraction  float64   `json:"Out"`   // largest fraction of the fleet that is out of service meanwhile, other windows included
	Ending         Ending    `json:"Ending"`
}

// Plan returns the verdicts on all occurrences that are scheduled from an instant (inclusive) to another (exclusive), sorted by scheduled
// start.
//
// Occurrences are decided week by week, from the calendar's first week on. Those of a week are decided in order of priority, then age of the
// window, then scheduled start, then window ID. Each is checked against those decided before it. Therefore the verdict on an occurrence does
// not depend on the requested range.
func Plan(c *Calendar, fleet []Node, limits Limits, load LoadEstimate, from, to time.Time) []Verdict {
	p := &planner{calendar: c, fleet: slices.Clone(fleet), limits: limits, load: load, kinds: map[string]int{}, zones: map[string]int{}}
	slices.SortFunc(p.fleet, func(x, y Node) int { return cmp.Compare(x.ID, y.ID) })
	for _, n := range p.fleet {
		p.kinds[n.Kind]++
		p.zones[n.Zone]++
	}
	var verdicts []Verdict
	for monday := c.firstWeek(); !monday.IsZero() && monday.Before(to); monday = monday.Add(week) {
		for _, o := range p.occurrencesOf(monday) {
			v := p.decide(o)
			if !o.scheduledStart.Before(from) && o.scheduledStart.Before(to) {
				verdicts = append(verdicts, v)
			}
		}
		p.dropBefore(monday)
	}
	slices.SortStableFunc(verdicts, func(x, y Verdict) int {
		return cmp.Or(x.ScheduledStart.Compare(y.ScheduledStart), cmp.Compare(x.Window, y.Window))
	})
	return verdicts
}

// firstWeek returns Monday 0:00 UTC of the week of the calendar's first window, or the zero time if there is no window.
func (c *Calendar) firstWeek() (first time.Time) {
	for i := range c.Windows {
		if t := c.Windows[i].Start; first.IsZero() || t.Before(first) {
			first = t
		}
	}
	if first.IsZero() {
		return first
	}
	first = first.UTC().Truncate(24 * time.Hour)
	return first.AddDate(0, 0, -(int(first.Weekday())+6)%7)
}

// occurrence is an occurrence of a window on which there is no verdict yet.
type occurrence struct {
	window         *Window
	scheduledStart time.Time
	nodes          []int // indices in planner.fleet
}

// span is the time from an instant (inclusive) to another (exclusive).
type span struct{ from, to time.Time }

func (s span) overlaps(t span) bool { return s.from.Before(t.to) && t.from.Before(s.to) }

// reservation is an occurrence that was kept or postponed. Its span is the time from the start of its drain to its end.
type reservation struct {
	span
	window string
	nodes  []int
}

// planner decides on occurrences one after the other.
type planner struct {
	calendar     *Calendar
	fleet        []Node // sorted by ID
	limits       Limits
	load         LoadEstimate   // nil: the load is not checked
	kinds, zones map[string]int // number of nodes by machine kind and by zone
	reservations []reservation
}

// occurrencesOf returns the occurrences of the week that begins on a Monday, in the order in which they are decided.
func (p *planner) occurrencesOf(monday time.Time) []occurrence {
	var all []occurrence
	for i := range p.calendar.Windows {
		w := &p.calendar.Windows[i]
		for _, t := range occurrenceStarts(w.Rule, w.Start, span{monday, monday.Add(week)}) {
			if !slices.ContainsFunc(w.Exceptions, t.Equal) {
				all = append(all, occurrence{w, t, p.nodesOf(w)})
			}
		}
	}
	slices.SortStableFunc(all, func(x, y occurrence) int {
		return cmp.Or(cmp.Compare(y.window.Priority, x.window.Priority), x.window.CreatedAt.Compare(y.window.CreatedAt),
			x.scheduledStart.Compare(y.scheduledStart), cmp.Compare(x.window.ID, y.window.ID))
	})
	return all
}

// nodesOf returns the nodes that a window drains.
func (p *planner) nodesOf(w *Window) (nodes []int) {
	for i := range p.fleet {
		if w.drains(&p.fleet[i]) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// drains reports whether a node is part of the window's target.
func (w *Window) drains(n *Node) bool {
	switch w.Scope {
	case OneNode:
		return n.ID == w.Target
	case Cell:
		return n.Cell == w.Target
	case Zone:
		return n.Zone == w.Target
	}
	return false
}

// dropBefore drops the reservations that ended before a Monday: they cannot overlap an occurrence of a later week.
func (p *planner) dropBefore(monday time.Time) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return r.to.Before(monday) })
}

// decide keeps an occurrence, postpones it to the first time within its slack at which nothing conflicts with it, or refuses it.
func (p *planner) decide(o occurrence) Verdict {
	v := Verdict{Window: o.window.ID, ScheduledStart: o.scheduledStart, Ending: o.window.Ending}
	for _, i := range o.nodes {
		v.Nodes = append(v.Nodes, p.fleet[i].ID)
	}
	firstReason := ""
	for delay := time.Duration(0); delay <= o.window.Slack; delay += slackStep {
		start := o.scheduledStart.Add(delay)
		at := span{start.Add(-o.window.Lead), start.Add(o.window.Duration)}
		reason, fraction := p.conflict(o, at)
		if reason != "" {
			if firstReason == "" {
				firstReason = reason
			}
			continue
		}
		v.DrainStart, v.Start, v.End, v.FleetFraction = at.from, start, at.to, fraction
		if delay > 0 {
			v.Outcome, v.Reason = Postponed, fmt.Sprintf("by %s: %s", delay, firstReason)
		}
		p.reservations = append(p.reservations, reservation{at, o.window.ID, o.nodes})
		return v
	}
	v.Outcome, v.Reason = Refused, firstReason
	return v
}
