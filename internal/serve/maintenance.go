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
	place := s.config.Site
	var hands maintenance.Executor = maintenanceEffects{s}
	if s.config.Faults.WrapMaintenance != nil {
		hands = s.config.Faults.WrapMaintenance(hands)
	}
	k := &maintenance.Controller{Executor: hands, Limits: place.Maintenance, Policies: place.DrainManners}
	h := &loadHistory{}
	lastFault := ""
	look := func() {
		fault := ""
		if err := s.runMaintenance(k, h); err != nil && !errors.Is(err, maintenancestore.ErrLocked) { // the command line has it just now
			fault = err.Error()
		}
		if fault != lastFault && fault != "" { // windows are not carried out meanwhile; placing goes on
			s.log.Error().Str("mode", "drains").Msg(fault)
		}
		lastFault = fault
	}
	s.async(func() {
		look() // what opened while no process ran
		s.every(maintenanceInterval, look)
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
	for _, b := range open {
		for _, id := range ids(b.Verdict.Nodes) {
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

func (s *Server) runMaintenance(k *maintenance.Controller, h *loadHistory) error {
	store, err := s.config.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	k.Store = store
	fleet, lost := s.calendarNodes()
	now := s.env.WallClock()
	measured, published, err := store.Loads()
	if err != nil {
		return err
	}
	if h.measured == nil {
		h.measured, h.savedAt = measured, now
	}
	if cores, memory, ok := requestedShare(fleet, s.freeCapacity()); ok {
		h.measured.Add(now, cores, memory)
	}
	if now.Sub(h.savedAt) > loadSaveInterval {
		if err := store.SaveMeasuredLoad(h.measured); err != nil {
			return err
		}
		h.savedAt = now
	}
	whose := ""
	if k.UsualLoad, whose = calendar.ChooseEstimate(h.measured, published, s.config.Site.Cluster.Schedulers); whose != h.source {
		h.source = whose
		s.log.Info().Str("mode", "drains").Msg("usual load: " + whose)
	}
	s.countTasksUnderMaintenance()
	err = k.Tick(now, fleet, lost)
	s.sendMaintenanceMarks() // after it, so that what has just opened or closed goes to the list at once
	return err
}

// recordNodes keeps the nodes that were on the list, at all news of it and not only when windows are looked at: a window
// must hold a node that is away when it opens and comes back before it ends. Under the lock.
func (s *Server) recordNodes(entries []state.Entry) {
	for _, en := range entries {
		kind := slices.Index(s.config.Site.MachineKinds, en.Kind)
		if kind < 0 || en.Avail == 0 {
			continue
		}
		id := strconv.FormatUint(uint64(en.ID), 10)
		s.knownNodes[id] = calendar.Node{
			ID: id, Zone: en.Zone, Cell: en.Cell, Kind: en.Kind,
			Cores: s.config.Site.Cluster.KindCores[kind], Memory: s.config.Site.Cluster.KindMemory[kind],
		}
		delete(s.lostSince, id)
	}
}

// calendarNodes is the node list as the calendar takes it. Nodes that left the list while the process runs are lost, not
// forgotten: what is left must carry their work too.
func (s *Server) calendarNodes() (fleet []calendar.Node, lost map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = map[string]bool{}
	entries := s.list.Entries()
	s.recordNodes(entries)
	here := map[string]bool{}
	for _, en := range entries {
		here[strconv.FormatUint(uint64(en.ID), 10)] = true
	}
	now := s.env.WallClock()
	for id, n := range s.knownNodes {
		if !here[id] {
			lost[id] = true
			if at, ok := s.lostSince[id]; !ok {
				s.lostSince[id] = now
			} else if now.Sub(at) > forgetLostAfter {
				delete(s.knownNodes, id)
				delete(s.lostSince, id)
				delete(lost, id)
				continue
			}
		}
		fleet = append(fleet, n)
	}
	return fleet, lost
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
			c := taskCount{sh.incarnation, map[uint32][]int{}, sh.engine.Stats().Held}
			for _, id := range ids {
				c.byNode[id] = make([]int, len(s.config.Site.JobClasses))
				sh.engine.CountRunning(id, c.byNode[id])
			}
			s.routerMu.Lock()
			s.taskCounts[sh.index] = c
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
	for _, en := range s.list.Entries() {
		free[strconv.FormatUint(uint64(en.ID), 10)] = [2]float64{en.FreeCores, en.FreeMemory}
	}
	return free
}

// requestedShare gives the parts of all cores and memory that are asked for.
func requestedShare(fleet []calendar.Node, free map[string][2]float64) (cores, memory float64, ok bool) {
	allCores, allMemory := 0.0, 0.0
	for _, n := range fleet {
		f, here := free[n.ID]
		if !here {
			continue
		}
		allCores, allMemory = allCores+n.Cores, allMemory+n.Memory
		cores, memory = cores+n.Cores-f[0], memory+n.Memory-f[1]
	}
	if allCores <= 0 || allMemory <= 0 {
		return 0, 0, false
	}
	return cores / allCores, memory / allMemory, true
}

// maintenanceEffects act on all shards.
type maintenanceEffects struct{ server *Server }

func ids(nodes []string) (all []uint32) {
	for _, n := range nodes {
		if id, err := strconv.ParseUint(n, 10, 32); err == nil {
			all = append(all, uint32(id))
		}
	}
	return all
}

func (h maintenanceEffects) SetDraining(nodes []string, out bool) {
	all := ids(nodes)
	h.server.routerMu.Lock()
	for _, id := range all {
		if out {
			h.server.underMaintenance[id] = true
		} else if h.server.underMaintenance[id] {
			delete(h.server.underMaintenance, id)
			h.server.returned = append(h.server.returned, id)
		}
	}
	h.server.marksSentAt = 0 // the list hears at the end of this look
	h.server.routerMu.Unlock()
	for _, sh := range h.server.liveShards() {
		sh.post(func(now float64) { sh.engine.SetMaintenance(now, all, out) })
	}
}

// CountRunning sums what the shards counted at the last look. What none has counted since its node went out, or since its
// life began, is not known: such a node is not empty.
func (h maintenanceEffects) CountRunning(nodes []string) (there []int, all int) {
	there = make([]int, len(h.server.config.Site.JobClasses))
	h.server.routerMu.Lock()
	defer h.server.routerMu.Unlock()
	for _, sh := range h.server.liveShardsLocked() {
		c := h.server.taskCounts[sh.index]
		all += c.all
		for _, id := range ids(nodes) {
			byJob, ok := c.byNode[id]
			if !ok || c.incarnation != sh.incarnation || sh.fenced.Load() {
				there[0]++
			}
			for job, n := range byJob {
				there[job] += n
			}
		}
	}
	return there, all
}

// Evict has the shards stop work at nodes, each its part of the number.
func (h maintenanceEffects) Evict(nodes []string, job, most int) int {
	may := make([]bool, len(h.server.config.Site.JobClasses))
	may[job] = true
	left := most
	for _, sh := range h.server.liveShards() {
		h.server.routerMu.Lock()
		c := h.server.taskCounts[sh.index]
		h.server.routerMu.Unlock()
		for _, id := range ids(nodes) {
			part := 0
			if byJob := c.byNode[id]; byJob != nil {
				part = min(left, byJob[job])
			}
			if part > 0 && sh.post(func(now float64) { sh.engine.MigrateFrom(now, id, may, part) }) {
				left -= part
			}
		}
	}
	return most - left
}

func (h maintenanceEffects) Log(line string) { h.server.log.Info().Str("mode", "drains").Msg(line) }
