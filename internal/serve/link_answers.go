package serve

import (
	"errors"
	"fmt"
	"slices"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// shardOf gives the shard that a ticket belongs to; nil if its shard's life is over, an error if nobody ever made it. Under the
// desk.
func (l *nodeLink) shardOf(ticket uint64, final bool) (*shard, error) {
	l.mu.Lock()
	beforeInventory := !l.inventoryReceived
	sh := l.reassigned[ticket]
	if final {
		delete(l.reassigned, ticket)
	}
	l.mu.Unlock()
	if beforeInventory {
		return nil, errInventoryOrder
	}
	if sh == nil {
		var ok bool
		if sh, ok = l.server.incarnations[uint32(ticket>>32)]; !ok {
			return nil, fmt.Errorf("answer for unknown try %x", ticket)
		}
	}
	if sh.fenced.Load() {
		return nil, nil
	}
	return sh, nil
}

// dispatch hands a node's word to the shard that the ticket belongs to, before or after a handover of it but not in between: what
// came before is in the giver's inbox when it has given. A fault of the peer's ends the connection.
func (l *nodeLink) dispatch(ticket uint64, final bool, handle func(sh *shard, now float64) error) error {
	l.server.routerMu.Lock()
	defer l.server.routerMu.Unlock()
	sh, err := l.shardOf(ticket, final)
	if sh == nil {
		return err
	}
	l.post(sh, ticket, handle)
	return nil
}

// post hands a word to a shard; under the desk.
func (l *nodeLink) post(sh *shard, ticket uint64, handle func(sh *shard, now float64) error) {
	var deliver func(sh *shard)
	deliver = func(sh *shard) {
		sh.post(func(now float64) {
			if next := sh.handedOver[ticket]; next != nil { // handed over while this was on its way
				deliver(next)
			} else if err := handle(sh, now); err != nil {
				l.disconnect(err.Error(), false)
			}
		})
	}
	deliver(sh)
}

func (l *nodeLink) OnStarted(ticket uint64, attempt uint8, startTime float64) error {
	return l.dispatch(ticket, false, func(sh *shard, now float64) error {
		return sh.engine.OnStarted(now, l.node, ticket, attempt, startTime)
	})
}

func (l *nodeLink) OnOutcome(ticket uint64, attempt uint8, outcome, reasonCode int, report []float64) error {
	if values := len(report); values != 0 && values != len(l.server.config.Site.Cluster.ReportFields) {
		return fmt.Errorf("report of %d values, expected %d", values, len(l.server.config.Site.Cluster.ReportFields))
	}
	report = slices.Clone(report)
	if l.server.config.Site.Connections == site.SharedReports && len(report) > 0 {
		l.broadcastReport(ticket, report)
	}
	s, verdict, reason := l.server, node.Verdicts[outcome], logic.Reason(reasonCode)
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	sh, err := l.shardOf(ticket, true)
	if sh == nil {
		if ask, ok := s.router.OnLostEnded(shardownership.Attempt{Node: l.node, Ticket: ticket, Number: attempt}); ok { // its shard was fenced while it ran
			if c := s.clientByID(ask.Client); c != nil {
				c.sendEnd(ask.Ref, verdict, reason)
			}
		}
		return err
	}
	l.post(sh, ticket, func(sh *shard, now float64) error {
		return sh.engine.OnOutcome(now, l.node, ticket, attempt, verdict, reason, report)
	})
	return nil
}

// broadcastReport tells a report to the shards that the answer is not for.
func (l *nodeLink) broadcastReport(ticket uint64, report []float64) {
	for _, sh := range l.connections.attachedShards() {
		if uint32(ticket>>32) != sh.incarnation {
			sh.post(func(now float64) { sh.engine.OnSharedReport(now, l.node, report) })
		}
	}
}

func (l *nodeLink) OnClaimAnswer(ticket uint64, attempt uint8, claim, reason int) error {
	return l.dispatch(ticket, false, func(sh *shard, now float64) error {
		if claim < node.ClaimOutcome {
			sh.engine.OnClaimHeld(now, l.node, ticket, attempt, claim == node.ClaimRunning)
		} else {
			sh.engine.OnClaimOutcome(now, l.node, ticket, attempt, node.Verdicts[claim-node.ClaimOutcome], logic.Reason(reason))
		}
		return nil
	})
}

func (l *nodeLink) OnNote(ticket uint64, attempt uint8, kind int, value float64) error {
	return l.dispatch(ticket, false, func(sh *shard, now float64) error {
		return sh.engine.OnNote(now, l.node, ticket, attempt, logic.TaskMetric(kind), value)
	})
}

func (l *nodeLink) OnReport(seq uint64, report []float64) error {
	if len(report) != len(l.server.config.Site.Cluster.ReportFields) {
		return fmt.Errorf("report of %d values, expected %d", len(report), len(l.server.config.Site.Cluster.ReportFields))
	}
	report = slices.Clone(report)
	for _, sh := range l.connections.attachedShards() {
		if sh.index == int(seq&0xff) {
			sh.post(func(now float64) {
				if err := sh.engine.OnProbeReport(now, l.node, seq>>8, report); err != nil {
					l.disconnect(err.Error(), false)
				}
			})
			return nil
		}
	}
	return errors.New("report for a probe never sent")
}

// OnHeld goes to the shard whose try it is; one of a life that is over to the shard that has its service now.
func (l *nodeLink) OnHeld(ticket uint64, attempt uint8, state, jobType, tenant int, service, token uint64,
	cores, memory float64,
) error {
	s := l.server
	if jobType >= len(s.config.Site.JobClasses) || tenant >= len(s.config.Site.Tenants) {
		return fmt.Errorf("held try %x of unknown job type %d or tenant %d", ticket, jobType, tenant)
	}
	if l.isVisit() {
		if err := l.keepVisited(); err != nil {
			return err
		}
	}
	s.routerMu.Lock()
	sh := s.incarnations[uint32(ticket>>32)]
	index := -1
	if sh != nil && !sh.fenced.Load() {
		index = sh.index
	}
	home, known := s.router.ShardOf(shardrouter.Placed{ID: shardownership.ID{Tenant: tenant, Token: token}, Ticket: ticket, Number: attempt, Service: service, Shard: index})
	isOwn := index >= 0 && home == index // else it was handed over, or its shard's life is over
	if !isOwn && home >= 0 {
		sh = s.shards[home]
	}
	s.routerMu.Unlock()
	attached := l.connections.attachedShards()
	l.mu.Lock()
	if len(l.inventoryWaiters) == 0 {
		l.mu.Unlock()
		return errInventoryOrder
	}
	if previous := l.reassigned[ticket]; previous != nil && !previous.fenced.Load() {
		sh, isOwn = previous, false
	}
	if isOwn {
		delete(l.reassigned, ticket) // it was given away, but the one that got it is no more
	} else if sh != nil {
		if len(attached) == 1 { // its connections are its own: what they hold is its own too
			sh = attached[0]
		}
		l.reassigned[ticket] = sh
	}
	waiting := slices.Contains(l.inventoryWaiters[0], sh)
	l.mu.Unlock()
	if sh == nil || !isOwn && !waiting && !l.inventoryReceived {
		return nil
	}
	if isOwn && known && !waiting {
		return nil
	}
	sh.post(func(now float64) {
		if isOwn {
			delete(sh.handedOver, ticket)
		}
		err := sh.engine.OnHeld(now, l.node, ticket, attempt, state == 1, jobType, tenant, service, token, cores, memory)
		if err != nil {
			l.disconnect(err.Error(), false)
		}
	})
	return nil
}

func (l *nodeLink) OnHeldAll() error {
	if l.isVisit() && l.finishVisit() {
		return nil
	}
	l.mu.Lock()
	if len(l.inventoryWaiters) == 0 {
		l.mu.Unlock()
		return errInventoryOrder
	}
	waiters := l.inventoryWaiters[0]
	l.inventoryWaiters, l.inventoryReceived = l.inventoryWaiters[1:], true
	l.mu.Unlock()
	for _, sh := range waiters {
		sh.post(func(now float64) { sh.engine.OnHeldAll(now, l.node) })
	}
	return nil
}

func (l *nodeLink) OnPong() error { return nil }

func (l *nodeLink) OnBye(reason string) error { return fmt.Errorf("%w: %s", errFarewell, reason) }
