// Package calendar decides when nodes are drained for maintenance: which windows are kept, which postponed within
// their slack, which refused, and why. The same calendar, fleet and load lead to the same verdicts wherever and
// whenever they are worked out: nothing depends on the present time.
//
// Times here are instants of the calendar (package time), as rules recur in a time zone with its changes of summer
// time; durations are package time's too.
package calendar

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// Scope says what a window drains.
type Scope uint8

const (
	OneNode Scope = iota
	Cell
	Zone
)

func (r Scope) String() string { return [...]string{"node", "cell", "zone"}[r] }

// Ending is what happens to a window whose nodes still hold work at its end.
type Ending uint8

const (
	Release Ending = iota // the nodes come back as they are
	Sweep                 // what may be stopped is stopped, then they come back
	Hold                  // they stay out until they are empty, at most for the window's slack
)

func (e Ending) String() string { return [...]string{"release", "sweep", "hold"}[e] }

// Window is a maintenance window, once or recurring.
type Window struct {
	ID         string
	Scope      Scope
	Target     string        // node's number, cell or zone
	Start      time.Time     // of the first, in the time zone that its rule follows
	Duration   time.Duration // how long the nodes are out
	Rule       string        // RFC 5545 recurrence, "" for once
	Lead       time.Duration // the drain begins so long before
	Slack      time.Duration // it may begin so much later
	Priority   int           // higher goes first
	CreatedAt  time.Time     // among equals the older goes first
	Ending     Ending
	Exceptions []time.Time // starts that are cancelled
}

// ProtectedTime is a time in which nothing may be out.
type ProtectedTime struct {
	ID         string
	Start      time.Time
	Duration   time.Duration
	Rule       string
	Lead, Tail time.Duration
}

// Node is a node of the fleet.
type Node struct {
	ID               string
	Zone, Cell, Kind string
	Cores, Memory    float64
}

// Limits are what may be out at once, and the guard bands.
type Limits struct {
	Fleet, Zone, Kind float64       // parts
	MaxWarmingUp      int           // nodes that may come back within ColdFor
	WarmUp            time.Duration // a node that came back is cold for so long
	LoadMargin        float64       // times the usual load that must find room
	ClockGuard        time.Duration // clocks and lists may be off by so much: windows are kept apart by twice that
}

// Calendar is all windows and protected times.
type Calendar struct {
	Windows   []Window
	Protected []ProtectedTime
}

// maxSpan bounds lead, length and slack of a window together, so that what a week decides depends on the week
// before alone.
const maxSpan = 6 * 24 * time.Hour

// Check names what is wrong with a calendar for a fleet; a window for a place that is not in the fleet is no fault,
// as lists run late: it drains nothing.
func (c *Calendar) Check() error {
	var all []error
	seen := map[string]bool{}
	for _, w := range c.Windows {
		fault := func(format string, args ...any) {
			all = append(all, fmt.Errorf("window %q: %s", w.ID, fmt.Sprintf(format, args...)))
		}
		if w.ID == "" || seen[w.ID] {
			fault("name missing or twice")
		}
		seen[w.ID] = true
		if w.Target == "" {
			fault("no place")
		}
		if w.Duration <= 0 || w.Lead < 0 || w.Slack < 0 {
			fault("impossible length %s, lead %s or slack %s", w.Duration, w.Lead, w.Slack)
		}
		if w.Lead+w.Duration+w.Slack > maxSpan {
			fault("lead, length and slack of %s together, at most %s", w.Lead+w.Duration+w.Slack, maxSpan)
		}
		if w.Start.IsZero() {
			fault("no start")
		} else if _, err := parseRule(w.Rule, w.Start); err != nil {
			fault("%v", err)
		}
	}
	for _, p := range c.Protected {
		if p.Duration <= 0 || p.Lead < 0 || p.Tail < 0 || p.Start.IsZero() {
			all = append(all, fmt.Errorf("protected time %q: impossible start, length, lead or tail", p.ID))
		} else if _, err := parseRule(p.Rule, p.Start); err != nil {
			all = append(all, fmt.Errorf("protected time %q: %w", p.ID, err))
		}
	}
	return errors.Join(all...)
}

