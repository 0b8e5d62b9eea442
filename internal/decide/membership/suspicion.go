package membership

import "math"

// suspect starts a suspicion of a member, or adds a reporter to the present one.
func (d *Detector) suspect(m *member, by string) {
	if m.State == Suspect {
		d.addReporter(m, by)
		return
	}
	d.Stats.Suspicions++
	d.setState(m, Suspect, by)
	d.startSuspicion(m, by)
}

// startSuspicion starts the time-out of a suspicion with its first reporter.
func (d *Detector) startSuspicion(m *member, by string) {
	m.suspectedAt, m.reporters, m.fromDeathReport = d.now, map[string]bool{by: true}, false
	d.evaluateSuspicion(m)
}

// addReporter adds a process that suspects the member independently, which shortens the time-out.
func (d *Detector) addReporter(m *member, by string) {
	if by == m.Name || m.reporters[by] || len(m.reporters) > maxConfirmations {
		return
	}
	m.reporters[by], m.By = true, by
	d.queueUpdate(m) // gossips the reporter, so that other processes count it too
	d.evaluateSuspicion(m)
}

// onSuspicionTimeout evaluates a suspicion whose timer expired. The member is nil if it was removed before.
func (d *Detector) onSuspicionTimeout(m *member) {
	if m != nil && m.State == Suspect {
		d.evaluateSuspicion(m)
	}
}

// evaluateSuspicion declares a suspect dead if its time-out has passed, and otherwise sets a timer for the remaining time.
func (d *Detector) evaluateSuspicion(m *member) {
	if at := m.suspectedAt + d.suspicionDuration(len(m.reporters)); d.now < at {
		d.timers.Set(at, timerSuspicion, m.index)
		return
	}
	d.Stats.Deaths++
	m.reporters = nil
	d.setState(m, Dead, d.config.Name)
}

// suspicionDuration returns the time-out in ms of a suspicion with the given number of reporters.
func (d *Detector) suspicionDuration(reporters int) float64 {
	minDuration, maxDuration := d.SuspicionBounds()
	confirmations := min(maxConfirmations, d.presentCount()-1)
	if confirmations < 1 {
		return minDuration
	}
	return max(minDuration, maxDuration-(maxDuration-minDuration)*math.Log(float64(reporters))/math.Log(float64(confirmations+1)))
}

// SuspicionBounds returns the shortest and the longest time-out of a suspicion in ms: with maxConfirmations further reporters, and with only one
// reporter.
func (d *Detector) SuspicionBounds() (minDuration, maxDuration float64) {
	minDuration = suspicionPeriods * period * max(minLogFactor, math.Log10(float64(d.presentCount()+1)))
	return minDuration, minDuration * maxSuspicionFactor
}
