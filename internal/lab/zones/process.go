package zones

import (
	"fmt"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
	consensuslab "ravenpond/internal/lab/consensus"
	"ravenpond/internal/lab/sim"
)

// Latencies between zones in ms.
const (
	latencyInRegion = 1
	latencyBetween  = 10
)

// Fractions of running tasks that stay from one check to the next.
const (
	keptFraction         = 0.98 // 2% of the tasks end
	keptWhereUnreachable = 0.9  // of tasks in a zone that the process does not reach
	maxStartFraction     = 0.1  // of its demand that a process starts between two checks
)

// process is a scheduler process.
type process struct {
	sim         *simulation
	name        string
	zone        string
	host        *sim.Process
	incarnation uint64
	runner      *control.Runner    // nil while the process is dead
	disk        *consensuslab.Disk // nil unless the process is a voter
	selector    *zones.Selector
	shares      map[string]float64 // fraction of its requests that it may send to a zone
	placed      map[string]float64 // cores that its tasks use by zone

	leaseValid      bool
	lastValidShares map[string]float64 // shares when its lease was last valid
}

// startProcesses starts eight to twelve processes; the voters are in three zones.
func (sm *simulation) startProcesses() {
	count := 8 + sm.rng.IntN(5)
	sm.load = 0.35 + 0.4*sm.rng.Float64()
	sm.voters = []string{"p0", "p1", "p2"}
	for i := range count {
		p := &process{sim: sm, name: fmt.Sprint("p", i), zone: zoneList[i%len(zoneList)].Name, placed: map[string]float64{}, shares: map[string]float64{}}
		p.host = sm.clock.NewProcess(p.name)
		if i < len(sm.voters) {
			p.disk = &consensuslab.Disk{}
		}
		sm.processes = append(sm.processes, p)
	}
	for _, p := range sm.processes {
		p.start()
	}
}

// start starts the next incarnation.
func (p *process) start() {
	sm := p.sim
	p.incarnation++
	config := consensuslab.SchedulerConfig{
		Seed: sm.rng.Uint64(), Disk: p.disk, Zones: sm.zoneConfig(),
		Replica: consensus.Config{Zone: p.zone, Incarnation: p.incarnation, Voters: sm.voters},
	}
	var err error
	if p.runner, err = consensuslab.StartScheduler(p.host, config); err != nil {
		sm.fail(err.Error())
		return
	}
	p.leaseValid, p.lastValidShares, p.shares = false, nil, map[string]float64{}
	p.selector = &zones.Selector{OwnZone: p.zone, Zones: zoneList, LocalityAware: true, FaultIgnoreLease: sm.faulty.StaleVerdicts}
	incarnation := p.incarnation
	var report func()
	report = func() {
		if p.incarnation == incarnation && p.runner != nil {
			p.runner.Report(p.zoneReport())
			p.host.After(reportInterval, report)
		}
	}
	p.host.After(reportInterval*sm.rng.Float64(), report)
}

func (sm *simulation) zoneConfig() control.ZoneConfig {
	region := map[string]string{}
	var names []string
	for _, z := range zoneList {
		names = append(names, z.Name)
		region[z.Name] = z.Region
	}
	return control.ZoneConfig{Zones: names, Latency: func(from, to string) float64 {
		if region[from] == region[to] {
			return latencyInRegion
		}
		return latencyBetween
	}, Controller: zones.Controller{FaultSingleZone: sm.faulty.SingleWitness}}
}

// kill kills the process, and starts it again after a delay in ms.
func (p *process) kill(restartDelay float64) {
	if p.runner == nil {
		return
	}
	p.runner = nil
	p.placed = map[string]float64{}
	p.host.Kill(false)
	p.sim.clock.At(p.sim.clock.TrueTime()+restartDelay, func() {
		p.host.Start()
		p.start()
	})
}

// reaches reports whether nodes of a zone currently answer the process.
func (p *process) reaches(zone string) bool {
	sm := p.sim
	return !sm.lostZones[zone] && !sm.zoneCuts[[2]string{p.zone, zone}] && !sm.brokenLinks[[2]string{p.name, zone}]
}

// zoneReport returns what a process knows of the zones. A zone that does not answer counts as unreachable after silenceTimeout.
func (p *process) zoneReport() map[string]zones.Summary {
	sm, summaries := p.sim, map[string]zones.Summary{}
	for _, z := range zoneList {
		s := zones.Summary{Nodes: nodesPerZone, Capacity: zoneCapacity, Used: sm.usedCores[z.Name]}
		if sm.clock.TrueTime()-sm.lastHeard[[2]string{p.name, z.Name}] < silenceTimeout {
			s.Reachable = nodesPerZone - sm.silentNodes[z.Name]
		}
		summaries[z.Name] = s
	}
	return summaries
}

// placeLoad has each process place its part of the load where it may, and sums up the cores used in each zone.
func (sm *simulation) placeLoad() {
	now, used := sm.clock.TrueTime(), map[string]float64{}
	for _, p := range sm.processes {
		if p.runner == nil {
			continue
		}
		for _, z := range zoneList {
			if p.reaches(z.Name) {
				sm.lastHeard[[2]string{p.name, z.Name}] = now
			}
		}
		if !p.host.Paused() {
			p.updateShares()
			p.startTasks()
		}
		for z, cores := range p.placed {
			used[z] += cores
		}
	}
	sm.usedCores = used
}

// updateShares has the process decide on its shares of zones, and checks the decision.
func (p *process) updateShares() {
	sm, view := p.sim, p.runner.View()
	leaseValid := p.host.Now() < view.LeaseExpiry
	if p.leaseValid {
		p.lastValidShares = p.shares
	}
	p.leaseValid = leaseValid
	p.shares = p.selector.Update(zones.Input{
		Now: p.host.Now(), State: view.State, LeaseValid: leaseValid, Summaries: p.zoneReport(), OwnCores: p.placed,
		Processes: view.State.ActiveProcesses(p.zone),
	})
	if sm.faulty.UncappedShares && leaseValid && view.State.Zone(p.zone).State == clusterstate.Closed {
		for z := range p.shares {
			if view.State.Zone(z).State == clusterstate.Open {
				p.shares[z] = 1
			}
		}
	}
	sm.checkShares(p, view)
}

// startTasks ends a fraction of the process's tasks and starts new ones up to its demand, distributed by shares and free capacity.
func (p *process) startTasks() {
	sm := p.sim
	demand := sm.load * zoneCapacity * float64(len(zoneList)) / float64(len(sm.processes))
	weight := 0.0
	for z, share := range p.shares {
		if p.reaches(z) {
			weight += share * max(0, zoneCapacity-sm.usedCores[z])
		}
	}
	total := 0.0
	for z := range p.placed {
		total += p.placed[z]
	}
	for _, z := range zoneList {
		cores := p.placed[z.Name] * keptFraction
		if !p.reaches(z.Name) {
			cores = p.placed[z.Name] * keptWhereUnreachable
		}
		if share := p.shares[z.Name]; share > 0 && p.reaches(z.Name) && weight > 0 {
			cores += min(maxStartFraction*demand, max(0, demand-keptFraction*total)) * share * max(0, zoneCapacity-sm.usedCores[z.Name]) / weight
		}
		p.placed[z.Name] = cores
	}
}
