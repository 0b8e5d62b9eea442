package platform

import (
	"testing"

	codec "ravenpond/internal/proto/platform"
)

const pauseTime = 1950 // ms; beyond the time after which the journal service and a health check count as silent

// pauseWhile stops the process for pauseTime, and calls f in the middle of it.
func (r *simRig) pauseWhile(f func()) {
	r.process.Pause()
	r.advance(pauseTime / 2)
	f()
	r.advance(pauseTime / 2)
	r.process.Resume()
}

// TestDrainDuringPause guards against work that is sent to a draining node after a pause of the process: the notice lies unread on the connection
// to the journal service, which was closed as silent before it was read.
func TestDrainDuringPause(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	r.advance(500)
	connections := len(r.journal.conns)
	r.pauseWhile(func() {
		r.journal.publish(entryJSON("a", "a", "draining"))
		for task := range uint64(20) {
			x.request(task+1, "batch")
		}
	})
	r.advance(2000)
	if n := len(r.nodes["a"].setUps); n > 0 {
		t.Errorf("the draining node was sent %d attempts", n)
	}
	if len(x.received) != 20 {
		t.Errorf("%d requests were answered, want 20", len(x.received))
	}
	if got := len(r.journal.conns) - connections; got > 0 {
		t.Errorf("%d further connections to the journal service, want none", got)
	}
}

// TestEndDuringPause guards against an end that is told late: it lies unread on a connection to the node that was closed, as the health check on it was
// not answered, before it was read.
func TestEndDuringPause(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "batch")
	r.advance(200)
	n.process.Pause() // it does not answer the health check
	r.server.mu.Lock()
	for _, c := range r.server.nodes.byName["a"].conns {
		c.startProbe(99)
	}
	r.server.mu.Unlock()
	r.pauseWhile(func() { n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal)) })
	r.advance(200)
	x.want("after the pause", "7 served "+n.description(7), "7 end 16")
}
