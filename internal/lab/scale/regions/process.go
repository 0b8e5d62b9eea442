package regions

import (
	"fmt"
	"math"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
)

// Parameters of the simulated zones and of membership.
const (
	probedNodes     = 10    // nodes of each zone that each process probes
	zoneCores       = 640.0 // cores of each zone
	meanUse         = 0.4   // fraction of a zone's cores in use, on average
	useSwing        = 0.2   // amplitude, as a fraction of a zone's cores
	nodeIncarnation = 1
	slowStartWindow = 2500.0 // ms, window of the nodes' slow start
	leaseWindow     = 6000.0 // ms, longest time for which a quota lease stays in use
	memberPort      = ":7"
)

var memberKey = []byte("the laboratory's member key")

// process is a simulated scheduler that places no tasks.
type process struct {
	cluster *cluster
	index   int
	name    string
	zone    *zone
	env     *sim.Process
	disk    *disk // nil if the process is not a voter

	incarnation uint64
	members     *members.Runner
	control     *control.Runner
	reach       *zones.Selector
	nodesLost   bool // this process has reported the nodes of the zones beyond the cut as unreachable
	refused     int  // proposals that were rejected because the queue was full
	backlog     *messageBacklog

	lastSent, lastSentBytes uint64 // counters at the last reading
	readAt                  float64
}

func (s *cluster) newProcess(index int) *process {
	p := &process{cluster: s, index: index, name: fmt.Sprintf("scheduler-%04d", index), zone: &s.zones[index%len(s.zones)]}
	p.env = s.clock.NewProcess(p.name)
	if index < s.config.Voters {
		p.disk = &disk{keepsAll: s.config.Plant.KeptLog}
	}
	return p
}

// start starts the process in a new incarnation.
func (p *process) start() error {
	p.incarnation++
	var seeds []string
	for _, name := range p.cluster.voters {
		seeds = append(seeds, name+memberPort)
	}
	var err error
	p.members, err = members.Start(p.env, p.name+memberPort, membership.Config{
		Site: "lab", Name: p.name, Address: p.name + memberPort, Incarnation: p.incarnation, Key: memberKey, Seeds: seeds, Seed: p.cluster.rng.Uint64(),
		Place: p.index, Places: len(p.cluster.processes), SlowStartWindow: slowStartWindow, MaxOpenTime: leaseWindow,
	}, listener{p})
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	var disk control.Storage
	if p.disk != nil {
		disk = p.disk
	}
	p.control, err = control.Start(p.env, zerolog.Nop(), p.members, consensus.Config{
		Name: p.name, Zone: p.zone.name, Region: regionName(p.zone.region), Incarnation: p.incarnation, Voters: p.cluster.voters, Seed: p.cluster.rng.Uint64(),
	}, disk, p.cluster.verdicts())
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	if p.cluster.config.Plant.StuckLoop && p.index == p.cluster.config.Voters {
		p.stickLoop()
	}
	p.reach = &zones.Selector{OwnZone: p.zone.name, Zones: p.cluster.places(), LocalityAware: true}
	p.lastSent, p.lastSentBytes, p.readAt = 0, 0, p.cluster.clock.TrueTime()
	p.scheduleReport(reportInterval * p.cluster.rng.Float64())
	return nil
}

// restart kills the process and starts it again.
func (p *process) restart() {
	p.env.Kill(false)
	p.env.Start()
	if err := p.start(); err != nil {
		panic(err)
	}
}

// stickLoop injects a fault: a carrier that queues messages and never processes them.
func (p *process) stickLoop() {
	p.backlog = &messageBacklog{}
	p.members.WithDetector(func(d *membership.Detector) { d.SetMessageHandler(p.backlog) })
}

// scheduleReport reports on the zones after a delay in ms and then periodically until the process is killed.
func (p *process) scheduleReport(after float64) {
	p.env.After(after, func() {
		p.report()
		p.scheduleReport(reportInterval)
	})
}

