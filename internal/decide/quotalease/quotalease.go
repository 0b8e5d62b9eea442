// Package quotalease decides how much of a limit that holds for all processes together one of them may use while processes come,
// fail, stand still and lose each other. A part of each limit is divided by place and never lent, so who hears nobody still
// serves; the rest goes, in equal parts, to those who hold a lease on it (decide/slowstart). What all may use never exceeds the
// limit: those who hold a lease each reckon with all who do, and who held one reckons with what is still open by it.
package quotalease

import "ravenpond/internal/decide/fairqueue"

// Share is what a process may use of limits at a moment. The zero value is of a process that is alone.
type Share struct {
	Places, Index  int
	LeasedFraction float64 // part of each limit that is lent, from 0 to 1
	Sharers        int     // who share that; 0: this process has no lease on it
}

// Count is a process's part of a limit that is a number. What is lent is so much that it can be divided by place with nothing left,
// so that where all are there nothing lies idle.
func (p Share) Count(limit int) int {
	lent := 0
	if p.Places > 0 && limit > 0 {
		lent = int(float64(limit)*p.LeasedFraction/float64(p.Places)) * p.Places
	}
	part := fairqueue.DivideLimit(limit-lent, p.Places, p.Index)
	if p.Sharers > 0 {
		part += lent / p.Sharers
	}
	return part
}

// Rate is a process's part of a limit that can be divided as it is.
func (p Share) Rate(limit float64) float64 {
	part := limit * (1 - p.LeasedFraction) / float64(max(1, p.Places))
	if p.Sharers > 0 {
		part += limit * p.LeasedFraction / float64(p.Sharers)
	}
	return part
}

// Lease is what a process holds on lease: it ends by time alone, whatever the last look said, as after a stand-still.
type Lease struct {
	sharers int
	expiry  float64
	applied int // by which the limits were last set
}

// Set takes what the last look says: how many share, 0 if there is no lease, and until when that holds.
func (l *Lease) Set(sharers int, until float64) { l.sharers, l.expiry = sharers, until }

// Current is how many share as far as this process may use its part now, and whether that differs from the last time it was asked: then
// limits are to be set anew before anything passes by them.
func (l *Lease) Current(now float64) (sharers int, changed bool) {
	if now < l.expiry {
		sharers = l.sharers
	}
	changed = sharers != l.applied
	l.applied = sharers
	return sharers, changed
}
