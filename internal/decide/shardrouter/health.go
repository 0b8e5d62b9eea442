package shardrouter

import (
	"maps"

	"ravenpond/internal/decide/shardownership"
)

const (
	// pauseAfterFence is how long, in ms, a service whose tasks must be spread is paused after a fence, so that the nodes can report to the
	// service's next shard what runs. The pause lasts until pauseAfterStart after the start of the shard's next incarnation, as only then the nodes
	// are asked for what they hold, but no longer than recoveryTimeout.
	pauseAfterFence = 2500
	pauseAfterStart = 1000 // ms

	minRoundsLeft = 10 // an allocation is reassigned only if this many rounds of a shard fit before its answer margin
)

// OrphanDecision is the decision about an allocation whose shard was fenced or handed it over.
type OrphanDecision struct {
	shardownership.Orphan
	Shard int    // the new owner, if the disposition is Reassign
	Epoch uint32 // the epoch of the new owner's claim
}

// Fence takes all allocations from a shard whose state can't be trusted any more, and returns the decision about each.
func (r *Router) Fence(now float64, shard int) []OrphanDecision {
	r.watchdog.Fence(now, shard)
	r.placement.MarkDown(shard)
	maps.DeleteFunc(r.moving, func(_ uint64, source int) bool { return source == shard })
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
	if spread { // the next shard must first learn what runs, or its placements could violate the spread
		r.pausedUntil[service] = now + pauseAfterFence
		r.awaitingStart[service] = shardStart{shard, now + recoveryTimeout}
	}
	switch {
	case d.Disposition == shardownership.Reassign:
		r.reassign(&d, spread)
	case d.Disposition == shardownership.Continue && orphan.Entry.Served: // otherwise the client was told that the allocation is not served
		r.addUnrecovered(now, orphan.ID, orphan.Entry.Request, orphan.Entry.LastAttempt)
	}
	return d
}

// reassign assigns an orphan to another shard. It sheds the orphan if its service must be spread or no shard accepts it.
func (r *Router) reassign(d *OrphanDecision, spread bool) {
	d.Disposition = shardownership.Shed
	if spread {
		return
	}
	if to, ok := r.placement.Place(d.Entry.Service, d.ID.Tenant, false); ok {
		d.Disposition, d.Shard, d.Epoch = shardownership.Reassign, to, r.ownership.Assign(d.ID, to, d.Entry.Request)
	}
}

// Health is the result of a check of all shards.
type Health struct {
	Fence   []int // shards to fence
	Restart []int // shards to start; each is reported by OnShardStarted or OnStartFailed
	Silent  []int // shards that have missed the time to answer overdue allocations
	// Overdue are allocations of silent shards that the caller answers in their place.
	Overdue []OrphanDecision
	// Lost are the requests of allocations that were running when their shard was fenced or handed them over, and that were not recovered
	// within recoveryTimeout.
	Lost []shardownership.Request
}

// CheckHealth checks all shards. heartbeats are the times of their last heartbeats, delays the ms that the oldest event waits at each.
func (r *Router) CheckHealth(now float64, heartbeats, delays []float64) Health {
	for shard, delay := range delays {
		r.placement.OnDelay(shard, delay)
	}
	var h Health
	h.Fence, h.Restart = r.watchdog.Check(now, heartbeats)
	for _, shard := range h.Restart { // a start writes to the disk and can take longer than a shard may be silent
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
	maps.DeleteFunc(r.awaitingStart, func(_ uint64, start shardStart) bool { return now > start.until })
	h.Lost = r.expireUnrecovered(now)
	return h
}

// hasMissedAnswers reports whether a shard whose last round was at lastRoundAt has missed answers that are overdue now. A shard that runs has
// a round when an answer is due, AnswerMargin before the deadline. The limit is derived from AnswerMargin, because with a fixed time of
// silence that is longer than the margin, deadlines would pass before the silence is noticed. The lateness of the checks is added, because
// on a busy machine the rounds of healthy shards come as late as the checks.
func (r *Router) hasMissedAnswers(now, lastRoundAt float64) bool {
	return now-lastRoundAt > r.config.AnswerMargin*(1-overdueFraction)+r.lateness
}

// overdueFraction is the fraction of the answer margin that is left before the deadline when the router answers in place of a silent shard.
const overdueFraction = 0.75

// silenceFraction is the fraction of a shard's silence by which its allocations are answered earlier still: the longer a shard is silent, the
// less likely it is to answer, and the next check may be the first that comes late.
const silenceFraction = 0.25

// OverdueMargin returns how long before a deadline, in ms, the router answers in place of a silent shard. It grows with the lateness of the
// checks, because the next check may come as late as the last one.
func (r *Router) OverdueMargin() float64 { return r.config.AnswerMargin*overdueFraction + r.lateness }

// SetCheckLateness sets how late, in ms, the calls of CheckHealth come.
func (r *Router) SetCheckLateness(lateness float64) { r.lateness = lateness }

// shardStart is the start of a shard that is awaited until a time.
type shardStart struct {
	shard int
	until float64
}

// isPaused reports whether a service gets no new allocations for now.
func (r *Router) isPaused(now float64, service uint64) bool {
	return now < r.pausedUntil[service] || now < r.awaitingStart[service].until
}

// endStartWaits lets the services go on, after a pause, that have waited for a shard to start.
func (r *Router) endStartWaits(now float64, shard int) {
	for service, start := range r.awaitingStart {
		if start.shard == shard {
			r.pausedUntil[service] = max(r.pausedUntil[service], now+pauseAfterStart)
			delete(r.awaitingStart, service)
		}
	}
}

// OnShardStarted records that the next incarnation of a shard runs. Its epochs begin at epoch. A shard that was draining keeps draining.
func (r *Router) OnShardStarted(now float64, shard int, epoch uint32) {
	r.watchdog.Watch(now, shard)
	r.endStartWaits(now, shard)
	r.ownership.Epoch = max(r.ownership.Epoch, epoch)
	r.placement.MarkUp(shard)
	if r.draining[shard] {
		r.placement.MarkDraining(shard)
	}
}

// OnStartFailed records that a shard could not be started. The watchdog schedules the next start as after a fence.
func (r *Router) OnStartFailed(now float64, shard int) {
	r.watchdog.Watch(now, shard)
	r.watchdog.Fence(now, shard)
}
