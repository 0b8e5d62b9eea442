package control

import (
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
)

// Footprint is the size of what a Runner holds, by structure.
type Footprint struct {
	PendingMessages     int // that the loop has not taken yet
	PendingMessageBytes int
	PendingCalls        int
	Replica             consensus.Footprint
	Zones               zones.Footprint
}

// Measure queues a call of f with the footprint on the loop's goroutine. What is pending is counted when Measure is called. The call is dropped
// if the loop stands still and MaxPendingMessages calls wait.
func (r *Runner) Measure(f func(Footprint)) {
	footprint := r.inbox.footprint()
	r.Enqueue(func(replica *consensus.Replica) {
		footprint.Replica = replica.Footprint()
		footprint.Zones = r.zones.Footprint()
		f(footprint)
	})
}

func (i *inbox) footprint() (f Footprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f.PendingMessages, f.PendingCalls = len(i.messages), len(i.calls)
	for _, m := range i.messages {
		f.PendingMessageBytes += len(m.body)
	}
	return f
}
