// Package shutdown decides how a scheduler that is told to end shuts down gracefully: it takes requests for as long as some clients may not
// know yet, then sheds them, answers all that it took, and stays for the end notifications of running tasks until shortly before it could
// be killed.
//
// The package does no I/O, holds no state and returns no errors.
package shutdown

// Times in milliseconds after the scheduler is told to end. By the protocol's page on planned restarts, new connections arrive for 0.4 s
// at most and requests for 0.2 s more, and no scheduler is killed sooner than the longest expiry, counted as 3 s at most, and 0.7 s.
const (
	routingDelay = 600
	maxExpiry    = 3000
	killDelay    = 700
	rejectMargin = 300 // requests arrive a little late at a process that is behind: they are taken while there is time
)

// Times in milliseconds before the scheduler may be killed.
const (
	exitMargin   = 200 // the process has ended: a machine that is short of CPU ends it late
	closeMargin  = 50  // before the exit: the peers have read the last message and closed their connections
	answerMargin = 100 // before that: what is shed after the answers is on its way too
	minMargin    = 50  // after the last request, whatever the other times are
)

// Plan says when each step of the shutdown is due, on the caller's clock.
type Plan struct {
	RejectAt float64 // new requests are shed
	AnswerAt float64 // what is still open is answered, because nobody can follow it any more
	// CloseAt is when the listener is closed, and client connections on which no message is pending. Those that waited to be accepted still
	// get answers.
	CloseAt float64
	ExitAt  float64
}

// NewPlan returns the plan of a scheduler that is told to end now, from the longest expiry of its clients' requests in ms.
func NewPlan(now, longestExpiry float64) Plan {
	exit := max(min(longestExpiry, maxExpiry)+killDelay-exitMargin, routingDelay+minMargin)
	p := Plan{CloseAt: now + exit - closeMargin, AnswerAt: now + exit - closeMargin - answerMargin, ExitAt: now + exit}
	p.RejectAt = min(now+routingDelay+rejectMargin, p.AnswerAt)
	return p
}
