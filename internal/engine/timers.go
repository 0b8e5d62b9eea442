package engine

import (
	"fmt"

	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// timer is a time at which something is due. Most timers are never taken back: one that fires checks whether it still
// applies.
type timer = timers.Timer[timerKind]

// timerKind says what is due.
type timerKind uint8

const (
	timerPolicy    timerKind = iota // a timer of the policy; its key is the policy's
	timerAttempt                    // the time-out of an attempt; its key is made by attemptTimerKey
	timerConfirm                    // the end of waiting for an attempt whose connection broke; by the allocation's number
	timerRetention                  // a late start is kept no longer; by the allocation's number
	timerProbe                      // the time-out of a probe; its key is made by probeTimerKey
	timerConnect                    // the end of waiting for a connection; its key is made by attemptTimerKey
	timerClaim                      // the first of the pending claims is due
	timerCleanup                    // abandoned attempts may be forgotten
)

// attemptTimerKey is the key of a timer for an attempt of an allocation.
func attemptTimerKey(allocationID uint32, attempt uint8) uint64 {
	return uint64(attempt)<<32 | uint64(allocationID)
}

// probeTimerKey is the key of a timer for a probe of a node.
func probeTimerKey(nodeIndex int, sequence uint64) uint64 {
	return uint64(uint32(sequence))<<32 | uint64(uint32(nodeIndex))
}

// fire acts on a timer that is due.
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

// onAttemptTimeout gives up an attempt that was not answered in time.
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

// onConfirmTimeout gives up an attempt whose connection broke and of which its node has said nothing since.
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

// extendConfirmation waits longer for a node with a running task while other schedulers hear it. It tells whether it does.
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
		e.effects.Log(fmt.Sprintf("node %d: silent here for %.1f s, others hear it: what runs there is waited for", n.id, silence/1000))
	}
	return true
}

// onRetentionTimeout stops a task that was kept for its client's next request, which did not come.
func (e *Engine) onRetentionTimeout(t timer) {
	slot, ok := e.byID[uint32(t.Key)]
	if !ok {
		return
	}
	if a := &e.allocations[slot]; a.phase == phaseRunning && a.request.Client == noClient && a.dueAt == t.At {
		e.stopTask(a)
	}
}

// onProbeTimeout ends a probe that was not answered in time.
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

// onClaimDue claims the abandoned attempt that is due. All claims wait equally long, so the first one that was scheduled is the
// first one due.
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

// onCleanupDue forgets the attempts that were abandoned long ago.
func (e *Engine) onCleanupDue() {
	e.removeMatching(func(entry abandonedAttempt) bool { return e.now-entry.sentAt > outcome.AttemptRetention() })
	if len(e.abandoned) > 0 {
		e.scheduleCleanup()
	}
}