// report summarizes the state of the zones, sends the summaries to the leader and updates the zone selector.
func (p *process) report() {
	sums := map[string]zones.Summary{}
	silent := false
	for i := range p.cluster.zones {
		z := &p.cluster.zones[i]
		sum := zones.Summary{Nodes: probedNodes, Reachable: probedNodes, Capacity: zoneCores, Used: p.cluster.used(i)}
		if since, cut := p.cluster.isCut(p.zone, z); cut && p.cluster.clock.TrueTime() >= since+silenceTimeout {
			sum.Reachable, silent = 0, true
		}
		sums[z.name] = sum
	}
	p.control.Report(sums)
	p.updateNodes(silent)
	view, now := p.control.View(), p.env.Now()
	p.reach.Update(zones.Input{Now: now, State: view.State, LeaseValid: now < view.LeaseExpiry, Summaries: sums, Processes: view.State.ActiveProcesses(p.zone.name)})
}

// updateNodes tells the failure detector which nodes became unreachable or reachable when that has changed.
func (p *process) updateNodes(silent bool) {
	if silent == p.nodesLost {
		return
	}
	p.nodesLost = silent
	p.members.WithDetector(func(d *membership.Detector) {
		for i, z := range p.cluster.zones {
			for n := range probedNodes {
				node := uint32(i*probedNodes + n)
				switch {
				case z.cut == p.zone.cut:
				case silent:
					d.OnNodeUnreachable(p.env.Now(), node, nodeIncarnation)
				default:
					d.OnNodeReachable(node)
				}
			}
		}
	})
}

// propose proposes a command that changes only the version of the cluster state: it activates this process as it already is.
func (p *process) propose() {
	p.control.Enqueue(func(c *consensus.Replica) {
		number := c.Propose(func() (float64, clusterstate.Change) {
			return p.env.Now(), clusterstate.Activate{Process: p.name, Zone: p.zone.name, Region: regionName(p.zone.region)}
		})
		if number == 0 {
			p.refused++
		}
	})
}

// listener receives the events of the members runner.
type listener struct{ *process }

// OnMemberChanged does nothing: member lists are read when they are compared.
func (listener) OnMemberChanged(float64, membership.Member, membership.State) {}

// OnNameConflict does nothing: no two processes have the same name.
func (listener) OnNameConflict(float64, string) {}

// LastNodeContact returns the incarnation of a node and when this process last heard from it.
func (l listener) LastNodeContact(node uint32) (life uint64, heard float64, ok bool) {
	at := int(node) / probedNodes
	if at >= len(l.cluster.zones) {
		return 0, 0, false
	}
	now := l.env.Now()
	if since, cut := l.cluster.isCut(l.zone, &l.cluster.zones[at]); cut {
		now -= l.cluster.clock.TrueTime() - since
	}
	return nodeIncarnation, now, true
}

// used returns how many cores of a zone are in use now. It oscillates with a different phase in each zone, so that plans for
// closed zones have to be remade again and again.
func (s *cluster) used(zone int) float64 {
	phase := 2 * math.Pi * (s.clock.TrueTime()/useSwingPeriod + float64(zone)/float64(len(s.zones)))
	return zoneCores * (meanUse + useSwing*math.Sin(phase))
}

func (s *cluster) places() (places []zones.Location) {
	for _, z := range s.zones {
		places = append(places, zones.Location{Name: z.name, Region: regionName(z.region)})
	}
	return places
}

// verdicts returns the configuration of the verdicts on zones: zones of one region are near each other.
func (s *cluster) verdicts() control.ZoneConfig {
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
		return regionLatency
	}
	return control.ZoneConfig{Zones: names, Latency: far}
}

func regionName(region int) string { return fmt.Sprintf("region-%d", region+1) }

// messageBacklog is the injected fault of a loop that is stuck: its messages pile up.
type messageBacklog struct{ messages [][]byte }

// OnMessage queues a message.
func (b *messageBacklog) OnMessage(_ string, body []byte) { b.messages = append(b.messages, body) }

// OnNewerStateVersion does nothing.
func (b *messageBacklog) OnNewerStateVersion(string, uint64) {}
