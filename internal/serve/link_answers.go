package serve

import (
	"errors"
	"fmt"
	"slices"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// The methods of nodeLink in this file take a node's messages, on the goroutine of its connection, and post them to the shard
// whose attempt they are about.

// Errors of nodes that break the protocol.
var (
	errFarewell       = errors.New("farewell")
	errInventoryOrder = errors.New("HELD after HELD-ALL, or an answer before it")
	errNoSuchProbe    = errors.New("report for a probe never sent")
)

// shardOf is the shard that a ticket belongs to: nil if its incarnation has ended, an error if no scheduler made the ticket.
// ended tells that the node has nothing of the ticket any more. The caller holds the router lock.
func (l *nodeLink) shardOf(ticket uint64, ended bool) (*shard, error) {
	l.mu.Lock()
	early := !l.inventoryReceived
	sh := l.reassigned[ticket]
	if ended {
		delete(l.reassigned, ticket)
	}
	l.mu.Unlock()
	if early {
		return nil, errInventoryOrder
	}
	if sh == nil {
		var ok bool
		if sh, ok = l.set.incarnations[uint32(ticket>>32)]; !ok {
			return nil, fmt.Errorf("answer for unknown try %x", ticket)
		}
	}
	if sh.fenced.Load() {
		return nil, nil
	}
	return sh, nil
}

// dispatch posts a message about a ticket to its shard. The router lock orders it before or after a handover of the ticket: what
// came before is in the inbox of the shard that gives it away.
func (l *nodeLink) dispatch(ticket uint64, handle func(sh *shard, now float64) error) error {
	l.set.routerMu.Lock()
	defer l.set.routerMu.Unlock()
	sh, err := l.shardOf(ticket, false)
	if sh == nil {
		return err
	}
	l.post(sh, ticket, handle)
	return nil
}

// post posts a message to a shard, and from there to the shard to which the ticket was handed over meanwhile. An error of the
// node closes the connection.
func (l *nodeLink) post(sh *shard, ticket uint64, handle func(sh *shard, now float64) error) {
	sh.post(func(now float64) {
		if to := sh.handedOver[ticket]; to != nil {
			l.post(to, ticket, handle)
		} else if err := handle(sh, now); err != nil {
			l.disconnect(err.Error(), false)
		}
	})
}

// OnStarted takes the start of a task.
func (l *nodeLink) OnStarted(id node.AttemptID, took float64) error {
	return l.dispatch(id.Ticket, func(sh *shard, now float64) error {
		return sh.engine.OnStarted(now, l.node, engine.AttemptID(id), took)
	})
}

// OnOutcome takes the end of an attempt. If its shard was fenced while the task ran, the client is notified here.
func (l *nodeLink) OnOutcome(o node.Outcome) error {
	if n, want := len(o.Report), l.reportLength(); n != 0 && n != want {
		return fmt.Errorf("report of %d values, expected %d", n, want)
	}
	outcome := engine.Outcome{
		Attempt: engine.AttemptID(o.Attempt), Result: node.Verdicts[o.Result], Reason: logic.Reason(o.Reason),
		Report: slices.Clone(o.Report),
	}
	ticket := o.Attempt.Ticket
	if l.set.config.Site.Connections == site.SharedReports && len(outcome.Report) > 0 {
		l.broadcastReport(ticket, outcome.Report)
	}
	s := l.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	sh, err := l.shardOf(ticket, true)
	if sh == nil {
		if request, ok := s.router.OnLostEnded(routerAttempt(l.node, outcome.Attempt)); ok {
			if c := s.clients.byID(request.Client); c != nil {
				c.sendEnd(request.Ref, outcome.Result, outcome.Reason)
			}
		}
		return err
	}
	l.post(sh, ticket, func(sh *shard, now float64) error {
		return sh.engine.OnOutcome(now, l.node, outcome)
	})
	return nil
}

// reportLength is how many values a load report has at this site.
func (l *nodeLink) reportLength() int { return len(l.set.config.Site.Cluster.ReportFields) }

// broadcastReport passes a load report to the shards that the outcome is not for.
func (l *nodeLink) broadcastReport(ticket uint64, report []float64) {
	for _, sh := range l.connections.attachedShards() {
		if uint32(ticket>>32) != sh.incarnation {
			sh.post(func(now float64) { sh.engine.OnSharedReport(now, l.node, report) })
		}
	}
}

// OnClaimAnswer takes the answer to a claim.
func (l *nodeLink) OnClaimAnswer(a node.ClaimAnswer) error {
	id := engine.AttemptID(a.Attempt)
	return l.dispatch(id.Ticket, func(sh *shard, now float64) error {
		if a.Claim < node.ClaimOutcome {
			sh.engine.OnClaimHeld(now, l.node, id, a.Claim == node.ClaimRunning)
		} else {
			result := node.Verdicts[a.Claim-node.ClaimOutcome]
			sh.engine.OnClaimOutcome(now, l.node, engine.Outcome{Attempt: id, Result: result, Reason: logic.Reason(a.Reason)})
		}
		return nil
	})
}

// OnNote takes something that the node observed of a running task.
func (l *nodeLink) OnNote(n node.Note) error {
	return l.dispatch(n.Attempt.Ticket, func(sh *shard, now float64) error {
		sh.engine.OnNote(now, l.node, engine.AttemptID(n.Attempt), logic.TaskMetric(n.Kind), n.Value)
		return nil
	})
}

// OnReport takes the answer to a probe. The lowest bits of its number name the shard that sent the probe.
func (l *nodeLink) OnReport(sequence uint64, report []float64) error {
	if want := l.reportLength(); len(report) != want {
		return fmt.Errorf("report of %d values, expected %d", len(report), want)
	}
	index := int(sequence & (1<<shardBits - 1))
	for _, sh := range l.connections.attachedShards() {
		if sh.index != index {
			continue
		}
		report = slices.Clone(report)
		sh.post(func(now float64) {
			if err := sh.engine.OnProbeReport(now, l.node, sequence>>shardBits, report); err != nil {
				l.disconnect(err.Error(), false)
			}
		})
		return nil
	}
	return errNoSuchProbe
}

// OnHeld takes a task that the node holds: for the shard whose attempt it is or, if that shard's incarnation has ended, for the
// shard that has its service now.
func (l *nodeLink) OnHeld(h node.HeldTask) error {
	s, t := l.set, &h.Task
	if t.JobClass >= len(s.config.Site.JobClasses) || t.Tenant >= len(s.config.Site.Tenants) {
		return fmt.Errorf("held try %x of unknown job type %d or tenant %d", h.Attempt.Ticket, t.JobClass, t.Tenant)
	}
	if l.isVisit() {
		if err := l.keepVisited(); err != nil {
			return err
		}
	}
	attached := l.connections.attachedShards()
	s.routerMu.Lock() // a handover of the task comes before this or after it
	defer s.routerMu.Unlock()
	holder, err := l.holderOf(&h, attached)
	if err != nil || holder.shard == nil {
		return err
	}
	if holder.own && holder.known && !holder.waits || !holder.own && !holder.waits && !l.inventoryReceived {
		return nil
	}
	l.postHeld(holder.shard, engine.HeldTask{
		Attempt: engine.AttemptID(h.Attempt), Running: h.State == node.StateRunning, Task: engine.Task(h.Task),
	})
	return nil
}

// postHeld posts a held task to a shard, and from there to the shard to which it was handed over meanwhile: to the one that gave it away it
// would be unknown, and be stopped as another shard's.
func (l *nodeLink) postHeld(sh *shard, held engine.HeldTask) {
	sh.post(func(now float64) {
		ticket := held.Attempt.Ticket
		if to := sh.handedOver[ticket]; to != nil && !to.fenced.Load() {
			l.postHeld(to, held)
			return
		}
		delete(sh.handedOver, ticket)
		if err := sh.engine.OnHeld(now, l.node, held); err != nil {
			l.disconnect(err.Error(), false)
		}
	})
}

// taskHolder is the shard that a held task is for.
type taskHolder struct {
	shard *shard // nil: there is none
	own   bool   // it made the attempt itself
	known bool   // the router knows that it holds the task
	waits bool   // it waits for the node to name what it holds
}

// holderOf decides which of the shards of the connection a held task is for, and remembers it for further messages about the task. The caller
// holds the router lock.
func (l *nodeLink) holderOf(h *node.HeldTask, attached []*shard) (taskHolder, error) {
	holder := l.routedHolder(h)
	ticket := h.Attempt.Ticket
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inventoryWaiters) == 0 {
		return taskHolder{}, errInventoryOrder
	}
	if other := l.reassigned[ticket]; other != nil && !other.fenced.Load() {
		holder.shard, holder.own = other, false
	}
	if holder.own {
		delete(l.reassigned, ticket) // it was handed over, but the shard that took it has ended
	} else if holder.shard != nil {
		if len(attached) == 1 { // the connection is that shard's own, and so is what the node holds
			holder.shard = attached[0]
		}
		l.reassigned[ticket] = holder.shard
	}
	holder.waits = slices.Contains(l.inventoryWaiters[0], holder.shard)
	return holder, nil
}

// routedHolder is the shard that a held task is for by the router: the one that made the attempt, unless it was handed over or that
// shard's incarnation has ended. The caller holds the router lock.
func (l *nodeLink) routedHolder(h *node.HeldTask) taskHolder {
	s, t := l.set, &h.Task
	sh := s.incarnations[uint32(h.Attempt.Ticket>>32)]
	maker := -1
	if sh != nil && !sh.fenced.Load() {
		maker = sh.index
	}
	index, known := s.router.ShardOf(shardrouter.Placed{
		ID: shardownership.ID{Tenant: t.Tenant, Token: t.Token}, Ticket: h.Attempt.Ticket, Number: h.Attempt.Number,
		Service: t.Service, Shard: maker,
	})
	own := maker >= 0 && index == maker
	if !own && index >= 0 {
		sh = s.shards[index]
	}
	return taskHolder{shard: sh, own: own, known: known}
}

// OnHeldAll takes the end of the held tasks.
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

// OnPong takes the answer to a ping; that a message came was noted before.
func (l *nodeLink) OnPong() error { return nil }

// OnBye takes why the node closes the connection.
func (l *nodeLink) OnBye(reason string) error { return fmt.Errorf("%w: %s", errFarewell, reason) }
