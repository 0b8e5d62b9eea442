package nodefailure

import "slices"

const (
	// ClockTolerance is the time by which the clock that dates the starts of nodes and this process's clock may differ, ms, unless the node's clock
	// was stepped. Schedulers rely on the same bound when they take turns at a node in slow start.
	ClockTolerance = 500
	// maxListDelay is the time in ms after the start of a listed node's process by which a list that is read without interruption tells of it.
	maxListDelay = 30000
	// maxReadDelay is the time in ms by which a message of a node may be read late, as by a process that was paused.
	maxReadDelay = 2500
	// maxConnections is the number of connections to a node that are remembered, the latest ones.
	maxConnections = 16
)

// Listing is an entry of the node list that names a node.
type Listing struct {
	Now          float64 // when it was read
	StartedAt    float64 // when the node's process started, by the clock of its machine; 0: long ago
	ReadUpTo     float64 // when all of the list had last been read before this entry; 0: never
	WasInService bool    // the entry before it named the node as in service
}

// startBounds is what is known of when the listed process of a node started, by this process's clock. The zero value stands for an unknown start.
type startBounds struct {
	earliest, latest float64
	clock            float64 // the listed start time if the node's clock agrees with this process's, else 0
	previousToldAt   float64 // when the list told of the start before; 0: never
}

func (b startBounds) isKnown() bool { return b.latest > 0 }

// boundsOf returns the bounds of a start that the list tells of. The clock of the node's machine may be stepped by any time, so what it gives counts only
// as long as nothing contradicts it. Else the process started after the one that was listed before, and so late that the list had not told of it yet. Of a
// node that was listed already when this process started nothing is known then.
func (h *ProcessHistory) boundsOf(entry Listing, isFirst bool) startBounds {
	switch {
	case h.agrees(entry, isFirst):
		start := min(entry.StartedAt, entry.Now)
		return startBounds{earliest: start - ClockTolerance, latest: start + ClockTolerance, clock: start}
	case isFirst && entry.ReadUpTo == 0:
		return startBounds{}
	}
	return startBounds{earliest: max(h.start.earliest, entry.Now-maxListDelay), latest: entry.Now, previousToldAt: h.toldAt}
}

// agrees reports whether nothing shows that the clock that gave a start time differs from this process's. These show that it does: the time is later than
// now; it is earlier than that of the process before; the list has told of it too late; or an earlier connection shows that its process lived on.
func (h *ProcessHistory) agrees(entry Listing, isFirst bool) bool {
	switch {
	case entry.StartedAt > entry.Now+ClockTolerance, entry.StartedAt < h.listedAt:
		return false
	case !isFirst && entry.WasInService && entry.StartedAt < entry.ReadUpTo-maxListDelay:
		return false
	}
	return !slices.ContainsFunc(h.connections, func(c *Connection) bool { return c.isFromBoth(entry.StartedAt) })
}

// isFromBoth reports whether one process answered on the connection both before a time and after it.
func (c *Connection) isFromBoth(time float64) bool {
	return c.EstablishedAt < time-ClockTolerance && c.ReceivedAt > time+ClockTolerance+maxReadDelay
}
