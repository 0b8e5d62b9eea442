package zones

import (
	"slices"

	"ravenpond/internal/decide/consensus"
)

// zoneFault is a fault of zones. It starts at a true time and has a duration, both in ms.
type zoneFault struct {
	sim          *simulation
	zone         string
	others       []string
	at, duration float64
}

// zoneFaults are the faults of zones; the seed modulo their number selects one.
var zoneFaults = []func(zoneFault){
	zoneFault.lost,
	zoneFault.lost,
	zoneFault.cutOff,
	zoneFault.flapping,
	zoneFault.partial,
	zoneFault.lostLeaders,
	zoneFault.pausedVoters,
	zoneFault.regionsCut,
}

// scheduleFaults schedules one fault of zones, by the seed, and at random kills and pauses of processes. Every eighth seed has only the loss
// of a zone, to measure times.
func (sm *simulation) scheduleFaults() {
	f := zoneFault{sim: sm, zone: zoneList[sm.rng.IntN(len(zoneList))].Name}
	for _, z := range zoneList {
		if z.Name != f.zone {
			f.others = append(f.others, z.Name)
		}
	}
	f.at, f.duration = faultsFrom+2000*sm.rng.Float64(), 6000+8000*sm.rng.Float64()
	kind := sm.result.Seed % uint64(len(zoneFaults))
	zoneFaults[kind](f)
	if kind == 0 {
		return
	}
	if sm.rng.IntN(3) == 0 {
		sm.clock.At(f.at+f.duration/2, sm.killMany)
	}
	if sm.rng.IntN(3) == 0 {
		sm.pauseAll(f.at+f.duration/3, f.at+f.duration/3+4000)
	}
}

// expect records the name of the fault, and that its zone may be closed.
func (f zoneFault) expect(name string) {
	f.sim.result.Fault = name
	f.sim.mayClose = func(zone string) bool { return zone == f.zone }
}

func (f zoneFault) lost() {
	f.expect("zone " + f.zone + " lost")
	f.sim.targetZone = f.zone
	f.sim.loseZone(f.at, f.zone, f.duration)
}

func (f zoneFault) cutOff() {
	sm := f.sim
	f.expect("zone " + f.zone + " cut off")
	sm.targetZone = f.zone
	sm.clock.At(f.at, func() { sm.lostAt[f.zone] = f.at })
	sm.partition(f.at, f.zone, f.others, f.duration)
	sm.restoredAt = f.at + f.duration
}

func (f zoneFault) flapping() {
	f.expect("zone " + f.zone + " comes and goes")
	for i := range 60 {
		f.sim.loseZone(f.at+float64(i)*10000, f.zone, 5000)
	}
	f.sim.lostAt = map[string]float64{}
}

// partial breaks the links from one process to a zone and between two zones, and silences a fifth of a zone's nodes: no zone may be closed
// for that.
func (f zoneFault) partial() {
	sm := f.sim
	sm.result.Fault = "ways from one process and one zone are broken, a fifth of a zone is silent"
	p := sm.processes[sm.rng.IntN(len(sm.processes))]
	sm.clock.At(f.at, func() {
		sm.brokenLinks[[2]string{p.name, f.zone}] = true
		sm.silentNodes[f.others[0]] = nodesPerZone / 5
	})
	sm.partition(f.at+500, f.others[1], f.others[2:3], f.duration)
	sm.clock.At(f.at+f.duration, func() { clear(sm.brokenLinks); clear(sm.silentNodes) })
}

func (f zoneFault) lostLeaders() {
	f.expect("zone " + f.zone + " lost, leaders killed")
	f.sim.loseZone(f.at, f.zone, f.duration)
	for range 2 {
		f.sim.clock.At(f.at+3500*f.sim.rng.Float64(), f.sim.killLeader)
	}
}

func (f zoneFault) pausedVoters() {
	sm := f.sim
	f.expect("two stewards stopped, zone " + f.zone + " lost")
	sm.clock.At(f.at, func() { sm.processes[0].host.Pause(); sm.processes[1].host.Pause() })
	sm.clock.At(f.at+10000, func() { sm.processes[0].host.Resume(); sm.processes[1].host.Resume() })
	sm.loseZone(f.at+1000, f.zone, 15000)
}

func (f zoneFault) regionsCut() {
	f.sim.result.Fault, f.sim.mayClose = "regions cut from each other", func(string) bool { return true }
	for _, z := range zoneList[:2] {
		f.sim.partition(f.at, z.Name, []string{zoneList[2].Name, zoneList[3].Name}, f.duration)
	}
}

// killMany kills seven in ten processes.
func (sm *simulation) killMany() {
	for _, p := range sm.processes {
		if sm.rng.IntN(10) < 7 {
			p.kill(500 + 1500*sm.rng.Float64())
		}
	}
}

func (sm *simulation) pauseAll(from, until float64) {
	sm.clock.At(from, func() {
		for _, p := range sm.processes {
			p.host.Pause()
		}
	})
	sm.clock.At(until, func() {
		for _, p := range sm.processes {
			p.host.Resume()
		}
	})
}

// killLeader kills the leader of the consensus after 1 ms, if there is one.
func (sm *simulation) killLeader() {
	for _, p := range sm.processes {
		if p.runner == nil || p.disk == nil {
			continue
		}
		p.runner.Enqueue(func(r *consensus.Replica) {
			if r.IsLeader() {
				sm.clock.At(sm.clock.TrueTime()+1, func() { p.kill(2500) })
			}
		})
	}
}

// loseZone has a zone's nodes answer no process for a while.
func (sm *simulation) loseZone(at float64, zone string, duration float64) {
	sm.clock.At(at, func() { sm.lostZones[zone], sm.lostAt[zone] = true, at })
	sm.clock.At(at+duration, func() { sm.lostZones[zone] = false })
	sm.restoredAt = max(sm.restoredAt, at+duration)
	sm.faultsUntil = max(sm.faultsUntil, at+duration)
}

// partition cuts a zone's nodes and processes off from other zones for a while.
func (sm *simulation) partition(at float64, zone string, others []string, duration float64) {
	set := func(cut bool) {
		for _, other := range others {
			sm.zoneCuts[[2]string{zone, other}], sm.zoneCuts[[2]string{other, zone}] = cut, cut
		}
		for _, p := range sm.processes {
			for _, q := range sm.processes {
				if p.zone == zone && slices.Contains(others, q.zone) {
					sm.clock.SetCut(p.name, q.name, cut)
				}
			}
		}
	}
	sm.clock.At(at, func() { set(true) })
	sm.clock.At(at+duration, func() { set(false) })
	sm.faultsUntil = max(sm.faultsUntil, at+duration)
}
