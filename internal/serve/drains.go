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

// lookDrains is how often windows are looked at, in ms.
const lookDrains = 1000

// keepDrains carries out the maintenance windows of the state folder's store. The store is opened for each look alone,
// so that the command line can change the calendar while the process runs.
func (s *Server) keepDrains() {
	place := s.who.Site
	var hands maintenance.Executor = drainHands{s}
	if s.who.Faults.WrapMaintenance != nil {
		hands = s.who.Faults.WrapMaintenance(hands)
	}
	k := &maintenance.Controller{Executor: hands, Limits: place.Maintenance, Policies: place.DrainManners}
	h := &drainHours{}
	lastFault := ""
	look := func() {
		fault := ""
		if err := s.drainsOnce(k, h); err != nil && !errors.Is(err, maintenancestore.ErrLocked) { // the command line has it just now
			fault = err.Error()
		}
		if fault != lastFault && fault != "" { // windows are not carried out meanwhile; placing goes on
			s.log.Error().Str("mode", "drains").Msg(fault)
		}
		lastFault = fault
	}
	s.soon(func() {
		look() // what opened while no process ran
		s.every(lookDrains, look)
	})
}

// outAtStart are the nodes that an earlier life of this process took out: its shards know before they place anything.
func (s *Server) outAtStart() error {
	store, err := s.who.Maintenance()
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
			s.out[id] = true
		}
	}
	return nil
}

// drainHours is the load measured by hour of the week, and when it was last kept.
type drainHours struct {
	measured *calendar.Load
	kept     time.Time
	whose    string
}

const keepLoad = 10 * time.Minute

func (s *Server) drainsOnce(k *maintenance.Controller, h *drainHours) error {
	store, err := s.who.Maintenance()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	k.Store = store
	fleet, lost := s.fleet()
	now := s.w.WallClock()
	measured, published, err := store.Loads()
	if err != nil {
		return err
	}
	if h.measured == nil {
		h.measured, h.kept = measured, now
	}
	if cores, memory, ok := partAsked(fleet, s.freeRoom()); ok {
		h.measured.Add(now, cores, memory)
	}
	if now.Sub(h.kept) > keepLoad {
		if err := store.SaveMeasuredLoad(h.measured); err != nil {
			return err
		}
		h.kept = now
	}
	whose := ""
	if k.UsualLoad, whose = calendar.ChooseEstimate(h.measured, published, s.who.Site.Cluster.Schedulers); whose != h.whose {
		h.whose = whose
		s.log.Info().Str("mode", "drains").Msg("usual load: " + whose)
	}
	s.countOut()
	err = k.Tick(now, fleet, lost)
	s.markOut() // after it, so that what has just opened or closed goes to the list at once
	return err
}

// noteFleet keeps the nodes that were on the list, at all news of it and not only when windows are looked at: a window
// must hold a node that is away when it opens and comes back before it ends. Under the lock.
func (s *Server) noteFleet(entries []state.Entry) {
	for _, en := range entries {
		kind := slices.Index(s.who.Site.MachineKinds, en.Kind)
		if kind < 0 || en.Avail == 0 {
			continue
		}
		id := strconv.FormatUint(uint64(en.ID), 10)
		s.known[id] = calendar.Node{
			ID: id, Zone: en.Zone, Cell: en.Cell, Kind: en.Kind,
			Cores: s.who.Site.Cluster.KindCores[kind], Memory: s.who.Site.Cluster.KindMemory[kind],
		}
		delete(s.goneAt, id)
	}
}

// fleet is the node list as the calendar takes it. Nodes that left the list while the process runs are lost, not
// forgotten: what is left must carry their work too.
func (s *Server) fleet() (fleet []calendar.Node, lost map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = map[string]bool{}
	entries := s.list.Entries()
	s.noteFleet(entries)
	here := map[string]bool{}
	for _, en := range entries {
		here[strconv.FormatUint(uint64(en.ID), 10)] = true
	}
	now := s.w.WallClock()
	for id, n := range s.known {
		if !here[id] {
			lost[id] = true
			if at, ok := s.goneAt[id]; !ok {
				s.goneAt[id] = now
			} else if now.Sub(at) > forgetLost {
				delete(s.known, id)
				delete(s.goneAt, id)
				delete(lost, id)
				continue
			}
		}
		fleet = append(fleet, n)
	}
	return fleet, lost
}

// markFor is how long the list holds a node for out when it hears no more of it, in ms: a scheduler that is gone for
// good must not keep a node out. It is told anew three times in that time.
const markFor = 60000

