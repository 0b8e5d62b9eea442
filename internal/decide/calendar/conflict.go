package calendar

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// conflict returns why an occurrence cannot take place at a time, or an empty reason if it can, and the largest fraction of the fleet that
// would be out of service. Spans are extended by the clock guard on both sides: another process may see them begin earlier and end later by
// that much.
func (p *planner) conflict(o occurrence, at span) (reason string, fraction float64) {
	wide := span{at.from.Add(-p.limits.ClockGuard), at.to.Add(p.limits.ClockGuard)}
	if reason := p.protection(wide); reason != "" {
		return reason, 0
	}
	if len(o.nodes) == 0 {
		return "", 0 // the target is not in the fleet, so the window drains nothing
	}
	for _, instant := range p.instants(wide) {
		reason, unavailable := p.limitViolation(o, instant)
		if fraction = max(fraction, unavailable); reason != "" {
			return reason, fraction
		}
	}
	return p.warmUpViolation(o, at.to), fraction
}

// protection returns the reason if a protected time overlaps a span, or an empty string if none does.
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

// instants returns the start of a span and the instants in it at which nodes go out of service or the hour of the week changes. Whatever the
// limits bound is largest at one of these instants.
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

// unavailableAt returns the nodes that are out of service at an instant, including those of an occurrence.
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

// remainder has the numbers of nodes that are out of service, and the resources that remain in the fleet.
type remainder struct {
	kinds, zones  map[string]int // number of nodes out of service
	cores, memory float64        // of the remaining nodes
	allCores      float64        // of the whole fleet
	allMemory     float64        // of the whole fleet
}

// remainder returns what remains of the fleet without the unavailable nodes.
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

// limitViolation returns which limit an occurrence would exceed at an instant, or an empty reason if none, and the fraction of the fleet that
// would be out of service.
func (p *planner) limitViolation(o occurrence, t time.Time) (reason string, fraction float64) {
	unavailable := p.unavailableAt(o, t)
	fraction = float64(len(unavailable)) / float64(len(p.fleet))
	when := t.Format(timeFormat)
	if fraction > p.limits.Fleet {
		return fmt.Sprintf("%.0f%% of the fleet would be out of service on %s, at most %.0f%% may be", 100*fraction, when, 100*p.limits.Fleet), fraction
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
		return shortage("cores", when, 100*cores, 100*r.cores/r.allCores), fraction
	}
	if memory *= p.limits.LoadMargin; memory*r.allMemory > r.memory {
		return shortage("memory", when, 100*memory, 100*r.memory/r.allMemory), fraction
	}
	return "", fraction
}

// groupViolation returns the reason if too large a fraction of the nodes in a group, such as a zone, would be out of service, or an empty
// string. kind names the kind of group.
func groupViolation(kind string, out, all map[string]int, limit float64, when string) string {
	for _, name := range slices.Sorted(maps.Keys(out)) {
		if fraction := float64(out[name]) / float64(all[name]); fraction > limit {
			return fmt.Sprintf("%.0f%% of %s %s would be out of service on %s, at most %.0f%% may be", 100*fraction, kind, name, when, 100*limit)
		}
	}
	return ""
}

// shortage returns the reason that the usual load does not fit the remaining nodes. Both are in percent of the whole fleet's resource.
func shortage(resource, when string, usual, remaining float64) string {
	return fmt.Sprintf("on %s the usual load needs %.0f%% of all %s, margin included, but %.0f%% would be left", when, usual, resource, remaining)
}

// warmUpViolation returns the reason if too many nodes would return to service around the end of an occurrence, or an empty string. Nodes that
// are warming up can take little load.
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
	if len(returning) > p.limits.MaxWarmingUp && len(returning) > own { // a window by itself may return all nodes that it took out
		return fmt.Sprintf("%d nodes would warm up around %s, at most %d may", len(returning), end.Format(timeFormat), p.limits.MaxWarmingUp)
	}
	return ""
}

// BlockedByLosses returns why tasks must not be moved off the nodes of a verdict now, or an empty string if they may be. lost has the nodes
// that are unreachable, draining those that windows have taken out of service. The window itself stays open: all processes must agree on
// whether its nodes get new work, and they may differ in what they know of losses.
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
	return fmt.Sprintf("with %d nodes lost, %.0f%% of the fleet would be out of service, at most %.0f%% may be",
		len(lost), 100*fraction, 100*limits.Fleet)
}
