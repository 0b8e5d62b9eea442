// Package quotalease decides how much of a limit that holds for all processes together one process may use, while processes start, fail,
// pause and are partitioned.
//
// A fraction of each limit is leased: it is divided equally among the processes that hold a lease on it (package slowstart). The rest is
// divided by place and never leased, so that a process that reaches no other still serves. All processes together never use more than the
// limit: each lease holder counts all others, and one whose lease expired counts what it has still open.
//
// Share computes a process's part of a limit; Lease tracks how many processes share the leased fraction. The package does no I/O and
// returns no errors. A Lease is not safe for concurrent use. Times are milliseconds on the caller's clock.
package quotalease

import "ravenpond/internal/decide/fairqueue"

// Share is a process's share of all limits at one moment. The zero value is of a process that is alone.
type Share struct {
	Places         int     // processes in the site file
	Index          int     // of this process, from 0
	LeasedFraction float64 // of each limit that is leased, from 0 to 1
	Sharers        int     // processes that share the leased fraction; 0: this process has no lease on it
}

// Count returns a process's part of a limit that is a whole number. The leased part is rounded down to a multiple of the places, so that
// nothing is left over when all processes hold a lease.
func (s Share) Count(limit int) int {
	leased := 0
	if s.Places > 0 && limit > 0 {
		leased = int(float64(limit)*s.LeasedFraction/float64(s.Places)) * s.Places
	}
	part := fairqueue.DivideLimit(limit-leased, s.Places, s.Index)
	if s.Sharers > 0 {
		part += leased / s.Sharers
	}
	return part
}

// Rate returns a process's part of a limit that is a real number, as a rate.
func (s Share) Rate(limit float64) float64 {
	part := limit * (1 - s.LeasedFraction) / float64(max(1, s.Places))
	if s.Sharers > 0 {
		part += limit * s.LeasedFraction / float64(s.Sharers)
	}
	return part
}

// Lease is what a process knows of its lease on the leased fraction. It ends by time alone, so that it also ends for a process that was
// paused. The zero value is of a process without a lease.
type Lease struct {
	sharers int
	expiry  float64
	applied int // sharers that Current returned last, by which the limits are set
}

// Set records how many processes share, 0 if this one has no lease, and until when that holds.
func (l *Lease) Set(sharers int, expiry float64) { l.sharers, l.expiry = sharers, expiry }

// Current returns how many processes share now, and whether that has changed since the last call: then the caller sets the limits anew
// before anything passes by them.
func (l *Lease) Current(now float64) (sharers int, changed bool) {
	if now < l.expiry {
		sharers = l.sharers
	}
	changed = sharers != l.applied
	l.applied = sharers
	return sharers, changed
}
