package serve

import (
	"errors"
	"fmt"
	"slices"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// of gives the shard that a ticket belongs to; nil if its shard's life is over, an error if nobody ever made it. Under the
// desk.
func (l *link) of(ticket uint64, over bool) (*shard, error) {
	l.mu.Lock()
	early := !l.told
	sh := l.foreign[ticket]
	if over {
		delete(l.foreign, ticket)
	}
	l.mu.Unlock()
	if early {
		return nil, errHeld
	}
	if sh == nil {
		var ok bool
		if sh, ok = l.s.lives[uint32(ticket>>32)]; !ok {
			return nil, fmt.Errorf("answer for unknown try %x", ticket)
		}
	}
	if sh.fenced.Load() {
		return nil, nil
	}
	return sh, nil
}

// event hands a node's word to the shard that the ticket belongs to, before or after a handover of it but not in between: what
// came before is in the giver's inbox when it has given. A fault of the peer's ends the connection.
func (l *link) event(ticket uint64, over bool, event func(sh *shard, now float64) error) error {
	l.s.desk.Lock()
	defer l.s.desk.Unlock()
	sh, err := l.of(ticket, over)
	if sh == nil {
		return err
	}
	l.pass(sh, ticket, event)
	return nil
}

// pass hands a word to a shard; under the desk.
func (l *link) pass(sh *shard, ticket uint64, event func(sh *shard, now float64) error) {
	var hear func(sh *shard)
	hear = func(sh *shard) {
		sh.tell(func(now float64) {
			if to := sh.moved[ticket]; to != nil { // handed over while this was on its way
				hear(to)
			} else if err := event(sh, now); err != nil {
				l.end(err.Error(), false)
			}
		})
	}
	hear(sh)
}

func (l *link) OnStarted(ticket uint64, try uint8, took float64) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		return sh.eng.OnStarted(now, l.nd, ticket, try, took)
	})
}

func (l *link) OnOutcome(ticket uint64, try uint8, outcome, reason int, report []float64) error {
	if n := len(report); n != 0 && n != len(l.s.who.Site.Cluster.ReportFields) {
		return fmt.Errorf("report of %d values, expected %d", n, len(l.s.who.Site.Cluster.ReportFields))
	}
	report = slices.Clone(report)
	if l.s.who.Site.Connections == site.SharedReports && len(report) > 0 {
		l.inform(ticket, report)
	}
	s, verdict, why := l.s, node.Verdicts[outcome], logic.Reason(reason)
	s.desk.Lock()
	defer s.desk.Unlock()
	sh, err := l.of(ticket, true)
	if sh == nil {
		if a, ok := s.acts.Ended(shardownership.Try{Node: l.nd, Ticket: ticket, No: try}); ok { // its shard was fenced while it ran
			if o := s.owner(a.Owner); o != nil {
				o.over(a.Ref, verdict, why)
			}
		}
		return err
	}
	l.pass(sh, ticket, func(sh *shard, now float64) error {
		return sh.eng.OnOutcome(now, l.nd, ticket, try, verdict, why, report)
	})
	return nil
}

// inform tells a report to the shards that the answer is not for.
func (l *link) inform(ticket uint64, report []float64) {
	for _, sh := range l.t.all() {
		if uint32(ticket>>32) != sh.life {
			sh.tell(func(now float64) { sh.eng.OnSharedReport(now, l.nd, report) })
		}
	}
}

func (l *link) OnClaimAnswer(ticket uint64, try uint8, claim, reason int) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		if claim < node.ClaimOutcome {
			sh.eng.OnClaimHeld(now, l.nd, ticket, try, claim == node.ClaimRunning)
		} else {
			sh.eng.OnClaimOutcome(now, l.nd, ticket, try, node.Verdicts[claim-node.ClaimOutcome], logic.Reason(reason))
		}
		return nil
	})
}

func (l *link) OnNote(ticket uint64, try uint8, kind int, value float64) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		return sh.eng.OnNote(now, l.nd, ticket, try, logic.TaskMetric(kind), value)
	})
}

func (l *link) OnReport(seq uint64, report []float64) error {
	if len(report) != len(l.s.who.Site.Cluster.ReportFields) {
		return fmt.Errorf("report of %d values, expected %d", len(report), len(l.s.who.Site.Cluster.ReportFields))
	}
	report = slices.Clone(report)
	for _, sh := range l.t.all() {
		if sh.index == int(seq&0xff) {
			sh.tell(func(now float64) {
				if err := sh.eng.OnProbeReport(now, l.nd, seq>>8, report); err != nil {
					l.end(err.Error(), false)
				}
			})
			return nil
		}
	}
	return errors.New("report for a probe never sent")
}

// OnHeld goes to the shard whose try it is; one of a life that is over to the shard that has its service now.
func (l *link) OnHeld(ticket uint64, try uint8, state, jobType, tenant int, service, token uint64,
	cores, memory float64,
) error {
	s := l.s
	if jobType >= len(s.who.Site.JobClasses) || tenant >= len(s.who.Site.Tenants) {
		return fmt.Errorf("held try %x of unknown job type %d or tenant %d", ticket, jobType, tenant)
	}
	if l.visits() {
		if err := l.stay(); err != nil {
			return err
		}
	}
	s.desk.Lock()
	sh := s.lives[uint32(ticket>>32)]
	index := -1
	if sh != nil && !sh.fenced.Load() {
		index = sh.index
	}
	at, knows := s.acts.Home(shardownership.Name{Tenant: tenant, Token: token}, ticket, try, service, index)
	own := index >= 0 && at == index // else it was handed over, or its shard's life is over
	if !own && at >= 0 {
		sh = s.shards[at]
	}
	s.desk.Unlock()
	alone := l.t.all()
	l.mu.Lock()
	if len(l.hearing) == 0 {
		l.mu.Unlock()
		return errHeld
	}
	if old := l.foreign[ticket]; old != nil && !old.fenced.Load() {
		sh, own = old, false
	}
	if own {
		delete(l.foreign, ticket) // it was given away, but the one that got it is no more
	} else if sh != nil {
		if len(alone) == 1 { // its connections are its own: what they hold is its own too
			sh = alone[0]
		}
		l.foreign[ticket] = sh
	}
	listens := slices.Contains(l.hearing[0], sh)
	l.mu.Unlock()
	if sh == nil || !own && !listens && !l.told {
		return nil
	}
	if own && knows && !listens {
		return nil
	}
	sh.tell(func(now float64) {
		if own {
			delete(sh.moved, ticket)
		}
		err := sh.eng.OnHeld(now, l.nd, ticket, try, state == 1, jobType, tenant, service, token, cores, memory)
		if err != nil {
			l.end(err.Error(), false)
		}
	})
	return nil
}

func (l *link) OnHeldAll() error {
	if l.visits() && l.leave() {
		return nil
	}
	l.mu.Lock()
	if len(l.hearing) == 0 {
		l.mu.Unlock()
		return errHeld
	}
	who := l.hearing[0]
	l.hearing, l.told = l.hearing[1:], true
	l.mu.Unlock()
	for _, sh := range who {
		sh.tell(func(now float64) { sh.eng.OnHeldAll(now, l.nd) })
	}
	return nil
}

func (l *link) OnPong() error { return nil }

func (l *link) OnBye(why string) error { return fmt.Errorf("%w: %s", errBye, why) }
