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
	stepInterval    = 100  // between two steps
	loadInterval    = 1000 // between two measures of the own load
	releaseInterval = 1000 // between two looks at which nodes outside can be released
	freeMemoryDelay = 5000 // after the last visit: its timers are over by then
	shortageAfter   = 100  // for which a task must have found no node
)

// nodeState is how the shards know a node.
type nodeState uint8

const (
	nodeInside   nodeState = iota // it is in the set
	nodeAside                     // it is not, and something may stand there
	nodeReleased                  // nothing does: it is not connected
)

// workingSet keeps the shards to the working set of the process, where the site file asks for one: they are told of its
// nodes, and of others on which something of this scheduler stands. Locks are taken in the order trunk, nodeSet, desk.
type workingSet struct {
	server *Server

	mu         sync.Mutex // held while shards are told, so that all hear the same order
	set        *workingset.Set
	visits     workingset.Visits
	nodeStates map[uint32]nodeState
	newNodes   map[uint32]float64 // nodes that came to the list a short while ago
	load       loadMeter
	visiting   bool // at the last step

	reportsMu sync.Mutex
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
func newNodeSet(s *Server) *workingSet {
	place := s.config.Site
	if place.WorkingSet.MinNodes == 0 {
		return nil
	}
	config := workingset.Config{
		Key: place.Name, Self: s.config.Name, Schedulers: place.Cluster.Schedulers,
		MinNodes: place.WorkingSet.MinNodes, Coverage: place.WorkingSet.Coverage, Spare: place.WorkingSet.SpareFactor,
		PerStart: place.WorkingSet.NodesPerStart, PerStratum: place.WorkingSet.MinPerStratum, NarrowAfter: place.WorkingSet.NarrowAfter, Faults: s.config.Faults.WorkingSet,
	}
	if place.Members.Listen == "" { // the others are known by their number alone
		config.Self = fmt.Sprint("place ", s.config.Index)
		for i := range place.Cluster.Schedulers {
			config.Members = append(config.Members, fmt.Sprint("place ", i))
		}
	}
	return &workingSet{
		server: s, set: workingset.New(s.env.Now(), config), nodeStates: map[uint32]nodeState{},
		newNodes: map[uint32]float64{}, reachable: map[uint32]bool{}, demands: map[int]engine.Demand{},
	}
}

// start begins the steps.
func (v *workingSet) start() {
	v.server.async(v.startVisits) // owners ask again at once for what an earlier incarnation left running
	v.server.every(stepInterval, v.step)
	v.server.every(releaseInterval, v.releaseIdle)
}

// onList takes news of the node list: shards hear what concerns the nodes that they know.
func (v *workingSet) onList(kind logic.ListKind, entries []listEntry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.server.env.Now()
	var gone []uint32
	if kind == logic.ListFull || kind == logic.ListCached {
		gone = v.removeUnlisted(entries)
	}
	var known []listEntry
	for _, entry := range entries {
		v.putEntry(now, kind, entry)
		if logic.Availability(entry.Avail) == logic.Unavailable {
			gone = append(gone, entry.ID)
		}
		if _, ok := v.nodeStates[entry.ID]; ok {
			known = append(known, entry)
		}
	}
	for _, sh := range v.server.liveShards() {
		sh.postList(kind, known)
	}
	v.setAsideUnlisted(gone)
	v.apply(now, v.set.Step(now))
	v.continueVisits()
}

// setAsideUnlisted sets nodes aside that left the list: they are forgotten once nothing stands there.
func (v *workingSet) setAsideUnlisted(gone []uint32) {
	var left []uint32
	for _, id := range gone {
		if _, ok := v.nodeStates[id]; ok {
			v.nodeStates[id] = nodeAside
			left = append(left, id)
		}
	}
	v.setAside(left, true)
}

// putEntry takes an entry of the list into the set.
func (v *workingSet) putEntry(now float64, kind logic.ListKind, entry listEntry) {
	avail := logic.Availability(entry.Avail)
	if avail == logic.Unavailable {
		v.set.RemoveNode(entry.ID)
		v.visits.Remove(entry.ID)
		delete(v.newNodes, entry.ID)
		return
	}
	state := workingset.Ready
	if avail == logic.Draining {
		state = workingset.Draining
	}
	if isNew := v.set.PutNode(workingset.Node{ID: entry.ID, Zone: entry.zone, Kind: entry.kind, State: state}); isNew {
		if !v.server.config.Faults.SkipVisits {
			v.visits.Add(entry.ID)
		}
		if kind != logic.ListCached {
			v.newNodes[entry.ID] = now
		}
	}
}

// removeUnlisted takes nodes out of the set that a whole list does not name, and gives them.
func (v *workingSet) removeUnlisted(entries []listEntry) (gone []uint32) {
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
		v.visits.Remove(id)
		delete(v.newNodes, id)
	}
	return gone
}

