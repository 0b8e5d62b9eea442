// Package slowstart decides how many schedulers share the slow-start limit of a node while schedulers start, fail, pause and are
// partitioned. Each scheduler sends at most its share of what a node in slow start can take, and all shares together never exceed the limit,
// however much the schedulers' views of each other differ. The share of a dead scheduler goes to the others once it provably sends nothing
// any more. docs/design/members.md has the proof.
//
// Every scheduler of the site file has a place, its index in that file, from 0. A process uses its share of the limit while it holds a lease:
// grants from the processes of more than half of all places, its own included, none of them older than the lease duration. A process that
// gives a grant counts the receiver as a sharer before the grant, and for a lease duration and a window after it; with the grant, it sends
// the receiver the places that it counts. Any two majorities have a place in common, so for any two processes that hold a lease, there is one
// that has given a grant to both and counts both.
//
// Requests for grants and their answers pass through the caller, which carries them in its own messages. The package does no I/O, starts no
// goroutines and returns no errors. A Holder is not safe for concurrent use. Times are milliseconds on the process's own clock; clocks may
// differ in rate by MaxClockDrift.
package slowstart

import "math"

// MaxClockDrift is the relative difference in rate between the clocks of two processes that leases tolerate. It is far above the drift of
// real machines' clocks.
const MaxClockDrift = 0.01

// Config has the number of schedulers and the durations of the leases. It must be the same in all processes of a site.
type Config struct {
	Places        int     // number of schedulers in the site file
	LeaseDuration float64 // ms
	Window        float64 // ms; period to which the slow-start limit of a node applies
	ProbeInterval float64 // ms within which each process asks every other one at least once while both are healthy
}

const (
	leaseMargin = 2000 // ms that a lease lasts beyond the time that the requests take
	leaseFactor = 1.5  // ratio of the requests that the time allows for to those needed, because some are not answered
)

// MinLeaseDuration returns how long a lease has to last, in ms, if a process sends one request per interval (ms) to the others in turn: long
// enough to ask half of them, and half as many again that do not answer.
func MinLeaseDuration(places int, interval float64) float64 {
	return leaseMargin + leaseFactor*float64(places/2+1)*interval
}

// receivedGrant is the last answer to this process from the process of a place.
type receivedGrant struct {
	requestedAt float64 // when this process sent its request
	granted     bool
	counted     PlaceSet // places that the other process counts
}

// givenGrant is what this process has granted to the process of a place.
type givenGrant struct {
	counted       bool
	countedSince  float64
	lastRequestAt float64
	dead          bool // the process is reported dead
}

// Holder holds the lease of one process: it records the grants that the process gets, and answers requests for grants from others.
type Holder struct {
	config    Config
	place     int
	startedAt float64
	received  []receivedGrant // by place
	given     []givenGrant    // by place
}

// New returns the holder of a process. It does not know what an earlier incarnation granted, so it counts all places, and grants nothing
// until any such grant has expired. A process whose place is not in the site file gets no lease.
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

// retention returns how long, in ms, a place is counted after its last grant, and before its first one.
func (h *Holder) retention() float64 {
	return (h.config.LeaseDuration + h.config.Window) * (1 + MaxClockDrift)
}

// quorum returns the smallest number that is more than half of all places.
func (h *Holder) quorum() int { return h.config.Places/2 + 1 }

// OnRequest answers a request from the process of a place: whether this process gives the grant, and which places it counts. A place that
// was not counted, because it had sent no request for a long time, is counted from now on, and gets a grant once every other process can
// know of it.
func (h *Holder) OnRequest(now float64, place int) (granted bool, counted PlaceSet) {
	h.expireCounts(now)
	if place >= 0 && place < len(h.given) && place != h.place {
		g := &h.given[place]
		if !g.counted {
			g.counted, g.countedSince = true, now
		}
		g.dead = false
		g.lastRequestAt = now // it is counted as if it had a grant, because others may have given it one
		granted = now-g.countedSince >= h.retention()
	}
	return granted, h.Counted(now)
}

// OnGrant records the answer of the process of a place to a request that was sent at requestedAt. It ignores the answer if a later request
// has been answered already.
func (h *Holder) OnGrant(requestedAt float64, place int, granted bool, counted PlaceSet) {
	if place < 0 || place >= len(h.received) || place == h.place || requestedAt < h.received[place].requestedAt {
		return
	}
	h.received[place] = receivedGrant{requestedAt, granted, counted}
}

// OnDead records that the process of a place is reported dead. The report may be wrong, so the place stays counted for as long as is
// necessary, but no longer; a place that is merely silent is counted for a further probe interval.
func (h *Holder) OnDead(place int) {
	if place >= 0 && place < len(h.given) {
		h.given[place].dead = true
	}
}

// Counted returns the places that this process counts: its own, and those that hold a grant from it or may get one soon.
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

// expireCounts stops counting the places whose last grant expired so long ago that nothing sent under it counts against the limit any more.
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
