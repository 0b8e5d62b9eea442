package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/workingset"
	"ravenpond/internal/engine"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Times of the working set in ms.
const (
	stepSet      = 100  // between two steps
	measureLoad  = 1000 // between two measures of the own load
	releaseNodes = 1000 // between two looks at which nodes outside can be released
	restAfter    = 5000 // after the last visit: its timers are over by then
	shortAfter   = 100  // for which a task must have found no node
)

// shownState is how the shards know a node.
type shownState uint8

const (
	nodeInside   shownState = iota // it is in the set
	nodeAside                      // it is not, and something may stand there
	nodeReleased                   // nothing does: it is not connected
)

// nodeSet keeps the shards to the working set of the process, where the site file asks for one: they are told of its
// nodes, and of others on which something of this scheduler stands. Locks are taken in the order trunk, nodeSet, desk.
type nodeSet struct {
	s *Server

	mu       sync.Mutex // held while shards are told, so that all hear the same order
	set      *workingset.Set
	visits   workingset.Visits
	shown    map[uint32]shownState
	newSince map[uint32]float64 // nodes that came to the list a short while ago
	load     loadMeter
	visiting bool // at the last step

	hookMu    sync.Mutex
	reachable map[uint32]bool // news of connections since the last step
	demands   map[int]engine.Demand
}

// loadMeter measures a scheduler's own load.
type loadMeter struct {
	at     float64 // of the last measure
	offers uint64  // until then
	starts float64 // a second
}

// newNodeSet gives the working set of a process, nil if the site file asks for none.
func newNodeSet(s *Server) *nodeSet {
	place := s.who.Site
	if place.WorkingSet.MinNodes == 0 {
		return nil
	}
	config := workingset.Config{
		Key: place.Name, Own: s.who.Name, Schedulers: place.Cluster.Schedulers,
		Least: place.WorkingSet.MinNodes, Coverage: place.WorkingSet.Coverage, Spare: place.WorkingSet.SpareFactor,
		PerStart: place.WorkingSet.NodesPerStart, PerStratum: place.WorkingSet.MinPerStratum, NarrowAfter: place.WorkingSet.NarrowAfter, Plant: s.who.Faults.WorkingSet,
	}
	if place.Members.Listen == "" { // the others are known by their number alone
		config.Own = fmt.Sprint("place ", s.who.Index)
		for i := range place.Cluster.Schedulers {
			config.Members = append(config.Members, fmt.Sprint("place ", i))
		}
	}
	return &nodeSet{
		s: s, set: workingset.New(s.w.Now(), config), shown: map[uint32]shownState{},
		newSince: map[uint32]float64{}, reachable: map[uint32]bool{}, demands: map[int]engine.Demand{},
	}
}

// begin begins the steps.
func (v *nodeSet) begin() {
	v.s.soon(v.beginVisits) // owners ask again at once for what an earlier incarnation left running
	v.s.every(stepSet, v.step)
	v.s.every(releaseNodes, v.releaseIdle)
}

// onList takes news of the node list: shards hear what concerns the nodes that they know.
func (v *nodeSet) onList(kind logic.ListKind, entries []listEntry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.s.w.Now()
	var gone []uint32
	if kind == logic.ListFull || kind == logic.ListCached {
		gone = v.removeUnlisted(entries)
	}
	var known []listEntry
	for _, entry := range entries {
		v.takeEntry(now, kind, entry)
		if logic.Availability(entry.Avail) == logic.Unavailable {
			gone = append(gone, entry.ID)
		}
		if _, ok := v.shown[entry.ID]; ok {
			known = append(known, entry)
		}
	}
	for _, sh := range v.s.allShards() {
		sh.hearList(kind, known)
	}
	v.partWith(gone)
	v.apply(now, v.set.Step(now))
	v.visitOthers()
}

// partWith sets nodes aside that left the list: they are forgotten once nothing stands there.
func (v *nodeSet) partWith(gone []uint32) {
	var left []uint32
	for _, id := range gone {
		if _, ok := v.shown[id]; ok {
			v.shown[id] = nodeAside
			left = append(left, id)
		}
	}
	v.setAside(left, true)
}

