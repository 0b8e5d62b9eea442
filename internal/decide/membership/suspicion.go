package membership

import "math"

// suspect suspects a member, or adds an accuser to its suspicion.
func (d *Detector) suspect(m *member, by string) {
	if m.State == Suspect {
		d.addReporter(m, by)
		return
	}
	d.Stats.Suspicions++
	d.setState(m, Suspect, by)
	d.startSuspicion(m, by)
}

// startSuspicion starts the time-out of a suspicion with its first accuser.
func (d *Detector) startSuspicion(m *member, by string) {
	m.suspectedAt, m.reporters, m.fromDeathReport = d.now, map[string]bool{by: true}, false
	d.evaluateSuspicion(m)
}

// addReporter adds an accuser to a suspicion, which shortens it.
func (d *Detector) addReporter(m *member, by string) {
	if by == m.Name || m.reporters[by] || len(m.reporters) > maxConfirmations {
		return
	}
	m.reporters[by], m.By = true, by
	d.queueUpdate(m) // each accuser is gossiped
	d.evaluateSuspicion(m)
}

// onSuspicionTimeout evaluates a suspicion whose timer expired. The member is nil if it was removed.
func (d *Detector) onSuspicionTimeout(m *member) {
	if m != nil && m.State == Suspect {
		d.evaluateSuspicion(m)
	}
}

// evaluateSuspicion declares a suspect dead after its time-out, or sets a timer for the rest of it.
func (d *Detector) evaluateSuspicion(m *member) {
	if at := m.suspectedAt + d.suspicionDuration(len(m.reporters)); d.now < at {
		d.timers.Set(at, timerSuspicion, m.index)
		return
	}
	d.Stats.Deaths++
	m.reporters = nil
	d.setState(m, Dead, d.config.Name)
}

// suspicionDuration returns how long a suspicion with a number of accusers lasts, in ms.
func (d *Detector) suspicionDuration(reporters int) float64 {
	minDuration, maxDuration := d.Bounds()
	needed := min(maxConfirmations, d.presentCount()-1)
	if needed < 1 {
		return minDuration
	}
	return max(minDuration, maxDuration-(maxDuration-minDuration)*math.Log(float64(reporters))/math.Log(float64(needed+1)))
}

// Bounds returns the duration of a suspicion in ms, with enough accusers and with only one.
func (d *Detector) Bounds() (minDuration, maxDuration float64) {
	minDuration = suspicionPeriods * period * max(minLogFactor, math.Log10(float64(d.presentCount()+1)))
	return minDuration, minDuration * maxSuspicionFactor
}
