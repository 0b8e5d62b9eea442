package standin

import (
	"slices"

	"ravenpond/internal/proto/node"
)

// Offer takes an offer into the line.
func (m *Machine) Offer(now float64, sched string, ticket uint64, try uint8, epoch uint32, timeout float64,
	job, tenant int, service, token uint64, cores, memory float64,
) {
	m.Tick(now)
	if m.down {
		return
	}
	n := name{sched, ticket, try}
	t := &task{
		name: n, m: m, job: job, tenant: tenant, service: service, token: token, cores: cores, memory: memory,
		epoch: epoch, came: now, until: now + timeout,
	}
	m.overdriven()
	if m.down {
		return
	}
	m.tasks[n] = t
	switch {
	case m.bars[n], epoch < m.epochs[epochOf(t)]: // given up before it came, or of an owner that lost it
		m.settle(t, node.OutcomeRefused, 4)
	case m.draining:
		m.settle(t, node.OutcomeRefused, 4)
	case len(m.line) >= m.Line:
		m.settle(t, node.OutcomeRefused, 3)
	default:
		m.epochs[epochOf(t)] = epoch
		m.enter(t)
	}
}

func (m *Machine) enter(t *task) {
	if len(m.line) == 0 {
		m.lookDone = m.now + m.Look/m.pace()
	}
	m.line = append(m.line, t)
}

// overdriven makes a cold machine fall that is sent far more than it can start.
func (m *Machine) overdriven() {
	if !m.cold || m.now >= m.born+m.ColdFor {
		return
	}
	m.offers = slices.DeleteFunc(m.offers, func(at float64) bool { return at <= m.now-m.FallFor })
	m.offers = append(m.offers, m.now)
	can := m.pace() * float64(m.Starts) * m.FallFor / (m.Work[0].Start * m.NoProgram)
	if len(m.offers) > m.Bears && float64(len(m.offers)) > m.Fall*can {
		m.Restart(m.now, true)
		m.down = true
		m.voice.Fell()
	}
}

// Recall hands back what does not run yet.
func (m *Machine) Recall(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	n := name{sched, ticket, try}
	if t := m.tasks[n]; t != nil && t.stage != running {
		m.settle(t, node.OutcomeRefused, 0)
	} else if t == nil {
		if _, ok := m.past[n]; !ok { // not seen yet: it will be turned away
			m.bars[n] = true
		}
	}
}

// Stop ends what runs.
func (m *Machine) Stop(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	switch t := m.tasks[name{sched, ticket, try}]; {
	case t == nil:
	case t.stage == running:
		m.settle(t, node.OutcomeStopped, 0)
	default:
		m.settle(t, node.OutcomeRefused, 0)
	}
}

// Claim tells what became of a try, and bars one never seen.
func (m *Machine) Claim(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	n := name{sched, ticket, try}
	if t := m.tasks[n]; t != nil {
		claim := node.ClaimWaiting
		if t.stage == running {
			claim = node.ClaimRunning
		}
		m.voice.Claimed(sched, ticket, try, claim, 0)
		return
	}
	p, ok := m.past[n]
	switch {
	case ok:
	case len(m.past) >= rememberMost:
		p.outcome = node.OutcomeUnknown
	default:
		m.bars[n] = true
		p = memory{now, node.OutcomeBarred, 0}
		m.past[n] = p
	}
	m.voice.Claimed(sched, ticket, try, node.ClaimOutcome+p.outcome, p.reason)
}

// Probe puts a probe into the line of offers.
func (m *Machine) Probe(now float64, sched string, seq uint64) {
	m.Tick(now)
	m.enter(&task{name: name{sched: sched}, m: m, isProbe: true, probe: seq})
}

// Held calls for each thing held for a scheduler, in order of coming.
func (m *Machine) Held(now float64, sched string, each func(ticket uint64, try uint8, runs bool, job, tenant int,
	service, token uint64, cores, memory float64),
) {
	m.Tick(now)
	for _, all := range [][]*task{m.order, m.line} {
		for _, t := range all {
			if t.sched == sched && !t.isProbe {
				each(t.ticket, t.try, t.stage == running, t.job, t.tenant, t.service, t.token, t.cores, t.memory)
			}
		}
	}
}
