// Package shutdown decides how a scheduler that is told to stop shuts down gracefully: it accepts requests for as long as some clients may
// not know of the shutdown yet, then sheds new ones, answers all that it accepted, and goes on sending end notifications of running tasks
// until shortly before it may be killed.
//
// The package does no I/O, holds no state and returns no errors.
package shutdown

// Times in milliseconds after the scheduler is told to stop. By the protocol's page on planned restarts, new connections arrive for at most
// 0.4 s and requests for 0.2 s more, and a scheduler is killed no sooner than 0.7 s after the longest expiry, which counts as at most 3 s.
const (
	routingDelay = 600
	maxExpiry    = 3000
	killDelay    = 700
	rejectMargin = 300 // requests may arrive a little late at a process that lags: they are accepted while there is time
)

// Margins in milliseconds.
const (
	exitMargin   = 200 // from the exit to the time at which the scheduler may be killed: a machine that is short of CPU ends it late
	closeMargin  = 50  // from the closing of connections to the exit: peers read the last message and close their connections
	answerMargin = 100 // from the last answers to the closing of connections: answers to requests shed after them are sent, too
	minMargin    = 50  // from the last request to the exit, whatever the other times are
)

// Plan says when each step of the shutdown is due, on the caller's clock.
type Plan struct {
	RejectAt float64 // new requests are shed from then on
	AnswerAt float64 // requests that are still open are answered, because their progress can no longer be followed
	// CloseAt is when the listener is closed, and so are client connections on which no message is pending. Connections that waited to be
	// accepted still get answers.
	CloseAt float64
	ExitAt  float64
}

// NewPlan returns the plan of a scheduler that is told to stop now, from the longest expiry of its clients' requests in ms.
func NewPlan(now, longestExpiry float64) Plan {
	exit := max(min(longestExpiry, maxExpiry)+killDelay-exitMargin, routingDelay+minMargin)
	p := Plan{CloseAt: now + exit - closeMargin, AnswerAt: now + exit - closeMargin - answerMargin, ExitAt: now + exit}
	p.RejectAt = min(now+routingDelay+rejectMargin, p.AnswerAt)
	return p
}
