package consensus

import (
	"slices"

	"ravenpond/internal/lab/sim"
)

// Faults of the network and of clocks.
const (
	maxLoss     = 0.2
	duplication = 0.05
	driftRange  = 0.01 // width of the range of clock drifts, half of it fast and half slow
)

// Times of faults in ms.
const (
	faultsFrom      = 3000
	faultSpan       = activeTime - 6000
	minFaultTime    = 300
	faultTimeRange  = 3500
	killDeadline    = 400 // after which a process is killed even if it had fewer effects than drawn
	fullDiskRestart = 300 // after which a process that was killed with a full disk starts again
)

// maxEffects is the highest number of effects after which a process is killed.
const maxEffects = 12

// faultTarget is what a drawn fault hits, and its duration in ms.
type faultTarget struct {
	sim      *simulation
	p, other *process
	duration float64
}

// faultKinds are the faults that a seed draws from.
var faultKinds = []func(faultTarget){
	func(t faultTarget) { t.p.kill(t.duration) },
	faultTarget.killAfterEffects,
	faultTarget.pause,
	faultTarget.cutLink,
	func(t faultTarget) { t.sim.isolate(t.duration, t.p) },
	func(t faultTarget) { t.sim.isolate(t.duration, t.sim.processes[:len(t.sim.processes)/2]...) },
	faultTarget.loseDatagrams,
	faultTarget.fillDisk,
	faultTarget.killMany,
	faultTarget.loseDisk,
}

// scheduleFaults draws the faults and their times.
func (sm *simulation) scheduleFaults() {
	anyProcess := func() *process { return sm.processes[sm.rng.IntN(len(sm.processes))] }
	for range 3 + sm.rng.IntN(8) {
		t := faultTarget{sim: sm, p: anyProcess(), other: anyProcess(), duration: minFaultTime + faultTimeRange*sm.rng.Float64()}
		inject := faultKinds[sm.rng.IntN(len(faultKinds))]
		sm.clock.At(faultsFrom+faultSpan*sm.rng.Float64(), func() { inject(t) })
	}
	if sm.rng.IntN(4) == 0 {
		for _, p := range sm.processes {
			p.host.SetDrift(driftRange * (sm.rng.Float64() - 0.5))
		}
	}
}

func (t faultTarget) killAfterEffects() {
	t.p.host.KillAfterEffects(1 + t.sim.rng.IntN(maxEffects))
	t.sim.after(killDeadline, func() {
		if t.p.runner != nil {
			t.p.kill(t.duration)
		}
	})
}

func (t faultTarget) pause() {
	t.p.host.Pause()
	t.sim.after(t.duration, t.p.host.Resume)
}

func (t faultTarget) cutLink() {
	t.sim.clock.SetCut(t.p.name, t.other.name, true)
	t.sim.after(t.duration, func() { t.sim.clock.SetCut(t.p.name, t.other.name, false) })
}

func (t faultTarget) loseDatagrams() {
	t.sim.eachDatagramLink(func(l *sim.DatagramLink) { l.Loss, l.Duplication = maxLoss*t.sim.rng.Float64(), duplication })
	t.sim.after(t.duration, func() { t.sim.eachDatagramLink(func(l *sim.DatagramLink) { *l = sim.DatagramLink{} }) })
}

// fillDisk has writes to a voter's disk fail for the rest of its incarnation, if a majority of disks still works then.
func (t faultTarget) fillDisk() {
	sm, p := t.sim, t.p
	if p.disk == nil || p.runner == nil || sm.diskLost || sm.workingDisks() <= len(sm.voters)/2+1 {
		return
	}
	p.disk.Full = true
	sm.after(t.duration, func() {
		p.disk.Full = false
		p.kill(fullDiskRestart)
	})
}

// loseDisk restarts a voter with an empty disk. It may have voted before, so it must not vote again.
func (t faultTarget) loseDisk() {
	sm, p := t.sim, t.p
	if p.disk == nil || p.runner == nil || sm.diskLost || sm.workingDisks() != len(sm.voters) {
		return
	}
	sm.diskLost = true
	*p.disk = Disk{}
	p.kill(t.duration)
}

// killMany kills seven in ten processes.
func (t faultTarget) killMany() {
	for _, p := range t.sim.processes {
		if t.sim.rng.IntN(10) < 7 {
			p.kill(t.duration * t.sim.rng.Float64())
		}
	}
}

func (sm *simulation) eachDatagramLink(f func(*sim.DatagramLink)) {
	for _, from := range sm.processes {
		for _, to := range sm.processes {
			if from != to {
				f(sm.clock.DatagramLink(from.name, to.name))
			}
		}
	}
}

// workingDisks counts the voters' disks that are not full.
func (sm *simulation) workingDisks() (count int) {
	for _, p := range sm.processes {
		if p.disk != nil && !p.disk.Full {
			count++
		}
	}
	return count
}

// isolate cuts some processes off from all others, for a time in ms.
func (sm *simulation) isolate(ms float64, isolated ...*process) {
	cut := func(cut bool) {
		for _, p := range isolated {
			for _, other := range sm.processes {
				if !slices.Contains(isolated, other) {
					sm.clock.SetCut(p.name, other.name, cut)
				}
			}
		}
	}
	cut(true)
	sm.after(ms, func() { cut(false) })
}
