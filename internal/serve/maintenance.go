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

// MaintenanceStore stores maintenance windows and the measured load. It is opened for one poll at a time, so that the command line can change
// the calendar while the process runs.
type MaintenanceStore interface {
	maintenance.Store
	Loads() (measured *calendar.Load, published *calendar.Table, err error)
	SaveMeasuredLoad(*calendar.Load) error
	Close() error
}

const (
	// maintenanceInterval is the time between two polls of the maintenance windows, ms.
	maintenanceInterval = 1000
	// maintenanceMarkLifetime is how long, in ms, the list server keeps a maintenance mark that is not renewed. Marks expire so that a
	// scheduler that is gone for good does not keep a node out of use.
	maintenanceMarkLifetime = 60000
	// marksPerLifetime is how many times a mark is renewed during its lifetime.
	marksPerLifetime = 3
	// loadSaveInterval is the time between two saves of the measured load.
	loadSaveInterval = 10 * time.Minute
)

// maintenanceRunner carries out the maintenance windows of the state folder's store. It places no tasks on nodes whose window is open, moves
// running tasks away from them, and marks the nodes at the list server for schedulers without a calendar.
//
// Polls run one at a time, on a timer. mu is a leaf lock: no other lock is taken while it is held.
type maintenanceRunner struct {
	*process
	endpoints  *endpointList
	listClient *listClient
	shards     shardLister

	// Only the polls use these fields.
	controller *maintenance.Controller
	history    loadHistory
	lastError  string // error of the last poll, empty if none; an error that repeats is logged once

	mu            sync.Mutex // guards the fields below
	inMaintenance map[uint32]bool
	returned      []uint32 // nodes whose maintenance has ended, not yet reported to the list server
	marksSentAt   float64
	taskCounts    map[int]taskCount // by shard
}

// shardLister returns the shards that run.
type shardLister interface{ liveShards() []*shard }

// loadHistory is the measured load by hour of the week.
type loadHistory struct {
	measured *calendar.Load
	savedAt  time.Time
	source   string // source of the load estimate that the calendar plans with, as last logged
}

// taskCount is the number of tasks that a shard holds: by node in maintenance and job class, and in total.
type taskCount struct {
	incarnation uint32           // of the shard
	byNode      map[uint32][]int // by job class
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

// loadOpenWindows reads which nodes an earlier incarnation took into maintenance. The shards have to know them before they place anything.
func (m *maintenanceRunner) loadOpenWindows() error {
	store, err := m.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer func() { _ = store.Close() }() // an error loses nothing, as each change was committed by itself
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

// start starts to poll the windows.
func (m *maintenanceRunner) start() {
	m.async(func() {
		m.poll() // carries out windows that opened while no process ran
		m.every(maintenanceInterval, m.poll)
	})
}

// poll carries out what is due. While it fails, no window makes progress, and placement continues.
func (m *maintenanceRunner) poll() {
	failure := ""
	if err := m.run(); err != nil && !errors.Is(err, maintenancestore.ErrLocked) { // ErrLocked: the command line has the store open
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
	defer func() { _ = store.Close() }() // an error loses nothing, as each change was committed by itself
	m.controller.Store = store
	nodes, lost := m.endpoints.calendarNodes()
	now := m.env.WallClock()
	if err := m.measureLoad(store, now, nodes); err != nil {
		return err
	}
	m.countTasks()
	err = m.controller.Tick(now, nodes, lost)
	m.sendMarks() // after Tick, so that windows that have just opened or closed are reported to the list server at once
	return err
}

// measureLoad adds the present load to the history, saves the history every loadSaveInterval, and gives the controller the load estimate to
// plan with.
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

// requestedShare returns the shares, from 0 to 1, of all cores and memory that are requested. ok is false if no node is known.
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

// sendMarks reports to the list server which nodes are in maintenance, if a report is due.
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

// resendMarks makes the next poll send the marks to the list server.
func (m *maintenanceRunner) resendMarks() {
	m.mu.Lock()
	m.marksSentAt = 0
	m.mu.Unlock()
}

// appendMarks appends the lines that tell the list server which nodes are in maintenance and which have returned from it. Returned nodes are
// sent once; if that line is lost, the mark of the node expires.
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

// nodesInMaintenance returns the nodes in maintenance, sorted.
func (m *maintenanceRunner) nodesInMaintenance() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.inMaintenance))
}

// countTasks makes each shard count its tasks on the nodes in maintenance, for the next poll.
func (m *maintenanceRunner) countTasks() {
	ids := m.nodesInMaintenance()
	if len(ids) == 0 {
		return
	}
	for _, sh := range m.shards.liveShards() {
		sh.post(func(float64) {
			counts := taskCount{sh.incarnation, map[uint32][]int{}, sh.engine.Stats().Allocations}
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

// tasksOf returns the last task count of a shard.
func (m *maintenanceRunner) tasksOf(shard int) taskCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.taskCounts[shard]
}

// setInMaintenance marks nodes as in maintenance, or as returned from it.
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
	m.marksSentAt = 0 // the marks are sent at the end of this poll
}

// maintenanceExecutor carries out the controller's decisions on all shards.
type maintenanceExecutor struct{ m *maintenanceRunner }

// SetDraining puts nodes into maintenance or brings them back.
func (e maintenanceExecutor) SetDraining(nodes []string, draining bool) {
	ids := parseNodeIDs(nodes)
	e.m.setInMaintenance(ids, draining)
	for _, sh := range e.m.shards.liveShards() {
		sh.post(func(now float64) { sh.engine.SetMaintenance(now, ids, draining) })
	}
}

// CountRunning sums the last counts of the shards: the running tasks on nodes by job class, and all tasks. A node counts as occupied until
// each shard has counted its tasks there, after the node entered maintenance and after the last start of the shard.
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

// Evict makes the shards stop up to limit tasks of a job class on nodes, and returns how many they were told to stop.
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

// Log writes a line of the controller to the log.
func (e maintenanceExecutor) Log(line string) { e.m.log.Info().Str("mode", "drains").Msg(line) }

// parseNodeIDs parses the calendar's node ids. Ids that are no numbers are left out.
func parseNodeIDs(nodes []string) (ids []uint32) {
	for _, text := range nodes {
		if id, err := strconv.ParseUint(text, 10, 32); err == nil {
			ids = append(ids, uint32(id))
		}
	}
	return ids
}