// takeEntry takes an entry of the list into the set.
func (v *nodeSet) takeEntry(now float64, kind logic.ListKind, entry listEntry) {
	avail := logic.Availability(entry.Avail)
	if avail == logic.Unavailable {
		v.set.RemoveNode(entry.ID)
		v.visits.Drop(entry.ID)
		delete(v.newSince, entry.ID)
		return
	}
	state := workingset.Ready
	if avail == logic.Draining {
		state = workingset.Draining
	}
	if isNew := v.set.PutNode(workingset.Node{ID: entry.ID, Zone: entry.zone, Kind: entry.kind, State: state}); isNew {
		if !v.s.who.Faults.SkipVisits {
			v.visits.Put(entry.ID)
		}
		if kind != logic.ListCached {
			v.newSince[entry.ID] = now
		}
	}
}

// removeUnlisted takes nodes out of the set that a whole list does not name, and gives them.
func (v *nodeSet) removeUnlisted(entries []listEntry) (gone []uint32) {
	listed := make(map[uint32]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id := range v.set.Nodes {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		v.set.RemoveNode(id)
		v.visits.Drop(id)
		delete(v.newSince, id)
	}
	return gone
}

// tellNew tells a shard that begins of the nodes that the others know.
func (v *nodeSet) tellNew(sh *shard) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := slices.Sorted(maps.Keys(v.shown))
	var outside []uint32
	for _, id := range ids {
		if v.shown[id] != nodeInside {
			v.shown[id] = nodeAside // this shard has yet to hear whether something stands there
			outside = append(outside, id)
		}
	}
	entries := v.entriesOf(ids)
	sh.tell(func(now float64) { sh.eng.SetOutsideWorkingSet(now, outside, true) })
	sh.hearList(logic.ListCached, entries)
}

// entriesOf gives the list's entries of nodes.
func (v *nodeSet) entriesOf(ids []uint32) []listEntry {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	var entries []state.Entry
	for _, id := range ids {
		if entry, ok := v.s.list.Entry(id); ok {
			entries = append(entries, entry)
		}
	}
	return v.s.indexed(entries)
}

// step lets the set decide, and carries that out.
func (v *nodeSet) step() {
	names, known := v.memberNames()
	now := v.s.w.Now()
	v.mu.Lock()
	if known {
		v.set.SetMembers(now, names)
	}
	v.takeHooks(now)
	v.apply(now, v.set.Step(now))
	rests := v.visiting && v.visits.Left() == 0
	v.visiting = v.visits.Left() > 0
	v.mu.Unlock()
	v.beginVisits()
	if rests && v.s.who.FreeMemory != nil {
		v.s.w.After(restAfter, v.s.who.FreeMemory)
	}
	v.s.tellShards(func(sh *shard, now float64) {
		demand := sh.eng.Demand(now, shortAfter)
		v.hookMu.Lock()
		v.demands[sh.index] = demand
		v.hookMu.Unlock()
	})
}

// memberNames gives the schedulers that are there, if this process knows them.
func (v *nodeSet) memberNames() (names []string, known bool) {
	if v.s.circle.run == nil {
		return nil, false
	}
	v.s.circle.run.WithDetector(func(d *membership.Detector) {
		for _, m := range d.All() {
			if m.State == membership.Alive || m.State == membership.Suspect {
				names = append(names, m.Name)
			}
		}
	})
	return names, true
}

// takeHooks takes what connections and shards have told since the last step.
func (v *nodeSet) takeHooks(now float64) {
	v.hookMu.Lock()
	defer v.hookMu.Unlock()
	for id, reachable := range v.reachable {
		v.set.SetReachable(id, reachable)
	}
	clear(v.reachable)
	var sum engine.Demand
	for _, index := range slices.Sorted(maps.Keys(v.demands)) {
		d := v.demands[index]
		sum.Cores, sum.Memory, sum.Offers = sum.Cores+d.Cores, sum.Memory+d.Memory, sum.Offers+d.Offers
		for i, short := range d.Short {
			if !short {
				continue
			}
			kind := i
			if i == len(d.Short)-1 {
				kind = workingset.AnyKind
			}
			v.set.OnShortage(kind)
		}
	}
	v.measure(now, sum)
	clear(v.demands)
}

// measure tells the set the own load, now and then. Machines are counted in those of the mean kind.
func (v *nodeSet) measure(now float64, sum engine.Demand) {
	if len(v.demands) == 0 || now-v.load.at < measureLoad {
		return
	}
	if sum.Offers >= v.load.offers && v.load.at > 0 { // else a shard has begun anew
		starts := float64(sum.Offers-v.load.offers) / (now - v.load.at) * 1000
		v.load.starts = (v.load.starts + starts) / 2
	}
	v.load.at, v.load.offers = now, sum.Offers
	cluster := &v.s.who.Site.Cluster
	cores, memory := 0.0, 0.0
	for kind := range cluster.KindCores {
		cores += cluster.KindCores[kind] * cluster.CoresOvercommit
		memory += cluster.KindMemory[kind] * cluster.MemoryOvercommit
	}
	kinds := float64(len(cluster.KindCores))
	v.set.SetLoad(workingset.Load{Machines: kinds * max(sum.Cores/cores, sum.Memory/memory), Starts: v.load.starts})
}

