// Package regions plays a site whose regions are cut from each other for long, on the laboratory's clock and network: each
// scheduler runs the program's own members, control with its consensus and cluster state, and zones code. It reads, each virtual minute
// and for each process, the size of every structure that may grow and what the process sends, and after the heal how long it
// takes until all hold one view again. All of its figures are simulated.
package regions

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/lab/sim"
	codec "ravenpond/internal/proto/clusterstate"
)

// Times of the program's parts and of the reading, in ms.
const (
	reportInterval = 250.0 // between two looks of a process at the zones, as `serve` has it
	silenceTimeout = 1000.0
	readInterval   = 60e3 // between two readings
	readDuration   = 20.0 // until all loops have answered a reading
	pollInterval   = 50.0 // between two looks whether views are one
	dayInMs        = 24 * 3600e3
	cancelInterval = 1000.0 // between two looks whether the run is broken off
	useSwingPeriod = 600e3  // in which the use of zones goes up and down
	regionLatency  = 20.0   // up to which a datagram between regions takes longer
	fillInterval   = 100.0  // between two groups of processes that are not played and join the state
	fillGroup      = 20     // of a group
)

// Config is what is played.
type Config struct {
	Seed      uint64 `json:"Seed"`
	Processes int    `json:"Processes"`
	Regions   int    `json:"Regions"`
	Zones     int    `json:"Zones"`
	Voters    int    `json:"Voters"`
	// CutRegions are cut from all others: the last ones by number.
	CutRegions int           `json:"CutRegions"`
	Warm       time.Duration `json:"Warm"` // before the cut
	Cut        time.Duration `json:"Cut"`
	Settle     time.Duration `json:"Settle"` // at most, from the heal on, until all hold one view
	// CommandsPerDay is at which rate processes, in turn, put a command into the cluster state that changes nothing in it.
	CommandsPerDay float64 `json:"CommandsPerDay"`
	// Absent is how many processes stand in the cluster state that are not played, to grow it without their cost.
	Absent int `json:"Absent"`
	// AbsentNameBytes is how long their names are at least.
	AbsentNameBytes int `json:"AbsentNameBytes"`
	// Restart has one process of the cut-off regions, which is no voter, start again in the midst of the cut.
	Restart bool `json:"Restart"`

	Plant Faults `json:"Plant"`
}

// Faults puts a fault into the run, for tests that must find it; the zero value puts none.
type Faults struct {
	KeptLog   bool `json:"KeptLog"`   // voters' disks keep the entries that a snapshot holds
	StuckLoop bool `json:"StuckLoop"` // one process's control takes none of its messages
	Unhealed  bool `json:"Unhealed"`  // the ways stay cut at the heal
}

// Default is the hour that docs/performance.md tells of.
func Default() Config {
	return Config{
		Seed: 1, Processes: 60, Regions: 6, Zones: 14, Voters: 5, CutRegions: 3, Warm: 5 * time.Minute, Cut: time.Hour,
		Settle: 10 * time.Minute, CommandsPerDay: 7400, Restart: true,
	}
}

// ErrConfig is returned, wrapped, for a configuration that can't be played.
var ErrConfig = errors.New("configuration of cut regions")

func (c Config) check() error {
	switch {
	case c.Voters < 1 || c.Processes < c.Voters:
		return fmt.Errorf("%w: %d processes, %d of them voters", ErrConfig, c.Processes, c.Voters)
	case c.Regions < 2 || c.Zones < c.Regions:
		return fmt.Errorf("%w: %d zones in %d regions", ErrConfig, c.Zones, c.Regions)
	case c.CutRegions < 1 || c.CutRegions >= c.Regions:
		return fmt.Errorf("%w: %d of %d regions are cut off", ErrConfig, c.CutRegions, c.Regions)
	case c.Processes <= c.Zones && c.Restart:
		return fmt.Errorf("%w: %d processes in %d zones leave none to start again", ErrConfig, c.Processes, c.Zones)
	case c.Cut < time.Minute || c.Warm < time.Minute:
		return fmt.Errorf("%w: a minute before the cut and of it are needed", ErrConfig)
	}
	return nil
}

// cluster is a run.
type cluster struct {
	ctx          context.Context // of the run, which is one call
	config       Config
	clock        *sim.Clock
	rng          *rand.Rand
	zones        []zone
	processes    []*process
	voters       []string
	cutAt        float64 // true time of the cut, infinite before it
	healedAt     float64 // true time of the heal, infinite before it
	nextProposer int     // of the process that proposes next
	restarted    *process
	report       Report
}

// zone is one of the site's.
type zone struct {
	name   string
	region int
	cut    bool // its region is among those cut off
}

