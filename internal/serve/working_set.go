package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/decide/workingset"
	"ravenpond/logic"
)

// Times of the working set in ms.
const (
	stepInterval    = 100  // between two steps of the set
	releaseInterval = 1000 // between two attempts to release idle nodes outside the set
	freeMemoryDelay = 5000 // from the last visit until memory is freed; the timers of the visits have ended by then
	shortageAfter   = 100  // time that a task must have waited for a node before the shard counts as short of nodes
)

// nodeState is the state in which the shards know a node.
type nodeState uint8

const (
	nodeInside   nodeState = iota // the node is in the set
	nodeOutside                   // the node is not in the set; tasks of this scheduler may run there
	nodeReleased                  // the node is not in the set and runs no task of this scheduler; it is disconnected
)

// workingSet limits the shards to the working set of the process, if the site file configures one. Shards know only the nodes of the set and
// other nodes where tasks of this scheduler run. A nil workingSet contains all nodes.
//
// mu is held while events are posted to the shards, so that all shards see the same order. The lock order is nodeConnections, workingSet,
// routerMu; the locks of reports and of the endpoint list are leaves.
type workingSet struct {
	*process
	shards      *shardSet
	endpoints   *endpointList
	membership  *clusterMembership
	connections *nodeConnections
	reports     workingSetReports

	mu         sync.Mutex // guards the fields below
	set        *workingset.Set
	visits     workingset.Visits
	nodeStates map[uint32]nodeState // states of the nodes that the shards know
	newNodes   map[uint32]float64   // when nodes joined the endpoint list, ms; only those that joined less than a slow start ago
	load       loadMeter
	visiting   bool // whether visits were pending at the last step
}

// newWorkingSet returns the working set of a process, or nil if the site file configures none.
func newWorkingSet(s *Server) *workingSet {
	siteConfig := s.config.Site
	limits := siteConfig.WorkingSet
	if limits.MinNodes == 0 {
		return nil
	}
	config := workingset.Config{
		Key: siteConfig.Name, Self: s.config.Name, Schedulers: siteConfig.Cluster.Schedulers,
		MinNodes: limits.MinNodes, Coverage: limits.Coverage, Spare: limits.SpareFactor,
		PerStart: limits.NodesPerStart, PerStratum: limits.MinPerStratum, NarrowAfter: limits.NarrowAfter,
		Faults: s.config.Faults.WorkingSet,
	}
	if siteConfig.Members.Listen == "" { // without membership, the other schedulers are known only by their index
		config.Self = fmt.Sprint("place ", s.config.Index)
		for i := range siteConfig.Cluster.Schedulers {
			config.Members = append(config.Members, fmt.Sprint("place ", i))
		}
	}
	return &workingSet{
		process: s.process, shards: s.shardSet, endpoints: s.endpoints, membership: s.membership, connections: s.connections,
		reports: newWorkingSetReports(), set: workingset.New(s.env.Now(), config), nodeStates: map[uint32]nodeState{}, newNodes: map[uint32]float64{},
	}
}

// start visits all nodes, and starts the periodic steps of the set.
func (w *workingSet) start() {
	w.async(w.startVisits) // tasks of an earlier incarnation have to be found soon: clients request them again at once
	w.every(stepInterval, w.step)
	w.every(releaseInterval, w.releaseIdle)
}

// contains reports whether this process uses a node.
func (w *workingSet) contains(id uint32) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Contains(id)
}

// onList handles entries of the endpoint list. Shards get only the entries of nodes that they know.
func (w *workingSet) onList(kind logic.ListKind, entries []listEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.env.Now()
	var removed []uint32
	if kind == logic.ListFull || kind == logic.ListCached {
		removed = w.removeUnlisted(entries)
	}
	var known []listEntry
	for _, entry := range entries {
		w.putEntry(now, kind, entry)
		if logic.Availability(entry.Availability) == logic.Unavailable {
			removed = append(removed, entry.ID)
		}
		if _, ok := w.nodeStates[entry.ID]; ok {
			known = append(known, entry)
		}
	}
	for _, sh := range w.shards.liveShards() {
		sh.postList(kind, known)
	}
	w.setUnlistedOutside(removed)
	w.apply(now, w.set.Step(now))
	w.continueVisits()
}

// setUnlistedOutside moves nodes that left the list out of the set. They are forgotten once no task runs there. The caller holds mu.
func (w *workingSet) setUnlistedOutside(removed []uint32) {
	var known []uint32
	for _, id := range removed {
		if _, ok := w.nodeStates[id]; ok {
			w.nodeStates[id] = nodeOutside
			known = append(known, id)
		}
	}
	w.setOutside(known, true)
}