// markOut has the list told which nodes are out, for schedulers that have no calendar.
func (s *Server) markOut() {
	now := s.w.Now()
	s.desk.Lock()
	due := len(s.out)+len(s.back) > 0 && now-s.marked > markFor/3
	if due {
		s.marked = now
	}
	s.desk.Unlock()
	if due {
		s.lister.call(markCall)
	}
}

// unmark has the list told anew at the next look.
func (s *Server) unmark() {
	s.desk.Lock()
	s.marked = 0
	s.desk.Unlock()
}

// marks appends the lines that tell the list what is out and what has come back. The latter are told once; if that is
// lost, the mark ends by itself.
func (s *Server) marks(b []byte) []byte {
	s.desk.Lock()
	defer s.desk.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.out)) {
		b = list.AppendMaintenance(b, id, markFor)
	}
	for _, id := range s.back {
		b = list.AppendMaintenanceEnd(b, id)
	}
	s.back = nil
	return b
}

// count is what a shard holds: at nodes that are out by job type, and in all.
type count struct {
	life uint32
	at   map[uint32][]int
	all  int
}

// countOut has every shard count what it holds at the nodes that are out, for the next look.
func (s *Server) countOut() {
	s.desk.Lock()
	ids := slices.Sorted(maps.Keys(s.out))
	shards := s.living()
	s.desk.Unlock()
	if len(ids) == 0 {
		return
	}
	for _, sh := range shards {
		sh.tell(func(float64) {
			c := count{sh.life, map[uint32][]int{}, sh.eng.Stats().Held}
			for _, id := range ids {
				c.at[id] = make([]int, len(s.who.Site.JobClasses))
				sh.eng.CountRunning(id, c.at[id])
			}
			s.desk.Lock()
			s.counted[sh.index] = c
			s.desk.Unlock()
		})
	}
}

// forgetLost is when a node that left the list counts as taken away for good.
const forgetLost = 30 * time.Minute

// freeRoom is what the list says nobody has asked for.
func (s *Server) freeRoom() map[string][2]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := map[string][2]float64{}
	for _, en := range s.list.Entries() {
		free[strconv.FormatUint(uint64(en.ID), 10)] = [2]float64{en.FreeCores, en.FreeMemory}
	}
	return free
}

// partAsked gives the parts of all cores and memory that are asked for.
func partAsked(fleet []calendar.Node, free map[string][2]float64) (cores, memory float64, ok bool) {
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

// drainHands act on all shards.
type drainHands struct{ s *Server }

func ids(nodes []string) (all []uint32) {
	for _, n := range nodes {
		if id, err := strconv.ParseUint(n, 10, 32); err == nil {
			all = append(all, uint32(id))
		}
	}
	return all
}

func (h drainHands) SetDraining(nodes []string, out bool) {
	all := ids(nodes)
	h.s.desk.Lock()
	for _, id := range all {
		if out {
			h.s.out[id] = true
		} else if h.s.out[id] {
			delete(h.s.out, id)
			h.s.back = append(h.s.back, id)
		}
	}
	h.s.marked = 0 // the list hears at the end of this look
	h.s.desk.Unlock()
	for _, sh := range h.s.allShards() {
		sh.tell(func(now float64) { sh.eng.SetMaintenance(now, all, out) })
	}
}

// CountRunning sums what the shards counted at the last look. What none has counted since its node went out, or since its
// life began, is not known: such a node is not empty.
func (h drainHands) CountRunning(nodes []string) (there []int, all int) {
	there = make([]int, len(h.s.who.Site.JobClasses))
	h.s.desk.Lock()
	defer h.s.desk.Unlock()
	for _, sh := range h.s.living() {
		c := h.s.counted[sh.index]
		all += c.all
		for _, id := range ids(nodes) {
			byJob, ok := c.at[id]
			if !ok || c.life != sh.life || sh.fenced.Load() {
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
func (h drainHands) Evict(nodes []string, job, most int) int {
	may := make([]bool, len(h.s.who.Site.JobClasses))
	may[job] = true
	left := most
	for _, sh := range h.s.allShards() {
		h.s.desk.Lock()
		c := h.s.counted[sh.index]
		h.s.desk.Unlock()
		for _, id := range ids(nodes) {
			part := 0
			if byJob := c.at[id]; byJob != nil {
				part = min(left, byJob[job])
			}
			if part > 0 && sh.tell(func(now float64) { sh.eng.MigrateFrom(now, id, may, part) }) {
				left -= part
			}
		}
	}
	return most - left
}

func (h drainHands) Log(line string) { h.s.log.Info().Str("mode", "drains").Msg(line) }