// parseRule reads a recurrence rule; nil for once. Its times follow the wall clock of the start's zone, so that a window
// at two in the morning stays there when summer time comes and goes.
func parseRule(text string, start time.Time) (*rrule.RRule, error) {
	if text == "" {
		return nil, nil
	}
	opt, err := rrule.StrToROptionInLocation(text, start.Location())
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	if opt.Freq > rrule.DAILY { // yearly to daily, in that order
		return nil, fmt.Errorf("rule %q: more often than daily", text)
	}
	opt.Dtstart = start
	r, err := rrule.NewRRule(*opt)
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	return r, nil
}

// occurrenceStarts gives the starts from an instant, included, to another, not included.
func occurrenceStarts(text string, start, from, to time.Time) []time.Time {
	r, err := parseRule(text, start)
	if err != nil {
		return nil // Check has named it
	}
	if r == nil {
		if start.Before(from) || !start.Before(to) {
			return nil
		}
		return []time.Time{start}
	}
	all := r.Between(from, to, true)
	return slices.DeleteFunc(all, func(t time.Time) bool { return !t.Before(to) })
}

// Outcome is what a window's occurrence comes to.
type Outcome uint8

const (
	Kept Outcome = iota
	Postponed
	Refused
)

func (o Outcome) String() string { return [...]string{"kept", "postponed", "refused"}[o] }

// Verdict is decided for one occurrence of a window.
type Verdict struct {
	Window         string    `json:"Window"`
	ScheduledStart time.Time `json:"Nominal"` // start as the calendar has it
	Outcome        Outcome   `json:"Outcome"`
	DrainStart     time.Time `json:"Drain"` // from here on nothing new
	Start          time.Time `json:"Start"` // the nodes are out from here
	End            time.Time `json:"End"`   // to here
	Nodes          []string  `json:"Nodes"` // that it drains, by name
	Reason         string    `json:"Why"`   // for a person
	FleetFraction  float64   `json:"Out"`   // part of the fleet out in it at most, others included
	Ending         Ending    `json:"Ending"`
}

// occurrence is a window's on the way to its verdict.
type occurrence struct {
	window         *Window
	scheduledStart time.Time
	nodes          []int
}

// Plan gives the verdicts of all occurrences that start in a time, in order of their starts.
//
// Occurrences are decided week by week from the calendar's first on, a week's in order of priority, then age, then
// name. Each is set against those decided before it. So what is asked for changes nothing in the verdicts, and what
// a process knows of the present does not either.
func Plan(c *Calendar, fleet []Node, limits Limits, load LoadEstimate, from, to time.Time) []Verdict {
	p := &planner{calendar: c, fleet: slices.Clone(fleet), limits: limits, load: load, kinds: map[string]int{}, zones: map[string]int{}}
	slices.SortFunc(p.fleet, func(x, y Node) int { return cmp.Compare(x.ID, y.ID) })
	for _, n := range p.fleet {
		p.kinds[n.Kind]++
		p.zones[n.Zone]++
	}
	var all []Verdict
	for week := c.firstWeek(); !week.IsZero() && week.Before(to); week = week.Add(7 * 24 * time.Hour) {
		for _, o := range p.occurrencesOf(week) {
			v := p.decide(o)
			if !o.scheduledStart.Before(from) && o.scheduledStart.Before(to) {
				all = append(all, v)
			}
		}
		p.dropBefore(week)
	}
	slices.SortStableFunc(all, func(x, y Verdict) int {
		return cmp.Or(x.ScheduledStart.Compare(y.ScheduledStart), cmp.Compare(x.Window, y.Window))
	})
	return all
}

// firstWeek is the beginning, Monday 0 h UTC, of the week of the calendar's first window.
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

type span struct{ from, to time.Time }

func (s span) overlaps(t span) bool { return s.from.Before(t.to) && t.from.Before(s.to) }

// reservation is a verdict that stands, with the time it takes from its drain to its end.
type reservation struct {
	span
	window string
	nodes  []int
}

type planner struct {
	calendar     *Calendar
	fleet        []Node
	limits       Limits
	load         LoadEstimate
	kinds, zones map[string]int
	reservations []reservation
}

// occurrencesOf gives the occurrences of a week in the order in which they are decided.
func (p *planner) occurrencesOf(week time.Time) []occurrence {
	var all []occurrence
	for i := range p.calendar.Windows {
		w := &p.calendar.Windows[i]
		for _, t := range occurrenceStarts(w.Rule, w.Start, week, week.Add(7*24*time.Hour)) {
			if !slices.ContainsFunc(w.Exceptions, t.Equal) {
				all = append(all, occurrence{w, t, p.nodesOf(w)})
			}
		}
	}
	slices.SortStableFunc(all, func(x, y occurrence) int {
		return cmp.Or(cmp.Compare(y.window.Priority, x.window.Priority), x.window.CreatedAt.Compare(y.window.CreatedAt), x.scheduledStart.Compare(y.scheduledStart),
			cmp.Compare(x.window.ID, y.window.ID))
	})
	return all
}

