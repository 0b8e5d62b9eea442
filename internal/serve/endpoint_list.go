package serve

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

const (
	// listSaveInterval is the time in ms between two writes of a changed list to disk. Changes that a crash loses in between are fetched
	// again from the list server.
	listSaveInterval = 1000
	// nodesSavedPerInterval limits the mean number of entries that a scheduler with a working set writes per listSaveInterval.
	nodesSavedPerInterval = 1000
	// forgetLostAfter is the time after which a node that left the list counts as removed for good.
	forgetLostAfter = 30 * time.Minute
)

// endpointList is this process's copy of the endpoint list, with the data that is derived from the list alone. The copy is stored in the
// state folder and survives a restart. All methods are safe for concurrent use. mu is a leaf lock: no other lock is taken while it is held.
type endpointList struct {
	*process

	mu         sync.Mutex // guards all fields below
	list       *state.NodeList
	savedAt    float64                  // time in ms when the list was last saved
	cellIndex  map[string]int           // indices of cells, assigned when a cell first appears on the list
	knownNodes map[string]calendar.Node // all nodes that are on the list, or left it less than forgetLostAfter ago
	lostSince  map[string]time.Time     // since when nodes of knownNodes have been missing from the list
	ready      []readyNode              // cached result of readyNodes
	readyAt    uint64                   // revision of the list from which ready was computed
}

// openEndpointList reads the copy that an earlier incarnation saved. If the copy is damaged or missing, the list starts empty.
func openEndpointList(p *process) (*endpointList, error) {
	saved, err := p.folder.LoadList()
	if errors.Is(err, state.ErrDamaged) {
		p.log.Warn().Str("mode", "list").Err(err).Msg("saved node list is damaged; starting with an empty list")
		saved, err = nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read node list from state folder: %w", err)
	}
	if saved == nil {
		saved = state.NewNodeList()
	}
	l := &endpointList{process: p, list: saved, cellIndex: map[string]int{}, knownNodes: map[string]calendar.Node{}, lostSince: map[string]time.Time{}}
	l.recordNodes(saved.Entries())
	return l, nil
}

// update applies a complete answer of the list server and returns the answer's entries.
func (l *endpointList) update(kind int, version uint64, entries []state.Entry) ([]listEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.list.Begin(kind, version); err != nil {
		return nil, err
	}
	for _, entry := range entries {
		l.list.Put(entry)
	}
	l.list.End()
	l.recordNodes(entries)
	return l.resolve(entries), nil
}

func (l *endpointList) version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.Version
}

func (l *endpointList) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.Len()
}

// all returns every entry.
func (l *endpointList) all() []listEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resolve(l.list.Entries())
}

// entriesOf returns the entries of the given nodes. Nodes that are not on the list are left out.
func (l *endpointList) entriesOf(ids []uint32) []listEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []state.Entry
	for _, id := range ids {
		if entry, ok := l.list.Entry(id); ok {
			entries = append(entries, entry)
		}
	}
	return l.resolve(entries)
}

// resolve replaces the names of zones, cells and machine kinds with indices. Entries whose zone or machine kind is not in the site file are
// left out, because no placement decision can be made about them. The caller holds mu.
func (l *endpointList) resolve(entries []state.Entry) []listEntry {
	resolved := make([]listEntry, 0, len(entries))
	skipped := 0
	for _, entry := range entries {
		if l.config.Faults.ListEntry != nil {
			l.config.Faults.ListEntry(&entry)
		}
		zone, kind := slices.Index(l.config.Site.Zones, entry.Zone), slices.Index(l.config.Site.MachineKinds, entry.Kind)
		if entry.Availability != 0 && (zone < 0 || kind < 0) {
			skipped++
			continue
		}
		cell, ok := l.cellIndex[entry.Cell]
		if !ok {
			cell = len(l.cellIndex)
			l.cellIndex[entry.Cell] = cell
		}
		resolved = append(resolved, listEntry{entry, max(0, zone), cell, max(0, kind)})
	}
	if skipped > 0 {
		l.log.Warn().Str("mode", "list").Int("skipped", skipped).Msg("node list entries of unknown zone or machine kind ignored")
	}
	return resolved
}

// startSaving starts to write the list to the state folder periodically. With a working set, large lists are written less often.
func (l *endpointList) startSaving(hasWorkingSet bool) {
	l.every(listSaveInterval, func() {
		if hasWorkingSet && l.saveTooSoon() {
			return
		}
		if err := l.save(); err != nil {
			l.log.Error().Str("mode", "state").Err(err).Msg("cannot save node list")
		}
	})
}

// saveTooSoon reports whether a save now would exceed nodesSavedPerInterval. The limit keeps the bytes that a scheduler with a working set
// writes per second independent of the number of nodes.
func (l *endpointList) saveTooSoon() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.env.Now()-l.savedAt < listSaveInterval*float64(l.list.Len())/nodesSavedPerInterval
}