// Run plays a configuration. It returns an error that wraps ErrConfig if it can't be played, and the context's if that ends
// before the run does.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &cluster{
		ctx: ctx, config: config, clock: sim.NewClock(config.Seed), rng: rand.New(rand.NewPCG(config.Seed, 0x4e61)), cutAt: math.Inf(1),
		healedAt: math.Inf(1), report: Report{Config: config},
	}
	s.build()
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	s.fillState(0)
	s.play()
	return &s.report, ctx.Err()
}

// build lays out zones and processes: zones go round the regions, processes round the zones.
func (s *cluster) build() {
	for i := range s.config.Zones {
		region := i % s.config.Regions
		s.zones = append(s.zones, zone{name: fmt.Sprintf("zone-%02d", i+1), region: region, cut: region >= s.config.Regions-s.config.CutRegions})
	}
	for i := range s.config.Processes {
		s.processes = append(s.processes, s.newProcess(i))
	}
	for _, p := range s.processes[:s.config.Voters] {
		s.voters = append(s.voters, p.name)
	}
	for _, p := range s.processes {
		for _, q := range s.processes {
			if p.index < q.index && p.zone.region != q.zone.region {
				s.clock.SetMaxExtraDelay(p.name, q.name, regionLatency)
			}
		}
	}
}

// fillState has processes that are not played join the state, a few at a time, from one on.
func (s *cluster) fillState(from int) {
	if from >= s.config.Absent {
		return
	}
	until := min(s.config.Absent, from+fillGroup)
	led := false
	for _, p := range s.processes[:s.config.Voters] {
		p.control.Enqueue(func(c *consensus.Replica) {
			if !c.IsLeader() {
				return
			}
			led = true
			for i := from; i < until; i++ {
				c.OnMessage(p.env.Now(), p.name, s.absentJoins(i, p.env.Now()))
			}
		})
	}
	s.clock.At(s.clock.TrueTime()+fillInterval, func() {
		if led {
			from = until
		}
		s.fillState(from)
	})
}

// absentJoins is the message by which a process that is not played joins.
func (s *cluster) absentJoins(index int, now float64) []byte {
	name, zone := fmt.Sprintf("absent-%04d", index), s.zones[index%len(s.zones)]
	name += strings.Repeat("x", max(0, s.config.AbsentNameBytes-len(name)))
	command := clusterstate.Command{
		Proposer: name, Incarnation: 1, Number: 1, ProposedAt: now,
		Change: clusterstate.Activate{Process: name, Zone: zone.name, Region: regionName(zone.region)},
	}
	return codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageProposal, Body: command.Append(nil)})
}

// play runs the three phases, with a reading each minute.
func (s *cluster) play() {
	s.scheduleCommands()
	s.advance(Before, float64(s.config.Warm.Milliseconds()))
	s.cut(true)
	cut := float64(s.config.Cut.Milliseconds())
	if s.config.Restart {
		s.clock.At(s.clock.TrueTime()+cut/2, s.restart)
	}
	s.advance(During, cut)
	s.cut(false)
	s.settle()
}

// advance lets time go by with a reading at the end of each minute.
func (s *cluster) advance(phase Phase, ms float64) {
	for end := s.clock.TrueTime() + ms; s.clock.TrueTime() < end && s.ctx.Err() == nil; {
		s.advanceTo(min(end, s.clock.TrueTime()+readInterval))
		s.read(phase)
	}
}

// advanceTo lets time go by, in steps after which it may be broken off.
func (s *cluster) advanceTo(at float64) {
	for s.clock.TrueTime() < at && s.ctx.Err() == nil {
		s.clock.RunUntil(min(at, s.clock.TrueTime()+cancelInterval))
	}
}

// cut cuts all ways between the two groups of regions, or heals them.
func (s *cluster) cut(is bool) {
	for _, p := range s.processes {
		for _, q := range s.processes {
			if p.index < q.index && p.zone.cut != q.zone.cut {
				s.clock.SetCut(p.name, q.name, is || s.config.Plant.Unhealed)
			}
		}
	}
	if is {
		s.cutAt = s.clock.TrueTime()
		return
	}
	s.healedAt = s.clock.TrueTime()
}

// isCut tells whether two zones are cut from each other now, and since when.
func (s *cluster) isCut(a, b *zone) (since float64, is bool) {
	now := s.clock.TrueTime()
	return s.cutAt, a.cut != b.cut && now >= s.cutAt && now < s.healedAt
}

// restart has one process of the cut-off regions start again.
func (s *cluster) restart() {
	for _, p := range s.processes[s.config.Voters:] {
		if p.zone.cut {
			s.restarted = p
			p.restart()
			return
		}
	}
}

// scheduleCommands has the next process propose a command, and so on at the configured rate.
func (s *cluster) scheduleCommands() {
	if s.config.CommandsPerDay <= 0 {
		return
	}
	s.clock.At(s.clock.TrueTime()+dayInMs/s.config.CommandsPerDay, func() {
		s.processes[s.nextProposer%len(s.processes)].propose()
		s.nextProposer++
		s.scheduleCommands()
	})
}
