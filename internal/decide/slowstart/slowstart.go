// Package slowstart decides how many schedulers share the slow-start limit of a node while schedulers start, fail, pause and are
// partitioned. Each sends at most its part of what a node that is warming up can take, and all parts together never exceed the whole,
// whatever views the schedulers have. The part of a dead scheduler goes to the others once it provably sends no more.
// docs/design/members.md has the proof.
//
// Every scheduler of the site file has a place, from 0. A process takes part while it holds a lease: grants from the holders of more than
// half of all places, itself included, none of them older than the lease lasts. Whoever grants counts the receiver as a sharer before the
// grant and for a lease and a window after it, and tells the receiver which places it counts. Any two majorities have a place in common, so
// each process that takes part is counted by somebody who grants to any other one.
//
// Requests for grants and answers go in and out through the caller, which carries them in its own messages. The package does no I/O,
// starts no goroutines and returns no errors. A Holder is not safe for concurrent use. Times are milliseconds on the process's own clock;
// clocks may differ in rate by MaxClockDrift.
package slowstart

import "math"

// MaxClockDrift is the relative difference in rate of two processes' clocks that leases allow for. It is far above what the clocks of
// machines show.
const MaxClockDrift = 0.01

// Config says what is shared and how long leases last. It must be the same in all processes of a site.
type Config struct {
	Places        int     // schedulers in the site file
	LeaseDuration float64 // ms
	Window        float64 // ms for which the slow-start limit of a node holds
	ProbeInterval float64 // ms in which each process asks each other once at least while both are well
}

const (
	leaseMargin = 2000 // ms of a lease beyond the time that the requests take
	leaseFactor = 1.5  // more requests than are needed, because some are not answered
)

// MinLeaseDuration returns how long a lease has to last, in ms, if a process sends one request per interval to the others in turn: long
// enough to ask half of them, and half as many again that do not answer.
func MinLeaseDuration(places int, interval float64) float64 {
	return leaseMargin + leaseFactor*float64(places/2+1)*interval
}

// receivedGrant is the last answer of the holder of a place to this process.
type receivedGrant struct {
	requestedAt float64 // when this process sent its request
	granted     bool
	counted     PlaceSet // places that the other counts
}

// givenGrant is what this process has answered to the holder of a place.
type givenGrant struct {
	counted       bool
	countedSince  float64
	lastRequestAt float64
	dead          bool // its holder is reported dead
}

// Holder is one process's holder of leases.
type Holder struct {
	config    Config
	place     int
	startedAt float64
	received  []receivedGrant // by place
	given     []givenGrant    // by place
}

// New returns a process's holder. It does not know what it granted before its start, so it counts all places, and grants nothing until any
// such grant has ended. A process whose place is not one of the site file's takes no part.
func New(now float64, config Config, place int) *Holder {
	h := &Holder{
		config:    config,
		place:     place,
		startedAt: now,
		received:  make([]receivedGrant, config.Places),
		given:     make([]givenGrant, config.Places),
	}
	for i := range config.Places {
		h.given[i] = givenGrant{counted: true, countedSince: now, lastRequestAt: now}
		h.received[i].requestedAt = math.Inf(-1)
	}
	return h
}

// retention returns how long, in ms, a place is counted after its last grant, and before its first.
func (h *Holder) retention() float64 {
	return (h.config.LeaseDuration + h.config.Window) * (1 + MaxClockDrift)
}

// quorum returns more than half of all places.
func (h *Holder) quorum() int { return h.config.Places/2 + 1 }

// OnRequest answers a request from the holder of a place: whether it is granted, and which places this process counts. A place that was
// not counted, because it sent no request for long, is counted from now on, and granted once every other process can know of it.
func (h *Holder) OnRequest(now float64, place int) (granted bool, counted PlaceSet) {
	h.expireCounts(now)
	if place >= 0 && place < len(h.given) && place != h.place {
		g := &h.given[place]
		if !g.counted {
			g.counted, g.countedSince = true, now
		}
		g.dead = false
		g.lastRequestAt = now // it is counted as if it had a grant, which it may have from others
		granted = now-g.countedSince >= h.retention()
	}
	return granted, h.Counted(now)
}

// OnGrant records the answer of the holder of a place to a request that was sent at a time. Answers to earlier requests than the last
// answered one are ignored.
func (h *Holder) OnGrant(requestedAt float64, place int, granted bool, counted PlaceSet) {
	if place < 0 || place >= len(h.received) || place == h.place || requestedAt < h.received[place].requestedAt {
		return
	}
	h.received[place] = receivedGrant{requestedAt, granted, counted}
}

// OnDead records that the holder of a place is reported dead. The report may be wrong: the place is counted no longer than necessary from
// now on, while that of a silent holder is counted for a further probe interval.
func (h *Holder) OnDead(place int) {
	if place >= 0 && place < len(h.given) {
		h.given[place].dead = true
	}
}

// Counted returns which places this process counts: its own, and those that may hold a grant of it now or soon.
func (h *Holder) Counted(now float64) PlaceSet {
	h.expireCounts(now)
	counted := make(PlaceSet, (h.config.Places+wordBits-1)/wordBits)
	for i, g := range h.given {
		if g.counted || i == h.place {
			counted = counted.add(i)
		}
	}
	return counted
}

// expireCounts stops counting the places whose last grant ended so long ago that nothing sent under it counts any more.
func (h *Holder) expireCounts(now float64) {
	for i := range h.given {
		g := &h.given[i]
		retention := h.retention()
		if !g.dead {
			retention += h.config.ProbeInterval
		}
		if g.counted && i != h.place && now-g.lastRequestAt > retention {
			g.counted = false
		}
	}
}
