package standin

import (
	"math"
	"slices"

	"ravenpond/internal/proto/node"
)

// Intervals in ms.
const (
	evictionInterval    = 150  // between two evictions during a drain
	maintenanceInterval = 1000 // between two calls of maintain, which reports use
)

// Random factors of a task.
const (
	minRuntimeFactor, runtimeFactorRange = 0.25, 1.5
	minUseFactor, useFactorRange         = 0.8, 0.4
	memoryUseFactor                      = 1.3 // tasks use a larger fraction of their memory than of their cores
)

// Advance moves the machine's time to now and processes the events that were due by then.
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
		m.nextEviction = now + evictionInterval
		m.evict(m.accepted[0], reasonDrained)
	}
	if now-m.lastMaintenance >= maintenanceInterval {
		m.lastMaintenance = now
		m.maintain()
	}
}

// NextEvent returns the time in ms at which Advance has something to do.
func (m *Machine) NextEvent() float64 {
	at, t := m.nextCompletion()
	if t == nil || m.Hung {
		at = math.Inf(1)
	}
	at = min(at, m.lastMaintenance+maintenanceInterval)
	if m.evicting && len(m.accepted) > 0 {
		at = min(at, m.nextEviction)
	}
	return at
}

// nextCompletion returns the task whose stage ends first and the time at which it ends: the inspection of the first in the queue, a start, or a
// run.
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

// complete ends the current stage of a task.
func (m *Machine) complete(t *task) {
	switch t.stage {
	case queued:
		m.queue = m.queue[1:]
		if len(m.queue) > 0 {
			m.inspectedAt = m.now + m.InspectTime/m.pace()
		}
		if t.isProbe {
			m.events.OnReport(t.ID.Scheduler, t.probeSeq, m.report())
		} else {
			m.inspect(t)
		}
	case starting:
		m.completeStart(t)
	case running:
		m.conclude(t, node.OutcomeEnded, reasonNone)
	}
}

func (m *Machine) completeStart(t *task) {
	if m.now > t.deadline {
		m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
		return
	}
	if m.FailingJob == t.Job && m.rng.Float64() < m.FailingFraction {
		m.failStart(t)
		return
	}
	t.stage = running
	took := m.now - t.receivedAt
	t.deadline = m.now + m.JobProfiles[t.Job].MeanRuntime*(minRuntimeFactor+runtimeFactorRange*m.rng.Float64())
	m.events.OnRun(t.ID)
	m.events.OnStarted(t.ID, took)
	m.beginStarts()
}

// failStart makes an attempt of the failing job class fail after it had its effect.
func (m *Machine) failStart(t *task) {
	m.events.OnRun(t.ID)
	if m.FailSilently {
		m.remove(t)
		m.outcomes[t.ID] = pastOutcome{m.now, node.OutcomeUnknown, reasonNone}
	} else {
		m.conclude(t, node.OutcomeErrored, reasonNone)
	}
	m.beginStarts()
}

// inspect accepts or rejects a placement request, and may preempt tasks of lower priority for it.
func (m *Machine) inspect(t *task) {
	profile := m.JobProfiles[t.Job]
	if m.now > t.deadline || profile.Deduplicated && m.isDuplicate(t) {
		m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
		return
	}
	for m.Preempts && m.shortage(t) != reasonNone {
		i := slices.IndexFunc(m.accepted, func(other *task) bool { return m.JobProfiles[other.Job].Priority < profile.Priority })
		if i < 0 {
			break
		}
		m.evict(m.accepted[i], reasonPreempted)
	}
	if reason := m.shortage(t); reason != reasonNone {
		m.conclude(t, node.OutcomeRefused, reason)
		return
	}
	t.stage = starting
	if profile.Deduplicated {
		m.group.holders[t.Token] = t
	}
	fraction := profile.MeanUse * (minUseFactor + useFactorRange*m.rng.Float64())
	t.use = [2]float64{min(1, fraction) * t.Cores, min(1, fraction*memoryUseFactor) * t.Memory}
	m.reserved = [2]float64{m.reserved[0] + t.Cores, m.reserved[1] + t.Memory}
	m.accepted = append(m.accepted, t)
	m.beginStarts()
}

// isDuplicate reports whether the group holds another attempt with the same idempotency key. An attempt on this machine that does not run yet is
// refused in favor of the new one, as its scheduler has abandoned it.
func (m *Machine) isDuplicate(t *task) bool {
	holder := m.group.holders[t.Token]
	if holder == nil || holder.ID == t.ID {
		return false
	}
	if holder.machine == m && holder.stage != running {
		m.conclude(holder, node.OutcomeRefused, reasonNone)
		return false
	}
	return true
}

// shortage returns the reason why the machine lacks capacity for a task, or reasonNone if it has enough.
func (m *Machine) shortage(t *task) int {
	switch {
	case m.reserved[0]+t.Cores > m.Cores*m.CoresLimit:
		return reasonNoCores
	case m.reserved[1]+t.Memory > m.Memory*m.MemoryLimit:
		return reasonNoMemory
	}
	return reasonNone
}

// beginStarts begins the start of accepted tasks while fewer than ConcurrentStarts are starting.
func (m *Machine) beginStarts() {
	startCount := 0
	for _, t := range m.accepted {
		if t.stage != starting {
			continue
		}
		if startCount++; startCount > m.ConcurrentStarts {
			return
		}
		if t.readyAt == 0 {
			t.readyAt = m.now + m.startWork(t)/m.pace()
		}
	}
}

// startWork returns the time in ms that a start takes at full pace.
func (m *Machine) startWork(t *task) float64 {
	work := m.JobProfiles[t.Job].StartWork
	if !m.hasProgram(t) {
		work *= m.ProgramMissFactor
	}
	if cores, _ := m.inUse(); cores > m.Cores {
		work *= cores / m.Cores
	}
	return work
}

func (m *Machine) hasProgram(t *task) bool {
	return slices.Contains(m.programs, t.Service) || slices.ContainsFunc(m.accepted, func(other *task) bool {
		return other != t && other.Service == t.Service && other.stage == running
	})
}

// EvictPrograms removes a random fraction of the cached programs.
func (m *Machine) EvictPrograms(fraction float64) {
	m.programs = slices.DeleteFunc(m.programs, func(uint64) bool { return m.rng.Float64() < fraction })
}

// inUse returns the cores and memory that tasks and other programs use.
func (m *Machine) inUse() (cores, memory float64) {
	cores, memory = m.ExternalUse*m.Cores, m.ExternalUse*m.Memory
	for _, t := range m.accepted {
		cores += t.use[0] * m.UseFactor
		memory += t.use[1] * m.UseFactor
	}
	return cores, memory
}

// evict ends an accepted task. One that does not run yet is refused.
func (m *Machine) evict(t *task, reason int) {
	if t.stage == running {
		m.conclude(t, node.OutcomeLost, reason)
	} else {
		m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
	}
}

// conclude ends an attempt with an outcome.
func (m *Machine) conclude(t *task, outcome, reason int) {
	m.remove(t)
	m.outcomes[t.ID] = pastOutcome{m.now, outcome, reason}
	m.events.OnConcluded(t.ID, Conclusion{Outcome: outcome, Reason: reason, Report: m.report()})
	m.beginStarts()
}

func (m *Machine) releaseToken(t *task) {
	if m.group.holders[t.Token] == t {
		delete(m.group.holders, t.Token)
	}
}
