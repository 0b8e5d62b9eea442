package standin

import (
	"slices"
)

type memory struct {
	at              float64
	outcome, reason int
}

const rememberFor, rememberMost = 60000, 1 << 16

func (m *Machine) drop(t *task) {
	m.free(t)
	delete(m.tasks, t.name)
	if t.stage == inLine {
		if i := slices.Index(m.line, t); i >= 0 {
			m.line = slices.Delete(m.line, i, i+1)
			if i == 0 && len(m.line) > 0 {
				m.lookDone = m.now + m.Look/m.pace()
			}
		}
		return
	}
	m.asked = [2]float64{m.asked[0] - t.cores, m.asked[1] - t.memory}
	m.order = slices.DeleteFunc(m.order, func(o *task) bool { return o == t })
	if t.stage == running && !slices.Contains(m.programs, t.service) {
		m.programs = append(m.programs, t.service)
		m.programs = m.programs[max(0, len(m.programs)-m.Programs):]
	}
}

// report is what is not asked for, or not in use, of cores and memory.
func (m *Machine) report() []float64 {
	if m.Stale && m.oldReport != nil {
		return m.oldReport
	}
	c, mem := m.asked[0], m.asked[1]
	if m.CountsUse {
		c, mem = m.inUse()
	}
	m.oldReport = []float64{m.Cores - c, m.Memory - mem}
	return m.oldReport
}

// Asked is the part of its room that is asked for, the larger of cores and memory.
func (m *Machine) Asked() float64 {
	return max(m.asked[0]/(m.Cores*m.CoresLimit), m.asked[1]/(m.Memory*m.MemoryLimit))
}

// Free is what nobody has asked for.
func (m *Machine) Free() (cores, memory float64) { return m.Cores - m.asked[0], m.Memory - m.asked[1] }

// housekeep notes use, evicts where memory runs out, and forgets what is long past.
func (m *Machine) housekeep() {
	for {
		_, mem := m.inUse()
		if mem <= m.Memory || len(m.order) == 0 {
			break
		}
		worst := slices.MinFunc(m.order, func(x, y *task) int { return m.Work[x.job].Priority - m.Work[y.job].Priority })
		m.away(worst, 5)
	}
	for _, t := range m.order {
		if t.stage == running && m.now-t.ready < 12000 { // use settles: later notes would tell nothing new
			m.voice.Noted(t.sched, t.ticket, t.try, 2, t.use[0]*m.Pressure)
			m.voice.Noted(t.sched, t.ticket, t.try, 3, t.use[1]*m.Pressure)
		}
	}
	for n, p := range m.past {
		if m.now-p.at > rememberFor {
			delete(m.past, n)
			delete(m.bars, n)
		}
	}
	if len(m.epochs) > rememberMost || len(m.bars) > rememberMost {
		m.epochs, m.bars = map[epochName]uint32{}, map[name]bool{}
	}
}
