package engine

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

type attemptID struct {
	ticket uint64
	number uint8
}

// abandonedAttempt is a try that was given up but may still be heard of.
type abandonedAttempt struct {
	allocationID     uint32 // its allocation, if that is still open
	nodeIndex        int
	jobClass, tenant int
	service          uint64
	token            uint64
	cores, memory    float64
	sentAt           float64
	started          bool
	stopped          bool
	policyID         uint32 // by this number the module counts it for its service's spread, 0: it does not
}

// pendingClaim is a given up try that is to be claimed, and how often after that.
type pendingClaim struct {
	attempt   attemptID
	remaining int
}

// scheduleClaim has a given up try claimed after a while, some times: if it runs after all, its owner's next ask must
// find that out rather than start a second.
func (e *Engine) scheduleClaim(name attemptID, times int) {
	if times > 0 {
		e.claims = append(e.claims, pendingClaim{name, times - 1})
		e.timers.Set(e.now+outcome.ClaimInterval(e.config.SettleTime), timerClaim, 0)
	}
}

func (e *Engine) rememberAbandoned(name attemptID, g abandonedAttempt) {
	if len(e.abandoned) == 0 {
		e.timers.Set(e.now+outcome.AttemptRetention()/4, timerForget, 0)
	}
	if _, ok := e.abandoned[name]; !ok {
		e.nodes[g.nodeIndex].abandoned++
		if outcome.CountsAfterAbandon(e.config.Cluster.JobClasses[g.jobClass].Spread) {
			e.lastID++
			g.policyID = e.lastID
			e.policy.OnRecovered(e.now, logic.Recovered{Request: logic.Request{
				Allocation: g.policyID, Class: g.jobClass,
				Tenant: g.tenant, Service: g.service, Cores: g.cores, Memory: g.memory,
			}, Node: e.nodes[g.nodeIndex].id})
		}
	}
	e.abandoned[name] = g
}

func (e *Engine) forgetAbandoned(name attemptID) {
	if g, ok := e.abandoned[name]; ok {
		e.nodes[g.nodeIndex].abandoned--
		delete(e.abandoned, name)
		if g.policyID > 0 {
			e.policy.OnOutcome(e.now, logic.AttemptResult{
				Allocation: g.policyID, Node: e.nodes[g.nodeIndex].id,
				Duration: e.now - g.sentAt, Answered: true, Outcome: logic.Completed,
			})
		}
	}
}

// forgetMatching forgets those that are meant, in the order of their names: the module hears of them.
func (e *Engine) forgetMatching(meant func(abandonedAttempt) bool) {
	var names []attemptID
	for name, g := range e.abandoned {
		if meant(g) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, attemptID.compare)
	for _, name := range names {
		e.forgetAbandoned(name)
	}
}

func (x attemptID) compare(y attemptID) int {
	return cmp.Or(cmp.Compare(x.ticket, y.ticket), cmp.Compare(x.number, y.number))
}

// handleLateStart meets the start of a try that had been given up.
func (e *Engine) handleLateStart(name attemptID, g abandonedAttempt) {
	g.started = true
	e.abandoned[name] = g
	e.stats.LateStarts++
	p, open := e.byID[g.allocationID]
	open = open && !e.allocations[p].answered && e.now < e.allocations[p].deadline
	if q, ok := e.byKey[idempotencyKey{g.tenant, g.token}]; ok && (!open || q != p) {
		if a := &e.allocations[q]; a.phase == phaseRunning { // it runs elsewhere by now
			e.stopAbandoned(name)
			return
		} else if !a.answered && e.now < a.deadline { // asked for again
			p, open = q, true
		}
	}
	switch outcome.OnLateStart(e.jobEffects[g.jobClass], open, open && e.allocations[p].phase != phaseWaiting) {
	case outcome.Stop:
		e.stopAbandoned(name)
	case outcome.Serve:
		e.policy.OnExpired(e.now, e.allocations[p].id)
		e.answerWithLateStart(name, p)
	case outcome.Await:
		a := &e.allocations[p]
		if a.lateStart.ticket != 0 {
			e.stopAbandoned(name)
			return
		}
		a.lateStart = name
		if a.phase == phaseConnecting {
			e.cancelUnsent(a)
		} else if !a.recalled {
			e.recall(a)
		}
	case outcome.Keep:
		if q := e.recoverTask(name, g); q >= 0 {
			e.keepForRetry(&e.allocations[q])
		}
	}
}

// answerWithLateStart answers the allocation at p, of which nothing is out, with a start that had been given up.
func (e *Engine) answerWithLateStart(name attemptID, p int) {
	a := &e.allocations[p]
	g := e.abandoned[name]
	owner, ref := a.client, a.requestID
	e.answer(a, Served, e.nodes[g.nodeIndex].id, "late", 0)
	if a.client == noClient { // too late after all
		owner = noClient
	}
	a.lateStart = attemptID{}
	e.clearClient(a)
	e.forgetAllocation(p)
	q := e.recoverTask(name, g)
	if q < 0 {
		return
	}
	e.setClient(q, owner, ref)
	if owner == noClient {
		e.keepForRetry(&e.allocations[q])
	}
}

// resolveLateStart decides about a late start whose allocation was answered without it.
func (e *Engine) resolveLateStart(name attemptID) {
	if g, ok := e.abandoned[name]; ok && name.ticket != 0 && !g.stopped {
		if outcome.OnLateStart(e.jobEffects[g.jobClass], false, false) == outcome.Stop {
			e.stopAbandoned(name)
		} else {
			if q := e.recoverTask(name, g); q >= 0 {
				e.keepForRetry(&e.allocations[q])
			}
		}
	}
}

func (e *Engine) stopAbandoned(name attemptID) {
	if g, ok := e.abandoned[name]; ok {
		g.stopped = true
		e.abandoned[name] = g
		if e.nodes[g.nodeIndex].connected {
			e.effects.Stop(e.nodes[g.nodeIndex].id, name.ticket, name.number)
		}
	}
}