func (p *planner) nodesOf(w *Window) (all []int) {
	for i, n := range p.fleet {
		if w.Scope == OneNode && n.ID == w.Target || w.Scope == Cell && n.Cell == w.Target || w.Scope == Zone && n.Zone == w.Target {
			all = append(all, i)
		}
	}
	return all
}

// dropBefore drops what can't meet anything that is decided after a week.
func (p *planner) dropBefore(week time.Time) {
	p.reservations = slices.DeleteFunc(p.reservations, func(b reservation) bool { return b.to.Before(week) })
}

// slackStep is how finely a window is moved within its slack.
const slackStep = 15 * time.Minute

// decide keeps an occurrence, or moves it to the first time within its slack at which nothing speaks against it.
func (p *planner) decide(o occurrence) Verdict {
	v := Verdict{Window: o.window.ID, ScheduledStart: o.scheduledStart, Ending: o.window.Ending}
	for _, i := range o.nodes {
		v.Nodes = append(v.Nodes, p.fleet[i].ID)
	}
	first := ""
	for delay := time.Duration(0); delay <= o.window.Slack; delay += slackStep {
		start := o.scheduledStart.Add(delay)
		at := span{start.Add(-o.window.Lead), start.Add(o.window.Duration)}
		reason, fraction := p.conflict(o, at)
		if reason != "" {
			if first == "" {
				first = reason
			}
			continue
		}
		v.DrainStart, v.Start, v.End, v.FleetFraction = at.from, start, at.to, fraction
		if delay > 0 {
			v.Outcome, v.Reason = Postponed, fmt.Sprintf("by %s: %s", delay, first)
		}
		p.reservations = append(p.reservations, reservation{at, o.window.ID, o.nodes})
		return v
	}
	v.Outcome, v.Reason = Refused, first
	return v
}

// conflict says what speaks against an occurrence at a time, "" if nothing does, and the part of the fleet that would
// be out. All spans are widened by the guard on either side: another process may see them begin so much earlier and
// end so much later.
func (p *planner) conflict(o occurrence, at span) (reason string, fraction float64) {
	wide := span{at.from.Add(-p.limits.ClockGuard), at.to.Add(p.limits.ClockGuard)}
	for i := range p.calendar.Protected {
		pr := &p.calendar.Protected[i]
		for _, t := range occurrenceStarts(pr.Rule, pr.Start, wide.from.Add(-pr.Duration-pr.Tail), wide.to.Add(pr.Lead)) {
			if wide.overlaps(span{t.Add(-pr.Lead), t.Add(pr.Duration + pr.Tail)}) {
				return fmt.Sprintf("%s is protected from %s", pr.ID, t.Add(-pr.Lead).Format("Mon 2 Jan 15:04")), 0
			}
		}
	}
	if len(o.nodes) == 0 {
		return "", 0 // no such place now: it drains nothing, and is in nobody's way
	}
	for _, instant := range p.instants(wide) {
		unavailable := p.unavailableAt(o, instant)
		reason, share := p.limitViolation(unavailable, instant)
		if fraction = max(fraction, share); reason != "" {
			return reason, fraction
		}
	}
	if reason := p.warmUpViolation(o, at.to); reason != "" {
		return reason, fraction
	}
	return "", fraction
}

// instants are the instants in a span at which the nodes that are out, or the hour of the week, change.
func (p *planner) instants(s span) []time.Time {
	all := []time.Time{s.from}
	for _, b := range p.reservations {
		if from := b.from.Add(-p.limits.ClockGuard); from.After(s.from) && from.Before(s.to) {
			all = append(all, from)
		}
	}
	for t := s.from.Truncate(time.Hour).Add(time.Hour); t.Before(s.to); t = t.Add(time.Hour) {
		all = append(all, t)
	}
	return all
}

