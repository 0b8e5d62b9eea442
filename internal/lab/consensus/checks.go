package consensus

import (
	"bytes"
	"fmt"

	"ravenpond/internal/control"
)

// checkInvariants checks what must hold at every moment, and whether all have converged.
func (sm *simulation) checkInvariants() {
	now := sm.clock.TrueTime()
	version, converged := uint64(0), true
	for i, p := range sm.processes {
		if p.runner == nil {
			converged = false
			continue
		}
		view := p.runner.View()
		held := view.State.Version()
		sm.checkVersion(p, view)
		if p.host.Now() < view.LeaseExpiry {
			sm.checkStaleness(p, held)
		} else {
			converged = false
		}
		if i == 0 {
			version = held
		}
		converged = converged && held == version
	}
	if converged && now > activeTime && sm.result.Convergence == 0 {
		sm.result.Convergence = now - activeTime
	}
}

// checkVersion checks that the version that a process holds never decreases, and that all states of a version have the same bytes.
func (sm *simulation) checkVersion(p *process, view *control.View) {
	version := view.State.Version()
	if version < p.lastVersion {
		sm.fail(fmt.Sprintf("%s went back from version %d to %d", p.name, p.lastVersion, version))
	}
	p.lastVersion = version
	if version == 0 {
		return
	}
	snapshot := view.State.Snapshot()
	if earlier, ok := sm.snapshots[version]; ok && !bytes.Equal(earlier, snapshot) {
		sm.fail(fmt.Sprintf("%s holds a cluster state of version %d that differs from one held before", p.name, version))
	}
	sm.snapshots[version] = snapshot
	if len(sm.firstHeld) == 0 || version > sm.firstHeld[len(sm.firstHeld)-1].version {
		sm.firstHeld = append(sm.firstHeld, versionMark{sm.clock.TrueTime(), version})
		sm.result.Versions = version
	}
}

// checkStaleness checks that a process whose lease is valid holds every version that any process held before the lease began.
func (sm *simulation) checkStaleness(p *process, version uint64) {
	now := sm.clock.TrueTime()
	for i := len(sm.firstHeld) - 1; i >= 0; i-- {
		mark := sm.firstHeld[i]
		if mark.at >= now-maxStaleness {
			continue
		}
		if mark.version > version {
			sm.fail(fmt.Sprintf("%s has a valid lease at version %d, but version %d was held %.0f ms ago", p.name, version, mark.version, now-mark.at))
		}
		return
	}
}

// checkFinalState checks that all have converged, and that the state has each process in its present incarnation.
func (sm *simulation) checkFinalState() {
	if sm.result.Failure == "" && sm.result.Convergence == 0 {
		sm.fail("the processes hold different cluster states at the end: " + sm.describe())
	}
	if sm.result.Failure != "" {
		return
	}
	for _, p := range sm.processes {
		state := p.runner.View().State
		if state.Now() <= 0 {
			continue
		}
		for _, other := range sm.processes {
			if entry, ok := state.Process(other.name); !ok || entry.Incarnation != other.incarnation {
				sm.fail(fmt.Sprintf("%s holds incarnation %[3]d of %[2]s, want %[4]d", p.name, other.name, entry.Incarnation, other.incarnation))
			}
		}
	}
}

// describe says which version each process holds, and for how many ms its lease is valid.
func (sm *simulation) describe() (text string) {
	for _, p := range sm.processes {
		if p.runner != nil {
			view := p.runner.View()
			text += fmt.Sprintf(" %s version %d, lease valid for %.0f ms;", p.name, view.State.Version(), view.LeaseExpiry-p.host.Now())
		}
	}
	return text
}