// save writes the list to the state folder if it has changed since the last save.
func (l *endpointList) save() error {
	l.mu.Lock()
	var text []byte
	if l.list.TakeChanged() {
		text = l.list.Encode()
	}
	l.savedAt = l.env.Now()
	l.mu.Unlock()
	if text == nil {
		return nil
	}
	return l.folder.SaveList(text)
}

// recordNodes adds the nodes of entries to knownNodes. It is called at each update and not only when maintenance windows are polled, because
// a window has to cover a node that is off the list when the window opens and returns before it ends. The caller holds mu.
func (l *endpointList) recordNodes(entries []state.Entry) {
	siteConfig := l.config.Site
	for _, entry := range entries {
		kind := slices.Index(siteConfig.MachineKinds, entry.Kind)
		if kind < 0 || entry.Availability == 0 {
			continue
		}
		id := formatNodeID(entry.ID)
		l.knownNodes[id] = calendar.Node{
			ID: id, Zone: entry.Zone, Cell: entry.Cell, Kind: entry.Kind,
			Cores: siteConfig.Cluster.KindCores[kind], Memory: siteConfig.Cluster.KindMemory[kind],
		}
		delete(l.lostSince, id)
	}
}

// calendarNodes returns the nodes in the form that the maintenance calendar takes. Nodes that left the list are returned as lost until
// forgetLostAfter has passed, because the remaining nodes have to carry their work too.
func (l *endpointList) calendarNodes() (nodes []calendar.Node, lost map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost = map[string]bool{}
	entries := l.list.Entries()
	l.recordNodes(entries)
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[formatNodeID(entry.ID)] = true
	}
	now := l.env.WallClock()
	for id, node := range l.knownNodes {
		if !listed[id] {
			lost[id] = true
			if since, ok := l.lostSince[id]; !ok {
				l.lostSince[id] = now
			} else if now.Sub(since) > forgetLostAfter {
				delete(l.knownNodes, id)
				delete(l.lostSince, id)
				delete(lost, id)
				continue
			}
		}
		nodes = append(nodes, node)
	}
	return nodes, lost
}

// freeCapacity returns the free cores and memory of each node, as given by the list.
func (l *endpointList) freeCapacity() map[string]resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := map[string]resources{}
	for _, entry := range l.list.Entries() {
		free[formatNodeID(entry.ID)] = resources{cores: entry.FreeCores, memory: entry.FreeMemory}
	}
	return free
}

// resources are the cores and the memory, in GiB, of a node or of a part of a node.
type resources struct{ cores, memory float64 }

// capacity returns the sum of the limits of all ready nodes, and how much of it is not requested.
func (l *endpointList) capacity() shardrouter.Capacity {
	cluster := &l.config.Site.Cluster
	var total, free shardrouter.Resources
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.list.Entries() {
		kind := slices.Index(l.config.Site.MachineKinds, entry.Kind)
		if kind < 0 || logic.Availability(entry.Availability) != logic.Ready {
			continue
		}
		cores, memory := cluster.KindCores[kind]*cluster.CoresOvercommit, cluster.KindMemory[kind]*cluster.MemoryOvercommit
		total.Cores, total.Memory = total.Cores+cores, total.Memory+memory
		if cluster.ListsReportLoad { // the list reports what is free of the machine, while capacity counts up to the limit
			cores, memory = cores-cluster.KindCores[kind]+entry.FreeCores, memory-cluster.KindMemory[kind]+entry.FreeMemory
		}
		free.Cores, free.Memory = free.Cores+max(0, cores), free.Memory+max(0, memory)
	}
	return shardrouter.Capacity{Total: total, Free: free, ReportsFree: cluster.ListsReportLoad}
}

// readyNode is a node that accepts new tasks.
type readyNode struct {
	id    uint32
	zone  string
	cores float64 // of its machine kind
	free  float64 // free cores
	hash  float64 // from 0 to 1 and equal at all schedulers; nodes of a recovering zone are readmitted in this order
}

// readyNodes returns the ready nodes sorted by id. The slice is shared between callers until the list changes; they must not modify it.
func (l *endpointList) readyNodes() []readyNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.list.Revision()
	if l.ready != nil && l.readyAt == revision {
		return l.ready
	}
	siteConfig, nodes := l.config.Site, make([]readyNode, 0, l.list.Len())
	for _, entry := range l.list.Entries() {
		if logic.Availability(entry.Availability) != logic.Ready {
			continue
		}
		node := readyNode{id: entry.ID, zone: entry.Zone, free: entry.FreeCores, hash: nodeHash("", entry.ID)}
		if kind := slices.Index(siteConfig.MachineKinds, entry.Kind); kind >= 0 {
			node.cores = siteConfig.Cluster.KindCores[kind]
		}
		nodes = append(nodes, node)
	}
	l.ready, l.readyAt = nodes, revision
	return nodes
}

// nodeHash maps a node to a number from 0 to 1. Different salts give different numbers.
func nodeHash(salt string, id uint32) float64 {
	hash := xxhash.Sum64(append([]byte(salt), byte(id), byte(id>>8), byte(id>>16), byte(id>>24)))
	return float64(hash>>11) / (1 << 53)
}

// formatNodeID formats a node's id for the maintenance calendar.
func formatNodeID(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
