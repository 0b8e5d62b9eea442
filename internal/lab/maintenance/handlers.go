package maintenance

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
	"ravenpond/internal/state/maintenancestore"
	"ravenpond/logic"
)

// nodeHandler hands a process's word to a node's machine.
type nodeHandler struct {
	node    *simNode
	process *process
}

func (a nodeHandler) id(ticket uint64, attempt uint8) standin.AttemptID {
	return standin.AttemptID{Scheduler: a.process.name(), Ticket: ticket, Attempt: attempt}
}

func (a nodeHandler) OnOffer(ticket uint64, try uint8, epoch uint32, _, timeout float64, job, tenant int, service, token uint64,
	cores, memory float64,
) error {
	a.node.checkPlacement("offer", ticket)
	a.node.machine.Place(a.node.sim.now, standin.Placement{
		ID: a.id(ticket, try), Epoch: epoch, Timeout: timeout, Job: job, Tenant: tenant, Service: service, Token: token, Cores: cores, Memory: memory,
	})
	return nil
}

func (a nodeHandler) OnRecall(t uint64, n uint8) error {
	a.node.machine.Recall(a.node.sim.now, a.id(t, n))
	return nil
}

func (a nodeHandler) OnStop(t uint64, n uint8) error {
	a.node.machine.Stop(a.node.sim.now, a.id(t, n))
	return nil
}

func (a nodeHandler) OnClaim(t uint64, n uint8) error {
	a.node.machine.Claim(a.node.sim.now, a.id(t, n))
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

// OnStarted implements standin.EventHandler.
func (s *simNode) OnStarted(id standin.AttemptID, took float64) {
	s.send(id.Scheduler, node.AppendStarted(nil, id.Ticket, id.Attempt, took))
}

// OnConcluded implements standin.EventHandler.
func (s *simNode) OnConcluded(id standin.AttemptID, c standin.Conclusion) {
	s.send(id.Scheduler, node.AppendOutcome(nil, id.Ticket, id.Attempt, c.Outcome, c.Reason, c.Report))
}

// OnNote implements standin.EventHandler: schedulers here don't learn from notes.
func (s *simNode) OnNote(standin.AttemptID, int, float64) {}

// OnReport implements standin.EventHandler.
func (s *simNode) OnReport(scheduler string, seq uint64, report []float64) {
	s.send(scheduler, node.AppendReport(nil, seq, report))
}

// OnClaimed implements standin.EventHandler.
func (s *simNode) OnClaimed(id standin.AttemptID, claim, reason int) {
	s.send(id.Scheduler, node.AppendClaimAnswer(nil, id.Ticket, id.Attempt, claim, reason))
}

// OnRun implements standin.EventHandler. A start at a node that is out counts unless its process could not have recalled the attempt.
func (s *simNode) OnRun(id standin.AttemptID) {
	s.sim.report.Starts++
	s.sim.tracef("ran %s %x.%d at %d", id.Scheduler, id.Ticket, id.Attempt, s.id)
	if i, _ := strconv.Atoi(id.Scheduler); s.sim.now > s.sim.processes[i].unresponsiveUntil {
		s.checkPlacement("start", id.Ticket)
	}
}

// OnOverload implements standin.EventHandler: nodes here are never overloaded.
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
