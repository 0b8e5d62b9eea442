package membership

import (
	"math"

	"ravenpond/internal/decide/slowstart"
)

// SlowStartSharers returns how many processes share the slow-start budget at most, or 0 if this one has no lease on a share, and the time in ms
// until which this holds without further replies.
func (d *Detector) SlowStartSharers(now float64) (n int, until float64) {
	return d.leaseSharers(d.slowStart, now)
}

// QuotaSharers returns how many processes share the leased quota at most, or 0 if this one has no lease on a share, and the time in ms until
// which this holds without further replies.
func (d *Detector) QuotaSharers(now float64) (n int, until float64) {
	return d.leaseSharers(d.quota, now)
}

// leaseSharers returns the number of sharers by a lease and the lease's end.
func (d *Detector) leaseSharers(holder *slowstart.Holder, now float64) (n int, until float64) {
	if holder == nil || d.nameConflict || d.leaving {
		return 0, now
	}
	if d.config.Faults.GrowShares {
		return d.Count().Alive + 1, math.Inf(1)
	}
	return holder.Sharers(now), holder.Expiry(now)
}

// Grants returns how many others grant this process its lease, and how many grants it needs.
func (d *Detector) Grants(now float64) (granted, needed int) {
	if d.slowStart == nil {
		return 0, 0
	}
	return d.slowStart.Grants(now), d.config.Places / 2
}

// onLeaseReply handles the lease grants in an ack of a probe that was sent at a time.
func (d *Detector) onLeaseReply(sent float64) {
	lease := &d.header.lease
	if d.slowStart == nil || lease.place == 0 {
		return
	}
	d.slowStart.OnGrant(sent, lease.place-1, lease.granted, slowstart.ParsePlaceSet(lease.counted))
	if d.quota != nil {
		d.quota.OnGrant(sent, lease.place-1, lease.quotaGranted, slowstart.ParsePlaceSet(lease.quotaCounted))
	}
}