// sendKnownNodes tells a shard that begins of the nodes that the others know.
func (v *workingSet) sendKnownNodes(sh *shard) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := slices.Sorted(maps.Keys(v.nodeStates))
	var outside []uint32
	for _, id := range ids {
		if v.nodeStates[id] != nodeInside {
			v.nodeStates[id] = nodeAside // this shard has yet to hear whether something stands there
			outside = append(outside, id)
		}
	}
	entries := v.entriesOf(ids)
	sh.post(func(now float64) { sh.engine.SetOutsideWorkingSet(now, outside, true) })
	sh.postList(logic.ListCached, entries)
}

// entriesOf gives the list's entries of nodes.
func (v *workingSet) entriesOf(ids []uint32) []listEntry {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	var entries []state.Entry
	for _, id := range ids {
		if entry, ok := v.server.list.Entry(id); ok {
			entries = append(entries, entry)
		}
	}
	return v.server.resolveEntries(entries)
}

// step lets the set decide, and carries that out.
func (v *workingSet) step() {
	names, known := v.memberNames()
	now := v.server.env.Now()
	v.mu.Lock()
	if known {
		v.set.SetMembers(now, names)
	}
	v.takeReports(now)
	v.apply(now, v.set.Step(now))
	rests := v.visiting && v.visits.Pending() == 0
	v.visiting = v.visits.Pending() > 0
	v.mu.Unlock()
	v.startVisits()
	if rests && v.server.config.FreeMemory != nil {
		v.server.env.After(freeMemoryDelay, v.server.config.FreeMemory)
	}
	v.server.postAll(func(sh *shard, now float64) {
		demand := sh.engine.Demand(now, shortageAfter)
		v.reportsMu.Lock()
		v.demands[sh.index] = demand
		v.reportsMu.Unlock()
	})
}

// memberNames gives the schedulers that are there, if this process knows them.
func (v *workingSet) memberNames() (names []string, known bool) {
	if v.server.membership.runner == nil {
		return nil, false
	}
	v.server.membership.runner.WithDetector(func(d *membership.Detector) {
		for _, m := range d.All() {
			if m.State == membership.Alive || m.State == membership.Suspect {
				names = append(names, m.Name)
			}
		}
	})
	return names, true
}

