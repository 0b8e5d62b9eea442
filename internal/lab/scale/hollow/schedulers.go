package hollow

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/book"
	"ravenpond/internal/decide/council"
	decide "ravenpond/internal/decide/members"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/members"
	"ravenpond/internal/outside"
)

// Circle says which hollow schedulers a process holds: all of them, by the names h0000 and on.
type Circle struct {
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
	Seeds         = 3 // hollow schedulers that all others ask first, and that keep the book
	reportEachMs  = 250
	coldWindowMs  = 550 // a node's window of the rig's site file, with what a lease adds
	lookedAt      = 6   // nodes of a zone that a report is about, as a real scheduler's
	roomOfNode    = 256 // cores that a node may be asked for
	startTogether = 50  // hollow schedulers that are started before a pause
	startPause    = 20 * time.Millisecond
)

// SchedulerName is the name of a hollow scheduler by its number.
func SchedulerName(number int) string { return fmt.Sprintf("h%04d", number) }

// RegionName is the region of a zone by its number.
func RegionName(zone, regions int) string { return fmt.Sprintf("r%d", zone%regions) }

// scheduler is a hollow one: it knows the others and the book, and reports on zones, but places nothing.
type scheduler struct {
	circle  *circle
	name    string
	life    uint64
	world   *silencer
	members *members.Runner
	control *control.Runner
	ended   chan struct{}
}

// circle is all hollow schedulers of the process.
type circle struct {
	Circle
	world *outside.Real
	seeds []string
	disks [Seeds]memoryDisk // of the stewards

	mu   sync.Mutex
	all  []*scheduler
	lost map[string]bool // zones that none is heard of
}

// RunSchedulers runs hollow schedulers until the orders end.
func RunSchedulers(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := newLines(in)
	c := &circle{world: outside.NewReal(), lost: map[string]bool{}}
	defer c.world.Close(time.Second)
	if err := lines.plan(&c.Circle); err != nil {
		return err
	}
	if err := c.startAll(1); err != nil {
		return err
	}
	return lines.follow(ctx, out, c.do)
}

// startAll starts all in a life. The addresses of the first are kept, as they are the seeds.
func (c *circle) startAll(life uint64) error {
	all := make([]*scheduler, 0, c.Count)
	for i := range c.Count {
		listen := "127.0.0.1:0"
		if i < len(c.seeds) {
			listen = c.seeds[i]
		}
		s, err := c.startOne(i, life, listen)
		if err != nil {
			return err
		}
		if i < Seeds && life == 1 {
			c.seeds = append(c.seeds, s.members.Address())
		}
		all = append(all, s)
		if i%startTogether == startTogether-1 {
			time.Sleep(startPause)
		}
	}
	c.mu.Lock()
	c.all = all
	c.mu.Unlock()
	return nil
}

func (c *circle) startOne(number int, life uint64, listen string) (*scheduler, error) {
	s := &scheduler{circle: c, name: SchedulerName(number), life: life, world: &silencer{World: c.world}, ended: make(chan struct{})}
	seeds := c.seeds
	if len(seeds) == 0 { // the first of all asks nobody but itself
		seeds = []string{"127.0.0.1:1"}
	}
	run, err := members.Begin(s.world, listen, decide.Charter{Site: c.Site, Name: s.name, Life: life, Key: []byte(c.Key), Seeds: seeds,
		Seed: c.Seed*10_007 + uint64(number), Place: c.First + number, Places: c.Places, Window: coldWindowMs}, hearsNothing{})
	if err != nil {
		return nil, err
	}
	s.members = run
	zone := number % c.Zones
	who := council.Charter{Name: s.name, Zone: ZoneName(zone), Region: RegionName(zone, c.Regions), Life: life, Stewards: StewardNames(), Seed: c.Seed + uint64(number)}
	var disk control.Disk
	if number < Seeds {
		disk = &c.disks[number]
	}
	site := control.Site{}
	for zone := range c.Zones {
		site.Zones = append(site.Zones, ZoneName(zone))
	}
	if s.control, err = control.Begin(s.world, zerolog.Nop(), run, who, disk, site); err != nil {
		return nil, err
	}
	outside.Every(c.world, reportEachMs, s.report)
	return s, nil
}

// StewardNames are the hollow schedulers that keep the book.
func StewardNames() (names []string) {
	for i := range Seeds {
		names = append(names, SchedulerName(i))
	}
	return names
}

// report tells the leader of the book what the scheduler would hear of zones, until it ends.
func (s *scheduler) report() bool {
	select {
	case <-s.ended:
		return false
	default:
	}
	c := s.circle
	sums := map[string]zones.Sum{}
	c.mu.Lock()
	for zone := range c.Zones {
		name := ZoneName(zone)
		sum := zones.Sum{Nodes: min(lookedAt, c.NodesPerZone), Room: float64(c.NodesPerZone) * roomOfNode}
		if !c.lost[name] {
			sum.Heard = sum.Nodes
		}
		sums[name] = sum
	}
	c.mu.Unlock()
	s.control.Report(sums)
	return true
}

// end takes a scheduler away without a word to the others.
func (s *scheduler) end() {
	s.world.silent.Store(true)
	close(s.ended)
	s.control.End()
	s.members.End()
}

// hearsNothing is told of changes by the detector; orders ask it instead.
type hearsNothing struct{}

func (hearsNothing) Changed(float64, decide.Member, decide.State) {}
func (hearsNothing) Taken(float64, string)                        {}
func (hearsNothing) Hears(uint32) (uint64, float64, bool)         { return 0, 0, false }

func (c *circle) do(order Order) (Reply, error) {
	c.mu.Lock()
	all := c.all
	c.mu.Unlock()
	switch order.Do {
	case Addresses:
		return Reply{Addresses: c.seeds}, nil
	case Known:
		return Reply{Count: known(all[0])}, nil
	case LoseZone, FindZone:
		c.mu.Lock()
		c.lost[order.Name] = order.Do == LoseZone
		c.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case StopMember:
		last := all[len(all)-1]
		last.end()
		c.mu.Lock()
		c.all = all[:len(all)-1]
		c.mu.Unlock()
		return Reply{At: unixMs()}, nil
	case AwaitMember:
		return await(all, order.Within, func(s *scheduler) bool { return s.holds(order.Name, order.State) })
	case AwaitZone:
		return await(all, order.Within, func(s *scheduler) bool { return s.zoneIs(order.Name, order.State) })
	case Restart:
		return c.restart(all)
	}
	return Reply{}, fmt.Errorf("%w %q", errUnknownAction, order.Do)
}

func (c *circle) restart(all []*scheduler) (Reply, error) {
	for _, s := range all {
		s.end()
	}
	at := unixMs()
	if err := c.startAll(all[0].life + 1); err != nil {
		return Reply{}, err
	}
	return Reply{At: at}, nil
}

func known(s *scheduler) (alive int) {
	s.members.See(func(d *decide.Detector) { alive, _, _, _ = d.Count() })
	return alive
}

func (s *scheduler) holds(name, state string) (is bool) {
	s.members.See(func(d *decide.Detector) {
		for _, m := range d.All() {
			if m.Name == name {
				is = m.State.String() == state
			}
		}
	})
	return is
}

func (s *scheduler) zoneIs(name, state string) bool {
	var is book.State = s.control.View().Book.Zone(name).State
	return is.String() == state
}
