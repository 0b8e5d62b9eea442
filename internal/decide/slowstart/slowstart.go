// Package slowstart decides how many schedulers share what a cold node bears while schedulers come, fail, stand still and lose
// each other. What all may send together never passes the whole, whatever views they have; a part that lies idle because
// its holder is gone goes to the others once the holder provably sends no more. docs/design/members.md has the proof.
//
// Every scheduler has a place from 0 on. A process takes part while it holds a lease: leave from the holders of more than
// half of all places, none of it older than a lease lasts. Whoever gives leave counts its receiver before and after, for
// as long as a lease and a window last; and says whom it counts. As any two majorities meet, each process that takes part
// is told by somebody of each other that does.
package slowstart

import (
	"bytes"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
)

// MaxClockDrift is by how much two processes' clocks may differ in rate: one that counts 1 s may be compared with one that counts
// 1 s and this part more. It is far above what machines' clocks do.
const MaxClockDrift = 0.01

// PlaceSet is a set of places.
type PlaceSet []uint64

// Contains tells whether a place is in it.
func (s PlaceSet) Contains(place int) bool {
	return place/64 < len(s) && s[place/64]>>(place%64)&1 == 1
}

func (s PlaceSet) add(place int) PlaceSet {
	for len(s) <= place/64 {
		s = append(s, 0)
	}
	s[place/64] |= 1 << (place % 64)
	return s
}

// ParsePlaceSet is the set that bytes hold, the first place in the lowest bit of the first.
func ParsePlaceSet(b []byte) (s PlaceSet) {
	for i, x := range b {
		if i/8 >= len(s) {
			s = append(s, 0)
		}
		s[i/8] |= uint64(x) << (8 * (i % 8))
	}
	return s
}