// takeReports takes what connections and shards have told since the last step.
func (v *workingSet) takeReports(now float64) {
	v.reportsMu.Lock()
	defer v.reportsMu.Unlock()
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
func (v *workingSet) measure(now float64, sum engine.Demand) {
	if len(v.demands) == 0 || now-v.load.at < loadInterval {
		return
	}
	if sum.Offers >= v.load.offers && v.load.at > 0 { // else a shard has begun anew
		starts := float64(sum.Offers-v.load.offers) / (now - v.load.at) * 1000
		v.load.starts = (v.load.starts + starts) / 2
	}
	v.load.at, v.load.offers = now, sum.Offers
	cluster := &v.server.config.Site.Cluster
	cores, memory := 0.0, 0.0
	for kind := range cluster.KindCores {
		cores += cluster.KindCores[kind] * cluster.CoresOvercommit
		memory += cluster.KindMemory[kind] * cluster.MemoryOvercommit
	}
	kinds := float64(len(cluster.KindCores))
	v.set.SetLoad(workingset.Load{Machines: kinds * max(sum.Cores/cores, sum.Memory/memory), Starts: v.load.starts})
}

// apply tells the shards which nodes enter and leave the set.
func (v *workingSet) apply(now float64, change workingset.Change) {
	var left, back, fresh, warm []uint32
	for _, departure := range change.Removed {
		v.nodeStates[departure.ID] = nodeAside
		left = append(left, departure.ID)
	}
	for _, id := range change.Added {
		if _, ok := v.nodeStates[id]; ok {
			back = append(back, id)
		} else if since, isNew := v.newNodes[id]; isNew && now-since < v.server.config.Site.Cluster.SlowStartDuration {
			fresh = append(fresh, id)
		} else {
			warm = append(warm, id)
		}
		v.nodeStates[id] = nodeInside
	}
	v.setAside(left, true)
	v.setAside(back, false)
	v.introduce(fresh, true, false)
	v.introduce(warm, false, false)
	for id, since := range v.newNodes {
		if now-since >= v.server.config.Site.Cluster.SlowStartDuration {
			delete(v.newNodes, id)
		}
	}
	if len(change.Added)+len(change.Removed) > 0 {
		v.server.log.Info().Str("mode", "working-set").Int("nodes", v.set.Size()).Int("entered", len(change.Added)).
			Int("left", len(change.Removed)).Int("known", len(v.nodeStates)).Msg("working set changes")
	}
}

// setAside has all shards set nodes aside, or no longer.
func (v *workingSet) setAside(ids []uint32, out bool) {
	if len(ids) > 0 {
		v.server.postAll(func(sh *shard, now float64) { sh.engine.SetOutsideWorkingSet(now, ids, out) })
	}
}

// introduce tells all shards of nodes that they do not know, inside the set or aside.
func (v *workingSet) introduce(ids []uint32, isNew, outside bool) {
	if len(ids) == 0 {
		return
	}
	entries := v.entriesOf(ids)
	v.server.postAll(func(sh *shard, now float64) {
		sh.engine.SetOutsideWorkingSet(now, ids, outside)
		sh.engine.BeginWorkingSet(now, isNew)
		sh.putNodes(entries)
	})
}

// onConnection notes that a node is connected, or is not.
func (v *workingSet) onConnection(id uint32, connected bool) {
	if v == nil {
		return
	}
	v.reportsMu.Lock()
	defer v.reportsMu.Unlock()
	v.reachable[id] = connected
}

// contains tells whether this process looks at a node: at each if it has no working set.
func (v *workingSet) contains(id uint32) bool {
	if v == nil {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Contains(id)
}

// releaseVote counts the shards that have released nodes.
type releaseVote struct {
	mu      sync.Mutex
	pending int // shards that have not told
	votes   map[uint32]int
}

// releaseIdle ends the connections to nodes outside the set at which no shard has anything left.
func (v *workingSet) releaseIdle() {
	v.mu.Lock()
	var ids []uint32
	for id, state := range v.nodeStates {
		if state == nodeAside {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	shards := v.server.liveShards()
	p := &releaseVote{pending: len(shards), votes: map[uint32]int{}}
	for _, sh := range shards { // a shard that is fenced tells nothing, and so holds all up until it begins anew
		sh.post(func(now float64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, id := range ids {
				if v.releaseNode(sh, now, id) {
					p.votes[id]++
				}
			}
			if p.pending--; p.pending == 0 {
				v.server.async(func() { v.disconnectReleased(ids, p.votes, len(shards)) })
			}
		})
	}
}

// releaseNode has a shard release a node.
func (v *workingSet) releaseNode(sh *shard, now float64, id uint32) bool {
	if v.server.config.Faults.AbandonTasks {
		sh.engine.ForceRelease(now, id)
		return true
	}
	return sh.engine.Release(now, id)
}

// disconnectReleased ends the connections to nodes that all shards have released.
func (v *workingSet) disconnectReleased(ids []uint32, votes map[uint32]int, shards int) {
	var idle []uint32
	v.mu.Lock()
	for _, id := range ids {
		if state, known := v.nodeStates[id]; known && state == nodeAside && votes[id] == shards {
			v.nodeStates[id] = nodeReleased
			if !v.set.IsListed(id) {
				delete(v.nodeStates, id)
			}
			idle = append(idle, id)
		}
	}
	v.mu.Unlock()
	for _, id := range idle {
		v.server.connections.disconnect(id, "outside the working set")
	}
}
