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
	fresh      = 1500 // a sum that is older says nothing
	suspectFor = 250  // that a zone is lost to others before it is suspect
	closeFor   = 500  // and again before it is closed
	calmFor    = 1000 // that it is heard before it is open again
	returnFor  = 2000 // or returning
	stepEach   = 2000 // between two steps of a return
	steps      = 4
	again      = 1000 // before a verdict is proposed again
	lostPart   = 0.25 // of its nodes are heard at most where a zone is lost
	wellPart   = 0.75 // and at least where it is well
	mostClosed = 0.5  // of all zones

	filled   = 0.8  // use of room from which a process looks further than near
	drained  = 0.6  // and under which it comes back nearer
	nearFor  = 5000 // after so long
	bound    = 0.85 // use of a taker's room that all that leaves other zones may bring it to
	planEach = 2000 // between two plans, unless a zone has closed since
	planBy   = 0.1  // part of what leaves by which a plan has to differ
)

// Sum is what a process hears of a zone: of the nodes that it looks at, how many it hears and does not; and of all that the list
// has ready there, the cores and how many are asked for.
type Sum struct {
	Nodes, Heard int
	Room, Used   float64
}

func (s Sum) lost() bool { return s.Nodes > 0 && float64(s.Heard) <= lostPart*float64(s.Nodes) }
func (s Sum) well() bool { return s.Nodes > 0 && float64(s.Heard) >= wellPart*float64(s.Nodes) }

// Proposal is a verdict for the book.
type Proposal struct {
	Zone  string
	Seen  uint64 // the version at which its state was written
	To    clusterstate.ZoneState
	Cause string
}

// Share is how many cores of what leaves a zone another is to take.
type Share struct {
	From, To string
	Cores    uint32
}

type report struct {
	at   float64
	sums map[string]Sum
}

// Judge judges by the sums of all processes, at the leader. Its zero value has heard none.
type Judge struct {
	Alone bool // planted: the word of one other zone is enough

	reports  map[string]report // by process
	since    map[string]spell
	proposed map[string]proposed
	used     map[string]float64 // cores of zones while they were open
	planned  float64
}

// spell is since when a zone is as it is seen now.
type spell struct {
	how int // -1 lost, 1 well, 0 neither
	at  float64
}

type proposed struct {
	seen uint64
	to   clusterstate.ZoneState
	at   float64
}

// Report takes a process's sums.
func (j *Judge) Report(now float64, from string, sums map[string]Sum) {
	if j.reports == nil {
		j.begin()
	}
	j.reports[from] = report{now, sums}
}

// Forget drops all that was heard: this process does not lead any more.
func (j *Judge) Forget() { j.reports, j.since, j.proposed, j.used = nil, nil, nil, nil }

func (j *Judge) begin() {
	j.reports, j.since, j.proposed, j.used = map[string]report{}, map[string]spell{}, map[string]proposed{}, map[string]float64{}
}

