package serve

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/state/maintenancestore"
)

// MaintenanceStore holds maintenance windows and the measured load. It is opened for one poll at a time, so that the command line can
// change the calendar while the process runs.
type MaintenanceStore interface {
	maintenance.Store
	Loads() (measured *calendar.Load, published *calendar.Table, err error)
	SaveMeasuredLoad(*calendar.Load) error
	Close() error
}

const (
	// maintenanceInterval is the time between two polls of the windows, ms.
	maintenanceInterval = 1000
	// maintenanceMarkLifetime is how long, in ms, the list server keeps a mark that is not renewed: a scheduler that is gone for good
	// must not keep a node out.
	maintenanceMarkLifetime = 60000
	// marksPerLifetime is how often a mark is renewed in its lifetime.
	marksPerLifetime = 3
	// loadSaveInterval is the time between two saves of the measured load.
	loadSaveInterval = 10 * time.Minute
)

// maintenanceRunner carries out the maintenance windows of the state folder's store: it keeps tasks off nodes whose window is open, moves
// running ones away, and tells the list server, for schedulers without a calendar.
//
// The polls run one at a time, on a timer. mu is a leaf: no other lock is taken while it is held.
type maintenanceRunner struct {
	*process
	endpoints  *endpointList
	listClient *listClient
	shards     shardLister

	// The polls alone use these.
	controller *maintenance.Controller
	history    loadHistory
	lastError  string // of the last poll, so that one that stays is logged once

	mu            sync.Mutex // guards the fields below
	inMaintenance map[uint32]bool
	returned      []uint32 // nodes that came back, of which the list server has not been told
	marksSentAt   float64
	taskCounts    map[int]taskCount // by shard
}

// shardLister gives the shards that run.
type shardLister interface{ liveShards() []*shard }

// loadHistory is the load measured by hour of the week.
type loadHistory struct {
	measured *calendar.Load
	savedAt  time.Time
	source   string // of the load that the calendar plans with, as last logged
}

// taskCount is what a shard holds: on nodes that are out, by job class, and in all.
type taskCount struct {
	incarnation uint32
	byNode      map[uint32][]int
	all         int
}

func newMaintenanceRunner(p *process, endpoints *endpointList, shards shardLister) *maintenanceRunner {
	m := &maintenanceRunner{process: p, endpoints: endpoints, shards: shards, inMaintenance: map[uint32]bool{}, taskCounts: map[int]taskCount{}}
	var executor maintenance.Executor = maintenanceExecutor{m}
	if wrap := p.config.Faults.WrapMaintenance; wrap != nil {
		executor = wrap(executor)
	}
	m.controller = &maintenance.Controller{Executor: executor, Limits: p.config.Site.Maintenance, Policies: p.config.Site.DrainPolicies}
	return m
}

// loadOpenWindows reads which nodes an earlier incarnation took out: the shards have to know before they place anything.
func (m *maintenanceRunner) loadOpenWindows() error {
	store, err := m.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer func() { _ = store.Close() }() // each change was committed by itself
	open, err := store.UnfinishedDrains()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, drain := range open {
		for _, id := range parseNodeIDs(drain.Verdict.Nodes) {
			m.inMaintenance[id] = true
		}
	}
	return nil
}

// start polls the windows from now on.
func (m *maintenanceRunner) start() {
	m.async(func() {
		m.poll() // what opened while no process ran
		m.every(maintenanceInterval, m.poll)
	})
}

// poll carries out what is due. While it fails, windows stand still and placement goes on.
func (m *maintenanceRunner) poll() {
	failure := ""
	if err := m.run(); err != nil && !errors.Is(err, maintenancestore.ErrLocked) { // the command line has the store just now
		failure = err.Error()
	}
	if failure != m.lastError && failure != "" {
		m.log.Error().Str("mode", "drains").Msg(failure)
	}
	m.lastError = failure
}

func (m *maintenanceRunner) run() error {
	store, err := m.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer func() { _ = store.Close() }() // each change was committed by itself
	m.controller.Store = store
	nodes, lost := m.endpoints.calendarNodes()
	now := m.env.WallClock()
	if err := m.measureLoad(store, now, nodes); err != nil {
		return err
	}
	m.countTasks()
	err = m.controller.Tick(now, nodes, lost)
	m.sendMarks() // after it, so that what has just opened or closed goes to the list server at once
	return err
}

// measureLoad adds the present load to the history, saves that now and then, and gives the controller the load to plan with.
func (m *maintenanceRunner) measureLoad(store MaintenanceStore, now time.Time, nodes []calendar.Node) error {
	h := &m.history
	measured, published, err := store.Loads()
	if err != nil {
		return err
	}
	if h.measured == nil {
		h.measured, h.savedAt = measured, now
	}
	if cores, memory, ok := requestedShare(nodes, m.endpoints.freeCapacity()); ok {
		h.measured.Add(now, cores, memory)
	}
	if now.Sub(h.savedAt) > loadSaveInterval {
		if err := store.SaveMeasuredLoad(h.measured); err != nil {
			return err
		}
		h.savedAt = now
	}
	estimate, source := calendar.ChooseEstimate(h.measured, published, m.config.Site.Cluster.Schedulers)
	m.controller.UsualLoad = estimate
	if source != h.source {
		h.source = source
		m.log.Info().Str("mode", "drains").Msg("usual load: " + source)
	}
	return nil
}

