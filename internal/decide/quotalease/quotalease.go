// Package quotalease decides how much one process may use of a limit that applies to all processes together, while processes start, fail,
// pause and are partitioned.
//
// A fraction of each limit is leased: it is divided equally among the processes that hold a lease on it (package slowstart). The rest is
// never leased but divided among all processes of the site file, so that a process that reaches no other can still serve. All processes
// together never use more than the limit: each lease holder counts all other holders, and also a process whose lease has expired while
// requests that it admitted may still be open.
//
// Share computes a process's part of a limit; Lease tracks how many processes share the leased fraction. The package does no I/O and
// returns no errors. A Lease is not safe for concurrent use. Times are milliseconds on the caller's clock.
package quotalease

import "ravenpond/internal/decide/fairqueue"

// Share is a process's share of all limits at one moment. The zero value is the share of a process that is alone.
type Share struct {
	Processes      int     // number of processes in the site file
	Index          int     // index of this process among them, from 0
	LeasedFraction float64 // fraction of each limit that is leased, from 0 to 1
	Sharers        int     // number of processes that share the leased fraction; 0: this process has no lease on it
}

// Count returns the process's part of an integer limit. The leased part of the limit is rounded down to a multiple of the number of processes,
// so that no remainder is left unused when all processes hold a lease.
func (s Share) Count(limit int) int {
	leased := 0
	if s.Processes > 0 && limit > 0 {
		leased = int(float64(limit)*s.LeasedFraction/float64(s.Processes)) * s.Processes
	}
	part := fairqueue.DivideLimit(limit-leased, s.Processes, s.Index)
	if s.Sharers > 0 {
		part += leased / s.Sharers
	}
	return part
}

// Rate returns the process's part of a limit that need not be an integer, such as a rate.
func (s Share) Rate(limit float64) float64 {
	part := limit * (1 - s.LeasedFraction) / float64(max(1, s.Processes))
	if s.Sharers > 0 {
		part += limit * s.LeasedFraction / float64(s.Sharers)
	}
	return part
}

// Lease is a process's lease on the leased fraction of all limits. It expires by time alone, so that it also expires while the process is
// paused. The zero value is no lease.
type Lease struct {
	sharers int
	expiry  float64
	applied int // number of sharers that Current returned last, to which the caller has set the limits
}

// Set records how many processes share the leased fraction, 0 if this process has no lease, and the time at which that expires.
func (l *Lease) Set(sharers int, expiry float64) { l.sharers, l.expiry = sharers, expiry }

// Current returns how many processes share the leased fraction now, and whether that number has changed since the last call. If so, the caller
// must set the limits before it admits anything by them.
func (l *Lease) Current(now float64) (sharers int, changed bool) {
	if now < l.expiry {
		sharers = l.sharers
	}
	changed = sharers != l.applied
	l.applied = sharers
	return sharers, changed
}
