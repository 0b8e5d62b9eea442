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

// newWorkingSet gives the working set of a process, nil if the site file asks for none.
func newWorkingSet(s *Server) *workingSet {
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
func (w *workingSet) start() {
	w.server.async(w.startVisits) // owners ask again at once for what an earlier incarnation left running
	w.server.every(stepInterval, w.step)
	w.server.every(releaseInterval, w.releaseIdle)
}

// onList takes news of the node list: shards hear what concerns the nodes that they know.
func (w *workingSet) onList(kind logic.ListKind, entries []listEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.server.env.Now()
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
	for _, sh := range w.server.liveShards() {
		sh.postList(kind, known)
	}
	w.setAsideUnlisted(removed)
	w.apply(now, w.set.Step(now))
	w.continueVisits()
}

// setAsideUnlisted sets nodes aside that left the list: they are forgotten once nothing stands there.
func (w *workingSet) setAsideUnlisted(removed []uint32) {
	var known []uint32
	for _, id := range removed {
		if _, ok := w.nodeStates[id]; ok {
			w.nodeStates[id] = nodeAside
			known = append(known, id)
		}
	}
	w.setAside(known, true)
}

// putEntry takes an entry of the list into the set.
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
		if !w.server.config.Faults.SkipVisits {
			w.visits.Add(entry.ID)
		}
		if kind != logic.ListCached {
			w.newNodes[entry.ID] = now
		}
	}
}

// removeUnlisted takes nodes out of the set that a whole list does not name, and gives them.
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

// sendKnownNodes tells a shard that begins of the nodes that the others know.
func (w *workingSet) sendKnownNodes(sh *shard) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := slices.Sorted(maps.Keys(w.nodeStates))
	var outside []uint32
	for _, id := range ids {
		if w.nodeStates[id] != nodeInside {
			w.nodeStates[id] = nodeAside // this shard has yet to hear whether something stands there
			outside = append(outside, id)
		}
	}
	entries := w.entriesOf(ids)
	sh.post(func(now float64) { sh.engine.SetOutsideWorkingSet(now, outside, true) })
	sh.postList(logic.ListCached, entries)
}

// entriesOf gives the list's entries of nodes.
func (w *workingSet) entriesOf(ids []uint32) []listEntry {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	var entries []state.Entry
	for _, id := range ids {
		if entry, ok := w.server.list.Entry(id); ok {
			entries = append(entries, entry)
		}
	}
	return w.server.resolveEntries(entries)
}

// step lets the set decide, and carries that out.
func (w *workingSet) step() {
	names, known := w.memberNames()
	now := w.server.env.Now()
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
	if visitsDone && w.server.config.FreeMemory != nil {
		w.server.env.After(freeMemoryDelay, w.server.config.FreeMemory)
	}
	w.server.postAll(func(sh *shard, now float64) {
		demand := sh.engine.Demand(now, shortageAfter)
		w.reportsMu.Lock()
		w.demands[sh.index] = demand
		w.reportsMu.Unlock()
	})
}

// memberNames gives the schedulers that are there, if this process knows them.
func (w *workingSet) memberNames() (names []string, known bool) {
	if w.server.membership.runner == nil {
		return nil, false
	}
	w.server.membership.runner.WithDetector(func(detector *membership.Detector) {
		for _, member := range detector.All() {
			if member.State == membership.Alive || member.State == membership.Suspect {
				names = append(names, member.Name)
			}
		}
	})
	return names, true
}

// takeReports takes what connections and shards have told since the last step.
func (w *workingSet) takeReports(now float64) {
	w.reportsMu.Lock()
	defer w.reportsMu.Unlock()
	for id, reachable := range w.reachable {
		w.set.SetReachable(id, reachable)
	}
	clear(w.reachable)
	var sum engine.Demand
	for _, index := range slices.Sorted(maps.Keys(w.demands)) {
		demand := w.demands[index]
		sum.Cores, sum.Memory, sum.Offers = sum.Cores+demand.Cores, sum.Memory+demand.Memory, sum.Offers+demand.Offers
		for i, short := range demand.Short {
			if !short {
				continue
			}
			kind := i
			if i == len(demand.Short)-1 {
				kind = workingset.AnyKind
			}
			w.set.OnShortage(kind)
		}
	}
	w.measure(now, sum)
	clear(w.demands)
}

// measure tells the set the own load, now and then. Machines are counted in those of the mean kind.
func (w *workingSet) measure(now float64, sum engine.Demand) {
	if len(w.demands) == 0 || now-w.load.at < loadInterval {
		return
	}
	if sum.Offers >= w.load.offers && w.load.at > 0 { // else a shard has begun anew
		starts := float64(sum.Offers-w.load.offers) / (now - w.load.at) * 1000
		w.load.starts = (w.load.starts + starts) / 2
	}
	w.load.at, w.load.offers = now, sum.Offers
	cluster := &w.server.config.Site.Cluster
	cores, memory := 0.0, 0.0
	for kind := range cluster.KindCores {
		cores += cluster.KindCores[kind] * cluster.CoresOvercommit
		memory += cluster.KindMemory[kind] * cluster.MemoryOvercommit
	}
	kinds := float64(len(cluster.KindCores))
	w.set.SetLoad(workingset.Load{Machines: kinds * max(sum.Cores/cores, sum.Memory/memory), Starts: w.load.starts})
}

