package membership

import (
	"math"

	"ravenpond/internal/decide/slowstart"
)

// SlowStartSharers returns the largest number of processes that may share the slow-start limit, or 0 if this process holds no lease, and the
// time in ms until which the number is valid without further replies.
func (d *Detector) SlowStartSharers(now float64) (n int, until float64) {
	return d.leaseSharers(d.slowStart, now)
}

// QuotaSharers returns the largest number of processes that may share the leased quota, or 0 if this process holds no lease, and the time in
// ms until which the number is valid without further replies.
func (d *Detector) QuotaSharers(now float64) (n int, until float64) {
	return d.leaseSharers(d.quota, now)
}

// leaseSharers returns the number of sharers according to a holder, and when its lease expires in ms.
func (d *Detector) leaseSharers(holder *slowstart.Holder, now float64) (n int, until float64) {
	if holder == nil || d.nameConflict || d.leaving {
		return 0, now
	}
	if d.config.Faults.GrowShares {
		return d.Count().Alive + 1, math.Inf(1)
	}
	return holder.Sharers(now), holder.Expiry(now)
}

// Grants returns how many other processes grant this one its slow-start lease, and how many grants it needs.
func (d *Detector) Grants(now float64) (granted, needed int) {
	if d.slowStart == nil {
		return 0, 0
	}
	return d.slowStart.Grants(now), d.config.Places / 2
}

// onLeaseReply handles the lease reply in the ack of a probe that was sent at the given time.
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
