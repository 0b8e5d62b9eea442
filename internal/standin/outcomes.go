package standin

import "slices"

// pastOutcome is what a machine remembers of an attempt that is over.
type pastOutcome struct {
	at              float64 // ms
	outcome, reason int
}

const (
	outcomeRetention = 60_000  // ms for which outcomes are remembered
	maxOutcomes      = 1 << 16 // that are remembered
	noteDuration     = 12_000  // ms after its start in which a task's use is noted: later notes would say the same
)

// Places in node.NoteNames.
const (
	noteCores  = 2
	noteMemory = 3
)

// remove takes a task out of the queue or out of the accepted ones.
func (m *Machine) remove(t *task) {
	m.releaseToken(t)
	delete(m.tasks, t.ID)
	if t.stage == queued {
		if i := slices.Index(m.queue, t); i >= 0 {
			m.queue = slices.Delete(m.queue, i, i+1)
			if i == 0 && len(m.queue) > 0 {
				m.inspectedAt = m.now + m.InspectTime/m.pace()
			}
		}
		return
	}
	m.reserved = [2]float64{m.reserved[0] - t.Cores, m.reserved[1] - t.Memory}
	m.accepted = slices.DeleteFunc(m.accepted, func(other *task) bool { return other == t })
	if t.stage == running && !slices.Contains(m.programs, t.Service) {
		m.programs = append(m.programs, t.Service)
		m.programs = m.programs[max(0, len(m.programs)-m.ProgramCacheSize):]
	}
}

// report is the load report: cores and memory that are not reserved, or not in use.
func (m *Machine) report() []float64 {
	if m.StaleReports && m.lastReport != nil {
		return m.lastReport
	}
	cores, memory := m.reserved[0], m.reserved[1]
	if m.ReportsUse {
		cores, memory = m.inUse()
	}
	m.lastReport = []float64{m.Cores - cores, m.Memory - memory}
	return m.lastReport
}

// ReservedFraction is the reserved fraction of what may be reserved, the larger of cores and memory.
func (m *Machine) ReservedFraction() float64 {
	return max(m.reserved[0]/(m.Cores*m.CoresLimit), m.reserved[1]/(m.Memory*m.MemoryLimit))
}

// FreeCapacity is what is not reserved; below zero where the machine is overcommitted.
func (m *Machine) FreeCapacity() (cores, memory float64) {
	return m.Cores - m.reserved[0], m.Memory - m.reserved[1]
}

// maintain evicts tasks while memory runs out, notes use, and forgets old outcomes.
func (m *Machine) maintain() {
	for {
		_, memory := m.inUse()
		if memory <= m.Memory || len(m.accepted) == 0 {
			break
		}
		lowest := slices.MinFunc(m.accepted, func(x, y *task) int { return m.JobProfiles[x.Job].Priority - m.JobProfiles[y.Job].Priority })
		m.evict(lowest, reasonOutOfMemory)
	}
	for _, t := range m.accepted {
		if t.stage == running && m.now-t.readyAt < noteDuration {
			m.events.OnNote(t.ID, noteCores, t.use[0]*m.UseFactor)
			m.events.OnNote(t.ID, noteMemory, t.use[1]*m.UseFactor)
		}
	}
	for id, past := range m.outcomes {
		if m.now-past.at > outcomeRetention {
			delete(m.outcomes, id)
			delete(m.barred, id)
		}
	}
	if len(m.epochs) > maxOutcomes || len(m.barred) > maxOutcomes {
		m.epochs, m.barred = map[epochKey]uint32{}, map[AttemptID]bool{}
	}
}