// apply tells the shards which nodes enter and leave the set.
func (w *workingSet) apply(now float64, change workingset.Change) {
	var leaving, returning, newcomers, warm []uint32
	for _, departure := range change.Removed {
		w.nodeStates[departure.ID] = nodeAside
		leaving = append(leaving, departure.ID)
	}
	for _, id := range change.Added {
		if _, ok := w.nodeStates[id]; ok {
			returning = append(returning, id)
		} else if since, isNew := w.newNodes[id]; isNew && now-since < w.server.config.Site.Cluster.SlowStartDuration {
			newcomers = append(newcomers, id)
		} else {
			warm = append(warm, id)
		}
		w.nodeStates[id] = nodeInside
	}
	w.setAside(leaving, true)
	w.setAside(returning, false)
	w.introduce(newcomers, true, false)
	w.introduce(warm, false, false)
	for id, since := range w.newNodes {
		if now-since >= w.server.config.Site.Cluster.SlowStartDuration {
			delete(w.newNodes, id)
		}
	}
	if len(change.Added)+len(change.Removed) > 0 {
		w.server.log.Info().Str("mode", "working-set").Int("nodes", w.set.Size()).Int("entered", len(change.Added)).
			Int("left", len(change.Removed)).Int("known", len(w.nodeStates)).Msg("working set changes")
	}
}

// setAside has all shards set nodes aside, or no longer.
func (w *workingSet) setAside(ids []uint32, out bool) {
	if len(ids) > 0 {
		w.server.postAll(func(sh *shard, now float64) { sh.engine.SetOutsideWorkingSet(now, ids, out) })
	}
}

// introduce tells all shards of nodes that they do not know, inside the set or aside.
func (w *workingSet) introduce(ids []uint32, isNew, outside bool) {
	if len(ids) == 0 {
		return
	}
	entries := w.entriesOf(ids)
	w.server.postAll(func(sh *shard, now float64) {
		sh.engine.SetOutsideWorkingSet(now, ids, outside)
		sh.engine.BeginWorkingSet(now, isNew)
		sh.putNodes(entries)
	})
}

// onConnection notes that a node is connected, or is not.
func (w *workingSet) onConnection(id uint32, connected bool) {
	if w == nil {
		return
	}
	w.reportsMu.Lock()
	defer w.reportsMu.Unlock()
	w.reachable[id] = connected
}

// contains tells whether this process looks at a node: at each if it has no working set.
func (w *workingSet) contains(id uint32) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Contains(id)
}

// releaseVote counts the shards that have released nodes.
type releaseVote struct {
	mu      sync.Mutex
	pending int // shards that have not told
	votes   map[uint32]int
}

// releaseIdle ends the connections to nodes outside the set at which no shard has anything left.
func (w *workingSet) releaseIdle() {
	w.mu.Lock()
	var ids []uint32
	for id, state := range w.nodeStates {
		if state == nodeAside {
			ids = append(ids, id)
		}
	}
	w.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	shards := w.server.liveShards()
	vote := &releaseVote{pending: len(shards), votes: map[uint32]int{}}
	for _, sh := range shards { // a shard that is fenced tells nothing, and so holds all up until it begins anew
		sh.post(func(now float64) {
			vote.mu.Lock()
			defer vote.mu.Unlock()
			for _, id := range ids {
				if w.releaseNode(sh, now, id) {
					vote.votes[id]++
				}
			}
			if vote.pending--; vote.pending == 0 {
				w.server.async(func() { w.disconnectReleased(ids, vote.votes, len(shards)) })
			}
		})
	}
}

// releaseNode has a shard release a node.
func (w *workingSet) releaseNode(sh *shard, now float64, id uint32) bool {
	if w.server.config.Faults.AbandonTasks {
		sh.engine.ForceRelease(now, id)
		return true
	}
	return sh.engine.Release(now, id)
}

// disconnectReleased ends the connections to nodes that all shards have released.
func (w *workingSet) disconnectReleased(ids []uint32, votes map[uint32]int, shards int) {
	var idle []uint32
	w.mu.Lock()
	for _, id := range ids {
		if state, known := w.nodeStates[id]; known && state == nodeAside && votes[id] == shards {
			w.nodeStates[id] = nodeReleased
			if !w.set.IsListed(id) {
				delete(w.nodeStates, id)
			}
			idle = append(idle, id)
		}
	}
	w.mu.Unlock()
	for _, id := range idle {
		w.server.connections.disconnect(id, "outside the working set")
	}
}