// putEntry adds or updates the node of a list entry in the set, or removes an unavailable node. The caller holds mu.
func (w *workingSet) putEntry(now float64, kind logic.ListKind, entry listEntry) {
	avail := logic.Availability(entry.Availability)
	if avail == logic.Unavailable {
		w.set.RemoveNode(entry.ID)
		w.visits.Remove(entry.ID)
		delete(w.newNodes, entry.ID)
		return
	}
	state := workingset.Ready
	if avail == logic.Draining {
		state = workingset.Draining
	}
	if isNew := w.set.PutNode(workingset.Node{ID: entry.ID, Zone: entry.zone, Kind: entry.kind, State: state}); isNew {
		if !w.config.Faults.SkipVisits {
			w.visits.Add(entry.ID)
		}
		if kind != logic.ListCached {
			w.newNodes[entry.ID] = now
		}
	}
}

// removeUnlisted removes from the set the nodes that are missing from a full list, and returns them sorted. The caller holds mu.
func (w *workingSet) removeUnlisted(entries []listEntry) (removed []uint32) {
	listed := make(map[uint32]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id := range w.set.Nodes {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	for _, id := range removed {
		w.set.RemoveNode(id)
		w.visits.Remove(id)
		delete(w.newNodes, id)
	}
	return removed
}

// sendKnownNodes sends a starting shard the nodes that the other shards know.
func (w *workingSet) sendKnownNodes(sh *shard) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := slices.Sorted(maps.Keys(w.nodeStates))
	var outside []uint32
	for _, id := range ids {
		if w.nodeStates[id] != nodeInside {
			w.nodeStates[id] = nodeOutside // the starting shard does not know yet what runs there
			outside = append(outside, id)
		}
	}
	entries := w.endpoints.entriesOf(ids)
	sh.post(func(now float64) { sh.engine.SetOutsideWorkingSet(now, outside, true) })
	sh.postList(logic.ListCached, entries)
}

// step passes reports to the set, lets it choose nodes, and applies the change to the shards. It also asks the shards for their demand.
func (w *workingSet) step() {
	names, known := w.membership.memberNames()
	now := w.env.Now()
	w.mu.Lock()
	if known {
		w.set.SetMembers(now, names)
	}
	w.takeReports(now)
	w.apply(now, w.set.Step(now))
	visitsDone := w.visiting && w.visits.Pending() == 0
	w.visiting = w.visits.Pending() > 0
	w.mu.Unlock()
	w.startVisits()
	if visitsDone && w.config.FreeMemory != nil {
		w.env.After(freeMemoryDelay, w.config.FreeMemory)
	}
	w.shards.postAll(func(sh *shard, now float64) {
		demand := sh.engine.Demand(now, shortageAfter)
		w.reports.setDemand(sh.index, demand)
	})
}

// apply tells the shards which nodes enter and leave the set. The caller holds mu.
func (w *workingSet) apply(now float64, change workingset.Change) {
	var leaving, returning, slowStarting, warm []uint32
	for _, departure := range change.Removed {
		w.nodeStates[departure.ID] = nodeOutside
		leaving = append(leaving, departure.ID)
	}
	for _, id := range change.Added {
		if _, ok := w.nodeStates[id]; ok {
			returning = append(returning, id)
		} else if since, isNew := w.newNodes[id]; isNew && now-since < w.config.Site.Cluster.SlowStartDuration {
			slowStarting = append(slowStarting, id)
		} else {
			warm = append(warm, id)
		}
		w.nodeStates[id] = nodeInside
	}
	w.setOutside(leaving, true)
	w.setOutside(returning, false)
	w.addNodes(slowStarting, true, false)
	w.addNodes(warm, false, false)
	maps.DeleteFunc(w.newNodes, func(_ uint32, since float64) bool { return now-since >= w.config.Site.Cluster.SlowStartDuration })
	if len(change.Added)+len(change.Removed) > 0 {
		w.log.Info().Str("mode", "working-set").Int("nodes", w.set.Size()).Int("entered", len(change.Added)).
			Int("left", len(change.Removed)).Int("known", len(w.nodeStates)).Msg("working set changed")
	}
}

// setOutside makes all shards stop using nodes, or use them again.
func (w *workingSet) setOutside(ids []uint32, out bool) {
	if len(ids) > 0 {
		w.shards.postAll(func(sh *shard, now float64) { sh.engine.SetOutsideWorkingSet(now, ids, out) })
	}
}

// addNodes tells all shards about nodes that they do not know yet, inside or outside the set.
func (w *workingSet) addNodes(ids []uint32, isNew, outside bool) {
	if len(ids) == 0 {
		return
	}
	entries := w.endpoints.entriesOf(ids)
	w.shards.postAll(func(sh *shard, now float64) {
		sh.engine.SetOutsideWorkingSet(now, ids, outside)
		sh.engine.BeginWorkingSet(now, isNew)
		sh.putNodes(entries)
	})
}
