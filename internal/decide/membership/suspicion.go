package membership

import (
	"math"
)

// suspect suspects a member, or adds an accuser to its suspicion.
func (d *Detector) suspect(m *member, by string) {
	if m.State == Suspect {
		d.addAccuser(m, by)
		return
	}
	d.Stats.Suspicions++
	d.setState(m, Suspect, by)
	d.startSuspicion(m, by)
}

// startSuspicion starts the time-out of a suspicion with its first accuser.
func (d *Detector) startSuspicion(m *member, by string) {
	m.suspectAt, m.accusers, m.fromDeathReport = d.now, map[string]bool{by: true}, false
	d.evaluateSuspicion(m)
}

// addAccuser adds an accuser to a suspicion, which shortens it.
func (d *Detector) addAccuser(m *member, by string) {
	if by == m.Name || m.accusers[by] || len(m.accusers) > maxAccusers {
		return
	}
	m.accusers[by], m.By = true, by
	d.queueUpdate(m) // each accuser is gossiped
	d.evaluateSuspicion(m)
}

// evaluateSuspicion declares a suspect dead after its time-out, or sets a timer for the rest of it.
func (d *Detector) evaluateSuspicion(m *member) {
	least, most := d.Bounds()
	lasts := most
	if k := min(maxAccusers, d.presentCount()-1); k < 1 {
		lasts = least
	} else {
		lasts = max(least, most-(most-least)*math.Log(float64(len(m.accusers)))/math.Log(float64(k+1)))
	}
	if at := m.suspectAt + lasts; d.now < at {
		d.timers.Set(at, dueSuspicion, m.index)
		return
	}
	d.Stats.Deaths++
	m.accusers = nil
	d.setState(m, Dead, d.config.Name)
}

// Bounds returns the duration of a suspicion in ms, with enough accusers and with only one.
func (d *Detector) Bounds() (minDuration, maxDuration float64) {
	minDuration = suspicionPeriods * period * max(minLogFactor, math.Log10(float64(d.presentCount()+1)))
	return minDuration, minDuration * maxSuspicionFactor
}
