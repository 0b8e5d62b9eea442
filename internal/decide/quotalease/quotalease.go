// Package quotalease decides how much of a limit that holds for all processes together one of them may use while processes come,
// fail, stand still and lose each other. A part of each limit is divided by place and never lent, so who hears nobody still
// serves; the rest goes, in equal parts, to those who hold a lease on it (decide/slowstart). What all may use never exceeds the
// limit: those who hold a lease each reckon with all who do, and who held one reckons with what is still open by it.
package quotalease

import "ravenpond/internal/decide/fairqueue"

// Share is what a process may use of limits at a moment. The zero value is of a process that is alone.
type Share struct {
	Places, Index int
	Lends         float64 // part of each limit that is lent, from 0 to 1
	Sharers       int     // who share that; 0: this process has no lease on it
}

// Whole is a process's part of a limit that is a number. What is lent is so much that it can be divided by place with nothing left,
// so that where all are there nothing lies idle.
func (p Share) Whole(limit int) int {
	lent := 0
	if p.Places > 0 && limit > 0 {
		lent = int(float64(limit)*p.Lends/float64(p.Places)) * p.Places
	}
	part := fairqueue.Part(limit-lent, p.Places, p.Index)
	if p.Sharers > 0 {
		part += lent / p.Sharers
	}
	return part
}

// Rate is a process's part of a limit that can be divided as it is.
func (p Share) Rate(limit float64) float64 {
	part := limit * (1 - p.Lends) / float64(max(1, p.Places))
	if p.Sharers > 0 {
		part += limit * p.Lends / float64(p.Sharers)
	}
	return part
}

// Lease is what a process holds on lease: it ends by time alone, whatever the last look said, as after a stand-still.
type Lease struct {
	sharers int
	until   float64
	used    int // by which the limits were last set
}

// Take takes what the last look says: how many share, 0 if there is no lease, and until when that holds.
func (l *Lease) Take(sharers int, until float64) { l.sharers, l.until = sharers, until }

// Now is how many share as far as this process may use its part now, and whether that differs from the last time it was asked: then
// limits are to be set anew before anything passes by them.
func (l *Lease) Now(now float64) (sharers int, turned bool) {
	if now < l.until {
		sharers = l.sharers
	}
	turned = sharers != l.used
	l.used = sharers
	return sharers, turned
}
