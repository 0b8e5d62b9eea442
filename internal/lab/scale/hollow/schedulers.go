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

// SchedulersPlan says which hollow schedulers a process holds: all of them, by the names h0000 and on.
type SchedulersPlan struct {
	Site, Key    string
	Count        int
	First        int // place of the first among all schedulers, after the real ones
	Places       int // of all schedulers
	Zones        int
	Regions      int
	Seed         uint64
	NodesPerZone int // that reports on zones tell of
}

// Times and sizes of hollow schedulers.
const (
	Seeds            = 3 // hollow schedulers that all others ask first, and that keep the replicated state
	reportIntervalMs = 250
	coldWindowMs     = 550 // a node's window of the rig's site file, with what a lease adds
	probedNodes      = 6   // nodes of a zone that a report is about, as a real scheduler's
	nodeCapacity     = 256 // cores that a node may be asked for
	startTogether    = 50  // hollow schedulers that are started before a pause
	startPause       = 20 * time.Millisecond
)

// SchedulerName is the name of a hollow scheduler by its number.
func SchedulerName(number int) string { return fmt.Sprintf("h%04d", number) }

// RegionName is the region of a zone by its number.
func RegionName(zone, regions int) string { return fmt.Sprintf("r%d", zone%regions) }

// scheduler is a hollow one: it knows the others and the replicated state, and reports on zones, but places nothing.
type scheduler struct {
	host        *schedulerHost
	name        string
	incarnation uint64
	env         *silenceableEnv
	members     *members.Runner
	control     *control.Runner
	ended       chan struct{}
}

// schedulerHost is all hollow schedulers of the process.
type schedulerHost struct {
	SchedulersPlan
	env   *env.Real
	seeds []string
	disks [Seeds]memoryDisk // of the voters

	mu         sync.Mutex
	schedulers []*scheduler
	lost       map[string]bool // zones that none is heard of
}

// RunSchedulers runs hollow schedulers until the orders end.
func RunSchedulers(ctx context.Context, in io.Reader, out io.Writer) error {
	orders := newInput(in)
	h := &schedulerHost{env: env.NewReal(), lost: map[string]bool{}}
	defer h.env.Close(time.Second)
	if err := orders.plan(&h.SchedulersPlan); err != nil {
		return err
	}
	if err := h.startAll(1); err != nil {
		return err
	}
	return orders.follow(ctx, out, h.do)
}

// startAll starts all in an incarnation. The addresses of the first are kept, as they are the seeds.
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
		if i%startTogether == startTogether-1 {
			time.Sleep(startPause)
		}
	}
	h.mu.Lock()
	h.schedulers = all
	h.mu.Unlock()
	return nil
}

func (h *schedulerHost) startOne(number int, incarnation uint64, listen string) (*scheduler, error) {
	s := &scheduler{host: h, name: SchedulerName(number), incarnation: incarnation, env: &silenceableEnv{Environment: h.env}, ended: make(chan struct{})}
	seeds := h.seeds
	if len(seeds) == 0 { // the first of all asks nobody but itself
		seeds = []string{"127.0.0.1:1"}
	}
	run, err := members.Start(s.env, listen, membership.Config{
		Site: h.Site, Name: s.name, Incarnation: incarnation, Key: []byte(h.Key), Seeds: seeds,
		Seed: h.Seed*10_007 + uint64(number), Place: h.First + number, Places: h.Places, SlowStartWindow: coldWindowMs,
	}, ignoreEvents{})
	if err != nil {
		return nil, err
	}
	s.members = run
	zone := number % h.Zones
	who := consensus.Config{Name: s.name, Zone: ZoneName(zone), Region: RegionName(zone, h.Regions), Incarnation: incarnation, Voters: VoterNames(), Seed: h.Seed + uint64(number)}
	var disk control.Storage
	if number < Seeds {
		disk = &h.disks[number]
	}
	site := control.ZoneConfig{}
	for zone := range h.Zones {
		site.Zones = append(site.Zones, ZoneName(zone))
	}
	if s.control, err = control.Start(s.env, zerolog.Nop(), run, who, disk, site); err != nil {
		return nil, err
	}
	env.Every(h.env, reportIntervalMs, s.report)
	return s, nil
}

// VoterNames are the hollow schedulers that keep the replicated state.
func VoterNames() (names []string) {
	for i := range Seeds {
		names = append(names, SchedulerName(i))
	}
	return names
}

// report tells the leader of the replicated state what the scheduler would hear of zones, until it ends.
func (s *scheduler) report() bool {
	select {
	case <-s.ended:
		return false
	default:
	}
	h := s.host
	sums := map[string]zones.Summary{}
	h.mu.Lock()
	for zone := range h.Zones {
		name := ZoneName(zone)
		sum := zones.Summary{Nodes: min(probedNodes, h.NodesPerZone), Capacity: float64(h.NodesPerZone) * nodeCapacity}
		if !h.lost[name] {
			sum.Reachable = sum.Nodes
		}
		sums[name] = sum
	}
	h.mu.Unlock()
	s.control.Report(sums)
	return true
}

// end takes a scheduler away without a word to the others.
func (s *scheduler) end() {
	s.env.muted.Store(true)
	close(s.ended)
	s.control.Stop()
	s.members.Stop()
}

// ignoreEvents is told of changes by the detector; orders ask it instead.
type ignoreEvents struct{}

func (ignoreEvents) OnMemberChanged(float64, membership.Member, membership.State) {}
func (ignoreEvents) OnNameConflict(float64, string)                               {}
func (ignoreEvents) LastNodeContact(uint32) (uint64, float64, bool)               { return 0, 0, false }

func (h *schedulerHost) do(order Order) (Reply, error) {
	h.mu.Lock()
	all := h.schedulers
	h.mu.Unlock()
	switch order.Do {
	case Addresses:
		return Reply{Addresses: h.seeds}, nil
	case Known:
		return Reply{Count: known(all[0])}, nil
	case LoseZone, FindZone:
		h.mu.Lock()
		h.lost[order.Name] = order.Do == LoseZone
		h.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case StopMember:
		last := all[len(all)-1]
		last.end()
		h.mu.Lock()
		h.schedulers = all[:len(all)-1]
		h.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case AwaitMember:
		return await(all, order.Within, func(s *scheduler) bool { return s.holds(order.Name, order.State) })
	case AwaitZone:
		return await(all, order.Within, func(s *scheduler) bool { return s.zoneIs(order.Name, order.State) })
	case Restart:
		return h.restart(all)
	}
	return Reply{}, fmt.Errorf("%w %q", errUnknownAction, order.Do)
}

func (h *schedulerHost) restart(all []*scheduler) (Reply, error) {
	for _, s := range all {
		s.end()
	}
	at := unixMs()
	if err := h.startAll(all[0].incarnation + 1); err != nil {
		return Reply{}, err
	}
	return Reply{At: at}, nil
}

func known(s *scheduler) (alive int) {
	s.members.WithDetector(func(d *membership.Detector) { alive = d.Count().Alive })
	return alive
}

func (s *scheduler) holds(name, state string) (is bool) {
	s.members.WithDetector(func(d *membership.Detector) {
		for _, m := range d.All() {
			if m.Name == name {
				is = m.State.String() == state
			}
		}
	})
	return is
}

func (s *scheduler) zoneIs(name, state string) bool {
	var is clusterstate.ZoneState = s.control.View().State.Zone(name).State
	return is.String() == state
}
