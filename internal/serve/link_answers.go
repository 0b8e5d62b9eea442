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

// The methods of nodeLink in this file handle a node's messages, on the goroutine of its connection, and post them to the shard that owns
// the attempt.

// Errors that end a connection: a node's farewell, and violations of the protocol.
var (
	errFarewell       = errors.New("farewell")
	errInventoryOrder = errors.New("HELD after HELD-ALL, or an answer before it")
	errNoSuchProbe    = errors.New("report for a probe never sent")
)

// shardOf returns the shard that a ticket belongs to. It returns nil if the shard is fenced, and an error if no shard of this process made the
// ticket or if the node has not yet reported the tasks that it holds. ended says that the node no longer
// holds anything for the ticket. The caller holds routerMu.
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

// dispatch posts a message about a ticket to its shard. routerMu orders it before or after a handover of the ticket: a message that came
// before is in the inbox of the shard that gives the ticket away.
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

// post posts a message to a shard, which forwards it if the ticket was handed over to another shard in the meantime. An error of handle
// closes the connection.
func (l *nodeLink) post(sh *shard, ticket uint64, handle func(sh *shard, now float64) error) {
	sh.post(func(now float64) {
		if to := sh.handedOver[ticket]; to != nil {
			l.post(to, ticket, handle)
		} else if err := handle(sh, now); err != nil {
			l.disconnect(err.Error(), false)
		}
	})
}

// OnStarted handles the start of a task.
func (l *nodeLink) OnStarted(id node.AttemptID, took float64) error {
	return l.dispatch(id.Ticket, func(sh *shard, now float64) error {
		return sh.engine.OnStarted(now, l.node, engine.AttemptID(id), took)
	})
}

// OnOutcome handles the end of an attempt. If its shard was fenced while the task ran, this method notifies the client.
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
		if request, ok := s.router.OnUnrecoveredEnded(routerAttempt(l.node, outcome.Attempt)); ok {
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

// reportLength returns the number of values in a load report at this site.
func (l *nodeLink) reportLength() int { return len(l.set.config.Site.Cluster.ReportFields) }

// broadcastReport passes the load report of an outcome to the other shards of the connection.
func (l *nodeLink) broadcastReport(ticket uint64, report []float64) {
	for _, sh := range l.connections.attachedShards() {
		if uint32(ticket>>32) != sh.incarnation {
			sh.post(func(now float64) { sh.engine.OnSharedReport(now, l.node, report) })
		}
	}
}

// expectClaimAnswer records that the answer to a claim is for a shard. The connection may not have told of the attempt: if an earlier incarnation made it
// and it ended while there was no connection, the node did not report it as held on this one.
func (l *nodeLink) expectClaimAnswer(ticket uint64, sh *shard) {
	if uint32(ticket>>32) == sh.incarnation {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reassigned[ticket] = sh
}

// OnClaimAnswer handles the answer to a claim.
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

// OnNote handles a metric of a running task that the node observed.
func (l *nodeLink) OnNote(n node.Note) error {
	return l.dispatch(n.Attempt.Ticket, func(sh *shard, now float64) error {
		sh.engine.OnNote(now, l.node, engine.AttemptID(n.Attempt), logic.TaskMetric(n.Kind), n.Value)
		return nil
	})
}

// OnReport handles the answer to a probe. The lowest bits of its sequence number hold the index of the shard that sent the probe.
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

// OnHeld handles the report of a task that the node holds. It goes to the shard that made the attempt or, if that shard's incarnation has
// ended, to the shard that has the task's service now.
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
	s.routerMu.Lock() // orders a handover of the task before this or after it
	defer s.routerMu.Unlock()
	holder, err := l.holderOf(&h, attached)
	if err != nil || holder.shard == nil {
		return err
	}
	if holder.madeAttempt && holder.known && !holder.awaitsInventory || !holder.madeAttempt && !holder.awaitsInventory && !l.inventoryReceived {
		return nil
	}
	l.postHeld(holder.shard, engine.HeldTask{
		Attempt: engine.AttemptID(h.Attempt), Running: h.State == node.StateRunning, Task: engine.Task(h.Task),
	})
	return nil
}

// postHeld posts a held task to a shard, which forwards it if the task was handed over to another shard in the meantime: the shard that gave
// the task away no longer knows it, and would stop it as another shard's.
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

// taskHolder tells which shard a held task is for.
type taskHolder struct {
	shard           *shard // nil: there is none
	madeAttempt     bool   // shard made the attempt itself
	known           bool   // the router has the task at shard
	awaitsInventory bool   // shard waits for the node to report the tasks that it holds
}

// holderOf decides which of the shards of the connection a held task is for, and records it for later messages about the task. The caller
// holds routerMu.
func (l *nodeLink) holderOf(h *node.HeldTask, attached []*shard) (taskHolder, error) {
	holder := l.routedHolder(h)
	ticket := h.Attempt.Ticket
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inventoryWaiters) == 0 {
		return taskHolder{}, errInventoryOrder
	}
	if other := l.reassigned[ticket]; other != nil && !other.fenced.Load() {
		holder.shard, holder.madeAttempt = other, false
	}
	if holder.madeAttempt {
		delete(l.reassigned, ticket) // the task was handed over, but the shard that took it has ended
	} else if holder.shard != nil {
		if len(attached) == 1 { // the connection belongs to that shard alone, and so do the tasks that the node reports on it
			holder.shard = attached[0]
		}
		l.reassigned[ticket] = holder.shard
	}
	holder.awaitsInventory = slices.Contains(l.inventoryWaiters[0], holder.shard)
	return holder, nil
}

// routedHolder returns the shard that a held task is for according to the router: the one that made the attempt, unless the task was handed
// over or that shard's incarnation has ended. The caller holds routerMu.
func (l *nodeLink) routedHolder(h *node.HeldTask) taskHolder {
	s, t := l.set, &h.Task
	sh := s.incarnations[uint32(h.Attempt.Ticket>>32)]
	makerIndex := -1
	if sh != nil && !sh.fenced.Load() {
		makerIndex = sh.index
	}
	index, known := s.router.ShardOf(shardrouter.ReportedAttempt{
		ID: shardownership.ID{Tenant: t.Tenant, Token: t.Token}, Ticket: h.Attempt.Ticket, Number: h.Attempt.Number,
		Service: t.Service, Shard: makerIndex,
	})
	madeAttempt := makerIndex >= 0 && index == makerIndex
	if !madeAttempt && index >= 0 {
		sh = s.shards[index]
	}
	return taskHolder{shard: sh, madeAttempt: madeAttempt, known: known}
}

// OnHeldAll handles the end of the list of held tasks.
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

// OnPong handles the answer to a ping. It does nothing, because OnData has already recorded the time of the message.
func (l *nodeLink) OnPong() error { return nil }

// OnBye handles the reason for which the node closes the connection.
func (l *nodeLink) OnBye(reason string) error { return fmt.Errorf("%w: %s", errFarewell, reason) }
