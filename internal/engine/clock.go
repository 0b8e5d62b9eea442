package engine

import "ravenpond/internal/timers"

// timer is a time at which something is due.
type timer = timers.Timer[timerKind]

type timerKind uint8

const (
	timerPolicyWake timerKind = iota // a timer of the module, by its key
	timerAttempt                     // a try's time-out, by the allocation's place and the try's number
	timerConfirm                     // the end of waiting for a try whose connection broke
	timerKeep                        // a late start that nobody asked for again
	timerProbe                       // a probe's answer
	timerConnect                     // the end of waiting for a node's connection, with offers held for it
	timerClaim                       // a given up try is to be claimed
	timerForget                      // a given up try may be forgotten
)
