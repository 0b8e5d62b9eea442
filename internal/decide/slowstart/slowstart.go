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

// Drift is by how much two processes' clocks may differ in rate: one that counts 1 s may be compared with one that counts
// 1 s and this part more. It is far above what machines' clocks do.
const Drift = 0.01

// Set is a set of places.
type Set []uint64

// Has tells whether a place is in it.
func (s Set) Has(place int) bool { return place/64 < len(s) && s[place/64]>>(place%64)&1 == 1 }

func (s Set) with(place int) Set {
	for len(s) <= place/64 {
		s = append(s, 0)
	}
	s[place/64] |= 1 << (place % 64)
	return s
}

// Of is the set that bytes hold, the first place in the lowest bit of the first.
func Of(b []byte) (s Set) {
	for i, x := range b {
		if i/8 >= len(s) {
			s = append(s, 0)
		}
		s[i/8] |= uint64(x) << (8 * (i % 8))
	}
	return s
}

// Bytes is the set as Of reads it.
func (s Set) Bytes() (b []byte) {
	for _, w := range s {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return bytes.TrimRight(b, "\x00")
}

// Len is how many are in it.
func (s Set) Len() (n int) {
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Config says what is shared and how leases last. It has to be the same at all processes of a site.
type Config struct {
	Places int     // of the site file: as many schedulers may take part
	Lease  float64 // ms
	Window float64 // ms in which a node bears what it bears
	Turn   float64 // ms in which each process asks each other at least once, as long as both are well
}

// LeaseFor is how long a lease has to last where a process asks another each so many ms, in turn: long enough for half of
// them to be asked, with half as much again for those that do not answer.
func LeaseFor(places int, every float64) float64 { return 2000 + 1.5*float64(places/2+1)*every }

// leave is what one holder of a place has told this process.
type leave struct {
	sent   float64 // when this process asked for it, by its own clock
	given  bool
	counts Set
}

// given is what this process has told one other.
type given struct {
	counted bool
	since   float64 // from when on it counts the other
	last    float64 // when it was asked last
	gone    bool    // its holder is taken for gone
}

// Holder is one process's part in this.
type Holder struct {
	who   Config
	place int
	born  float64
	from  []leave // by place
	to    []given
}

// New begins a process's part. It knows of no leave that it gave before its start, so it counts all places, and gives no
// leave until any that it may have forgotten is over. A place of no number that the site file has takes no part.
func New(now float64, who Config, place int) *Holder {
	h := &Holder{who: who, place: place, born: now, from: make([]leave, who.Places), to: make([]given, who.Places)}
	for i := range h.to {
		h.to[i] = given{counted: true, since: now, last: now}
		h.from[i].sent = math.Inf(-1)
	}
	return h
}

// keep is for how long after its leave a process is counted, and before.
func (h *Holder) keep() float64 { return (h.who.Lease + h.who.Window) * (1 + Drift) }

// Asked answers the holder of a place that asks for leave: whether it has it, and whom this process counts. Who is held
// for gone, because it has asked for nothing for long, is counted from now on, and has leave when all can know of it.
func (h *Holder) Asked(now float64, place int) (leave bool, counts Set) {
	h.prune(now)
	if place >= 0 && place < len(h.to) && place != h.place {
		g := &h.to[place]
		if !g.counted {
			g.counted, g.since = true, now
		}
		g.gone = false
		g.last = now // counted from here on as if it had leave, which it may have of others
		leave = now-g.since >= h.keep()
	}
	return leave, h.Counted(now)
}

// Answered takes what the holder of a place says to an ask that was sent at a time of this process's clock.
func (h *Holder) Answered(sent float64, place int, given bool, counts Set) {
	if place < 0 || place >= len(h.from) || place == h.place || sent < h.from[place].sent {
		return
	}
	h.from[place] = leave{sent, given, counts}
}

// Gone says that the holder of a place is taken for gone. It may be wrong: all that follows is that the place is counted
// no longer than it has to be, where one that is only not heard for a while keeps its leave.
func (h *Holder) Gone(place int) {
	if place >= 0 && place < len(h.to) {
		h.to[place].gone = true
	}
}

// prune drops from the count whose last leave is over for so long that nothing it sent in its lease counts any more.
func (h *Holder) prune(now float64) {
	for i := range h.to {
		if g := &h.to[i]; g.counted && i != h.place && now-g.last > h.keep() && (g.gone || now-g.last > h.keep()+h.who.Turn) {
			g.counted = false
		}
	}
}

// Counted is whom this process counts: itself, and all that may hold leave of it, or may do so soon.
func (h *Holder) Counted(now float64) Set {
	h.prune(now)
	s := make(Set, (h.who.Places+63)/64)
	for i, g := range h.to {
		if g.counted || i == h.place {
			s = s.with(i)
		}
	}
	return s
}

// quorum is more than half of all places.
func (h *Holder) quorum() int { return h.who.Places/2 + 1 }

// Sharers is how many share what a cold node bears, as far as this process has to reckon with; 0 if it takes no part, as
// it holds no lease.
func (h *Holder) Sharers(now float64) int {
	if h.place < 0 || h.place >= h.who.Places {
		return 0
	}
	leaves, all := 1, h.Counted(now)
	if now-h.born < h.keep() {
		return 0 // what was sent in its last life still counts, and others may not count it yet
	}
	for _, l := range h.from {
		if l.given && now-l.sent < h.who.Lease {
			leaves++
			for i, w := range l.counts {
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

// Leaves is how many others give it leave now.
func (h *Holder) Leaves(now float64) (n int) {
	for _, l := range h.from {
		if l.given && now-l.sent < h.who.Lease {
			n++
		}
	}
	return n
}

// Until is when the lease that it holds now will end if nobody says anything more; 0 if it holds none.
func (h *Holder) Until(now float64) float64 {
	var ends []float64
	for _, l := range h.from {
		if l.given && now-l.sent < h.who.Lease {
			ends = append(ends, l.sent+h.who.Lease)
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
