// Package shutdown decides how a scheduler that is told to end does so: it takes what comes for as long as some may not know
// yet, then declines what comes still, answers all that it took, and stays for the news of what stands until shortly before it
// could be killed.
package shutdown

// Times in milliseconds from being told. What the protocol's page says of a planned restart: new connections come for 0.4 s at
// most, requests for 0.2 s more, and nobody is killed sooner than the longest expiry, counted as no more than 3 s, and 0.7 s.
const (
	routingDelay = 600
	maxExpiry    = 3000
	killDelay    = 700
	rejectMargin = 300 // requests come a little late to a process that is behind: they are taken while there is time
)

// Before it may be killed, in milliseconds.
const (
	exitMargin   = 200 // the process is gone: a machine that is short of time ends it late
	closeMargin  = 50  // the other sides of connections have read the last, and closed theirs
	answerMargin = 100 // what is declined after the answers is on its way too
	minMargin    = 50  // after the last request, whatever the above
)

// Plan is when what is due, on the clock that it was made by.
type Plan struct {
	RejectAt float64 // nothing new is taken: what comes is declined at once
	AnswerAt float64 // what is still open is answered, as nobody can tell any more what becomes of it
	CloseAt  float64 // the door is closed, and owners' connections, on which nothing is owed any more; who waited at it is still answered
	ExitAt   float64
}

// NewPlan makes the plan, from the longest expiry that owners have.
func NewPlan(now, longest float64) Plan {
	end := max(min(longest, maxExpiry)+killDelay-exitMargin, routingDelay+minMargin)
	p := Plan{CloseAt: now + end - closeMargin, AnswerAt: now + end - closeMargin - answerMargin, ExitAt: now + end}
	p.RejectAt = min(now+routingDelay+rejectMargin, p.AnswerAt)
	return p
}
