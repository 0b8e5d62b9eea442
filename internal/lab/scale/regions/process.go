package regions

import (
	"fmt"
	"math"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
	codec "ravenpond/internal/proto/clusterstate"
)

// What a zone and the members' leases are played with.
const (
	nodesLookedAt = 10    // of each zone, by each process
	zoneCores     = 640.0 // of each zone
	meanUse       = 0.4   // of a zone's cores
	swingOfUse    = 0.2   // of a zone's cores, up and down
	nodeLife      = 1
	windowOfCold  = 2500.0 // ms in which a node bears what it bears
	openFor       = 6000.0 // ms for which what is lent of limits stays in use
	memberPort    = ":7"
)

var memberKey = []byte("the laboratory's member key")

// process is a scheduler without placing.
type process struct {
	site  *site
	index int
	name  string
	zone  *zone
	world *sim.Process
	disk  *disk // nil: no voter

	incarnation uint64
	members     *members.Runner
	control     *control.Runner
	reach       *zones.Selector
	silent      bool // the nodes of the zones beyond the cut count as lost here
	refused     int  // commands for which there was no room
	hoard       *hoarder

	sent, sentBytes uint64 // at the last reading
	readAt          float64
}

func (s *site) newProcess(index int) *process {
	p := &process{site: s, index: index, name: fmt.Sprintf("scheduler-%04d", index), zone: &s.zones[index%len(s.zones)]}
	p.world = s.clock.NewProcess(p.name)
	if index < s.config.Voters {
		p.disk = &disk{keepsAll: s.config.Plant.KeptLog}
	}
	return p
}

// start begins an incarnation.
func (p *process) start() error {
	p.incarnation++
	var seeds []string
	for _, name := range p.site.voters {
		seeds = append(seeds, name+memberPort)
	}
	var err error
	p.members, err = members.Start(p.world, p.name+memberPort, membership.Config{
		Site: "lab", Name: p.name, Address: p.name + memberPort, Life: p.incarnation, Key: memberKey, Seeds: seeds, Seed: p.site.rng.Uint64(),
		Place: p.index, Places: len(p.site.processes), Window: windowOfCold, Open: openFor,
	}, listener{p})
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	var disk control.Storage
	if p.disk != nil {
		disk = p.disk
	}
	p.control, err = control.Start(p.world, zerolog.Nop(), p.members, consensus.Config{
		Name: p.name, Zone: p.zone.name, Region: regionName(p.zone.region), Incarnation: p.incarnation, Voters: p.site.voters, Seed: p.site.rng.Uint64(),
	}, disk, p.site.verdicts())
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	if p.site.config.Plant.StuckLoop && p.index == p.site.config.Voters {
		p.stick()
	}
	p.reach = &zones.Selector{OwnZone: p.zone.name, Zones: p.site.places(), LocalityAware: true}
	p.sent, p.sentBytes, p.readAt = 0, 0, p.site.clock.TrueTime()
	p.senseLater(senseEach * p.site.rng.Float64())
	return nil
}

// restart kills the process, and starts it again.
func (p *process) restart() {
	p.world.Kill(false)
	p.world.Start()
	if err := p.start(); err != nil {
		panic(err)
	}
}

// stick plants a fault: a carrier that puts messages down and never takes them up.
func (p *process) stick() {
	p.hoard = &hoarder{}
	p.members.WithDetector(func(d *membership.Detector) { d.Carries(p.hoard) })
}

// senseLater looks at the zones again and again until the process is killed.
func (p *process) senseLater(after float64) {
	p.world.After(after, func() {
		p.sense()
		p.senseLater(senseEach)
	})
}

