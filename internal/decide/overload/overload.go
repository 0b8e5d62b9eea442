// Package overload measures how late a process reads the messages that arrive, and adapts time-outs and the time of clients to it. A process
// with too little CPU reads late: answers lie unread while their time-outs expire, and requests lie unread while the time that the client
// grants passes. The package prevents retries of requests that were answered, and the admission of requests that cannot be served in time.
//
// The inputs are the times of the rounds of the process's event loop; the outputs are delays. The package does no I/O and returns no errors. A
// Monitor is not safe for concurrent use.
package overload

import "math"

// Times in milliseconds.
const (
	halfLife        = 150  // half-life of a measured delay
	minDelay        = 8    // shorter delays are usual and ignored
	maxTimeoutGrace = 400  // longest extension of a time-out
	maxAnswerLead   = 400  // longest time before a deadline at which a request is answered
	batchDuration   = 8    // work of the new requests that a round starts; a longer round would delay the reading of messages
	minBatchSize    = 4    // requests that a round may start at least
	minRequestTime  = 0.01 // prevents a division by zero
)

// Monitor estimates the delay from the rounds of a process's event loop. The zero value has recorded none.
type Monitor struct {
	delay     float64 // delay at updatedAt
	updatedAt float64
}

// OnRound records when a round was due, when it started and when it ended. A message that arrived before the start has lain unread for the time
// by which the start was late, and one that arrived during the round lies unread until its end.
func (m *Monitor) OnRound(due, started, ended float64) {
	m.delay = max(m.Delay(ended), started-due, ended-started)
	m.updatedAt = ended
}

// Delay estimates how many ms a message that arrives now will lie unread.
func (m *Monitor) Delay(now float64) float64 {
	if m.delay == 0 {
		return 0
	}
	return m.delay * math.Exp2(-max(0, now-m.updatedAt)/halfLife)
}

// TimeoutGrace returns the number of ms by which to extend a time-out that expires now, because the answer may lie unread.
func (m *Monitor) TimeoutGrace(now float64) float64 {
	if delay := m.Delay(now); delay > minDelay {
		return min(delay, maxTimeoutGrace)
	}
	return 0
}

// AnswerLead returns the number of ms before a client's deadline at which its request has to be answered, in a round that was due at a time: the
// next round, and what it sends, may be as late as this one.
func (m *Monitor) AnswerLead(due, now float64) float64 {
	if delay := max(m.Delay(now), now-due); delay > minDelay {
		return min(delay, maxAnswerLead)
	}
	return 0
}

// RemainingTime returns how much is left of the time, in ms, that a client grants a request that is read now. The request lay unread for the
// delay, and its answer will be delayed as long.
func (m *Monitor) RemainingTime(now, granted float64) float64 {
	if delay := m.Delay(now); delay > minDelay {
		return max(granted/2, granted-2*delay)
	}
	return granted
}

// BatchSize returns how many requests a round may start if each takes requestTime ms.
func BatchSize(requestTime float64) int {
	return minBatchSize + int(batchDuration/max(minRequestTime, requestTime))
}
