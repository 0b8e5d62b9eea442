// Package regions simulates a long network partition between the regions of a site, on the simulated clock and network: each
// scheduler runs the program's own code of membership, of control with its consensus and cluster state, and of zones. For each
// simulated minute and process it records the size of every structure that may grow and the traffic that the process sends, and
// after the heal how long it takes until all processes agree again. All of its figures are simulated.
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

// Intervals of the simulated processes and of the readings, in ms.
const (
	reportInterval = 250.0  // between two reports of a process on the zones, as in `serve`
	silenceTimeout = 1000.0 // after which the nodes beyond the cut count as unreachable
	readInterval   = 60e3   // between two readings
	readDuration   = 20.0   // time in which all loops answer a reading
	pollInterval   = 50.0   // between two checks whether the processes agree
	dayInMs        = 24 * 3600e3
	cancelInterval = 1000.0 // between two checks whether the run is cancelled
	useSwingPeriod = 600e3  // of the oscillation of the zones' use
	regionLatency  = 20.0   // maximum additional latency of a datagram between regions
	fillInterval   = 100.0  // between two groups of absent processes that join the cluster state
	fillGroup      = 20     // processes of a group
)

// Config is the configuration of a run.
type Config struct {
	Seed      uint64 `json:"Seed"`
	Processes int    `json:"Processes"`
	Regions   int    `json:"Regions"`
	Zones     int    `json:"Zones"`
	Voters    int    `json:"Voters"`
	// CutRegions is how many regions are cut from all others: the last ones by number.
	CutRegions int           `json:"CutRegions"`
	Warm       time.Duration `json:"Warm"` // time before the cut
	Cut        time.Duration `json:"Cut"`
	Settle     time.Duration `json:"Settle"` // time that is simulated after the heal, in which all processes have to agree
	// CommandsPerDay is the rate at which processes, in turn, propose a command that changes only the version of the cluster state.
	CommandsPerDay float64 `json:"CommandsPerDay"`
	// Absent is how many processes are in the cluster state without being simulated, to enlarge it at no further cost.
	Absent int `json:"Absent"`
	// AbsentNameBytes is the minimum length of their names.
	AbsentNameBytes int `json:"AbsentNameBytes"`
	// Restart restarts one process of the cut-off regions, which is not a voter, half-way through the cut.
	Restart bool `json:"Restart"`

	Plant Faults `json:"Plant"`
}

// Faults selects faults to inject into a run, for tests of the check; the zero value selects none.
type Faults struct {
	KeptLog   bool `json:"KeptLog"`   // voters' disks keep the entries that a snapshot covers
	StuckLoop bool `json:"StuckLoop"` // the control loop of one process processes none of its messages
	Unhealed  bool `json:"Unhealed"`  // connections stay cut at the heal
}

// Default returns the configuration of the one-hour run described in docs/performance.md.
func Default() Config {
	return Config{
		Seed: 1, Processes: 60, Regions: 6, Zones: 14, Voters: 5, CutRegions: 3, Warm: 5 * time.Minute, Cut: time.Hour,
		Settle: 10 * time.Minute, CommandsPerDay: 7400, Restart: true,
	}
}

// ErrConfig is returned, wrapped, for an invalid configuration.
var ErrConfig = errors.New("invalid configuration of a regions-cut run")

func (c Config) check() error {
	switch {
	case c.Voters < 1 || c.Processes < c.Voters:
		return fmt.Errorf("%w: %d processes and %d voters; there has to be a voter, and no more voters than processes", ErrConfig, c.Processes, c.Voters)
	case c.Regions < 2 || c.Zones < c.Regions:
		return fmt.Errorf("%w: %d zones in %d regions; two regions and a zone in each are the minimum", ErrConfig, c.Zones, c.Regions)
	case c.CutRegions < 1 || c.CutRegions >= c.Regions:
		return fmt.Errorf("%w: %d of %d regions cut off; at least one has to be, but not all", ErrConfig, c.CutRegions, c.Regions)
	case c.Processes <= c.Zones && c.Restart:
		return fmt.Errorf("%w: %d processes in %d zones leave none to restart", ErrConfig, c.Processes, c.Zones)
	case c.Cut < time.Minute || c.Warm < time.Minute:
		return fmt.Errorf("%w: warm-up and cut have to last a minute each", ErrConfig)
	}
	return nil
}

// cluster is the state of a run.
type cluster struct {
	ctx          context.Context // context of the run, which is one call
	config       Config
	clock        *sim.Clock
	rng          *rand.Rand
	zones        []zone
	processes    []*process
	voters       []string
	cutAt        float64 // true time of the cut, infinite before it
	healedAt     float64 // true time of the heal, infinite before it
	nextProposer int     // number of the process that proposes next
	restarted    *process
	report       Report
}

// zone is a zone of the site.
type zone struct {
	name   string
	region int
	cut    bool // its region is among those cut off
}

// Run simulates a configuration. It returns an error that wraps ErrConfig if the configuration is invalid, and the context's
// error if that ends before the run does.
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

// build creates zones and processes: it assigns zones to regions and processes to zones round-robin.
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

// fillState makes absent processes join the cluster state in groups, beginning with the one numbered from.
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

// absentJoins returns the message by which an absent process joins the cluster state.
func (s *cluster) absentJoins(index int, now float64) []byte {
	name, zone := fmt.Sprintf("absent-%04d", index), s.zones[index%len(s.zones)]
	name += strings.Repeat("x", max(0, s.config.AbsentNameBytes-len(name)))
	command := clusterstate.Command{
		Proposer: name, Incarnation: 1, Number: 1, ProposedAt: now,
		Change: clusterstate.Activate{Process: name, Zone: zone.name, Region: regionName(zone.region)},
	}
	return codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageProposal, Body: command.Append(nil)})
}

// play runs the three phases and takes a reading each minute.
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

// advance advances the clock by a duration in ms and takes a reading at the end of each minute.
func (s *cluster) advance(phase Phase, ms float64) {
	for end := s.clock.TrueTime() + ms; s.clock.TrueTime() < end && s.ctx.Err() == nil; {
		s.advanceTo(min(end, s.clock.TrueTime()+readInterval))
		s.read(phase)
	}
}

// advanceTo advances the clock to a time, in steps between which the run may be cancelled.
func (s *cluster) advanceTo(at float64) {
	for s.clock.TrueTime() < at && s.ctx.Err() == nil {
		s.clock.RunUntil(min(at, s.clock.TrueTime()+cancelInterval))
	}
}

// cut cuts all connections between the two groups of regions, or heals them.
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

// isCut reports whether two zones are cut from each other now, and since when.
func (s *cluster) isCut(a, b *zone) (since float64, is bool) {
	now := s.clock.TrueTime()
	return s.cutAt, a.cut != b.cut && now >= s.cutAt && now < s.healedAt
}

// restart restarts one process of the cut-off regions that is not a voter.
func (s *cluster) restart() {
	for _, p := range s.processes[s.config.Voters:] {
		if p.zone.cut {
			s.restarted = p
			p.restart()
			return
		}
	}
}

// scheduleCommands makes the processes propose commands in turn at the configured rate.
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
