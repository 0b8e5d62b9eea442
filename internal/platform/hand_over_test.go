package platform

import (
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestEndBeforeHandOver guards against tasks that are held for good: their nodes report the ends before the clients hand the tasks over, as after a
// restart of the scheduler, and don't report them again.
func TestEndBeforeHandOver(t *testing.T) {
	end := func(cause byte) func(*simRig) {
		return func(r *simRig) { r.nodes["a"].conns[0].send(codec.AppendEnd(nil, 7, cause)) }
	}
	for _, c := range []struct {
		name   string
		report func(r *simRig)
		wait   float64 // from the report to the hand-over, ms
		want   []string
	}{
		{"completed", end(codec.CauseNormal), 10, []string{"7 end 16"}},
		{"cut", end(codec.CauseReset), 10, []string{"7 end 41"}},
		{"cancelled", end(codec.CauseElsewhere), 10, []string{"7 end 31"}},
		{"half a minute before", end(codec.CauseNormal), 30000, []string{"7 end 16"}},
		{"rejected, so it never ran", end(codec.CauseFull), 10, nil},
		{"never sent", end(codec.CauseNotStarted), 10, nil},
		{"ended at another node", func(r *simRig) { r.nodes["b"].conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal)) }, 10, nil},
		{"several ends in one read", func(r *simRig) {
			var b []byte
			for task := range uint64(20) {
				b = codec.AppendEnd(b, task+1, codec.CauseNormal)
			}
			r.nodes["a"].conns[0].send(b)
		}, 10, []string{"7 end 16"}},
		{"reported twice", func(r *simRig) {
			end(codec.CauseNormal)(r)
			end(codec.CauseReset)(r)
		}, 10, []string{"7 end 16"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a", "b")
			r.connectNodes()
			c.report(r)
			r.advance(c.wait)
			x := r.dial()
			x.handOver()
			r.advance(50)
			x.want("after the hand-over", c.want...)
			if running := r.server.host.RunningTasks(); running != 1-len(c.want) {
				t.Errorf("%d tasks count as running", running)
			}
			x.handOver()
			r.advance(50)
			x.want("after the hand-over was repeated", append(slices.Clone(c.want), c.want...)...)
		})
	}
}

// connectNodes has the scheduler connect to all nodes.
func (r *simRig) connectNodes() {
	for _, n := range r.server.nodes.sorted() {
		n.dial()
	}
	r.advance(50)
}

// TestHandOverCrossesEnd guards against tasks that are held for good: the client's hand-over and the scheduler's notification of the end cross, so
// that the hand-over arrives after the scheduler has forgotten the task.
func TestHandOverCrossesEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(r *simRig, n *fakeNode)
		cause string
	}{
		{"reported by the node", func(r *simRig, n *fakeNode) {
			delete(n.running, 7)
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
			r.advance(10)
		}, "7 end 16"},
		{"its node has restarted", func(r *simRig, n *fakeNode) {
			startedAt := n.restart()
			r.advance(1000)
			r.journal.publish(entrySince(startedAt))
			r.advance(10)
		}, "7 end 41"},
		{"its node is cut off, and called failed", func(r *simRig, _ *fakeNode) {
			r.clock.SetCut("scheduler", "node-a", true)
			r.advance(12000)
		}, "7 end 41"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			n, x := r.nodes["a"], r.dial()
			x.handOver()
			r.connectNodes()
			n.running[7] = true
			r.advance(1000)
			c.end(r, n)
			x.want("after the end", c.cause)
			x.handOver()
			r.advance(50)
			x.want("after the hand-over that crossed it", c.cause, c.cause)
			if running := r.server.host.RunningTasks(); running != 0 {
				t.Errorf("%d tasks count as running", running)
			}
		})
	}
}

// TestStopAfterPartition guards against a task that runs on after it was called over, beside that of its client's next request: once its node can be
// reached again, the stop is sent on a new connection, even though an old one is still open.
func TestStopAfterPartition(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "batch")
	r.advance(1000)
	r.clock.SetCut("scheduler", "node-a", true)
	r.advance(12000)
	x.want("while the node is cut off", "7 served "+n.description(7), "7 end 41")
	r.clock.SetCut("scheduler", "node-a", false)
	r.advance(1000)
	if n.running[7] {
		t.Error("the task runs on")
	}
	looks := r.server.telemetry.counts[countNodeChecks]
	r.advance(30000)
	if got := r.server.telemetry.counts[countNodeChecks] - looks; got > 0 {
		t.Errorf("%d further checks of the node after the stop was sent, want none", got)
	}
}
