package month

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

// arrival hands a process's word to a node's machine.
type arrival struct {
	s *spot
	p *proc
}

func (a arrival) OnOffer(ticket uint64, try uint8, epoch uint32, _, timeout float64, job, tenant int, service, token uint64,
	cores, memory float64,
) error {
	a.s.late("offer", ticket)
	a.s.m.Place(a.s.w.now, a.p.name(), ticket, try, epoch, timeout, job, tenant, service, token, cores, memory)
	return nil
}

func (a arrival) OnRecall(t uint64, n uint8) error {
	a.s.m.Recall(a.s.w.now, a.p.name(), t, n)
	return nil
}

func (a arrival) OnStop(t uint64, n uint8) error { a.s.m.Stop(a.s.w.now, a.p.name(), t, n); return nil }

func (a arrival) OnClaim(t uint64, n uint8) error {
	a.s.m.Claim(a.s.w.now, a.p.name(), t, n)
	return nil
}
func (a arrival) OnProbe(seq uint64) error { a.s.m.Probe(a.s.w.now, a.p.name(), seq); return nil }
func (a arrival) OnPing(float64) error     { return nil }
func (a arrival) OnResync() error          { return nil }
func (a arrival) OnBye(string) error       { return nil }

// say carries a node's word to a process, encoded.
func (s *spot) say(sched string, b []byte) {
	i, _ := strconv.Atoi(sched)
	p := s.w.procs[i]
	life, own := s.life, p.life
	s.w.wire(func() {
		if !p.down && s.life == life && p.life == own && !s.lost {
			p.hear(s, b)
			p.next = s.w.now
		}
	})
}

// OnStarted and the others make a node its machine's voice.
func (s *spot) OnStarted(sched string, ticket uint64, try uint8, took float64) {
	s.say(sched, node.AppendStarted(nil, ticket, try, took))
}

func (s *spot) OnConcluded(sched string, ticket uint64, try uint8, outcome, reason int, report []float64) {
	s.say(sched, node.AppendOutcome(nil, ticket, try, outcome, reason, report))
}
func (s *spot) OnNote(string, uint64, uint8, int, float64) {}
func (s *spot) OnReport(sched string, seq uint64, report []float64) {
	s.say(sched, node.AppendReport(nil, seq, report))
}

func (s *spot) OnClaimed(sched string, ticket uint64, try uint8, claim, reason int) {
	s.say(sched, node.AppendClaimAnswer(nil, ticket, try, claim, reason))
}

func (s *spot) OnRun(sched string, ticket uint64, try uint8) {
	s.w.rep.Starts++
	s.w.note("ran %s %x.%d at %d", sched, ticket, try, s.id)
	if i, _ := strconv.Atoi(sched); s.w.now > s.w.procs[i].blind { // else nobody could have called it back
		s.late("start", ticket)
	}
}
func (s *spot) OnOverload() {}

// reply hands a node's word to a process's engine.
type reply struct {
	p *proc
	s *spot
}

func (r reply) OnStarted(t uint64, n uint8, took float64) error {
	return r.p.eng.OnStarted(r.p.clock(), r.s.id, t, n, took)
}

func (r reply) OnOutcome(t uint64, n uint8, outcome, reason int, report []float64) error {
	return r.p.eng.OnOutcome(r.p.clock(), r.s.id, t, n, node.Verdicts[outcome], logic.Reason(reason), report)
}
func (r reply) OnNote(uint64, uint8, int, float64) error { return nil }
func (r reply) OnReport(seq uint64, report []float64) error {
	return r.p.eng.OnProbeReport(r.p.clock(), r.s.id, seq, report)
}

func (r reply) OnClaimAnswer(t uint64, n uint8, claim, reason int) error {
	if claim < node.ClaimOutcome {
		r.p.eng.OnClaimHeld(r.p.clock(), r.s.id, t, n, claim == node.ClaimRunning)
	} else {
		r.p.eng.OnClaimOutcome(r.p.clock(), r.s.id, t, n, node.Verdicts[claim-node.ClaimOutcome], logic.Reason(reason))
	}
	return nil
}

func (r reply) OnHeld(t uint64, n uint8, state, job, tenant int, service, token uint64, cores, memory float64) error {
	return r.p.eng.OnHeld(r.p.clock(), r.s.id, t, n, state == 1, job, tenant, service, token, cores, memory)
}
func (r reply) OnHeldAll() error   { r.p.eng.OnHeldAll(r.p.clock(), r.s.id); return nil }
func (r reply) OnPong() error      { return nil }
func (r reply) OnBye(string) error { return nil }

// memory is a store that outlives its process, as the one on disk does.
type memory struct {
	cal   *calendar.Calendar
	begun []maintenancestore.Drain
}

func (m *memory) Calendar() (*calendar.Calendar, error) { return m.cal, nil }

func (m *memory) find(window string, nominal time.Time) int {
	return slices.IndexFunc(m.begun, func(b maintenancestore.Drain) bool {
		return b.Verdict.Window == window && b.Verdict.ScheduledStart.Equal(nominal)
	})
}

func (m *memory) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if i := m.find(v.Window, v.ScheduledStart); i >= 0 {
		return m.begun[i], false, nil
	}
	b := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	m.begun = append(m.begun, b)
	return b, true, nil
}

func (m *memory) AdvanceDrain(window string, nominal time.Time, stage maintenancestore.Stage, now time.Time) error {
	i := m.find(window, nominal)
	if i < 0 {
		return errors.New("never begun")
	}
	if stage > m.begun[i].Stage {
		m.begun[i].Stage, m.begun[i].ReachedAt[stage] = stage, now
	}
	return nil
}

func (m *memory) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, b := range m.begun {
		if b.Stage < maintenancestore.Closed {
			open = append(open, b)
		}
	}
	return open, nil
}

func (m *memory) DeleteClosed(time.Time) error { return nil }
