package standin

import (
	"math"
	"slices"

	"ravenpond/internal/proto/node"
)

// Advance moves time.
func (m *Machine) Advance(now float64) {
	for {
		at, t := m.nextCompletion()
		if t == nil || at > now || m.Hung {
			break
		}
		m.now = max(m.now, at)
		m.complete(t)
	}
	m.now = now
	if m.Hung {
		return
	}
	if m.evicting && len(m.accepted) > 0 && now >= m.nextEviction {
		m.nextEviction = now + 150
		m.evict(m.accepted[0], 7)
	}
	if now-m.lastUseNote >= 1000 {
		m.lastUseNote = now
		m.maintain()
	}
}

// NextEvent is when Tick has something to do.
func (m *Machine) NextEvent() float64 {
	at, t := m.nextCompletion()
	if t == nil || m.Hung {
		at = math.Inf(1)
	}
	at = min(at, m.lastUseNote+1000)
	if m.evicting && len(m.accepted) > 0 {
		at = min(at, m.nextEviction)
	}
	return at
}

// nextCompletion is the next thing that gets done: a look, a start, an end.
func (m *Machine) nextCompletion() (float64, *task) {
	at, next := math.Inf(1), (*task)(nil)
	if len(m.queue) > 0 {
		at, next = m.inspectedAt, m.queue[0]
	}
	for _, t := range m.accepted {
		if t.stage == running && t.deadline < at {
			at, next = t.deadline, t
		} else if t.stage == starting && t.readyAt > 0 && t.readyAt < at {
			at, next = t.readyAt, t
		}
	}
	return at, next
}

func (m *Machine) complete(t *task) {
	switch t.stage {
	case queued:
		m.queue = m.queue[1:]
		if len(m.queue) > 0 {
			m.inspectedAt = m.now + m.InspectTime/m.pace()
		}
		if t.isProbe {
			m.events.OnReport(t.scheduler, t.probeSeq, m.report())
		} else {
			m.inspect(t)
		}
	case starting:
		if m.now > t.deadline {
			m.conclude(t, node.OutcomeRefused, 4)
			return
		}
		if m.FailingJob == t.job && m.rng.Float64() < m.FailingFraction {
			m.failStart(t)
			return
		}
		t.stage = running
		took := m.now - t.receivedAt
		life := m.JobProfiles[t.job].MeanRuntime * (0.25 + 1.5*m.rng.Float64())
		t.deadline = m.now + life
		m.events.OnRun(t.scheduler, t.ticket, t.attempt)
		m.events.OnStarted(t.scheduler, t.ticket, t.attempt, took)
		m.beginStarts()
	case running:
		m.conclude(t, node.OutcomeEnded, 0)
	}
}

// failStart lets a try of the ailing job type fail after it may have had an effect.
func (m *Machine) failStart(t *task) {
	m.events.OnRun(t.scheduler, t.ticket, t.attempt)
	if m.FailSilently {
		m.remove(t)
		m.outcomes[t.attemptID] = pastOutcome{m.now, node.OutcomeUnknown, 0}
	} else {
		m.conclude(t, node.OutcomeErrored, 0)
	}
	m.beginStarts()
}

func (m *Machine) inspect(t *task) {
	w := m.JobProfiles[t.job]
	if m.now > t.deadline {
		m.conclude(t, node.OutcomeRefused, 4)
		return
	}
	if w.Deduplicated {
		if h := m.group.holders[t.token]; h != nil && h.machine == m && h.attemptID != t.attemptID && h.stage != running {
			h.machine.conclude(h, node.OutcomeRefused, 0) // a copy that nobody waits for gives way
		} else if h != nil && h.attemptID != t.attemptID {
			m.conclude(t, node.OutcomeRefused, 4)
			return
		}
	}
	for m.Preempts && m.shortage(t) > 0 {
		i := slices.IndexFunc(m.accepted, func(o *task) bool { return m.JobProfiles[o.job].Priority < w.Priority })
		if i < 0 {
			break
		}
		m.evict(m.accepted[i], 6)
	}
	if why := m.shortage(t); why > 0 {
		m.conclude(t, node.OutcomeRefused, why)
		return
	}
	t.stage = starting
	if w.Deduplicated {
		m.group.holders[t.token] = t
	}
	part := w.MeanUse * (0.8 + 0.4*m.rng.Float64())
	t.use = [2]float64{min(1, part) * t.cores, min(1, part*1.3) * t.memory}
	m.reserved = [2]float64{m.reserved[0] + t.cores, m.reserved[1] + t.memory}
	m.accepted = append(m.accepted, t)
	m.beginStarts()
}

func (m *Machine) shortage(t *task) int {
	switch {
	case m.reserved[0]+t.cores > m.Cores*m.CoresLimit:
		return 1
	case m.reserved[1]+t.memory > m.Memory*m.MemoryLimit:
		return 2
	}
	return 0
}

// beginStarts begins starts while there are places for them.
func (m *Machine) beginStarts() {
	under := 0
	for _, t := range m.accepted {
		if t.stage != starting {
			continue
		}
		if under++; under > m.ConcurrentStarts {
			return
		}
		if t.readyAt == 0 {
			work := m.JobProfiles[t.job].StartWork
			if !m.hasProgram(t) {
				work *= m.ProgramMissFactor
			}
			if c, _ := m.inUse(); c > m.Cores {
				work *= c / m.Cores
			}
			t.readyAt = m.now + work/m.pace()
		}
	}
}

func (m *Machine) hasProgram(t *task) bool {
	return slices.Contains(m.programs, t.service) || slices.ContainsFunc(m.accepted, func(o *task) bool {
		return o != t && o.service == t.service && o.stage == running
	})
}

// EvictPrograms forgets a part of the kept programs.
func (m *Machine) EvictPrograms(part float64) {
	m.programs = slices.DeleteFunc(m.programs, func(uint64) bool { return m.rng.Float64() < part })
}

func (m *Machine) inUse() (cores, memory float64) {
	cores, memory = m.ForeignUse*m.Cores, m.ForeignUse*m.Memory
	for _, t := range m.accepted {
		cores += t.use[0] * m.UseFactor
		memory += t.use[1] * m.UseFactor
	}
	return
}

// evict ends an accepted task that has to go: one that does not run yet is handed back.
func (m *Machine) evict(t *task, why int) {
	if t.stage == running {
		m.conclude(t, node.OutcomeLost, why)
	} else {
		m.conclude(t, node.OutcomeRefused, 4)
	}
}

// conclude ends a task or a try with an outcome.
func (m *Machine) conclude(t *task, outcome, why int) {
	m.remove(t)
	m.outcomes[t.attemptID] = pastOutcome{m.now, outcome, why}
	m.events.OnConcluded(t.scheduler, t.ticket, t.attempt, outcome, why, m.report())
	m.beginStarts()
}

func (m *Machine) releaseToken(t *task) {
	if m.group.holders[t.token] == t {
		delete(m.group.holders, t.token)
	}
}
