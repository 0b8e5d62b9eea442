package maintenance

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
	"ravenpond/internal/state/maintenancestore"
	"ravenpond/logic"
)

// nodeHandler passes the messages of a process to a node's machine.
type nodeHandler struct {
	node    *simNode
	process *process
}

// id converts the ID of an attempt of the process to that of the machine.
func (a nodeHandler) id(attempt node.AttemptID) standin.AttemptID {
	return standin.AttemptID{Scheduler: a.process.name(), Ticket: attempt.Ticket, Attempt: attempt.Number}
}

func (a nodeHandler) OnOffer(o node.Offer) error {
	a.node.checkPlacement("offer", o.Attempt.Ticket)
	a.node.machine.Place(a.node.sim.now, standin.Placement{
		ID: a.id(o.Attempt), Epoch: o.Epoch, Timeout: o.Timeout, Job: o.Task.JobClass, Tenant: o.Task.Tenant,
		Service: o.Task.Service, Token: o.Task.Token, Cores: o.Task.Cores, Memory: o.Task.Memory,
	})
	return nil
}

func (a nodeHandler) OnRecall(attempt node.AttemptID) error {
	a.node.machine.Recall(a.node.sim.now, a.id(attempt))
	return nil
}

func (a nodeHandler) OnStop(attempt node.AttemptID) error {
	a.node.machine.Stop(a.node.sim.now, a.id(attempt))
	return nil
}

func (a nodeHandler) OnClaim(attempt node.AttemptID) error {
	a.node.machine.Claim(a.node.sim.now, a.id(attempt))
	return nil
}

func (a nodeHandler) OnProbe(seq uint64) error {
	a.node.machine.Probe(a.node.sim.now, a.process.name(), seq)
	return nil
}
func (a nodeHandler) OnPing(float64) error { return nil }
func (a nodeHandler) OnResync() error      { return nil }
func (a nodeHandler) OnBye(string) error   { return nil }

// send sends an encoded message to a process. The message is lost if the process is down or the node is lost when it arrives, or if either restarted
// meanwhile.
func (s *simNode) send(sched string, b []byte) {
	i, _ := strconv.Atoi(sched)
	p := s.sim.processes[i]
	nodeIncarnation, processIncarnation := s.incarnation, p.incarnation
	s.sim.sendDelayed(func() {
		if !p.down && s.incarnation == nodeIncarnation && p.incarnation == processIncarnation && !s.lost {
			p.receive(s, b)
			p.nextRound = s.sim.now
		}
	})
}

// attemptOf converts the machine's ID of an attempt to that of the protocol.
func attemptOf(id standin.AttemptID) node.AttemptID {
	return node.AttemptID{Ticket: id.Ticket, Number: id.Attempt}
}

// OnStarted implements standin.EventHandler.
func (s *simNode) OnStarted(id standin.AttemptID, took float64) {
	s.send(id.Scheduler, node.AppendStarted(nil, attemptOf(id), took))
}

// OnConcluded implements standin.EventHandler.
func (s *simNode) OnConcluded(id standin.AttemptID, c standin.Conclusion) {
	s.send(id.Scheduler, node.AppendOutcome(nil, node.Outcome{Attempt: attemptOf(id), Result: c.Outcome, Reason: c.Reason, Report: c.Report}))
}

// OnNote implements standin.EventHandler. Notes are not sent to the schedulers of this simulation.
func (s *simNode) OnNote(standin.AttemptID, int, float64) {}

// OnReport implements standin.EventHandler.
func (s *simNode) OnReport(scheduler string, seq uint64, report []float64) {
	s.send(scheduler, node.AppendReport(nil, seq, report))
}

// OnClaimed implements standin.EventHandler.
func (s *simNode) OnClaimed(id standin.AttemptID, claim, reason int) {
	s.send(id.Scheduler, node.AppendClaimAnswer(nil, node.ClaimAnswer{Attempt: attemptOf(id), Claim: claim, Reason: reason}))
}