// apply tells the shards which nodes enter and leave the set.
func (v *nodeSet) apply(now float64, change workingset.Change) {
	var left, back, fresh, warm []uint32
	for _, departure := range change.Leave {
		v.shown[departure.ID] = nodeAside
		left = append(left, departure.ID)
	}
	for _, id := range change.Enter {
		if _, ok := v.shown[id]; ok {
			back = append(back, id)
		} else if since, isNew := v.newSince[id]; isNew && now-since < v.s.who.Site.Cluster.SlowStartDuration {
			fresh = append(fresh, id)
		} else {
			warm = append(warm, id)
		}
		v.shown[id] = nodeInside
	}
	v.setAside(left, true)
	v.setAside(back, false)
	v.introduce(fresh, true, false)
	v.introduce(warm, false, false)
	for id, since := range v.newSince {
		if now-since >= v.s.who.Site.Cluster.SlowStartDuration {
			delete(v.newSince, id)
		}
	}
	if len(change.Enter)+len(change.Leave) > 0 {
		v.s.log.Info().Str("mode", "working-set").Int("nodes", v.set.Size()).Int("entered", len(change.Enter)).
			Int("left", len(change.Leave)).Int("known", len(v.shown)).Msg("working set changes")
	}
}

// setAside has all shards set nodes aside, or no longer.
func (v *nodeSet) setAside(ids []uint32, out bool) {
	if len(ids) > 0 {
		v.s.tellShards(func(sh *shard, now float64) { sh.eng.SetOutsideWorkingSet(now, ids, out) })
	}
}

// introduce tells all shards of nodes that they do not know, inside the set or aside.
func (v *nodeSet) introduce(ids []uint32, isNew, outside bool) {
	if len(ids) == 0 {
		return
	}
	entries := v.entriesOf(ids)
	v.s.tellShards(func(sh *shard, now float64) {
		sh.eng.SetOutsideWorkingSet(now, ids, outside)
		sh.eng.BeginWorkingSet(now, isNew)
		sh.tellNodes(entries)
	})
}

// onConnection notes that a node is connected, or is not.
func (v *nodeSet) onConnection(id uint32, connected bool) {
	if v == nil {
		return
	}
	v.hookMu.Lock()
	defer v.hookMu.Unlock()
	v.reachable[id] = connected
}

// has tells whether this process looks at a node: at each if it has no working set.
func (v *nodeSet) has(id uint32) bool {
	if v == nil {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Has(id)
}

// poll counts the shards that have released nodes.
type poll struct {
	mu    sync.Mutex
	left  int // shards that have not told
	votes map[uint32]int
}

// releaseIdle ends the connections to nodes outside the set at which no shard has anything left.
func (v *nodeSet) releaseIdle() {
	v.mu.Lock()
	var ids []uint32
	for id, state := range v.shown {
		if state == nodeAside {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	shards := v.s.allShards()
	p := &poll{left: len(shards), votes: map[uint32]int{}}
	for _, sh := range shards { // a shard that is fenced tells nothing, and so holds all up until it begins anew
		sh.tell(func(now float64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, id := range ids {
				if v.letGo(sh, now, id) {
					p.votes[id]++
				}
			}
			if p.left--; p.left == 0 {
				v.s.soon(func() { v.hangUp(ids, p.votes, len(shards)) })
			}
		})
	}
}

// letGo has a shard release a node.
func (v *nodeSet) letGo(sh *shard, now float64, id uint32) bool {
	if v.s.who.Faults.AbandonTasks {
		sh.eng.ForceRelease(now, id)
		return true
	}
	return sh.eng.Release(now, id)
}

// hangUp ends the connections to nodes that all shards have released.
func (v *nodeSet) hangUp(ids []uint32, votes map[uint32]int, shards int) {
	var idle []uint32
	v.mu.Lock()
	for _, id := range ids {
		if state, known := v.shown[id]; known && state == nodeAside && votes[id] == shards {
			v.shown[id] = nodeReleased
			if !v.set.Lists(id) {
				delete(v.shown, id)
			}
			idle = append(idle, id)
		}
	}
	v.mu.Unlock()
	for _, id := range idle {
		v.s.trunk.hangUp(id, "outside the working set")
	}
}