// Bytes is the set as Of reads it.
func (s PlaceSet) Bytes() (b []byte) {
	for _, w := range s {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return bytes.TrimRight(b, "\x00")
}

// Len is how many are in it.
func (s PlaceSet) Len() (n int) {
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Config says what is shared and how leases last. It has to be the same at all processes of a site.
type Config struct {
	Places        int     // of the site file: as many schedulers may take part
	LeaseDuration float64 // ms
	Window        float64 // ms in which a node bears what it bears
	ProbeInterval float64 // ms in which each process asks each other at least once, as long as both are well
}

// MinLeaseDuration is how long a lease has to last where a process asks another each so many ms, in turn: long enough for half of
// them to be asked, with half as much again for those that do not answer.
func MinLeaseDuration(places int, every float64) float64 { return 2000 + 1.5*float64(places/2+1)*every }

// receivedGrant is what one holder of a place has told this process.
type receivedGrant struct {
	requestedAt float64 // when this process asked for it, by its own clock
	granted     bool
	counted     PlaceSet
}

// givenGrant is what this process has told one other.
type givenGrant struct {
	counted       bool
	countedSince  float64 // from when on it counts the other
	lastRequestAt float64 // when it was asked last
	dead          bool    // its holder is taken for gone
}

// Holder is one process's part in this.
type Holder struct {
	config    Config
	place     int
	startedAt float64
	received  []receivedGrant // by place
	given     []givenGrant
}

// New begins a process's part. It knows of no leave that it gave before its start, so it counts all places, and gives no
// leave until any that it may have forgotten is over. A place of no number that the site file has takes no part.
func New(now float64, who Config, place int) *Holder {
	h := &Holder{config: who, place: place, startedAt: now, received: make([]receivedGrant, who.Places), given: make([]givenGrant, who.Places)}
	for i := range h.given {
		h.given[i] = givenGrant{counted: true, countedSince: now, lastRequestAt: now}
		h.received[i].requestedAt = math.Inf(-1)
	}
	return h
}

// retention is for how long after its leave a process is counted, and before.
func (h *Holder) retention() float64 {
	return (h.config.LeaseDuration + h.config.Window) * (1 + MaxClockDrift)
}

// OnRequest answers the holder of a place that asks for leave: whether it has it, and whom this process counts. Who is held
// for gone, because it has asked for nothing for long, is counted from now on, and has leave when all can know of it.
func (h *Holder) OnRequest(now float64, place int) (leave bool, counts PlaceSet) {
	h.expireCounts(now)
	if place >= 0 && place < len(h.given) && place != h.place {
		g := &h.given[place]
		if !g.counted {
			g.counted, g.countedSince = true, now
		}
		g.dead = false
		g.lastRequestAt = now // counted from here on as if it had leave, which it may have of others
		leave = now-g.countedSince >= h.retention()
	}
	return leave, h.Counted(now)
}

// OnGrant takes what the holder of a place says to an ask that was sent at a time of this process's clock.
func (h *Holder) OnGrant(sent float64, place int, given bool, counts PlaceSet) {
	if place < 0 || place >= len(h.received) || place == h.place || sent < h.received[place].requestedAt {
		return
	}
	h.received[place] = receivedGrant{sent, given, counts}
}

// OnDead says that the holder of a place is taken for gone. It may be wrong: all that follows is that the place is counted
// no longer than it has to be, where one that is only not heard for a while keeps its leave.
func (h *Holder) OnDead(place int) {
	if place >= 0 && place < len(h.given) {
		h.given[place].dead = true
	}
}

// expireCounts drops from the count whose last leave is over for so long that nothing it sent in its lease counts any more.
func (h *Holder) expireCounts(now float64) {
	for i := range h.given {
		if g := &h.given[i]; g.counted && i != h.place && now-g.lastRequestAt > h.retention() && (g.dead || now-g.lastRequestAt > h.retention()+h.config.ProbeInterval) {
			g.counted = false
		}
	}
}

// Counted is whom this process counts: itself, and all that may hold leave of it, or may do so soon.
func (h *Holder) Counted(now float64) PlaceSet {
	h.expireCounts(now)
	s := make(PlaceSet, (h.config.Places+63)/64)
	for i, g := range h.given {
		if g.counted || i == h.place {
			s = s.add(i)
		}
	}
	return s
}

// quorum is more than half of all places.
func (h *Holder) quorum() int { return h.config.Places/2 + 1 }

// Sharers is how many share what a cold node bears, as far as this process has to reckon with; 0 if it takes no part, as
// it holds no lease.
func (h *Holder) Sharers(now float64) int {
	if h.place < 0 || h.place >= h.config.Places {
		return 0
	}
	leaves, all := 1, h.Counted(now)
	if now-h.startedAt < h.retention() {
		return 0 // what was sent in its last life still counts, and others may not count it yet
	}
	for _, l := range h.received {
		if l.granted && now-l.requestedAt < h.config.LeaseDuration {
			leaves++
			for i, w := range l.counted {
				if i < len(all) {
					all[i] |= w
				}
			}
		}
	}
	if leaves < h.quorum() {
		return 0
	}
	return all.Len()
}

// Grants is how many others give it leave now.
func (h *Holder) Grants(now float64) (n int) {
	for _, l := range h.received {
		if l.granted && now-l.requestedAt < h.config.LeaseDuration {
			n++
		}
	}
	return n
}

// Expiry is when the lease that it holds now will end if nobody says anything more; 0 if it holds none.
func (h *Holder) Expiry(now float64) float64 {
	var ends []float64
	for _, l := range h.received {
		if l.granted && now-l.requestedAt < h.config.LeaseDuration {
			ends = append(ends, l.requestedAt+h.config.LeaseDuration)
		}
	}
	if len(ends)+1 < h.quorum() {
		return 0
	}
	if h.quorum() == 1 {
		return math.Inf(1)
	}
	slices.Sort(ends)
	return ends[len(ends)-(h.quorum()-1)] // that of the last who is needed
}
