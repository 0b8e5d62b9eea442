package zones

import "ravenpond/internal/decide/clusterstate"

// maxReportAge is the age in milliseconds beyond which a process's report is ignored.
const maxReportAge = 1500

// processReport is the last report of a process.
type processReport struct {
	receivedAt float64            // ms
	summaries  map[string]Summary // by zone
}

// OnReport records a process's summaries of all zones.
func (c *Controller) OnReport(now float64, process string, summaries map[string]Summary) {
	if c.reports == nil {
		c.init()
	}
	c.reports[process] = processReport{now, summaries}
}

// health is the health of a zone as observed from the other zones.
type health int

const (
	undecided health = iota
	lost
	healthy
)

// observation is the health of a zone and the time in ms since which it has not changed.
type observation struct {
	health health
	since  float64
}

// observe records the present health of a zone and returns the observation.
func (c *Controller) observe(now float64, zone string, h health) observation {
	o, ok := c.observations[zone]
	if !ok || o.health != h {
		o = observation{h, now}
		if c.observations != nil {
			c.observations[zone] = o
		}
	}
	return o
}

// votes counts the zones by what most of their processes report about another zone.
type votes struct {
	zones   int // zones with at least one report
	lost    int // zones that report the other zone as lost
	healthy int // zones that report the other zone as healthy
}

// countVotes counts the recent reports of the processes of other zones about a zone.
func (c *Controller) countVotes(now float64, state *clusterstate.State, zone string) votes {
	type reporters struct{ all, lost, healthy int }
	byZone := map[string]reporters{}
	for name, report := range c.reports {
		process, ok := state.Process(name)
		if !ok || process.Inactive || process.Zone == zone || now-report.receivedAt > maxReportAge {
			continue
		}
		summary := report.summaries[zone]
		if summary.Nodes == 0 {
			continue
		}
		r := byZone[process.Zone]
		r.all++
		switch {
		case summary.isLost():
			r.lost++
		case summary.isHealthy():
			r.healthy++
		}
		byZone[process.Zone] = r
	}
	v := votes{zones: len(byZone)}
	for _, r := range byZone {
		if 2*r.lost > r.all {
			v.lost++
		}
		if 2*r.healthy > r.all {
			v.healthy++
		}
	}
	return v
}

// minLostVotes is the smallest number of zones that have to report a zone as lost.
const minLostVotes = 2

// health returns the result of the votes. A zone is lost if more than half of the zones that report, and at least minLostVotes of them, report
// it as lost; with singleZone, an injected fault, one zone suffices.
func (v votes) health(singleZone bool) health {
	switch {
	case v.lost >= minLostVotes && 2*v.lost > v.zones, singleZone && v.lost >= 1:
		return lost
	case 2*v.healthy > v.zones:
		return healthy
	}
	return undecided
}
