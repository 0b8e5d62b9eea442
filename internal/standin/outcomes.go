package standin

import "slices"

// pastOutcome is the outcome of an attempt that has ended, as a machine remembers it.
type pastOutcome struct {
	at              float64 // time of the outcome, ms
	outcome, reason int
}

const (
	outcomeRetention = 60_000  // ms for which outcomes are kept
	maxOutcomes      = 1 << 16 // size limit for the maps of outcomes, barred attempts and epochs, in entries
	noteDuration     = 12_000  // ms after its start during which a task's use is reported; it is constant, so later notes would repeat it
)

// Indices into node.NoteNames.
const (
	noteCores  = 2
	noteMemory = 3
)

// remove removes a task from the queue or from the accepted tasks.
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

// report returns the load report: cores and memory that are not reserved or, with ReportsUse, not in use.
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

// ReservedFraction returns the reserved fraction of the capacity that may be reserved, for cores or memory, whichever is larger.
func (m *Machine) ReservedFraction() float64 {
	return max(m.reserved[0]/(m.Cores*m.CoresLimit), m.reserved[1]/(m.Memory*m.MemoryLimit))
}

// FreeCapacity returns the capacity that is not reserved, which is negative where the machine is overcommitted.
func (m *Machine) FreeCapacity() (cores, memory float64) {
	return m.Cores - m.reserved[0], m.Memory - m.reserved[1]
}

// maintain evicts tasks while more memory is in use than the machine has, reports the use of tasks, and deletes old outcomes.
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
