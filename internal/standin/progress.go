package standin

import (
	"math"
	"slices"

	"ravenpond/internal/proto/node"
)

// Tick moves time.
func (m *Machine) Tick(now float64) {
	for {
		at, t := m.nextDone()
		if t == nil || at > now || m.Hang {
			break
		}
		m.now = max(m.now, at)
		m.done(t)
	}
	m.now = now
	if m.Hang {
		return
	}
	if m.sends && len(m.order) > 0 && now >= m.nextAway {
		m.nextAway = now + 150
		m.away(m.order[0], 7)
	}
	if now-m.lastNote >= 1000 {
		m.lastNote = now
		m.housekeep()
	}
}

// Next is when Tick has something to do.
func (m *Machine) Next() float64 {
	at, t := m.nextDone()
	if t == nil || m.Hang {
		at = math.Inf(1)
	}
	at = min(at, m.lastNote+1000)
	if m.sends && len(m.order) > 0 {
		at = min(at, m.nextAway)
	}
	return at
}

// nextDone is the next thing that gets done: a look, a start, an end.
func (m *Machine) nextDone() (float64, *task) {
	at, next := math.Inf(1), (*task)(nil)
	if len(m.line) > 0 {
		at, next = m.lookDone, m.line[0]
	}
	for _, t := range m.order {
		if t.stage == running && t.until < at {
			at, next = t.until, t
		} else if t.stage == starting && t.ready > 0 && t.ready < at {
			at, next = t.ready, t
		}
	}
	return at, next
}

func (m *Machine) done(t *task) {
	switch t.stage {
	case inLine:
		m.line = m.line[1:]
		if len(m.line) > 0 {
			m.lookDone = m.now + m.Look/m.pace()
		}
		if t.isProbe {
			m.voice.Reported(t.sched, t.probe, m.report())
		} else {
			m.look(t)
		}
	case starting:
		if m.now > t.until {
			m.settle(t, node.OutcomeRefused, 4)
			return
		}
		if m.BadJob == t.job && m.rng.Float64() < m.BadPart {
			m.fail(t)
			return
		}
		t.stage = running
		took := m.now - t.came
		life := m.Work[t.job].Life * (0.25 + 1.5*m.rng.Float64())
		t.until = m.now + life
		m.voice.Ran(t.sched, t.ticket, t.try)
		m.voice.Started(t.sched, t.ticket, t.try, took)
		m.starts()
	case running:
		m.settle(t, node.OutcomeEnded, 0)
	}
}

// fail lets a try of the ailing job type fail after it may have had an effect.
func (m *Machine) fail(t *task) {
	m.voice.Ran(t.sched, t.ticket, t.try)
	if m.BadQuiet {
		m.drop(t)
		m.past[t.name] = memory{m.now, node.OutcomeUnknown, 0}
	} else {
		m.settle(t, node.OutcomeErrored, 0)
	}
	m.starts()
}

func (m *Machine) look(t *task) {
	w := m.Work[t.job]
	if m.now > t.until {
		m.settle(t, node.OutcomeRefused, 4)
		return
	}
	if w.Token {
		if h := m.group.holders[t.token]; h != nil && h.m == m && h.name != t.name && h.stage != running {
			h.m.settle(h, node.OutcomeRefused, 0) // a copy that nobody waits for gives way
		} else if h != nil && h.name != t.name {
			m.settle(t, node.OutcomeRefused, 4)
			return
		}
	}
	for m.PushesOut && m.full(t) > 0 {
		i := slices.IndexFunc(m.order, func(o *task) bool { return m.Work[o.job].Priority < w.Priority })
		if i < 0 {
			break
		}
		m.away(m.order[i], 6)
	}
	if why := m.full(t); why > 0 {
		m.settle(t, node.OutcomeRefused, why)
		return
	}
	t.stage = starting
	if w.Token {
		m.group.holders[t.token] = t
	}
	part := w.Use * (0.8 + 0.4*m.rng.Float64())
	t.use = [2]float64{min(1, part) * t.cores, min(1, part*1.3) * t.memory}
	m.asked = [2]float64{m.asked[0] + t.cores, m.asked[1] + t.memory}
	m.order = append(m.order, t)
	m.starts()
}

func (m *Machine) full(t *task) int {
	switch {
	case m.asked[0]+t.cores > m.Cores*m.CoresLimit:
		return 1
	case m.asked[1]+t.memory > m.Memory*m.MemoryLimit:
		return 2
	}
	return 0
}

// starts begins starts while there are places for them.
func (m *Machine) starts() {
	under := 0
	for _, t := range m.order {
		if t.stage != starting {
			continue
		}
		if under++; under > m.Starts {
			return
		}
		if t.ready == 0 {
			work := m.Work[t.job].Start
			if !m.hasProgram(t) {
				work *= m.NoProgram
			}
			if c, _ := m.inUse(); c > m.Cores {
				work *= c / m.Cores
			}
			t.ready = m.now + work/m.pace()
		}
	}
}

func (m *Machine) hasProgram(t *task) bool {
	return slices.Contains(m.programs, t.service) || slices.ContainsFunc(m.order, func(o *task) bool {
		return o != t && o.service == t.service && o.stage == running
	})
}

// Flush forgets a part of the kept programs.
func (m *Machine) Flush(part float64) {
	m.programs = slices.DeleteFunc(m.programs, func(uint64) bool { return m.rng.Float64() < part })
}

func (m *Machine) inUse() (cores, memory float64) {
	cores, memory = m.Neighbour*m.Cores, m.Neighbour*m.Memory
	for _, t := range m.order {
		cores += t.use[0] * m.Pressure
		memory += t.use[1] * m.Pressure
	}
	return
}

// away ends an accepted task that has to go: one that does not run yet is handed back.
func (m *Machine) away(t *task, why int) {
	if t.stage == running {
		m.settle(t, node.OutcomeLost, why)
	} else {
		m.settle(t, node.OutcomeRefused, 4)
	}
}

// settle ends a task or a try with an outcome.
func (m *Machine) settle(t *task, outcome, why int) {
	m.drop(t)
	m.past[t.name] = memory{m.now, outcome, why}
	m.voice.Settled(t.sched, t.ticket, t.try, outcome, why, m.report())
	m.starts()
}

func (m *Machine) free(t *task) {
	if m.group.holders[t.token] == t {
		delete(m.group.holders, t.token)
	}
}
