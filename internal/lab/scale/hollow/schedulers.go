package hollow

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/env"
	"ravenpond/internal/members"
)

// SchedulersPlan describes the hollow schedulers of a run, which one process runs all together, with the names h0000, h0001, ...
type SchedulersPlan struct {
	Site, Key    string // name of the site and key of the membership protocol
	Count        int
	First        int // place of the first hollow scheduler among all schedulers, after those of the real ones
	Places       int // number of places of all schedulers
	Zones        int
	Regions      int
	Seed         uint64
	NodesPerZone int // number of nodes per zone in reports on zones
}

// Intervals, sizes and numbers of hollow schedulers.
const (
	Seeds            = 3 // hollow schedulers that the others contact first and that are the voters of the replicated state
	reportIntervalMs = 250
	coldWindowMs     = 550 // slow-start window of nodes in the rig's site file, plus what a lease adds
	probedNodes      = 6   // nodes of a zone that a report covers, as for a real scheduler
	nodeCapacity     = 256 // cores that can be allocated on a node
	startBatch       = 50  // hollow schedulers that are started between two pauses
	startPause       = 20 * time.Millisecond
)

// SchedulerName returns the name of a hollow scheduler by its number.
func SchedulerName(number int) string { return fmt.Sprintf("h%04d", number) }

// RegionName returns the name of the region of a zone by the zone's number.
func RegionName(zone, regions int) string { return fmt.Sprintf("r%d", zone%regions) }

// scheduler is a hollow scheduler: it takes part in membership, follows the replicated state and reports on zones, but places no tasks.
type scheduler struct {
	host        *schedulerHost
	name        string
	incarnation uint64
	env         *silenceableEnv
	members     *members.Runner
	control     *control.Runner
	stopped     chan struct{}
}

// schedulerHost runs all hollow schedulers of the process.
type schedulerHost struct {
	SchedulersPlan
	env   *env.Real
	seeds []string
	disks [Seeds]memoryDisk // storage of the voters

	mu         sync.Mutex
	schedulers []*scheduler
	lostZones  map[string]bool // zones whose nodes are reported as unreachable
}

// RunSchedulers runs hollow schedulers until its input ends.
func RunSchedulers(ctx context.Context, in io.Reader, out io.Writer) error {
	orders := newInput(in)
	h := &schedulerHost{env: env.NewReal(), lostZones: map[string]bool{}}
	defer h.env.Close(time.Second)
	if err := orders.readPlan(&h.SchedulersPlan); err != nil {
		return err
	}
	if err := h.startAll(1); err != nil {
		return err
	}
	return orders.serve(ctx, out, h.handle)
}

// startAll starts all schedulers in an incarnation. It keeps the addresses of the first ones, which are the seeds.
func (h *schedulerHost) startAll(incarnation uint64) error {
	all := make([]*scheduler, 0, h.Count)
	for i := range h.Count {
		listen := "127.0.0.1:0"
		if i < len(h.seeds) {
			listen = h.seeds[i]
		}
		s, err := h.startOne(i, incarnation, listen)
		if err != nil {
			return err
		}
		if i < Seeds && incarnation == 1 {
			h.seeds = append(h.seeds, s.members.Address())
		}
		all = append(all, s)
		if i%startBatch == startBatch-1 {
			time.Sleep(startPause)
		}
	}
	h.mu.Lock()
	h.schedulers = all
	h.mu.Unlock()
	return nil
}

// startOne starts a scheduler with its membership and its replica of the replicated state.
func (h *schedulerHost) startOne(number int, incarnation uint64, listen string) (*scheduler, error) {
	s := &scheduler{host: h, name: SchedulerName(number), incarnation: incarnation, env: &silenceableEnv{Environment: h.env}, stopped: make(chan struct{})}
	seeds := h.seeds
	if len(seeds) == 0 { // the first scheduler of all has no seed to contact
		seeds = []string{"127.0.0.1:1"}
	}
	runner, err := members.Start(s.env, listen, membership.Config{
		Site: h.Site, Name: s.name, Incarnation: incarnation, Key: []byte(h.Key), Seeds: seeds,
		Seed: h.Seed*10_007 + uint64(number), Place: h.First + number, Places: h.Places, SlowStartWindow: coldWindowMs,
	}, ignoreEvents{})
	if err != nil {
		return nil, err
	}
	s.members = runner
	zone := number % h.Zones
	replicaConfig := consensus.Config{Name: s.name, Zone: ZoneName(zone), Region: RegionName(zone, h.Regions), Incarnation: incarnation, Voters: VoterNames(), Seed: h.Seed + uint64(number)}
	var disk control.Storage
	if number < Seeds {
		disk = &h.disks[number]
	}
	zoneConfig := control.ZoneConfig{}
	for zone := range h.Zones {
		zoneConfig.Zones = append(zoneConfig.Zones, ZoneName(zone))
	}
	if s.control, err = control.Start(s.env, zerolog.Nop(), runner, replicaConfig, disk, zoneConfig); err != nil {
		return nil, err
	}
	env.Every(h.env, reportIntervalMs, s.report)
	return s, nil
}

