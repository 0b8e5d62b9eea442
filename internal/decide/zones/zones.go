// Package zones decides on the loss of zones and what follows. Each process sums up what it hears of each zone; the leader of the
// stewards judges by the sums of processes in other zones and proposes verdicts to the book; and each process reckons from the
// book, or from its careful reading, which zones it sends to.
//
// It guards against verdicts by a broken way: what one process, or one zone, does not hear is judged node by node as
// elsewhere. Against a second zone that closes for the load of the first: load is no evidence, silence is, and no more than half
// of the zones are ever closed. And against zones that come and go: the book's rests double.
package zones

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// Times in milliseconds, and parts.
const (
	maxReportAge      = 1500 // a sum that is older says nothing
	suspectAfter      = 250  // that a zone is lost to others before it is suspect
	closeAfter        = 500  // and again before it is closed
	reopenAfter       = 1000 // that it is heard before it is open again
	returnAfter       = 2000 // or returning
	stepInterval      = 2000 // between two steps of a return
	returnSteps       = 4
	proposeInterval   = 1000 // before a verdict is proposed again
	lostFraction      = 0.25 // of its nodes are heard at most where a zone is lost
	healthyFraction   = 0.75 // and at least where it is well
	maxClosedFraction = 0.5  // of all zones

	widenUtilization  = 0.8  // use of room from which a process looks further than near
	narrowUtilization = 0.6  // and under which it comes back nearer
	narrowAfter       = 5000 // after so long
	maxUtilization    = 0.85 // use of a taker's room that all that leaves other zones may bring it to
	planInterval      = 2000 // between two plans, unless a zone has closed since
	minPlanChange     = 0.1  // part of what leaves by which a plan has to differ
)

// Summary is what a process hears of a zone: of the nodes that it looks at, how many it hears and does not; and of all that the list
// has ready there, the cores and how many are asked for.
type Summary struct {
	Nodes, Reachable int
	Capacity, Used   float64
}

func (s Summary) isLost() bool {
	return s.Nodes > 0 && float64(s.Reachable) <= lostFraction*float64(s.Nodes)
}

func (s Summary) isHealthy() bool {
	return s.Nodes > 0 && float64(s.Reachable) >= healthyFraction*float64(s.Nodes)
}

// Proposal is a verdict for the book.
type Proposal struct {
	Zone    string
	Version uint64 // the version at which its state was written
	To      clusterstate.ZoneState
	Reason  string
}

// Transfer is how many cores of what leaves a zone another is to take.
type Transfer struct {
	From, To string
	Cores    uint32
}

type processReport struct {
	receivedAt float64
	summaries  map[string]Summary
}

// Controller judges by the sums of all processes, at the leader. Its zero value has heard none.
type Controller struct {
	FaultSingleZone bool // planted: the word of one other zone is enough

	reports      map[string]processReport // by process
	observations map[string]observation
	proposals    map[string]pendingProposal
	lastUsed     map[string]float64 // cores of zones while they were open
	lastPlanAt   float64
}

// observation is since when a zone is as it is seen now.
type observation struct {
	health int // -1 lost, 1 well, 0 neither
	since  float64
}

type pendingProposal struct {
	version uint64
	to      clusterstate.ZoneState
	at      float64
}

// OnReport takes a process's sums.
func (j *Controller) OnReport(now float64, from string, sums map[string]Summary) {
	if j.reports == nil {
		j.init()
	}
	j.reports[from] = processReport{now, sums}
}

// Reset drops all that was heard: this process does not lead any more.
func (j *Controller) Reset() { j.reports, j.observations, j.proposals, j.lastUsed = nil, nil, nil, nil }

func (j *Controller) init() {
	j.reports, j.observations, j.proposals, j.lastUsed = map[string]processReport{}, map[string]observation{}, map[string]pendingProposal{}, map[string]float64{}
}

