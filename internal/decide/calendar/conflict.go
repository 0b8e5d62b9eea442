package calendar

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// conflict returns why an occurrence can't take place at a time, an empty reason if it can, and the largest fraction of the fleet that would
// be out. All spans are widened by the clock guard on both sides: another process may see them begin earlier and end later by that much.
func (p *planner) conflict(o occurrence, at span) (reason string, fraction float64) {
	wide := span{at.from.Add(-p.limits.ClockGuard), at.to.Add(p.limits.ClockGuard)}
	if reason := p.protection(wide); reason != "" {
		return reason, 0
	}
	if len(o.nodes) == 0 {
		return "", 0 // the target is not in the fleet now: the window drains nothing
	}
	for _, instant := range p.instants(wide) {
		reason, unavailable := p.limitViolation(o, instant)
		if fraction = max(fraction, unavailable); reason != "" {
			return reason, fraction
		}
	}
	return p.warmUpViolation(o, at.to), fraction
}

// protection returns which protected time overlaps a span, an empty string if none does.
func (p *planner) protection(s span) string {
	for i := range p.calendar.Protected {
		protected := &p.calendar.Protected[i]
		within := span{s.from.Add(-protected.Duration - protected.Tail), s.to.Add(protected.Lead)}
		for _, t := range occurrenceStarts(protected.Rule, protected.Start, within) {
			from := t.Add(-protected.Lead)
			if s.overlaps(span{from, t.Add(protected.Duration + protected.Tail)}) {
				return fmt.Sprintf("%s is protected from %s", protected.ID, from.Format(timeFormat))
			}
		}
	}
	return ""
}

// instants returns the instants in a span at which nodes go out, or the hour of the week changes. What limits bound is largest at one of
// them.
func (p *planner) instants(s span) []time.Time {
	all := []time.Time{s.from}
	for _, r := range p.reservations {
		if from := r.from.Add(-p.limits.ClockGuard); from.After(s.from) && from.Before(s.to) {
			all = append(all, from)
		}
	}
	for t := s.from.Truncate(time.Hour).Add(time.Hour); t.Before(s.to); t = t.Add(time.Hour) {
		all = append(all, t)
	}
	return all
}

// unavailableAt returns the nodes that are out at an instant, with those of an occurrence.
func (p *planner) unavailableAt(o occurrence, t time.Time) map[int]bool {
	unavailable := map[int]bool{}
	for _, r := range p.reservations {
		if !t.Before(r.from.Add(-p.limits.ClockGuard)) && t.Before(r.to.Add(p.limits.ClockGuard)) {
			for _, n := range r.nodes {
				unavailable[n] = true
			}
		}
	}
	for _, n := range o.nodes {
		unavailable[n] = true
	}
	return unavailable
}

// remainder is what is out, and what remains of the fleet.
type remainder struct {
	kinds, zones  map[string]int // nodes that are out
	cores, memory float64        // that remain
	allCores      float64
	allMemory     float64
}

func (p *planner) remainder(unavailable map[int]bool) remainder {
	r := remainder{kinds: map[string]int{}, zones: map[string]int{}}
	for i, n := range p.fleet {
		r.allCores, r.allMemory = r.allCores+n.Cores, r.allMemory+n.Memory
		if unavailable[i] {
			r.kinds[n.Kind]++
			r.zones[n.Zone]++
		} else {
			r.cores, r.memory = r.cores+n.Cores, r.memory+n.Memory
		}
	}
	return r
}

// limitViolation returns which limit an occurrence would break at an instant, an empty reason if none, and the fraction of the fleet that
// would be out.
func (p *planner) limitViolation(o occurrence, t time.Time) (reason string, fraction float64) {
	unavailable := p.unavailableAt(o, t)
	fraction = float64(len(unavailable)) / float64(len(p.fleet))
	when := t.Format(timeFormat)
	if fraction > p.limits.Fleet {
		return fmt.Sprintf("%.0f%% of the fleet would be out on %s, at most %.0f%%", 100*fraction, when, 100*p.limits.Fleet), fraction
	}
	r := p.remainder(unavailable)
	if reason := groupViolation("zone", r.zones, p.zones, p.limits.Zone, when); reason != "" {
		return reason, fraction
	}
	if reason := groupViolation("machine kind", r.kinds, p.kinds, p.limits.Kind, when); reason != "" {
		return reason, fraction
	}
	if p.load == nil {
		return "", fraction
	}
	cores, memory := p.load.Usual(t)
	if cores *= p.limits.LoadMargin; cores*r.allCores > r.cores {
		return shortage("cores are", when, 100*cores, 100*r.cores/r.allCores), fraction
	}
	if memory *= p.limits.LoadMargin; memory*r.allMemory > r.memory {
		return shortage("memory is", when, 100*memory, 100*r.memory/r.allMemory), fraction
	}
	return "", fraction
}

// groupViolation returns in which group, such as a zone, too large a fraction of the nodes would be out, an empty string if in none.
func groupViolation(kind string, out, all map[string]int, limit float64, when string) string {
	for _, name := range slices.Sorted(maps.Keys(out)) {
		if fraction := float64(out[name]) / float64(all[name]); fraction > limit {
			return fmt.Sprintf("%.0f%% of %s %s would be out on %s, at most %.0f%%", 100*fraction, kind, name, when, 100*limit)
		}
	}
	return ""
}

// shortage says that the usual load would not fit what remains, both in percent of all. resourceIs names the resource, with its verb.
func shortage(resourceIs, when string, usual, remaining float64) string {
	return fmt.Sprintf("on %s usually %.0f%% of all %s asked for, margin included, %.0f%% would be left", when, usual, resourceIs, remaining)
}

// warmUpViolation returns that too many nodes would come back around the end of an occurrence, an empty string if not: nodes that are warming
// up bear little load.
func (p *planner) warmUpViolation(o occurrence, end time.Time) string {
	if p.limits.MaxWarmingUp == 0 {
		return ""
	}
	within := p.limits.WarmUp + 2*p.limits.ClockGuard
	returning := map[int]bool{}
	for _, n := range o.nodes {
		returning[n] = true
	}
	own := len(returning)
	for _, r := range p.reservations {
		if d := r.to.Sub(end); d < within && d > -within {
			for _, n := range r.nodes {
				returning[n] = true
			}
		}
	}
	if len(returning) > p.limits.MaxWarmingUp && len(returning) > own { // one window alone may bring back all that it took out
		return fmt.Sprintf("%d nodes would come back cold around %s, at most %d", len(returning), end.Format(timeFormat), p.limits.MaxWarmingUp)
	}
	return ""
}

// BlockedByLosses returns why work is not to be moved off the nodes of a verdict now, an empty string if it may be. lost and draining are the
// nodes that are unreachable, and that windows have taken out. The window itself stays open: whether its nodes get new work must be the same
// at every process, and what each knows of losses is not.
func BlockedByLosses(v Verdict, fleet []Node, lost, draining map[string]bool, limits Limits) string {
	own := map[string]bool{}
	for _, n := range v.Nodes {
		own[n] = true
	}
	unavailable := 0
	for _, n := range fleet {
		if lost[n.ID] || draining[n.ID] || own[n.ID] {
			unavailable++
		}
	}
	fraction := float64(unavailable) / float64(max(1, len(fleet)))
	if fraction <= limits.Fleet || len(lost) == 0 {
		return ""
	}
	return fmt.Sprintf("with %d nodes lost %.0f%% of the fleet would be out, at most %.0f%%", len(lost), 100*fraction, 100*limits.Fleet)
}
