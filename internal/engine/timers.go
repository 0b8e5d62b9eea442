package engine

import (
	"fmt"

	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// timer is a scheduled action. Timers are usually not cancelled; the handler checks whether a timer that fires still
// applies.
type timer = timers.Timer[timerKind]

// timerKind is the action that a timer triggers.
type timerKind uint8

const (
	timerPolicy    timerKind = iota // a timer of the policy; the key is the policy's
	timerAttempt                    // time-out of an attempt; the key is attemptTimerKey
	timerConfirm                    // end of the wait for an attempt whose connection broke; the key is the allocation's number
	timerRetention                  // end of the retention of a late start; the key is the allocation's number
	timerProbe                      // time-out of a probe; the key is probeTimerKey
	timerConnect                    // end of the wait for a connection; the key is attemptTimerKey
	timerClaim                      // the first pending claim is due
	timerCleanup                    // removal of old abandoned attempts
)

// attemptTimerKey returns the key of a timer for an attempt of an allocation.
func attemptTimerKey(allocationID uint32, attempt uint8) uint64 {
	return uint64(attempt)<<32 | uint64(allocationID)
}

// probeTimerKey returns the key of a timer for a probe of a node.
func probeTimerKey(nodeIndex int, sequence uint64) uint64 {
	return uint64(uint32(sequence))<<32 | uint64(uint32(nodeIndex))
}

// fire handles a timer that is due.
func (e *Engine) fire(t timer) {
	switch t.Kind {
	case timerPolicy:
		e.policy.OnTimer(e.now, t.Key)
	case timerAttempt:
		e.onAttemptTimeout(t)
	case timerConfirm:
		e.onConfirmTimeout(t)
	case timerRetention:
		e.onRetentionTimeout(t)
	case timerProbe:
		e.onProbeTimeout(t)
	case timerConnect:
		e.onConnectTimeout(t)
	case timerClaim:
		e.onClaimDue()
	case timerCleanup:
		e.onCleanupDue()
	}
}

// onAttemptTimeout abandons an attempt that was not answered in time.
func (e *Engine) onAttemptTimeout(t timer) {
	slot, ok := e.byID[uint32(t.Key)]
	if !ok {
		return
	}
	a := &e.allocations[slot]
	if a.phase == phaseInFlight && a.dueAt == t.At && a.attempt.Number == uint8(t.Key>>32) {
		e.abandonAttempt(slot, logic.TimedOut)
	}
}

// onConfirmTimeout gives up an attempt whose connection broke and that its node has not reported since.
func (e *Engine) onConfirmTimeout(t timer) {
	slot, ok := e.byID[uint32(t.Key)]
	if !ok || e.allocations[slot].confirmBy != t.At {
		return
	}
	switch e.allocations[slot].phase {
	case phaseInFlight:
		e.abandonAttempt(slot, logic.ConnectionLost)
	case phaseRunning:
		if !e.extendConfirmation(slot) {
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
		}
	}
}

// extendConfirmation extends the wait for a running task while other schedulers hear from its node. It reports whether the wait was extended.
func (e *Engine) extendConfirmation(slot int) bool {
	a := &e.allocations[slot]
	n := &e.nodes[a.nodeIndex]
	silence := e.now - n.lostAt
	alive := e.config.AliveAtPeers != nil && e.config.AliveAtPeers(e.now, n.id, n.incarnation)
	extension := outcome.ClaimExtension(silence, alive)
	if extension <= 0 {
		return false
	}
	a.confirmBy = e.now + extension
	e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
	if !n.confirmExtended {
		n.confirmExtended = true
		e.effects.Log(fmt.Sprintf("node %d has not been connected for %.1f s, but other schedulers hear from it; still waiting for its running tasks", n.id, silence/1000))
	}
	return true
}

// onRetentionTimeout stops a task that was kept for a retry by its client, because no retry was received.
func (e *Engine) onRetentionTimeout(t timer) {
	slot, ok := e.byID[uint32(t.Key)]
	if !ok {
		return
	}
	if a := &e.allocations[slot]; a.phase == phaseRunning && a.request.Client == noClient && a.dueAt == t.At {
		e.stopTask(a)
	}
}

// onProbeTimeout ends a probe that was not answered in time, or not sent because its node did not connect.
func (e *Engine) onProbeTimeout(t timer) {
	index := int(uint32(t.Key))
	n := &e.nodes[index]
	if !n.probing || uint32(n.probeSequence) != uint32(t.Key>>32) {
		return
	}
	result := logic.TimedOut
	if !n.probeSent {
		result = logic.Unreachable
	}
	e.completeProbe(index, result, nil)
}

// onConnectTimeout ends an attempt whose node did not connect in time.
func (e *Engine) onConnectTimeout(t timer) {
	slot, ok := e.byID[uint32(t.Key)]
	if !ok {
		return
	}
	if a := &e.allocations[slot]; a.phase == phaseConnecting && a.attempt.Number == uint8(t.Key>>32) {
		e.completeAttempt(slot, outcomeOf(logic.Unreachable))
	}
}

// onClaimDue claims the abandoned attempt whose claim is due. All claims are scheduled with the same delay, so they become due in
// the order in which they were scheduled.
func (e *Engine) onClaimDue() {
	c := e.claims[0]
	e.claims = e.claims[1:]
	entry, ok := e.abandoned[c.attempt]
	if !ok || entry.started {
		return
	}
	if n := &e.nodes[entry.nodeIndex]; n.ready {
		e.effects.Claim(n.id, c.attempt)
	}
	e.scheduleClaims(c.attempt, c.remaining)
}

// onCleanupDue removes the abandoned attempts whose retention has ended.
func (e *Engine) onCleanupDue() {
	e.removeMatching(func(entry abandonedAttempt) bool { return e.now-entry.sentAt > outcome.AttemptRetention() })
	if len(e.abandoned) > 0 {
		e.scheduleCleanup()
	}
}
