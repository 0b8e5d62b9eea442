package standin

import (
	"slices"
)

type pastOutcome struct {
	at              float64
	outcome, reason int
}

const outcomeRetention, maxOutcomes = 60000, 1 << 16

func (m *Machine) remove(t *task) {
	m.releaseToken(t)
	delete(m.tasks, t.attemptID)
	if t.stage == queued {
		if i := slices.Index(m.queue, t); i >= 0 {
			m.queue = slices.Delete(m.queue, i, i+1)
			if i == 0 && len(m.queue) > 0 {
				m.inspectedAt = m.now + m.InspectTime/m.pace()
			}
		}
		return
	}
	m.reserved = [2]float64{m.reserved[0] - t.cores, m.reserved[1] - t.memory}
	m.accepted = slices.DeleteFunc(m.accepted, func(o *task) bool { return o == t })
	if t.stage == running && !slices.Contains(m.programs, t.service) {
		m.programs = append(m.programs, t.service)
		m.programs = m.programs[max(0, len(m.programs)-m.ProgramCacheSize):]
	}
}

// report is what is not asked for, or not in use, of cores and memory.
func (m *Machine) report() []float64 {
	if m.StaleReports && m.lastReport != nil {
		return m.lastReport
	}
	c, mem := m.reserved[0], m.reserved[1]
	if m.ReportsUse {
		c, mem = m.inUse()
	}
	m.lastReport = []float64{m.Cores - c, m.Memory - mem}
	return m.lastReport
}

// ReservedFraction is the part of its room that is asked for, the larger of cores and memory.
func (m *Machine) ReservedFraction() float64 {
	return max(m.reserved[0]/(m.Cores*m.CoresLimit), m.reserved[1]/(m.Memory*m.MemoryLimit))
}

// FreeCapacity is what nobody has asked for.
func (m *Machine) FreeCapacity() (cores, memory float64) {
	return m.Cores - m.reserved[0], m.Memory - m.reserved[1]
}

// maintain notes use, evicts where memory runs out, and forgets what is long past.
func (m *Machine) maintain() {
	for {
		_, mem := m.inUse()
		if mem <= m.Memory || len(m.accepted) == 0 {
			break
		}
		worst := slices.MinFunc(m.accepted, func(x, y *task) int { return m.JobProfiles[x.job].Priority - m.JobProfiles[y.job].Priority })
		m.evict(worst, 5)
	}
	for _, t := range m.accepted {
		if t.stage == running && m.now-t.readyAt < 12000 { // use settles: later notes would tell nothing new
			m.events.OnNote(t.scheduler, t.ticket, t.attempt, 2, t.use[0]*m.UseFactor)
			m.events.OnNote(t.scheduler, t.ticket, t.attempt, 3, t.use[1]*m.UseFactor)
		}
	}
	for n, p := range m.outcomes {
		if m.now-p.at > outcomeRetention {
			delete(m.outcomes, n)
			delete(m.barred, n)
		}
	}
	if len(m.epochs) > maxOutcomes || len(m.barred) > maxOutcomes {
		m.epochs, m.barred = map[epochKey]uint32{}, map[attemptID]bool{}
	}
}
