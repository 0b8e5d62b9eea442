package shardrouter

import (
	"maps"

	"ravenpond/internal/decide/shardownership"
)

const (
	// pauseAfterFence is how long, in ms, a service whose tasks must be spread is paused after a fence: until its next shard has heard
	// from the nodes what runs.
	pauseAfterFence = 2500

	minRoundsLeft = 10 // rounds before the answer margin that an allocation needs to be reassigned
)

// OrphanDecision is what becomes of an allocation whose shard is fenced or gave it away.
type OrphanDecision struct {
	shardownership.Orphan
	Shard int    // the shard that goes on with an allocation that is reassigned
	Epoch uint32 // and its epoch there
}

// Fence takes all allocations from a shard that is not to be trusted any more, and decides what becomes of each.
func (r *Router) Fence(now float64, shard int) []OrphanDecision {
	r.watchdog.Fence(now, shard)
	r.placement.MarkDown(shard)
	maps.DeleteFunc(r.moving, func(_ uint64, giver int) bool { return giver == shard })
	var decisions []OrphanDecision
	for _, orphan := range r.ownership.Fence(now, shard, r.config.AnswerMargin+minRoundsLeft*r.config.RoundInterval) {
		decisions = append(decisions, r.decideOrphan(now, shard, orphan))
	}
	return decisions
}

func (r *Router) decideOrphan(now float64, shard int, orphan shardownership.Orphan) OrphanDecision {
	d, service := OrphanDecision{Orphan: orphan}, orphan.Entry.Service
	r.placement.Remove(shard, service)
	spread := r.isSpread(orphan.Entry.JobClass)
	if spread { // the next shard must first hear what runs, or it would break the spread
		r.pausedUntil[service] = now + pauseAfterFence
	}
	switch {
	case d.Disposition == shardownership.Reassign:
		r.reassign(&d, spread)
	case d.Disposition == shardownership.Continue && orphan.Entry.Served: // else the client knows that it was not served
		r.addUnrecovered(now, orphan.ID, orphan.Entry.Request, orphan.Entry.LastAttempt)
	}
	return d
}

// reassign gives an orphan to another shard, or sheds it if none can take it.
func (r *Router) reassign(d *OrphanDecision, spread bool) {
	d.Disposition = shardownership.Shed
	if spread {
		return
	}
	if to, ok := r.placement.Place(d.Entry.Service, d.ID.Tenant, false); ok {
		d.Disposition, d.Shard, d.Epoch = shardownership.Reassign, to, r.ownership.Assign(d.ID, to, d.Entry.Request)
	}
}

// Health is what a check of all shards asks for.
type Health struct {
	Fence   []int // shards to fence
	Restart []int // shards to start, each until OnShardStarted or OnStartFailed
	Silent  []int // shards that have missed what is overdue
	// Overdue are allocations of silent shards that are answered for them now.
	Overdue []OrphanDecision
	// Lost are requests whose allocations ran at a fenced shard and were not recovered.
	Lost []shardownership.Request
}

// CheckHealth takes the time of each shard's last sign of life and how long its events wait, in ms.
func (r *Router) CheckHealth(now float64, heartbeats, delays []float64) Health {
	for shard, delay := range delays {
		r.placement.OnDelay(shard, delay)
	}
	var h Health
	h.Fence, h.Restart = r.watchdog.Check(now, heartbeats)
	for _, shard := range h.Restart { // starting takes as long as the disk takes
		r.watchdog.Unwatch(shard)
	}
	for shard, lastHeartbeat := range heartbeats {
		if r.stopped[shard] || !r.hasMissedAnswers(now, lastHeartbeat) {
			continue
		}
		h.Silent = append(h.Silent, shard)
		for _, orphan := range r.ownership.ShedOverdue(now, shard, r.OverdueMargin()+(now-lastHeartbeat)*silenceFraction) {
			h.Overdue = append(h.Overdue, OrphanDecision{Orphan: orphan})
		}
	}
	r.ownership.ExpireBars(now)
	for service, until := range r.pausedUntil {
		if now > until {
			delete(r.pausedUntil, service)
		}
	}
	h.Lost = r.expireUnrecovered(now)
	return h
}

// hasMissedAnswers reports whether a shard whose last round was at a time has missed what is overdue now. A shard that runs has a round when
// an answer is due, AnswerMargin before the deadline. A fixed time of silence must not decide: one that is longer than the margin lets
// deadlines pass before the silence is noticed. Where checks come late, so do the rounds of shards that run.
func (r *Router) hasMissedAnswers(now, lastRoundAt float64) bool {
	return now-lastRoundAt > r.config.AnswerMargin*(1-overdueFraction)+r.lateness
}

// overdueFraction is at which part of the answer margin before its deadline an allocation of a silent shard is answered for it.
const overdueFraction = 0.75

// silenceFraction is by which part of its silence a shard's allocations are answered earlier still: the longer it is silent, the less it is
// likely to answer, and the next check may be the first that comes late.
const silenceFraction = 0.25

// OverdueMargin returns how long before a deadline, in ms, an allocation of a silent shard is answered for it: earlier by as much as checks
// come late, because the next one may come as late as the last.
func (r *Router) OverdueMargin() float64 { return r.config.AnswerMargin*overdueFraction + r.lateness }

// SetLateness tells the router how late, in ms, the calls of CheckHealth come.
func (r *Router) SetLateness(lateness float64) { r.lateness = lateness }

// OnShardStarted records that a shard runs in its next incarnation, whose epochs begin at a value. A draining shard still ends.
func (r *Router) OnShardStarted(now float64, shard int, epoch uint32) {
	r.watchdog.Watch(now, shard)
	r.ownership.Epoch = max(r.ownership.Epoch, epoch)
	r.placement.MarkUp(shard)
	if r.draining[shard] {
		r.placement.MarkDraining(shard)
	}
}

// OnStartFailed records that a shard could not be started. It is to be started again after a while.
func (r *Router) OnStartFailed(now float64, shard int) {
	r.watchdog.Watch(now, shard)
	r.watchdog.Fence(now, shard)
}