// OnRun implements standin.EventHandler. A start at a node in maintenance counts as late, unless its process could not have recalled the attempt.
func (s *simNode) OnRun(id standin.AttemptID) {
	s.sim.report.Starts++
	s.sim.tracef("ran %s %x.%d at %d", id.Scheduler, id.Ticket, id.Attempt, s.id)
	if i, _ := strconv.Atoi(id.Scheduler); s.sim.now > s.sim.processes[i].unresponsiveUntil {
		s.checkPlacement("start", id.Ticket)
	}
}

// OnOverload implements standin.EventHandler. Nodes are never overloaded in this simulation.
func (s *simNode) OnOverload() {}

// processHandler passes the messages of a node to a process's engine.
type processHandler struct {
	process *process
	node    *simNode
}

func (r processHandler) OnStarted(id node.AttemptID, took float64) error {
	return r.process.engine.OnStarted(r.process.clock(), r.node.id, engine.AttemptID(id), took)
}

func (r processHandler) OnOutcome(o node.Outcome) error {
	return r.process.engine.OnOutcome(r.process.clock(), r.node.id, engine.Outcome{
		Attempt: engine.AttemptID(o.Attempt), Result: node.Verdicts[o.Result], Reason: logic.Reason(o.Reason), Report: o.Report,
	})
}
func (r processHandler) OnNote(node.Note) error { return nil }
func (r processHandler) OnReport(seq uint64, report []float64) error {
	return r.process.engine.OnProbeReport(r.process.clock(), r.node.id, seq, report)
}

func (r processHandler) OnClaimAnswer(a node.ClaimAnswer) error {
	id := engine.AttemptID(a.Attempt)
	if a.Claim < node.ClaimOutcome {
		r.process.engine.OnClaimHeld(r.process.clock(), r.node.id, id, a.Claim == node.ClaimRunning)
	} else {
		result := node.Verdicts[a.Claim-node.ClaimOutcome]
		r.process.engine.OnClaimOutcome(r.process.clock(), r.node.id, engine.Outcome{Attempt: id, Result: result, Reason: logic.Reason(a.Reason)})
	}
	return nil
}

func (r processHandler) OnHeld(h node.HeldTask) error {
	return r.process.engine.OnHeld(r.process.clock(), r.node.id, engine.HeldTask{
		Attempt: engine.AttemptID(h.Attempt), Running: h.State == node.StateRunning, Task: engine.Task(h.Task),
	})
}

func (r processHandler) OnHeldAll() error {
	r.process.engine.OnHeldAll(r.process.clock(), r.node.id)
	return nil
}
func (r processHandler) OnPong() error      { return nil }
func (r processHandler) OnBye(string) error { return nil }

// memoryStore is a maintenance.Store in memory. Like the store on disk, it survives restarts of its process.
type memoryStore struct {
	calendar *calendar.Calendar
	drains   []maintenancestore.Drain
}

func (m *memoryStore) Calendar() (*calendar.Calendar, error) { return m.calendar, nil }

// find returns the index of a window's drain, -1 if there is none.
func (m *memoryStore) find(window string, scheduledStart time.Time) int {
	return slices.IndexFunc(m.drains, func(b maintenancestore.Drain) bool {
		return b.Verdict.Window == window && b.Verdict.ScheduledStart.Equal(scheduledStart)
	})
}

func (m *memoryStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if i := m.find(v.Window, v.ScheduledStart); i >= 0 {
		return m.drains[i], false, nil
	}
	b := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	m.drains = append(m.drains, b)
	return b, true, nil
}

func (m *memoryStore) AdvanceDrain(window string, scheduledStart time.Time, stage maintenancestore.Stage, now time.Time) error {
	i := m.find(window, scheduledStart)
	if i < 0 {
		return errors.New("advancing a drain that was never begun")
	}
	if stage > m.drains[i].Stage {
		m.drains[i].Stage, m.drains[i].ReachedAt[stage] = stage, now
	}
	return nil
}

func (m *memoryStore) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, b := range m.drains {
		if b.Stage < maintenancestore.Closed {
			open = append(open, b)
		}
	}
	return open, nil
}

func (m *memoryStore) DeleteClosed(time.Time) error { return nil }