// sense sums up what is heard of the zones, tells the leader, and reckons where to send.
func (p *process) sense() {
	sums := map[string]zones.Summary{}
	silent := false
	for i := range p.site.zones {
		z := &p.site.zones[i]
		sum := zones.Summary{Nodes: nodesLookedAt, Reachable: nodesLookedAt, Capacity: zoneCores, Used: p.site.used(i)}
		if since, cut := p.site.isCut(p.zone, z); cut && p.site.clock.TrueTime() >= since+silentAfter {
			sum.Reachable, silent = 0, true
		}
		sums[z.name] = sum
	}
	p.control.Report(sums)
	p.tellNodes(silent)
	view, now := p.control.View(), p.world.Now()
	p.reach.Update(now, view.State, now < view.LeaseExpiry, sums, 0, nil, view.State.ActiveProcesses(p.zone.name))
}

// tellNodes tells the detector which nodes are lost, or back, when that has changed.
func (p *process) tellNodes(silent bool) {
	if silent == p.silent {
		return
	}
	p.silent = silent
	p.members.WithDetector(func(d *membership.Detector) {
		for i, z := range p.site.zones {
			for n := range nodesLookedAt {
				node := uint32(i*nodesLookedAt + n)
				switch {
				case z.cut == p.zone.cut:
				case silent:
					d.NodeLost(p.world.Now(), node, nodeLife)
				default:
					d.NodeBack(node)
				}
			}
		}
	})
}

// propose brings in a command that changes nothing but the state's version: that this process acts as it does.
func (p *process) propose() {
	p.control.Enqueue(func(c *consensus.Replica) {
		number := c.Propose(func(b []byte, number uint64) []byte {
			return codec.AppendCommand(b, p.name, c.Incarnation(), number, p.world.Now(), codec.CommandActivate, p.name, p.zone.name, regionName(p.zone.region), 0, 0, "")
		})
		if number == 0 {
			p.refused++
		}
	})
}

// listener hears what members tell.
type listener struct{ *process }

// OnChange hears nothing: views are read when they are compared.
func (listener) OnChange(float64, membership.Member, membership.State) {}

// OnNameTaken hears nothing: no name is taken twice.
func (listener) OnNameTaken(float64, string) {}

// LastHeard is what this process hears of a node.
func (l listener) LastHeard(node uint32) (life uint64, heard float64, ok bool) {
	at := int(node) / nodesLookedAt
	if at >= len(l.site.zones) {
		return 0, 0, false
	}
	now := l.world.Now()
	if since, cut := l.site.isCut(l.zone, &l.site.zones[at]); cut {
		now -= l.site.clock.TrueTime() - since
	}
	return nodeLife, now, true
}

// used is how many cores of a zone are in use now: that goes up and down, in each zone at its own time, so that plans for
// closed zones are made anew again and again.
func (s *site) used(zone int) float64 {
	phase := 2 * math.Pi * (s.clock.TrueTime()/useSwing + float64(zone)/float64(len(s.zones)))
	return zoneCores * (meanUse + swingOfUse*math.Sin(phase))
}

func (s *site) places() (places []zones.Location) {
	for _, z := range s.zones {
		places = append(places, zones.Location{Name: z.name, Region: regionName(z.region)})
	}
	return places
}

// verdicts is what the verdicts on zones rest on: zones of one region are near.
func (s *site) verdicts() control.ZoneConfig {
	regions := map[string]int{}
	var names []string
	for _, z := range s.zones {
		regions[z.name] = z.region
		names = append(names, z.name)
	}
	far := func(from, to string) float64 {
		if regions[from] == regions[to] {
			return 1
		}
		return regionsApart
	}
	return control.ZoneConfig{Zones: names, Latency: far}
}

func regionName(region int) string { return fmt.Sprintf("region-%d", region+1) }

// hoarder is the planted fault of a loop that stands still: its messages pile up.
type hoarder struct{ mail [][]byte }

// Carried keeps a message.
func (h *hoarder) Carried(_ string, body []byte) { h.mail = append(h.mail, body) }

// Ahead keeps nothing.
func (h *hoarder) Ahead(string, uint64) {}
