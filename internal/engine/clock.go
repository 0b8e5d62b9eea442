package engine

import "ravenpond/internal/timers"

// bell is a time at which something is due.
type bell = timers.Timer[due]

type due uint8

const (
	dueWake  due = iota // a timer of the module, by its key
	dueTry              // a try's time-out, by the allocation's place and the try's number
	dueDoubt            // the end of waiting for a try whose connection broke
	dueKept             // a late start that nobody asked for again
	dueProbe            // a probe's answer
	dueLink             // the end of waiting for a node's connection, with offers held for it
	dueClaim            // a given up try is to be claimed
	dueGhost            // a given up try may be forgotten
)
