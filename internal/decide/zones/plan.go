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
	planInterval  = 2000 // ms between two plans, unless a zone has closed since
	minPlanChange = 0.1  // fraction of the load that leaves closed zones by which a new plan has to differ
)

// Transfer is how many cores of the load that leaves one zone another is to take.
type Transfer struct {
	From, To string
	Cores    uint32
}

// Latency returns how far one zone is from another. Only the order of the values counts.
type Latency func(from, to string) float64

// Plan divides the load of closed zones among the others, nearest first, within the capacity that maxUtilization leaves them: all
// processes together never fill a zone beyond it, and load that fits nowhere is taken by nobody. It returns false if the committed plan
// still serves.
func (c *Controller) Plan(now float64, state *clusterstate.State, zones []string, latency Latency) ([]Transfer, bool) {
	capacities := c.capacities(now)
	c.recordUse(now, state, zones, capacities)
	b := planner{state: state, zones: zones, capacities: capacities, lastUsed: c.lastUsed}
	b.balance()
	want := b.divide(latency)
	if !c.isPlanDue(now, state, want, b.totalNeed()) {
		return nil, false
	}
	c.lastPlanAt = now
	var plan []Transfer
	for way, cores := range want {
		plan = append(plan, Transfer{way.From, way.To, cores})
	}
	slices.SortFunc(plan, func(x, y Transfer) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	return plan, true
}

// capacities returns the most plausible summary of each zone: the one of the highest capacity in the reports that count.
func (c *Controller) capacities(now float64) map[string]Summary {
	best := map[string]Summary{}
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		report := c.reports[name]
		if now-report.receivedAt > maxReportAge {
			continue
		}
		for zone, s := range report.summaries {
			if b, ok := best[zone]; !ok || s.Capacity > b.Capacity {
				best[zone] = s
			}
		}
	}
	return best
}

// recordUse remembers the use of open zones that are not lost. It is the load that has to go elsewhere if the zone closes; after the loss
// the reported use falls, because the tasks there end.
func (c *Controller) recordUse(now float64, state *clusterstate.State, zones []string, capacities map[string]Summary) {
	if c.lastUsed == nil {
		return
	}
	for _, name := range zones {
		zone := state.Zone(name)
		if zone.State == clusterstate.Open && now-zone.Since > reopenAfter && c.observations[name].health != lost {
			c.lastUsed[name] = capacities[name].Used
		}
	}
}

// isPlanDue reports whether a plan replaces the committed one: it differs enough from it, and the last change was long enough ago.
func (c *Controller) isPlanDue(now float64, state *clusterstate.State, want map[clusterstate.Route]uint32, totalNeed float64) bool {
	version, each := state.Plan()
	difference, count := uint32(0), 0
	each(func(way clusterstate.Route, cores uint32) bool {
		count++
		difference = max(difference, max(cores, want[way])-min(cores, want[way]))
		return true
	})
	switch {
	case count == len(want) && float64(difference) < minPlanChange*totalNeed:
		return false
	case now-c.lastPlanAt < planInterval && version > 0 && count > 0:
		return false
	}
	return len(want) > 0 || count > 0
}

// planner balances the zones' spare capacity and the load of closed zones.
type planner struct {
	state      *clusterstate.State
	zones      []string
	capacities map[string]Summary
	lastUsed   map[string]float64

	spare map[string]float64 // cores that a zone can take
	need  map[string]float64 // cores that have to leave a zone
}

// balance computes what each zone can take or has to give.
func (p *planner) balance() {
	p.spare, p.need = map[string]float64{}, map[string]float64{}
	for _, name := range p.zones {
		summary := p.capacities[name]
		switch p.state.Zone(name).State {
		case clusterstate.Open, clusterstate.Suspect:
			p.spare[name] = max(0, maxUtilization*summary.Capacity-summary.Used)
		case clusterstate.Closed:
			p.need[name] = p.lastUsed[name]
			if p.need[name] == 0 { // this leader has not seen the zone open: assume as much as the others use
				p.need[name] = max(summary.Used, p.meanUsed())
			}
		}
	}
}

// meanUsed returns the mean use of the zones that are not closed.
func (p *planner) meanUsed() float64 {
	sum, n := 0.0, 0.0
	for _, name := range p.zones {
		if s := p.capacities[name]; s.Capacity > 0 && p.state.Zone(name).State != clusterstate.Closed {
			sum, n = sum+s.Used, n+1
		}
	}
	return sum / max(1, n)
}

// divide gives the load of each closed zone to the others, the nearest first. Each closed zone gets an equal part of the spare capacity.
func (p *planner) divide(latency Latency) map[clusterstate.Route]uint32 {
	transfers := map[clusterstate.Route]uint32{}
	closed := slices.Sorted(maps.Keys(p.need))
	for _, from := range closed {
		rest := p.need[from]
		nearest := slices.SortedFunc(maps.Keys(p.spare), func(x, y string) int {
			return cmp.Or(cmp.Compare(latency(from, x), latency(from, y)), cmp.Compare(x, y))
		})
		for _, to := range nearest {
			if cores := math.Floor(min(rest, p.spare[to]/float64(len(closed)), codec.MaxCores)); cores > 0 {
				transfers[clusterstate.Route{From: from, To: to}] = uint32(cores)
				rest -= cores
			}
		}
	}
	return transfers
}

// totalNeed returns the cores that have to leave all closed zones.
func (p *planner) totalNeed() float64 {
	total := 0.0
	for _, cores := range p.need {
		total += cores
	}
	return total
}
