package outcome

import "ravenpond/logic"

// LateAction is what to do with a task that started after its attempt had been given up.
type LateAction uint8

// Actions.
const (
	Stop  LateAction = iota // stop it: nobody is served by it
	Serve                   // answer the client with it: the client still waits, and no other attempt is open
	Await                   // await the other open attempt: the one that ends first without a start leaves the other
	Keep                    // hold it for the client's next request, then stop it: the client was answered
)

// OnLateStart decides about a late start. waiting says that the client still waits, attemptOpen that another attempt is open. A restartable
// task is stopped once the client is answered, because the client starts another at once. One that must not take effect twice is kept:
// stopping it would waste the effect, and the client's next request finds it running.
func OnLateStart(effect logic.RetrySemantics, waiting, attemptOpen bool) LateAction {
	switch {
	case waiting && !attemptOpen:
		return Serve
	case waiting:
		return Await
	case effect == logic.Restartable:
		return Stop
	}
	return Keep
}

// CountsAfterAbandon reports whether an attempt that was given up goes on to count where it was sent until its node says what became of
// it: as long as it may run there, one more task of its service could be one too many.
func CountsAfterAbandon(spread logic.SpreadScope) bool { return spread != logic.Anywhere }
