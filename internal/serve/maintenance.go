package serve

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/state"
	"ravenpond/internal/state/maintenancestore"
)

// MaintenanceStore is the store of maintenance windows, opened for one look at a time.
type MaintenanceStore interface {
	maintenance.Store
	Loads() (measured *calendar.Load, published *calendar.Table, err error)
	SaveMeasuredLoad(*calendar.Load) error
	Close() error
}

// maintenanceInterval is how often windows are looked at, in ms.
const maintenanceInterval = 1000

// startMaintenance carries out the maintenance windows of the state folder's store. The store is opened for each look alone,
// so that the command line can change the calendar while the process runs.
func (s *Server) startMaintenance() {
	siteConfig := s.config.Site
	var effects maintenance.Executor = maintenanceEffects{s}
	if s.config.Faults.WrapMaintenance != nil {
		effects = s.config.Faults.WrapMaintenance(effects)
	}
	keeper := &maintenance.Controller{Executor: effects, Limits: siteConfig.Maintenance, Policies: siteConfig.DrainManners}
	history := &loadHistory{}
	lastFault := ""
	run := func() {
		fault := ""
		if err := s.runMaintenance(keeper, history); err != nil && !errors.Is(err, maintenancestore.ErrLocked) { // the command line has it just now
			fault = err.Error()
		}
		if fault != lastFault && fault != "" { // windows are not carried out meanwhile; placing goes on
			s.log.Error().Str("mode", "drains").Msg(fault)
		}
		lastFault = fault
	}
	s.async(func() {
		run() // what opened while no process ran
		s.every(maintenanceInterval, run)
	})
}

// loadOpenWindows are the nodes that an earlier life of this process took out: its shards know before they place anything.
func (s *Server) loadOpenWindows() error {
	store, err := s.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	open, err := store.UnfinishedDrains()
	if err != nil {
		return err
	}
	for _, window := range open {
		for _, id := range ids(window.Verdict.Nodes) {
			s.underMaintenance[id] = true
		}
	}
	return nil
}

// loadHistory is the load measured by hour of the week, and when it was last kept.
type loadHistory struct {
	measured *calendar.Load
	savedAt  time.Time
	source   string
}

const loadSaveInterval = 10 * time.Minute

func (s *Server) runMaintenance(keeper *maintenance.Controller, history *loadHistory) error {
	store, err := s.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	keeper.Store = store
	fleet, lost := s.calendarNodes()
	now := s.env.WallClock()
	measured, published, err := store.Loads()
	if err != nil {
		return err
	}
	if history.measured == nil {
		history.measured, history.savedAt = measured, now
	}
	if cores, memory, ok := requestedShare(fleet, s.freeCapacity()); ok {
		history.measured.Add(now, cores, memory)
	}
	if now.Sub(history.savedAt) > loadSaveInterval {
		if err := store.SaveMeasuredLoad(history.measured); err != nil {
			return err
		}
		history.savedAt = now
	}
	source := ""
	if keeper.UsualLoad, source = calendar.ChooseEstimate(history.measured, published, s.config.Site.Cluster.Schedulers); source != history.source {
		history.source = source
		s.log.Info().Str("mode", "drains").Msg("usual load: " + source)
	}
	s.countTasksUnderMaintenance()
	err = keeper.Tick(now, fleet, lost)
	s.sendMaintenanceMarks() // after it, so that what has just opened or closed goes to the list at once
	return err
}

// recordNodes keeps the nodes that were on the list, at all news of it and not only when windows are looked at: a window
// must hold a node that is away when it opens and comes back before it ends. Under the lock.
func (s *Server) recordNodes(entries []state.Entry) {
	for _, entry := range entries {
		kind := slices.Index(s.config.Site.MachineKinds, entry.Kind)
		if kind < 0 || entry.Avail == 0 {
			continue
		}
		id := strconv.FormatUint(uint64(entry.ID), 10)
		s.knownNodes[id] = calendar.Node{
			ID: id, Zone: entry.Zone, Cell: entry.Cell, Kind: entry.Kind,
			Cores: s.config.Site.Cluster.KindCores[kind], Memory: s.config.Site.Cluster.KindMemory[kind],
		}
		delete(s.lostSince, id)
	}
}

// calendarNodes is the node list as the calendar takes it. Nodes that left the list while the process runs are lost, not
// forgotten: what is left must carry their work too.
func (s *Server) calendarNodes() (nodes []calendar.Node, lost map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = map[string]bool{}
	entries := s.list.Entries()
	s.recordNodes(entries)
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[strconv.FormatUint(uint64(entry.ID), 10)] = true
	}
	now := s.env.WallClock()
	for id, node := range s.knownNodes {
		if !listed[id] {
			lost[id] = true
			if since, ok := s.lostSince[id]; !ok {
				s.lostSince[id] = now
			} else if now.Sub(since) > forgetLostAfter {
				delete(s.knownNodes, id)
				delete(s.lostSince, id)
				delete(lost, id)
				continue
			}
		}
		nodes = append(nodes, node)
	}
	return nodes, lost
}

// outMarkLifetime is how long the list holds a node for out when it hears no more of it, in ms: a scheduler that is gone for
// good must not keep a node out. It is told anew three times in that time.
const outMarkLifetime = 60000

