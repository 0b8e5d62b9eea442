package control

import (
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
)

// MaxPendingMessages is how many messages, and how many calls, wait for the loop at most.
const MaxPendingMessages = maxPendingMessages

// Footprint is the size of what control holds, by structure.
type Footprint struct {
	PendingMessages     int // brought by members, not taken by the loop yet
	PendingMessageBytes int
	PendingCalls        int
	Replica             consensus.Footprint
	Judge               zones.Footprint
}

// Measure has f called with the footprint on the loop's goroutine. The pending ones are of the moment of the call; f is not
// called if the loop stands still and too much waits.
func (r *Runner) Measure(f func(Footprint)) {
	var footprint Footprint
	r.mu.Lock()
	footprint.PendingMessages, footprint.PendingCalls = len(r.messages), len(r.calls)
	for _, m := range r.messages {
		footprint.PendingMessageBytes += len(m.body)
	}
	r.mu.Unlock()
	r.Enqueue(func(c *consensus.Replica) {
		footprint.Replica = c.Footprint()
		footprint.Judge = r.judge.Footprint()
		f(footprint)
	})
}