// unavailableAt are the nodes that are out at an instant, with the occurrence's own.
func (p *planner) unavailableAt(o occurrence, t time.Time) map[int]string {
	unavailable := map[int]string{}
	for _, b := range p.reservations {
		if !t.Before(b.from.Add(-p.limits.ClockGuard)) && t.Before(b.to.Add(p.limits.ClockGuard)) {
			for _, n := range b.nodes {
				unavailable[n] = b.window
			}
		}
	}
	for _, n := range o.nodes {
		unavailable[n] = o.window.ID
	}
	return unavailable
}

// limitViolation says which limit the nodes that are out would break.
func (p *planner) limitViolation(unavailable map[int]string, t time.Time) (reason string, fraction float64) {
	kinds, zones := map[string]int{}, map[string]int{}
	cores, memory, allCores, allMemory := 0.0, 0.0, 0.0, 0.0
	for i, n := range p.fleet {
		allCores, allMemory = allCores+n.Cores, allMemory+n.Memory
		if _, out := unavailable[i]; out {
			kinds[n.Kind]++
			zones[n.Zone]++
		} else {
			cores, memory = cores+n.Cores, memory+n.Memory
		}
	}
	fraction = float64(len(unavailable)) / float64(len(p.fleet))
	when := t.Format("Mon 2 Jan 15:04")
	if fraction > p.limits.Fleet {
		return fmt.Sprintf("%.0f%% of the fleet would be out on %s, at most %.0f%%", 100*fraction, when, 100*p.limits.Fleet), fraction
	}
	for _, group := range []struct {
		what     string
		out, all map[string]int
		most     float64
	}{{"zone", zones, p.zones, p.limits.Zone}, {"machine kind", kinds, p.kinds, p.limits.Kind}} {
		for _, name := range sortedKeys(group.out) {
			if share := float64(group.out[name]) / float64(group.all[name]); share > group.most {
				return fmt.Sprintf("%.0f%% of %s %s would be out on %s, at most %.0f%%", 100*share, group.what, name, when,
					100*group.most), fraction
			}
		}
	}
	if p.load != nil {
		c, m := p.load.Usual(t)
		if c *= p.limits.LoadMargin; c*allCores > cores {
			return fmt.Sprintf("on %s usually %.0f%% of all cores are asked for, margin included, %.0f%% would be left", when,
				100*c, 100*cores/allCores), fraction
		}
		if m *= p.limits.LoadMargin; m*allMemory > memory {
			return fmt.Sprintf("on %s usually %.0f%% of all memory is asked for, margin included, %.0f%% would be left", when,
				100*m, 100*memory/allMemory), fraction
		}
	}
	return "", fraction
}

// warmUpViolation says whether too many nodes would come back at once: cold ones start slowly, and fall over if driven.
func (p *planner) warmUpViolation(o occurrence, end time.Time) string {
	if p.limits.MaxWarmingUp == 0 {
		return ""
	}
	window := p.limits.WarmUp + 2*p.limits.ClockGuard
	returning := map[int]bool{}
	for _, n := range o.nodes {
		returning[n] = true
	}
	own := len(returning)
	for _, b := range p.reservations {
		if d := b.to.Sub(end); d < window && d > -window {
			for _, n := range b.nodes {
				returning[n] = true
			}
		}
	}
	if len(returning) > p.limits.MaxWarmingUp && len(returning) > own { // one window alone may bring back what it took
		return fmt.Sprintf("%d nodes would come back cold around %s, at most %d", len(returning), end.Format("Mon 2 Jan 15:04"),
			p.limits.MaxWarmingUp)
	}
	return ""
}

func sortedKeys(m map[string]int) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// BlockedByLosses says what speaks against moving work off a window's nodes now, "" if nothing does: nodes that are lost
// count as out. The window itself stands: that nothing new goes to its nodes must be the same at every process, and
// what each knows of losses is not.
func BlockedByLosses(v Verdict, fleet []Node, lost map[string]bool, out map[string]bool, limits Limits) string {
	unavailable, all := 0, max(1, len(fleet))
	own := map[string]bool{}
	for _, n := range v.Nodes {
		own[n] = true
	}
	for _, n := range fleet {
		if lost[n.ID] || out[n.ID] || own[n.ID] {
			unavailable++
		}
	}
	if fraction := float64(unavailable) / float64(all); fraction > limits.Fleet && len(lost) > 0 {
		return fmt.Sprintf("with %d nodes lost %.0f%% of the fleet would be out, at most %.0f%%", len(lost), 100*fraction,
			100*limits.Fleet)
	}
	return ""
}
