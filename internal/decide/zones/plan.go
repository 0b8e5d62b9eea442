package zones

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

const (
	planInterval  = 2000 // shortest interval between two plans in ms, unless the committed plan is empty, as when the first zone closes
	minPlanChange = 0.1  // smallest difference of a new plan, as a fraction of the load that has to leave closed zones
)

// Transfer is the part of one zone's load, in cores, that another zone takes over.
type Transfer struct {
	From, To string
	Cores    uint32
}

// Latency returns the network latency from one zone to another. Only the order of the values matters.
type Latency func(from, to string) float64

// Plan divides the load of closed zones among the others, nearest first. The processes together fill no zone beyond maxUtilization, and load
// that fits nowhere is not taken over. It returns false if the committed plan remains in effect.
func (c *Controller) Plan(now float64, state *clusterstate.State, zones []string, latency Latency) ([]Transfer, bool) {
	summaries := c.bestSummaries(now)
	c.recordUse(now, state, zones, summaries)
	p := planner{state: state, zones: zones, summaries: summaries, lastUsed: c.lastUsed}
	p.balance()
	transfers := p.divide(latency)
	if !c.isPlanDue(now, state, transfers, p.totalDisplaced()) {
		return nil, false
	}
	c.lastPlanAt = now
	var plan []Transfer
	for route, cores := range transfers {
		plan = append(plan, Transfer{route.From, route.To, cores})
	}
	slices.SortFunc(plan, func(x, y Transfer) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	return plan, true
}

// bestSummaries returns for each zone the summary with the highest capacity among the recent reports, because it is the most plausible one.
func (c *Controller) bestSummaries(now float64) map[string]Summary {
	best := map[string]Summary{}
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		report := c.reports[name]
		if now-report.receivedAt > maxReportAge {
			continue
		}
		for zone, s := range report.summaries {
			if other, ok := best[zone]; !ok || s.Capacity > other.Capacity {
				best[zone] = s
			}
		}
	}
	return best
}

// recordUse records how many cores are in use in each open zone that is not lost. This load has to go elsewhere if the zone closes; after a
// loss the reported use falls, because the tasks in the zone end.
func (c *Controller) recordUse(now float64, state *clusterstate.State, zones []string, summaries map[string]Summary) {
	if c.lastUsed == nil {
		return
	}
	for _, name := range zones {
		zone := state.Zone(name)
		if zone.State == clusterstate.Open && now-zone.Since > reopenAfter && c.observations[name].health != lost {
			c.lastUsed[name] = summaries[name].Used
		}
	}
}

// isPlanDue reports whether a plan replaces the committed one, because it differs enough and the last plan was made long enough ago.
func (c *Controller) isPlanDue(now float64, state *clusterstate.State, transfers map[clusterstate.Route]uint32, totalDisplaced float64) bool {
	version, shares := state.Plan()
	difference, count := uint32(0), 0
	shares(func(route clusterstate.Route, cores uint32) bool {
		count++
		difference = max(difference, max(cores, transfers[route])-min(cores, transfers[route]))
		return true
	})
	switch {
	case count == len(transfers) && float64(difference) < minPlanChange*totalDisplaced:
		return false
	case now-c.lastPlanAt < planInterval && version > 0 && count > 0:
		return false
	}
	return len(transfers) > 0 || count > 0
}

// planner distributes the load of closed zones over the spare capacity of the others.
type planner struct {
	state     *clusterstate.State
	zones     []string
	summaries map[string]Summary
	lastUsed  map[string]float64

	spare     map[string]float64 // cores that each zone can take over
	displaced map[string]float64 // cores in use that have to leave each closed zone
}

// balance computes spare and displaced.
func (p *planner) balance() {
	p.spare, p.displaced = map[string]float64{}, map[string]float64{}
	for _, name := range p.zones {
		summary := p.summaries[name]
		switch p.state.Zone(name).State {
		case clusterstate.Open, clusterstate.Suspect:
			p.spare[name] = max(0, maxUtilization*summary.Capacity-summary.Used)
		case clusterstate.Closed:
			p.displaced[name] = p.lastUsed[name]
			if p.displaced[name] == 0 { // this leader has not seen the zone open, so it assumes the mean use of the others
				p.displaced[name] = max(summary.Used, p.meanUsed())
			}
		}
	}
}

// meanUsed returns the mean number of used cores in the zones that are not closed.
func (p *planner) meanUsed() float64 {
	sum, n := 0.0, 0.0
	for _, name := range p.zones {
		if s := p.summaries[name]; s.Capacity > 0 && p.state.Zone(name).State != clusterstate.Closed {
			sum, n = sum+s.Used, n+1
		}
	}
	return sum / max(1, n)
}

// divide assigns the load of each closed zone to the other zones, nearest first. Each closed zone gets an equal part of the spare capacity.
func (p *planner) divide(latency Latency) map[clusterstate.Route]uint32 {
	transfers := map[clusterstate.Route]uint32{}
	closed := slices.Sorted(maps.Keys(p.displaced))
	for _, from := range closed {
		remaining := p.displaced[from]
		nearest := slices.SortedFunc(maps.Keys(p.spare), func(x, y string) int {
			return cmp.Or(cmp.Compare(latency(from, x), latency(from, y)), cmp.Compare(x, y))
		})
		for _, to := range nearest {
			if cores := math.Floor(min(remaining, p.spare[to]/float64(len(closed)), codec.MaxCores)); cores > 0 {
				transfers[clusterstate.Route{From: from, To: to}] = uint32(cores)
				remaining -= cores
			}
		}
	}
	return transfers
}

// totalDisplaced returns the number of cores in use that have to leave all closed zones.
func (p *planner) totalDisplaced() float64 {
	total := 0.0
	for _, cores := range p.displaced {
		total += cores
	}
	return total
}
