package control

import (
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
)

// Footprint is the size of a Runner's data structures.
type Footprint struct {
	PendingMessages     int // messages that the loop has not taken yet
	PendingMessageBytes int
	PendingCalls        int
	Replica             consensus.Footprint
	Zones               zones.Footprint
}

// Measure queues a call of f with the footprint on the loop's goroutine. Pending messages and calls are counted when Measure is called. The call
// is dropped if MaxPendingMessages calls are pending because the loop does not run.
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
