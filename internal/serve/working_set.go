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
	stepInterval    = 100  // between two steps
	releaseInterval = 1000 // between two polls of which nodes outside the set can be released
	freeMemoryDelay = 5000 // after the last visit: its timers are over by then
	shortageAfter   = 100  // for which a task must have found no node to count as short
)

// nodeState is how the shards know a node.
type nodeState uint8

const (
	nodeInside   nodeState = iota // in the set
	nodeAside                     // not in the set; tasks of this scheduler may run there
	nodeReleased                  // not in the set, and no task runs there: it is disconnected
)

// workingSet keeps the shards to the working set of the process, where the site file asks for one: they are told of its nodes, and of
// others where tasks of this scheduler run. A nil one contains all nodes.
//
// mu is held while events are posted to the shards, so that all see the same order. The lock order is nodeConnections, workingSet,
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
	nodeStates map[uint32]nodeState // of the nodes that the shards know
	newNodes   map[uint32]float64   // nodes that joined the endpoint list less than a slow start ago, and when, ms
	load       loadMeter
	visiting   bool // visits were pending at the last step
}

// newWorkingSet returns the working set of a process, nil if the site file asks for none.
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
	if siteConfig.Members.Listen == "" { // the other schedulers are known by their index alone
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

// start visits all nodes, and lets the set decide from now on.
func (w *workingSet) start() {
	w.async(w.startVisits) // clients request at once what an earlier incarnation left running
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

// onList takes entries of the endpoint list. Shards are told of the nodes that they know.
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
		if logic.Availability(entry.Avail) == logic.Unavailable {
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

// setUnlistedOutside sets nodes aside that left the list. They are forgotten once no task runs there. The caller holds mu.
func (w *workingSet) setUnlistedOutside(removed []uint32) {
	var known []uint32
	for _, id := range removed {
		if _, ok := w.nodeStates[id]; ok {
			w.nodeStates[id] = nodeAside
			known = append(known, id)
		}
	}
	w.setOutside(known, true)
}

// putEntry puts an entry of the list into the set, or removes it. The caller holds mu.
func (w *workingSet) putEntry(now float64, kind logic.ListKind, entry listEntry) {
	avail := logic.Availability(entry.Avail)
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

// removeUnlisted removes the nodes from the set that a full list lacks, and returns them sorted. The caller holds mu.
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

// sendKnownNodes tells a shard that starts of the nodes that the others know.
func (w *workingSet) sendKnownNodes(sh *shard) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := slices.Sorted(maps.Keys(w.nodeStates))
	var outside []uint32
	for _, id := range ids {
		if w.nodeStates[id] != nodeInside {
			w.nodeStates[id] = nodeAside // this shard has yet to learn what runs there
			outside = append(outside, id)
		}
	}
	entries := w.endpoints.entriesOf(ids)
	sh.post(func(now float64) { sh.engine.SetOutsideWorkingSet(now, outside, true) })
	sh.postList(logic.ListCached, entries)
}

// step lets the set decide, and carries that out on the shards.
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

// apply tells the shards which nodes join and leave the set. The caller holds mu.
func (w *workingSet) apply(now float64, change workingset.Change) {
	var leaving, returning, slowStarting, warm []uint32
	for _, departure := range change.Removed {
		w.nodeStates[departure.ID] = nodeAside
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
	w.introduce(slowStarting, true, false)
	w.introduce(warm, false, false)
	maps.DeleteFunc(w.newNodes, func(_ uint32, since float64) bool { return now-since >= w.config.Site.Cluster.SlowStartDuration })
	if len(change.Added)+len(change.Removed) > 0 {
		w.log.Info().Str("mode", "working-set").Int("nodes", w.set.Size()).Int("entered", len(change.Added)).
			Int("left", len(change.Removed)).Int("known", len(w.nodeStates)).Msg("working set changes")
	}
}

// setOutside has all shards use nodes no longer, or again.
func (w *workingSet) setOutside(ids []uint32, out bool) {
	if len(ids) > 0 {
		w.shards.postAll(func(sh *shard, now float64) { sh.engine.SetOutsideWorkingSet(now, ids, out) })
	}
}

// introduce tells all shards of nodes that they do not know, inside the set or outside of it.
func (w *workingSet) introduce(ids []uint32, isNew, outside bool) {
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