// sendMaintenanceMarks has the list told which nodes are out, for schedulers that have no calendar.
func (s *Server) sendMaintenanceMarks() {
	now := s.env.Now()
	s.routerMu.Lock()
	due := len(s.underMaintenance)+len(s.returned) > 0 && now-s.marksSentAt > outMarkLifetime/3
	if due {
		s.marksSentAt = now
	}
	s.routerMu.Unlock()
	if due {
		s.listClient.call(maintenanceCall)
	}
}

// resendMarks has the list told anew at the next look.
func (s *Server) resendMarks() {
	s.routerMu.Lock()
	s.marksSentAt = 0
	s.routerMu.Unlock()
}

// appendMarks appends the lines that tell the list what is out and what has come back. The latter are told once; if that is
// lost, the mark ends by itself.
func (s *Server) appendMarks(b []byte) []byte {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.underMaintenance)) {
		b = list.AppendMaintenance(b, id, outMarkLifetime)
	}
	for _, id := range s.returned {
		b = list.AppendMaintenanceEnd(b, id)
	}
	s.returned = nil
	return b
}

// taskCount is what a shard holds: at nodes that are out by job type, and in all.
type taskCount struct {
	incarnation uint32
	byNode      map[uint32][]int
	all         int
}

// countTasksUnderMaintenance has every shard count what it holds at the nodes that are out, for the next look.
func (s *Server) countTasksUnderMaintenance() {
	s.routerMu.Lock()
	ids := slices.Sorted(maps.Keys(s.underMaintenance))
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	if len(ids) == 0 {
		return
	}
	for _, sh := range shards {
		sh.post(func(float64) {
			counts := taskCount{sh.incarnation, map[uint32][]int{}, sh.engine.Stats().Held}
			for _, id := range ids {
				counts.byNode[id] = make([]int, len(s.config.Site.JobClasses))
				sh.engine.CountRunning(id, counts.byNode[id])
			}
			s.routerMu.Lock()
			s.taskCounts[sh.index] = counts
			s.routerMu.Unlock()
		})
	}
}

// forgetLostAfter is when a node that left the list counts as taken away for good.
const forgetLostAfter = 30 * time.Minute

// freeCapacity is what the list says nobody has asked for.
func (s *Server) freeCapacity() map[string][2]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := map[string][2]float64{}
	for _, entry := range s.list.Entries() {
		free[strconv.FormatUint(uint64(entry.ID), 10)] = [2]float64{entry.FreeCores, entry.FreeMemory}
	}
	return free
}

// requestedShare gives the parts of all cores and memory that are asked for.
func requestedShare(nodes []calendar.Node, free map[string][2]float64) (usedCores, usedMemory float64, ok bool) {
	allCores, allMemory := 0.0, 0.0
	for _, node := range nodes {
		nodeFree, listed := free[node.ID]
		if !listed {
			continue
		}
		allCores, allMemory = allCores+node.Cores, allMemory+node.Memory
		usedCores, usedMemory = usedCores+node.Cores-nodeFree[0], usedMemory+node.Memory-nodeFree[1]
	}
	if allCores <= 0 || allMemory <= 0 {
		return 0, 0, false
	}
	return usedCores / allCores, usedMemory / allMemory, true
}

// maintenanceEffects act on all shards.
type maintenanceEffects struct{ server *Server }

func ids(nodes []string) (all []uint32) {
	for _, text := range nodes {
		if id, err := strconv.ParseUint(text, 10, 32); err == nil {
			all = append(all, uint32(id))
		}
	}
	return all
}

func (e maintenanceEffects) SetDraining(nodes []string, out bool) {
	all := ids(nodes)
	e.server.routerMu.Lock()
	for _, id := range all {
		if out {
			e.server.underMaintenance[id] = true
		} else if e.server.underMaintenance[id] {
			delete(e.server.underMaintenance, id)
			e.server.returned = append(e.server.returned, id)
		}
	}
	e.server.marksSentAt = 0 // the list hears at the end of this look
	e.server.routerMu.Unlock()
	for _, sh := range e.server.liveShards() {
		sh.post(func(now float64) { sh.engine.SetMaintenance(now, all, out) })
	}
}

// CountRunning sums what the shards counted at the last look. What none has counted since its node went out, or since its
// life began, is not known: such a node is not empty.
func (e maintenanceEffects) CountRunning(nodes []string) (byJobClass []int, all int) {
	byJobClass = make([]int, len(e.server.config.Site.JobClasses))
	e.server.routerMu.Lock()
	defer e.server.routerMu.Unlock()
	for _, sh := range e.server.liveShardsLocked() {
		counts := e.server.taskCounts[sh.index]
		all += counts.all
		for _, id := range ids(nodes) {
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

// Evict has the shards stop work at nodes, each its part of the number.
func (e maintenanceEffects) Evict(nodes []string, job, limit int) int {
	movable := make([]bool, len(e.server.config.Site.JobClasses))
	movable[job] = true
	left := limit
	for _, sh := range e.server.liveShards() {
		e.server.routerMu.Lock()
		counts := e.server.taskCounts[sh.index]
		e.server.routerMu.Unlock()
		for _, id := range ids(nodes) {
			share := 0
			if byJob := counts.byNode[id]; byJob != nil {
				share = min(left, byJob[job])
			}
			if share > 0 && sh.post(func(now float64) { sh.engine.MigrateFrom(now, id, movable, share) }) {
				left -= share
			}
		}
	}
	return limit - left
}

func (e maintenanceEffects) Log(line string) { e.server.log.Info().Str("mode", "drains").Msg(line) }
