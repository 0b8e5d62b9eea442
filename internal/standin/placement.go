package standin

import (
	"slices"

	"ravenpond/internal/proto/node"
)

// Reasons of outcomes, as indices into node.ReasonNames.
const (
	reasonNone = iota
	reasonNoCores
	reasonNoMemory
	reasonQueueFull
	reasonNotAccepting
	reasonOutOfMemory
	reasonPreempted
	reasonDrained
)

// Place queues a placement request, or rejects it.
func (m *Machine) Place(now float64, p Placement) {
	m.Advance(now)
	if m.down {
		return
	}
	t := &task{Placement: p, machine: m, receivedAt: now, deadline: now + p.Timeout}
	m.checkOverload()
	if m.down {
		return
	}
	m.tasks[p.ID] = t
	switch {
	case m.barred[p.ID], p.Epoch < m.epochs[p.epochKey()]: // recalled or claimed before it arrived, or sent by a former owner of the allocation
		m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
	case m.draining:
		m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
	case len(m.queue) >= m.QueueLimit:
		m.conclude(t, node.OutcomeRefused, reasonQueueFull)
	default:
		m.epochs[p.epochKey()] = p.Epoch
		m.enqueue(t)
	}
}

func (m *Machine) enqueue(t *task) {
	if len(m.queue) == 0 {
		m.inspectedAt = m.now + m.InspectTime/m.pace()
	}
	m.queue = append(m.queue, t)
}

// checkOverload makes a cold machine break down if it is sent far more placements than it can start.
func (m *Machine) checkOverload() {
	if !m.cold || m.now >= m.startedAt+m.WarmupDuration {
		return
	}
	m.placements = slices.DeleteFunc(m.placements, func(at float64) bool { return at <= m.now-m.OverloadWindow })
	m.placements = append(m.placements, m.now)
	capacity := m.pace() * float64(m.ConcurrentStarts) * m.OverloadWindow / (m.JobProfiles[0].StartWork * m.ProgramMissFactor)
	if len(m.placements) > m.SlowStartLimit && float64(len(m.placements)) > m.OverloadFactor*capacity {
		m.Restart(m.now, true)
		m.down = true
		m.events.OnOverload()
	}
}

// Recall refuses an attempt that does not run yet, and bars one that has not arrived.
func (m *Machine) Recall(now float64, id AttemptID) {
	m.Advance(now)
	if t := m.tasks[id]; t != nil && t.stage != running {
		m.conclude(t, node.OutcomeRefused, reasonNone)
	} else if t == nil {
		if _, ok := m.outcomes[id]; !ok {
			m.barred[id] = true
		}
	}
}

// Stop stops an attempt that runs, and refuses one that does not run yet.
func (m *Machine) Stop(now float64, id AttemptID) {
	m.Advance(now)
	switch t := m.tasks[id]; {
	case t == nil:
	case t.stage == running:
		m.conclude(t, node.OutcomeStopped, reasonNone)
	default:
		m.conclude(t, node.OutcomeRefused, reasonNone)
	}
}

// Claim reports the state or the outcome of an attempt, and bars an attempt that has not arrived.
func (m *Machine) Claim(now float64, id AttemptID) {
	m.Advance(now)
	if t := m.tasks[id]; t != nil {
		claim := node.ClaimWaiting
		if t.stage == running {
			claim = node.ClaimRunning
		}
		m.events.OnClaimed(id, claim, reasonNone)
		return
	}
	past, ok := m.outcomes[id]
	switch {
	case ok:
	case len(m.outcomes) >= maxOutcomes:
		past.outcome = node.OutcomeUnknown
	default:
		m.barred[id] = true
		past = pastOutcome{now, node.OutcomeBarred, reasonNone}
		m.outcomes[id] = past
	}
	m.events.OnClaimed(id, node.ClaimOutcome+past.outcome, past.reason)
}

// Probe queues a probe among the placement requests, so that the time until its answer shows the delay of the queue.
func (m *Machine) Probe(now float64, scheduler string, seq uint64) {
	m.Advance(now)
	m.enqueue(&task{Placement: Placement{ID: AttemptID{Scheduler: scheduler}}, machine: m, isProbe: true, probeSeq: seq})
}

// Held returns all tasks that the machine holds for a scheduler: those accepted, in order of acceptance, then those queued, in order of arrival.
func (m *Machine) Held(now float64, scheduler string) (held []HeldTask) {
	m.Advance(now)
	for _, tasks := range [][]*task{m.accepted, m.queue} {
		for _, t := range tasks {
			if t.ID.Scheduler == scheduler && !t.isProbe {
				held = append(held, HeldTask{
					ID: t.ID, Running: t.stage == running, Job: t.Job, Tenant: t.Tenant, Service: t.Service, Token: t.Token,
					Cores: t.Cores, Memory: t.Memory,
				})
			}
		}
	}
	return held
}