// VoterNames returns the names of the hollow schedulers that are voters of the replicated state.
func VoterNames() (names []string) {
	for i := range Seeds {
		names = append(names, SchedulerName(i))
	}
	return names
}

// report sends the leader of the replicated state a report on zones as a real scheduler would. It returns false once the scheduler has stopped.
func (s *scheduler) report() bool {
	select {
	case <-s.stopped:
		return false
	default:
	}
	h := s.host
	summaries := map[string]zones.Summary{}
	h.mu.Lock()
	for zone := range h.Zones {
		name := ZoneName(zone)
		summary := zones.Summary{Nodes: min(probedNodes, h.NodesPerZone), Capacity: float64(h.NodesPerZone) * nodeCapacity}
		if !h.lostZones[name] {
			summary.Reachable = summary.Nodes
		}
		summaries[name] = summary
	}
	h.mu.Unlock()
	s.control.Report(summaries)
	return true
}

// stop stops a scheduler without notifying the others.
func (s *scheduler) stop() {
	s.env.muted.Store(true)
	close(s.stopped)
	s.control.Stop()
	s.members.Stop()
}

// ignoreEvents ignores the events of the detector: orders query the detector instead.
type ignoreEvents struct{}

func (ignoreEvents) OnMemberChanged(float64, membership.Member, membership.State) {}
func (ignoreEvents) OnNameConflict(float64, string)                               {}
func (ignoreEvents) LastNodeContact(uint32) (uint64, float64, bool)               { return 0, 0, false }

// handle carries out one order.
func (h *schedulerHost) handle(order Order) (Reply, error) {
	h.mu.Lock()
	all := h.schedulers
	h.mu.Unlock()
	switch order.Do {
	case Addresses:
		return Reply{Addresses: h.seeds}, nil
	case CountAlive:
		return Reply{Count: aliveMembers(all[0])}, nil
	case LoseZone, FindZone:
		h.mu.Lock()
		h.lostZones[order.Name] = order.Do == LoseZone
		h.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case StopMember:
		last := all[len(all)-1]
		last.stop()
		h.mu.Lock()
		h.schedulers = all[:len(all)-1]
		h.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case AwaitMember:
		return await(all, order.Within, func(s *scheduler) bool { return s.holdsMember(order.Name, order.State) })
	case AwaitZone:
		return await(all, order.Within, func(s *scheduler) bool { return s.zoneIs(order.Name, order.State) })
	case Restart:
		return h.restart(all)
	}
	return Reply{}, fmt.Errorf("%w %q", errUnknownAction, order.Do)
}

// restart stops all schedulers and starts them in the next incarnation. The reply has the time at which all had stopped.
func (h *schedulerHost) restart(all []*scheduler) (Reply, error) {
	for _, s := range all {
		s.stop()
	}
	at := unixMs()
	if err := h.startAll(all[0].incarnation + 1); err != nil {
		return Reply{}, err
	}
	return Reply{At: at}, nil
}

// aliveMembers returns the number of members that a scheduler holds as alive.
func aliveMembers(s *scheduler) (alive int) {
	s.members.WithDetector(func(d *membership.Detector) { alive = d.Count().Alive })
	return alive
}

// holdsMember reports whether the scheduler holds a member in a state.
func (s *scheduler) holdsMember(name, state string) (matches bool) {
	s.members.WithDetector(func(d *membership.Detector) {
		for _, m := range d.All() {
			if m.Name == name {
				matches = m.State.String() == state
			}
		}
	})
	return matches
}

// zoneIs reports whether a zone is in a state by the scheduler's copy of the replicated state.
func (s *scheduler) zoneIs(name, state string) bool {
	var current clusterstate.ZoneState = s.control.View().State.Zone(name).State
	return current.String() == state
}
