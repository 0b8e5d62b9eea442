package shardrouter

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
)

// Resize is a change of the number of shards.
type Resize struct {
	Start []int // shards to start
	Drain []int // shards that end once they hold nothing
}

// Resize changes the number of shards: those with the lowest indices run, the others drain. It returns an error if the number is out of range.
func (r *Router) Resize(now float64, shards int) (Resize, error) {
	if shards < 1 || shards > r.config.MaxShards {
		return Resize{}, fmt.Errorf("cannot run %d shards: until the process is restarted, the number must be from 1 to %d", shards, r.config.MaxShards)
	}
	var change Resize
	for i := range r.config.MaxShards {
		switch {
		case i >= shards && !r.stopped[i] && !r.draining[i]:
			r.draining[i] = true
			r.placement.MarkDraining(i)
			change.Drain = append(change.Drain, i)
		case i < shards && r.draining[i]: // its drain is cancelled
			delete(r.draining, i)
			if r.placement.IsUp(i) {
				r.placement.MarkUp(i)
			}
		case i < shards && r.stopped[i]:
			delete(r.stopped, i)
			r.addedAt[i] = now
			change.Start = append(change.Start, i)
		}
	}
	return change, nil
}

// IsStopped reports whether a shard has ended or was never started.
func (r *Router) IsStopped(shard int) bool { return r.stopped[shard] }

// IsDraining reports whether a shard is to end once it holds nothing.
func (r *Router) IsDraining(shard int) bool { return r.draining[shard] }

// OnDrained ends a draining shard whose engine holds nothing more. It returns false if the drain was cancelled. rest are the decisions about
// allocations that were assigned to the shard in the meantime, which the caller answers.
func (r *Router) OnDrained(now float64, shard int) (rest []OrphanDecision, ok bool) {
	if !r.draining[shard] {
		return nil, false
	}
	delete(r.draining, shard)
	r.stopped[shard] = true
	r.placement.MarkDown(shard)
	r.watchdog.Unwatch(shard)
	for _, orphan := range r.ownership.Fence(now, shard, 0) {
		r.placement.Remove(shard, orphan.Entry.Service)
		if orphan.Disposition == shardownership.Reassign { // its request never reached the shard's engine, so a retry is safe
			orphan.Disposition = shardownership.Shed
		}
		rest = append(rest, OrphanDecision{Orphan: orphan})
	}
	return rest, true
}
