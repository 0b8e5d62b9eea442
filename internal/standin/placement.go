package standin

import (
	"slices"

	"ravenpond/internal/proto/node"
)

// Place takes an offer into the line.
func (m *Machine) Place(now float64, sched string, ticket uint64, try uint8, epoch uint32, timeout float64,
	job, tenant int, service, token uint64, cores, memory float64,
) {
	m.Advance(now)
	if m.down {
		return
	}
	n := attemptID{sched, ticket, try}
	t := &task{
		attemptID: n, machine: m, job: job, tenant: tenant, service: service, token: token, cores: cores, memory: memory,
		epoch: epoch, receivedAt: now, deadline: now + timeout,
	}
	m.checkOverload()
	if m.down {
		return
	}
	m.tasks[n] = t
	switch {
	case m.barred[n], epoch < m.epochs[epochKeyOf(t)]: // given up before it came, or of an owner that lost it
		m.conclude(t, node.OutcomeRefused, 4)
	case m.draining:
		m.conclude(t, node.OutcomeRefused, 4)
	case len(m.queue) >= m.QueueLimit:
		m.conclude(t, node.OutcomeRefused, 3)
	default:
		m.epochs[epochKeyOf(t)] = epoch
		m.enqueue(t)
	}
}

func (m *Machine) enqueue(t *task) {
	if len(m.queue) == 0 {
		m.inspectedAt = m.now + m.InspectTime/m.pace()
	}
	m.queue = append(m.queue, t)
}

// checkOverload makes a cold machine fall that is sent far more than it can start.
func (m *Machine) checkOverload() {
	if !m.cold || m.now >= m.startedAt+m.WarmupDuration {
		return
	}
	m.placements = slices.DeleteFunc(m.placements, func(at float64) bool { return at <= m.now-m.OverloadWindow })
	m.placements = append(m.placements, m.now)
	can := m.pace() * float64(m.ConcurrentStarts) * m.OverloadWindow / (m.JobProfiles[0].StartWork * m.ProgramMissFactor)
	if len(m.placements) > m.SlowStartLimit && float64(len(m.placements)) > m.OverloadFactor*can {
		m.Restart(m.now, true)
		m.down = true
		m.events.OnOverload()
	}
}

// Recall hands back what does not run yet.
func (m *Machine) Recall(now float64, sched string, ticket uint64, try uint8) {
	m.Advance(now)
	n := attemptID{sched, ticket, try}
	if t := m.tasks[n]; t != nil && t.stage != running {
		m.conclude(t, node.OutcomeRefused, 0)
	} else if t == nil {
		if _, ok := m.outcomes[n]; !ok { // not seen yet: it will be turned away
			m.barred[n] = true
		}
	}
}

// Stop ends what runs.
func (m *Machine) Stop(now float64, sched string, ticket uint64, try uint8) {
	m.Advance(now)
	switch t := m.tasks[attemptID{sched, ticket, try}]; {
	case t == nil:
	case t.stage == running:
		m.conclude(t, node.OutcomeStopped, 0)
	default:
		m.conclude(t, node.OutcomeRefused, 0)
	}
}

// Claim tells what became of a try, and bars one never seen.
func (m *Machine) Claim(now float64, sched string, ticket uint64, try uint8) {
	m.Advance(now)
	n := attemptID{sched, ticket, try}
	if t := m.tasks[n]; t != nil {
		claim := node.ClaimWaiting
		if t.stage == running {
			claim = node.ClaimRunning
		}
		m.events.OnClaimed(sched, ticket, try, claim, 0)
		return
	}
	p, ok := m.outcomes[n]
	switch {
	case ok:
	case len(m.outcomes) >= maxOutcomes:
		p.outcome = node.OutcomeUnknown
	default:
		m.barred[n] = true
		p = pastOutcome{now, node.OutcomeBarred, 0}
		m.outcomes[n] = p
	}
	m.events.OnClaimed(sched, ticket, try, node.ClaimOutcome+p.outcome, p.reason)
}

// Probe puts a probe into the line of offers.
func (m *Machine) Probe(now float64, sched string, seq uint64) {
	m.Advance(now)
	m.enqueue(&task{attemptID: attemptID{scheduler: sched}, machine: m, isProbe: true, probeSeq: seq})
}

// EachHeld calls for each thing held for a scheduler, in order of coming.
func (m *Machine) EachHeld(now float64, sched string, each func(ticket uint64, try uint8, runs bool, job, tenant int,
	service, token uint64, cores, memory float64),
) {
	m.Advance(now)
	for _, all := range [][]*task{m.accepted, m.queue} {
		for _, t := range all {
			if t.scheduler == sched && !t.isProbe {
				each(t.ticket, t.attempt, t.stage == running, t.job, t.tenant, t.service, t.token, t.cores, t.memory)
			}
		}
	}
}