// requestedShare returns which shares, from 0 to 1, of all cores and memory are requested; not ok if no node is known.
func requestedShare(nodes []calendar.Node, free map[string]resources) (cores, memory float64, ok bool) {
	var total, used resources
	for _, node := range nodes {
		nodeFree, listed := free[node.ID]
		if !listed {
			continue
		}
		total.cores, total.memory = total.cores+node.Cores, total.memory+node.Memory
		used.cores, used.memory = used.cores+node.Cores-nodeFree.cores, used.memory+node.Memory-nodeFree.memory
	}
	if total.cores <= 0 || total.memory <= 0 {
		return 0, 0, false
	}
	return used.cores / total.cores, used.memory / total.memory, true
}

// sendMarks has the list server told which nodes are out, when that is due.
func (m *maintenanceRunner) sendMarks() {
	now := m.env.Now()
	m.mu.Lock()
	due := len(m.inMaintenance)+len(m.returned) > 0 && now-m.marksSentAt > maintenanceMarkLifetime/marksPerLifetime
	if due {
		m.marksSentAt = now
	}
	m.mu.Unlock()
	if due {
		m.listClient.call(maintenanceCall)
	}
}

// resendMarks has the list server told at the next poll.
func (m *maintenanceRunner) resendMarks() {
	m.mu.Lock()
	m.marksSentAt = 0
	m.mu.Unlock()
}

// appendMarks appends the lines that tell the list server which nodes are out and which have returned. The latter are sent once; if they
// are lost, the marks expire.
func (m *maintenanceRunner) appendMarks(b []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(m.inMaintenance)) {
		b = list.AppendMaintenance(b, id, maintenanceMarkLifetime)
	}
	for _, id := range m.returned {
		b = list.AppendMaintenanceEnd(b, id)
	}
	m.returned = nil
	return b
}

// nodesInMaintenance returns the nodes that are out, sorted.
func (m *maintenanceRunner) nodesInMaintenance() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.inMaintenance))
}

// countTasks has each shard count what it holds on the nodes that are out, for the next poll.
func (m *maintenanceRunner) countTasks() {
	ids := m.nodesInMaintenance()
	if len(ids) == 0 {
		return
	}
	for _, sh := range m.shards.liveShards() {
		sh.post(func(float64) {
			counts := taskCount{sh.incarnation, map[uint32][]int{}, sh.engine.Stats().Held}
			for _, id := range ids {
				counts.byNode[id] = make([]int, len(m.config.Site.JobClasses))
				sh.engine.CountRunning(id, counts.byNode[id])
			}
			m.mu.Lock()
			m.taskCounts[sh.index] = counts
			m.mu.Unlock()
		})
	}
}

// tasksOf returns what a shard held when it was last counted.
func (m *maintenanceRunner) tasksOf(shard int) taskCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.taskCounts[shard]
}

// setInMaintenance marks nodes as out, or as returned.
func (m *maintenanceRunner) setInMaintenance(ids []uint32, inMaintenance bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if inMaintenance {
			m.inMaintenance[id] = true
		} else if m.inMaintenance[id] {
			delete(m.inMaintenance, id)
			m.returned = append(m.returned, id)
		}
	}
	m.marksSentAt = 0 // the list server is told at the end of this poll
}

// maintenanceExecutor carries out the controller's decisions on all shards.
type maintenanceExecutor struct{ m *maintenanceRunner }

// SetDraining takes nodes out or brings them back.
func (e maintenanceExecutor) SetDraining(nodes []string, draining bool) {
	ids := parseNodeIDs(nodes)
	e.m.setInMaintenance(ids, draining)
	for _, sh := range e.m.shards.liveShards() {
		sh.post(func(now float64) { sh.engine.SetMaintenance(now, ids, draining) })
	}
}

// CountRunning sums what the shards last counted: the running tasks on nodes by job class, and all tasks. A node counts as occupied while
// a shard has not counted it since the node went out or the shard started.
func (e maintenanceExecutor) CountRunning(nodes []string) (byJobClass []int, all int) {
	byJobClass = make([]int, len(e.m.config.Site.JobClasses))
	for _, sh := range e.m.shards.liveShards() {
		counts := e.m.tasksOf(sh.index)
		all += counts.all
		for _, id := range parseNodeIDs(nodes) {
			byJob, ok := counts.byNode[id]
			if !ok || counts.incarnation != sh.incarnation || sh.fenced.Load() {
				byJobClass[0]++
			}
			for jobClass, n := range byJob {
				byJobClass[jobClass] += n
			}
		}
	}
	return byJobClass, all
}

// Evict has the shards stop up to limit tasks of a job class on nodes, and returns how many they stop.
func (e maintenanceExecutor) Evict(nodes []string, jobClass, limit int) int {
	movable := make([]bool, len(e.m.config.Site.JobClasses))
	movable[jobClass] = true
	left := limit
	for _, sh := range e.m.shards.liveShards() {
		counts := e.m.tasksOf(sh.index)
		for _, id := range parseNodeIDs(nodes) {
			share := 0
			if byJob := counts.byNode[id]; byJob != nil {
				share = min(left, byJob[jobClass])
			}
			if share > 0 && sh.post(func(now float64) { sh.engine.MigrateFrom(now, id, movable, share) }) {
				left -= share
			}
		}
	}
	return limit - left
}

// Log writes a line of the controller.
func (e maintenanceExecutor) Log(line string) { e.m.log.Info().Str("mode", "drains").Msg(line) }

// parseNodeIDs reads the calendar's node ids. Those that are no numbers are left out.
func parseNodeIDs(nodes []string) (ids []uint32) {
	for _, text := range nodes {
		if id, err := strconv.ParseUint(text, 10, 32); err == nil {
			ids = append(ids, uint32(id))
		}
	}
	return ids
}