// seen is how a zone is seen by the others: lost by at least two of them and more than half, well by more than half.
func (j *Judge) seen(now float64, b *clusterstate.State, zone string) (how int, lost, of int) {
	type votes struct{ lost, well, all int }
	by := map[string]votes{}
	for name, r := range j.reports {
		p, ok := b.Process(name)
		s, about := r.sums[zone]
		if !ok || p.Inactive || p.Zone == zone || now-r.at > fresh || !about || s.Nodes == 0 {
			continue
		}
		v := by[p.Zone]
		v.all++
		if s.lost() {
			v.lost++
		} else if s.well() {
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
	if j.Alone {
		need = 1
	}
	switch {
	case lost >= need && (2*lost > len(by) || j.Alone):
		return -1, lost, len(by)
	case 2*well > len(by):
		return 1, lost, len(by)
	}
	return 0, lost, len(by)
}

// Decide proposes what the sums ask for. all are the site's zones, held those that an operator holds in a state.
func (j *Judge) Decide(now float64, b *clusterstate.State, all []string, held map[string]clusterstate.ZoneState) (out []Proposal) {
	closed := 0
	for _, z := range all {
		if s := b.Zone(z).State; s == clusterstate.Closed || s == clusterstate.Returning {
			closed++
		}
	}
	for _, zone := range all {
		how, lost, of := j.seen(now, b, zone)
		sp, ok := j.since[zone]
		if !ok || sp.how != how {
			sp = spell{how, now}
			if j.since != nil {
				j.since[zone] = sp
			}
		}
		z := b.Zone(zone)
		to, cause := j.next(now, z, sp, held, closed, len(all))
		if to == z.State {
			continue
		}
		if cause == "" {
			cause = fmt.Sprintf("%d of %d other zones", lost, of)
		}
		if p := j.proposed[zone]; p.seen == z.Version && p.to == to && now-p.at < again {
			continue
		}
		if j.proposed == nil { // nothing was reported, and an operator holds a zone
			j.begin()
		}
		j.proposed[zone] = proposed{z.Version, to, now}
		if to == clusterstate.Closed {
			closed++
		}
		out = append(out, Proposal{zone, z.Version, to, cause})
	}
	return out
}

// next is the state that a zone is to have next, if it is another.
func (j *Judge) next(now float64, z clusterstate.Zone, sp spell, held map[string]clusterstate.ZoneState, closed, all int) (to clusterstate.ZoneState, cause string) {
	since := now - sp.at
	lostFor := func(ms float64) bool { return sp.how < 0 && since >= ms }
	wellFor := func(ms float64) bool { return sp.how > 0 && since >= ms }
	if want, ok := held[z.Name]; ok && (want == clusterstate.Open || want == clusterstate.Closed) {
		return towards(now, z, want), "held by an operator"
	}
	may := float64(closed+1) <= mostClosed*float64(all)
	switch {
	case z.State == clusterstate.Open && lostFor(suspectFor) && may:
		return clusterstate.Suspect, ""
	case z.State == clusterstate.Suspect && lostFor(suspectFor+closeFor) && may:
		return clusterstate.Closed, ""
	case z.State == clusterstate.Suspect && sp.how >= 0 && since >= calmFor:
		return clusterstate.Open, "heard again"
	case z.State == clusterstate.Closed && wellFor(returnFor) && now >= z.ClosedUntil:
		return clusterstate.Returning, "heard again"
	case z.State == clusterstate.Returning && lostFor(closeFor):
		return clusterstate.Closed, ""
	case z.State == clusterstate.Returning && now-z.Since >= steps*stepEach && wellFor(calmFor):
		return clusterstate.Open, "all steps taken"
	}
	return z.State, ""
}

// towards is the next step from a zone's state to one that an operator wants.
func towards(now float64, z clusterstate.Zone, want clusterstate.ZoneState) clusterstate.ZoneState {
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

// rooms is the most plausible sum of each zone's room: that of the process that heard most of its nodes, lately.
func (j *Judge) rooms(now float64) map[string]Sum {
	best := map[string]Sum{}
	for _, name := range slices.Sorted(maps.Keys(j.reports)) {
		if r := j.reports[name]; now-r.at <= fresh {
			for zone, s := range r.sums {
				if was, ok := best[zone]; !ok || s.Room > was.Room {
					best[zone] = s
				}
			}
		}
	}
	return best
}

// Plan divides what leaves closed zones among the others, by the room that is left under the bound and nearness, so that all
// processes together never bring a taker beyond it: what does not fit is taken by nobody. False if the plan that stands will do.
func (j *Judge) Plan(now float64, b *clusterstate.State, all []string, far func(from, to string) float64) ([]Share, bool) {
	rooms := j.rooms(now)
	for _, z := range all { // what leaves a zone is what was there before it was lost: its work ends there meanwhile
		if s := b.Zone(z); s.State == clusterstate.Open && j.used != nil && now-s.Since > calmFor && j.since[z].how >= 0 {
			j.used[z] = rooms[z].Used
		}
	}
	spare, need := map[string]float64{}, map[string]float64{}
	for _, z := range all {
		switch s := rooms[z]; b.Zone(z).State {
		case clusterstate.Open, clusterstate.Suspect:
			spare[z] = max(0, bound*s.Room-s.Used)
		case clusterstate.Closed:
			if need[z] = j.used[z]; need[z] == 0 { // not known here from when it was open: as much as the others use
				need[z] = max(s.Used, meanUse(rooms, b, all))
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
	if had == len(want) && float64(off) < planBy*leaves || now-j.planned < planEach && version > 0 && had > 0 || len(want) == 0 && had == 0 {
		return nil, false
	}
	j.planned = now
	var out []Share
	for w, cores := range want {
		out = append(out, Share{w.From, w.To, cores})
	}
	slices.SortFunc(out, func(x, y Share) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	return out, true
}

func meanUse(rooms map[string]Sum, b *clusterstate.State, all []string) float64 {
	sum, n := 0.0, 0.0
	for _, z := range all {
		if s := rooms[z]; s.Room > 0 && b.Zone(z).State != clusterstate.Closed {
			sum, n = sum+s.Used, n+1
		}
	}
	return sum / max(1, n)
}

// Place is a zone as the site file has it.
type Place struct{ Name, Region string }

// Reach decides which zones a process sends to. Its own zone may be empty: then none is near.
type Reach struct {
	Own   string
	Zones []Place
	Near  bool // the site file says how far zones are: near ones go first
	Plant bool // careless: what the book last said counts for ever

	level int // 0 own zone, 1 its region, 2 all
	lowAt float64
	was   map[string]float64 // the parts of zones that were used when this process was sure
}

// Look is which part of each zone's nodes this process sends to now: 0 none, 1 all. waits is how many allocations find no room;
// own how many cores of its own work run in each zone; mates how many processes act from its zone.
func (r *Reach) Look(now float64, b *clusterstate.State, sure bool, sums map[string]Sum, waits int, own map[string]float64, mates int) map[string]float64 {
	parts := map[string]float64{}
	r.nearer(now, b, sure, sums, waits)
	home := b.Zone(r.Own)
	plan, _ := b.Plan()
	planned := r.Near && home.State == clusterstate.Closed && plan > home.Version
	for _, z := range r.Zones {
		s := b.Zone(z.Name)
		part := 1.0
		switch s.State {
		case clusterstate.Closed:
			part = 0
			if z.Name == r.Own && !sure && !r.Plant { // cut off with its zone: that is what it can serve
				part = 1
			}
		case clusterstate.Returning:
			part = min(1, (1+math.Floor((now-s.Since)/stepEach))/steps)
			if !sure && !r.Plant {
				part = min(part, r.was[z.Name])
			}
		}
		switch {
		case z.Name == r.Own || part == 0:
		case !sure && !r.Plant && r.was != nil && r.was[z.Name] == 0: // nothing is opened that was not used
			part = 0
		case !planned && r.beyond(z):
			part = 0
		case r.Near && sums[z.Name].Room > 0 && sums[z.Name].Used >= bound*sums[z.Name].Room:
			part = 0 // what is left there is for its own
		case planned && own[z.Name] >= float64(b.Share(r.Own, z.Name))/float64(max(1, mates)):
			part = 0 // its share of what leaves the zone is used up
		}
		parts[z.Name] = part
	}
	if sure || r.was == nil {
		r.was = maps.Clone(parts)
	}
	return parts
}

// beyond tells whether a zone is further than this process looks.
func (r *Reach) beyond(z Place) bool {
	if !r.Near || r.Own == "" || r.level >= 2 {
		return false
	}
	return r.level == 0 || z.Region == "" || z.Region != r.region(r.Own)
}

func (r *Reach) region(zone string) string {
	for _, z := range r.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// nearer looks further while what is near is full or lost, and comes back when it is not.
func (r *Reach) nearer(now float64, b *clusterstate.State, sure bool, sums map[string]Sum, waits int) {
	if !r.Near || !sure && !r.Plant {
		return
	}
	use := func(level int) (part float64, any bool) {
		was := r.level
		r.level = level
		defer func() { r.level = was }()
		room, used := 0.0, 0.0
		for _, z := range r.Zones {
			s := b.Zone(z.Name).State
			if (z.Name == r.Own || !r.beyond(z)) && s != clusterstate.Closed && !sums[z.Name].lost() { // what is not heard here has no room
				room, used = room+sums[z.Name].Room, used+sums[z.Name].Used
			}
		}
		return used / max(1e-9, room), room > 0
	}
	part, any := use(r.level)
	if r.level < 2 && (!any || part >= filled || waits > 0) {
		r.level++
		r.lowAt = now
		return
	}
	if r.level == 0 {
		return
	}
	if part, any = use(r.level - 1); !any || part >= drained || waits > 0 {
		r.lowAt = now
	} else if now-r.lowAt >= nearFor {
		r.level--
		r.lowAt = now
	}
}

// Level is how far this process looks: 0 its own zone, 1 its region, 2 all.
func (r *Reach) Level() int {
	if !r.Near {
		return 2
	}
	return r.level
}
