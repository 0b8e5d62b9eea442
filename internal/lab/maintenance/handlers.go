package maintenance

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/state/maintenancestore"
	"ravenpond/logic"
)

// nodeHandler hands a process's word to a node's machine.
type nodeHandler struct {
	node    *simNode
	process *process
}

func (a nodeHandler) OnOffer(ticket uint64, try uint8, epoch uint32, _, timeout float64, job, tenant int, service, token uint64,
	cores, memory float64,
) error {
	a.node.checkPlacement("offer", ticket)
	a.node.machine.Place(a.node.sim.now, a.process.name(), ticket, try, epoch, timeout, job, tenant, service, token, cores, memory)
	return nil
}

func (a nodeHandler) OnRecall(t uint64, n uint8) error {
	a.node.machine.Recall(a.node.sim.now, a.process.name(), t, n)
	return nil
}

func (a nodeHandler) OnStop(t uint64, n uint8) error {
	a.node.machine.Stop(a.node.sim.now, a.process.name(), t, n)
	return nil
}

func (a nodeHandler) OnClaim(t uint64, n uint8) error {
	a.node.machine.Claim(a.node.sim.now, a.process.name(), t, n)
	return nil
}

func (a nodeHandler) OnProbe(seq uint64) error {
	a.node.machine.Probe(a.node.sim.now, a.process.name(), seq)
	return nil
}
func (a nodeHandler) OnPing(float64) error { return nil }
func (a nodeHandler) OnResync() error      { return nil }
func (a nodeHandler) OnBye(string) error   { return nil }

// send carries a node's word to a process, encoded.
func (s *simNode) send(sched string, b []byte) {
	i, _ := strconv.Atoi(sched)
	p := s.sim.processes[i]
	life, own := s.incarnation, p.incarnation
	s.sim.sendDelayed(func() {
		if !p.down && s.incarnation == life && p.incarnation == own && !s.lost {
			p.receive(s, b)
			p.nextRound = s.sim.now
		}
	})
}

// OnStarted and the others make a node its machine's voice.
func (s *simNode) OnStarted(sched string, ticket uint64, try uint8, took float64) {
	s.send(sched, node.AppendStarted(nil, ticket, try, took))
}

func (s *simNode) OnConcluded(sched string, ticket uint64, try uint8, outcome, reason int, report []float64) {
	s.send(sched, node.AppendOutcome(nil, ticket, try, outcome, reason, report))
}
func (s *simNode) OnNote(string, uint64, uint8, int, float64) {}
func (s *simNode) OnReport(sched string, seq uint64, report []float64) {
	s.send(sched, node.AppendReport(nil, seq, report))
}

func (s *simNode) OnClaimed(sched string, ticket uint64, try uint8, claim, reason int) {
	s.send(sched, node.AppendClaimAnswer(nil, ticket, try, claim, reason))
}

func (s *simNode) OnRun(sched string, ticket uint64, try uint8) {
	s.sim.report.Starts++
	s.sim.tracef("ran %s %x.%d at %d", sched, ticket, try, s.id)
	if i, _ := strconv.Atoi(sched); s.sim.now > s.sim.processes[i].unresponsiveUntil { // else nobody could have called it back
		s.checkPlacement("start", ticket)
	}
}
func (s *simNode) OnOverload() {}

// processHandler hands a node's word to a process's engine.
type processHandler struct {
	process *process
	node    *simNode
}

func (r processHandler) OnStarted(t uint64, n uint8, took float64) error {
	return r.process.engine.OnStarted(r.process.clock(), r.node.id, t, n, took)
}

func (r processHandler) OnOutcome(t uint64, n uint8, outcome, reason int, report []float64) error {
	return r.process.engine.OnOutcome(r.process.clock(), r.node.id, t, n, node.Verdicts[outcome], logic.Reason(reason), report)
}
func (r processHandler) OnNote(uint64, uint8, int, float64) error { return nil }
func (r processHandler) OnReport(seq uint64, report []float64) error {
	return r.process.engine.OnProbeReport(r.process.clock(), r.node.id, seq, report)
}

func (r processHandler) OnClaimAnswer(t uint64, n uint8, claim, reason int) error {
	if claim < node.ClaimOutcome {
		r.process.engine.OnClaimHeld(r.process.clock(), r.node.id, t, n, claim == node.ClaimRunning)
	} else {
		r.process.engine.OnClaimOutcome(r.process.clock(), r.node.id, t, n, node.Verdicts[claim-node.ClaimOutcome], logic.Reason(reason))
	}
	return nil
}

func (r processHandler) OnHeld(t uint64, n uint8, state, job, tenant int, service, token uint64, cores, memory float64) error {
	return r.process.engine.OnHeld(r.process.clock(), r.node.id, t, n, state == 1, job, tenant, service, token, cores, memory)
}

func (r processHandler) OnHeldAll() error {
	r.process.engine.OnHeldAll(r.process.clock(), r.node.id)
	return nil
}
func (r processHandler) OnPong() error      { return nil }
func (r processHandler) OnBye(string) error { return nil }

// memoryStore is a store that outlives its process, as the one on disk does.
type memoryStore struct {
	calendar *calendar.Calendar
	begun    []maintenancestore.Drain
}

func (m *memoryStore) Calendar() (*calendar.Calendar, error) { return m.calendar, nil }

func (m *memoryStore) find(window string, nominal time.Time) int {
	return slices.IndexFunc(m.begun, func(b maintenancestore.Drain) bool {
		return b.Verdict.Window == window && b.Verdict.ScheduledStart.Equal(nominal)
	})
}

func (m *memoryStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if i := m.find(v.Window, v.ScheduledStart); i >= 0 {
		return m.begun[i], false, nil
	}
	b := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	m.begun = append(m.begun, b)
	return b, true, nil
}

func (m *memoryStore) AdvanceDrain(window string, nominal time.Time, stage maintenancestore.Stage, now time.Time) error {
	i := m.find(window, nominal)
	if i < 0 {
		return errors.New("never begun")
	}
	if stage > m.begun[i].Stage {
		m.begun[i].Stage, m.begun[i].ReachedAt[stage] = stage, now
	}
	return nil
}

func (m *memoryStore) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, b := range m.begun {
		if b.Stage < maintenancestore.Closed {
			open = append(open, b)
		}
	}
	return open, nil
}

func (m *memoryStore) DeleteClosed(time.Time) error { return nil }