// observe is how a zone is seen by the others: lost by at least two of them and more than half, well by more than half.
func (j *Controller) observe(now float64, b *clusterstate.State, zone string) (how int, lost, of int) {
	type votes struct{ lost, well, all int }
	by := map[string]votes{}
	for name, r := range j.reports {
		p, ok := b.Process(name)
		s, about := r.summaries[zone]
		if !ok || p.Inactive || p.Zone == zone || now-r.receivedAt > maxReportAge || !about || s.Nodes == 0 {
			continue
		}
		v := by[p.Zone]
		v.all++
		if s.isLost() {
			v.lost++
		} else if s.isHealthy() {
			v.well++
		}
		by[p.Zone] = v
	}
	well := 0
	for _, v := range by {
		if 2*v.lost > v.all {
			lost++
		}
		if 2*v.well > v.all {
			well++
		}
	}
	need := 2
	if j.FaultSingleZone {
		need = 1
	}
	switch {
	case lost >= need && (2*lost > len(by) || j.FaultSingleZone):
		return -1, lost, len(by)
	case 2*well > len(by):
		return 1, lost, len(by)
	}
	return 0, lost, len(by)
}

// Decide proposes what the sums ask for. all are the site's zones, held those that an operator holds in a state.
func (j *Controller) Decide(now float64, b *clusterstate.State, all []string, held map[string]clusterstate.ZoneState) (out []Proposal) {
	closed := 0
	for _, z := range all {
		if s := b.Zone(z).State; s == clusterstate.Closed || s == clusterstate.Returning {
			closed++
		}
	}
	for _, zone := range all {
		how, lost, of := j.observe(now, b, zone)
		sp, ok := j.observations[zone]
		if !ok || sp.health != how {
			sp = observation{how, now}
			if j.observations != nil {
				j.observations[zone] = sp
			}
		}
		z := b.Zone(zone)
		to, cause := j.nextState(now, z, sp, held, closed, len(all))
		if to == z.State {
			continue
		}
		if cause == "" {
			cause = fmt.Sprintf("%d of %d other zones", lost, of)
		}
		if p := j.proposals[zone]; p.version == z.Version && p.to == to && now-p.at < proposeInterval {
			continue
		}
		if j.proposals == nil { // nothing was reported, and an operator holds a zone
			j.init()
		}
		j.proposals[zone] = pendingProposal{z.Version, to, now}
		if to == clusterstate.Closed {
			closed++
		}
		out = append(out, Proposal{zone, z.Version, to, cause})
	}
	return out
}

// nextState is the state that a zone is to have next, if it is another.
func (j *Controller) nextState(now float64, z clusterstate.Zone, sp observation, held map[string]clusterstate.ZoneState, closed, all int) (to clusterstate.ZoneState, cause string) {
	since := now - sp.since
	lostFor := func(ms float64) bool { return sp.health < 0 && since >= ms }
	wellFor := func(ms float64) bool { return sp.health > 0 && since >= ms }
	if want, ok := held[z.Name]; ok && (want == clusterstate.Open || want == clusterstate.Closed) {
		return nextHeldState(now, z, want), "held by an operator"
	}
	may := float64(closed+1) <= maxClosedFraction*float64(all)
	switch {
	case z.State == clusterstate.Open && lostFor(suspectAfter) && may:
		return clusterstate.Suspect, ""
	case z.State == clusterstate.Suspect && lostFor(suspectAfter+closeAfter) && may:
		return clusterstate.Closed, ""
	case z.State == clusterstate.Suspect && sp.health >= 0 && since >= reopenAfter:
		return clusterstate.Open, "heard again"
	case z.State == clusterstate.Closed && wellFor(returnAfter) && now >= z.ClosedUntil:
		return clusterstate.Returning, "heard again"
	case z.State == clusterstate.Returning && lostFor(closeAfter):
		return clusterstate.Closed, ""
	case z.State == clusterstate.Returning && now-z.Since >= returnSteps*stepInterval && wellFor(reopenAfter):
		return clusterstate.Open, "all steps taken"
	}
	return z.State, ""
}

