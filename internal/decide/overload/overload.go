// Package overload measures how far a process is behind with the messages that arrive, and decides what follows. A process with too little
// CPU reads late: answers lie unread while their time-outs expire, and a client's time runs while its request does. The package guards
// against retrying what was answered, and against taking what cannot be done in time.
//
// The times of the rounds of the process's loop go in; delays come out. The package does no I/O and returns no errors. A Monitor is not
// safe for concurrent use.
package overload

import "math"

// Times in milliseconds.
const (
	halfLife        = 150 // of a measured delay
	minDelay        = 8   // shorter ones are usual and count as none
	maxTimeoutGrace = 400
	batchDuration   = 8 // of the new requests that a round takes up, so that what arrives meanwhile is read
	minBatchSize    = 4 // requests that a round takes up at least
	minRequestTime  = 0.01
)

// Monitor follows the rounds of a process's loop. Its zero value has seen none.
type Monitor struct {
	delay     float64 // at updatedAt
	updatedAt float64
}

// OnTurn records when a round was due, when it began and when it ended. What arrived before it began lay unread at least for as long as it
// was late, and what arrived while it ran until it ended.
func (m *Monitor) OnTurn(due, began, ended float64) {
	m.delay = max(m.Delay(ended), began-due, ended-began)
	m.updatedAt = ended
}

// Delay returns how long, in ms, what arrives now is likely to lie unread.
func (m *Monitor) Delay(now float64) float64 {
	if m.delay == 0 {
		return 0
	}
	return m.delay * math.Exp2(-max(0, now-m.updatedAt)/halfLife)
}

// TimeoutGrace returns for how long, in ms, a time-out that expires now still waits for an answer that may lie unread.
func (m *Monitor) TimeoutGrace(now float64) float64 {
	if delay := m.Delay(now); delay > minDelay {
		return min(delay, maxTimeoutGrace)
	}
	return 0
}

// RemainingTime returns what is left of the time in ms that a client grants a request which is read now: it lay unread for a while, and
// its answer has to wait for its round as well.
func (m *Monitor) RemainingTime(now, granted float64) float64 {
	if delay := m.Delay(now); delay > minDelay {
		return max(granted/2, granted-2*delay)
	}
	return granted
}

// BatchSize returns how many requests a round may take up, if each takes some ms.
func BatchSize(requestTime float64) int {
	return minBatchSize + int(batchDuration/max(minRequestTime, requestTime))
}