// nextHeldState is the next step from a zone's state to one that an operator wants.
func nextHeldState(now float64, z clusterstate.Zone, want clusterstate.ZoneState) clusterstate.ZoneState {
	if z.State == want {
		return want
	}
	switch {
	case z.State == clusterstate.Open:
		return clusterstate.Suspect
	case z.State == clusterstate.Suspect || z.State == clusterstate.Returning:
		return want
	case now >= z.ClosedUntil:
		return clusterstate.Returning
	}
	return z.State
}

// capacities is the most plausible sum of each zone's room: that of the process that heard most of its nodes, lately.
func (j *Controller) capacities(now float64) map[string]Summary {
	best := map[string]Summary{}
	for _, name := range slices.Sorted(maps.Keys(j.reports)) {
		if r := j.reports[name]; now-r.receivedAt <= maxReportAge {
			for zone, s := range r.summaries {
				if was, ok := best[zone]; !ok || s.Capacity > was.Capacity {
					best[zone] = s
				}
			}
		}
	}
	return best
}

// Plan divides what leaves closed zones among the others, by the room that is left under the bound and nearness, so that all
// processes together never bring a taker beyond it: what does not fit is taken by nobody. False if the plan that stands will do.
func (j *Controller) Plan(now float64, b *clusterstate.State, all []string, far func(from, to string) float64) ([]Transfer, bool) {
	rooms := j.capacities(now)
	for _, z := range all { // what leaves a zone is what was there before it was lost: its work ends there meanwhile
		if s := b.Zone(z); s.State == clusterstate.Open && j.lastUsed != nil && now-s.Since > reopenAfter && j.observations[z].health >= 0 {
			j.lastUsed[z] = rooms[z].Used
		}
	}
	spare, need := map[string]float64{}, map[string]float64{}
	for _, z := range all {
		switch s := rooms[z]; b.Zone(z).State {
		case clusterstate.Open, clusterstate.Suspect:
			spare[z] = max(0, maxUtilization*s.Capacity-s.Used)
		case clusterstate.Closed:
			if need[z] = j.lastUsed[z]; need[z] == 0 { // not known here from when it was open: as much as the others use
				need[z] = max(s.Used, meanUsed(rooms, b, all))
			}
		}
	}
	want := map[clusterstate.Route]uint32{}
	froms := slices.Sorted(maps.Keys(need))
	for _, from := range froms {
		left, many := need[from], float64(len(froms))
		tos := slices.SortedFunc(maps.Keys(spare), func(x, y string) int {
			return cmp.Or(cmp.Compare(far(from, x), far(from, y)), cmp.Compare(x, y))
		})
		for _, to := range tos {
			if take := math.Floor(min(left, spare[to]/many, codec.MaxCores)); take > 0 {
				want[clusterstate.Route{From: from, To: to}] = uint32(take)
				left -= take
			}
		}
	}
	leaves := 0.0
	for _, n := range need {
		leaves += n
	}
	version, held := b.Plan()
	off, had := uint32(0), 0
	held(func(w clusterstate.Route, cores uint32) bool {
		had++
		off = max(off, max(cores, want[w])-min(cores, want[w]))
		return true
	})
	if had == len(want) && float64(off) < minPlanChange*leaves || now-j.lastPlanAt < planInterval && version > 0 && had > 0 || len(want) == 0 && had == 0 {
		return nil, false
	}
	j.lastPlanAt = now
	var out []Transfer
	for w, cores := range want {
		out = append(out, Transfer{w.From, w.To, cores})
	}
	slices.SortFunc(out, func(x, y Transfer) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	return out, true
}

func meanUsed(rooms map[string]Summary, b *clusterstate.State, all []string) float64 {
	sum, n := 0.0, 0.0
	for _, z := range all {
		if s := rooms[z]; s.Capacity > 0 && b.Zone(z).State != clusterstate.Closed {
			sum, n = sum+s.Used, n+1
		}
	}
	return sum / max(1, n)
}

// Location is a zone as the site file has it.
type Location struct{ Name, Region string }

// Selector decides which zones a process sends to. Its own zone may be empty: then none is near.
type Selector struct {
	OwnZone          string
	Zones            []Location
	LocalityAware    bool // the site file says how far zones are: near ones go first
	FaultIgnoreLease bool // careless: what the book last said counts for ever

	level       int // 0 own zone, 1 its region, 2 all
	belowSince  float64
	lastWeights map[string]float64 // the parts of zones that were used when this process was sure
}

// Update is which part of each zone's nodes this process sends to now: 0 none, 1 all. waits is how many allocations find no room;
// own how many cores of its own work run in each zone; mates how many processes act from its zone.
func (r *Selector) Update(now float64, b *clusterstate.State, sure bool, sums map[string]Summary, waits int, own map[string]float64, mates int) map[string]float64 {
	parts := map[string]float64{}
	r.updateLevel(now, b, sure, sums, waits)
	home := b.Zone(r.OwnZone)
	plan, _ := b.Plan()
	planned := r.LocalityAware && home.State == clusterstate.Closed && plan > home.Version
	for _, z := range r.Zones {
		s := b.Zone(z.Name)
		part := 1.0
		switch s.State {
		case clusterstate.Closed:
			part = 0
			if z.Name == r.OwnZone && !sure && !r.FaultIgnoreLease { // cut off with its zone: that is what it can serve
				part = 1
			}
		case clusterstate.Returning:
			part = min(1, (1+math.Floor((now-s.Since)/stepInterval))/returnSteps)
			if !sure && !r.FaultIgnoreLease {
				part = min(part, r.lastWeights[z.Name])
			}
		}
		switch {
		case z.Name == r.OwnZone || part == 0:
		case !sure && !r.FaultIgnoreLease && r.lastWeights != nil && r.lastWeights[z.Name] == 0: // nothing is opened that was not used
			part = 0
		case !planned && r.isBeyondLevel(z):
			part = 0
		case r.LocalityAware && sums[z.Name].Capacity > 0 && sums[z.Name].Used >= maxUtilization*sums[z.Name].Capacity:
			part = 0 // what is left there is for its own
		case planned && own[z.Name] >= float64(b.Share(r.OwnZone, z.Name))/float64(max(1, mates)):
			part = 0 // its share of what leaves the zone is used up
		}
		parts[z.Name] = part
	}
	if sure || r.lastWeights == nil {
		r.lastWeights = maps.Clone(parts)
	}
	return parts
}

// isBeyondLevel tells whether a zone is further than this process looks.
func (r *Selector) isBeyondLevel(z Location) bool {
	if !r.LocalityAware || r.OwnZone == "" || r.level >= 2 {
		return false
	}
	return r.level == 0 || z.Region == "" || z.Region != r.regionOf(r.OwnZone)
}

func (r *Selector) regionOf(zone string) string {
	for _, z := range r.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// updateLevel looks further while what is near is full or lost, and comes back when it is not.
func (r *Selector) updateLevel(now float64, b *clusterstate.State, sure bool, sums map[string]Summary, waits int) {
	if !r.LocalityAware || !sure && !r.FaultIgnoreLease {
		return
	}
	use := func(level int) (part float64, any bool) {
		was := r.level
		r.level = level
		defer func() { r.level = was }()
		room, used := 0.0, 0.0
		for _, z := range r.Zones {
			s := b.Zone(z.Name).State
			if (z.Name == r.OwnZone || !r.isBeyondLevel(z)) && s != clusterstate.Closed && !sums[z.Name].isLost() { // what is not heard here has no room
				room, used = room+sums[z.Name].Capacity, used+sums[z.Name].Used
			}
		}
		return used / max(1e-9, room), room > 0
	}
	part, any := use(r.level)
	if r.level < 2 && (!any || part >= widenUtilization || waits > 0) {
		r.level++
		r.belowSince = now
		return
	}
	if r.level == 0 {
		return
	}
	if part, any = use(r.level - 1); !any || part >= narrowUtilization || waits > 0 {
		r.belowSince = now
	} else if now-r.belowSince >= narrowAfter {
		r.level--
		r.belowSince = now
	}
}

// Level is how far this process looks: 0 its own zone, 1 its region, 2 all.
func (r *Selector) Level() int {
	if !r.LocalityAware {
		return 2
	}
	return r.level
}
