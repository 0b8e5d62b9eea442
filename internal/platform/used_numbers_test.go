package platform

import (
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestNumberComesAgain guards against a second run of work whose number comes again after its client has left, or has withdrawn it, while an attempt was
// out. Work that never reached a node, and restartable work, may run.
func TestNumberComesAgain(t *testing.T) {
	leave := func(x *testClient) { x.conn.Close(true, nil) }
	withdraw := func(x *testClient) { x.send(codec.AppendEnd(nil, 7, codec.CauseNormal)) }
	for _, c := range []struct {
		name, class string
		depart      func(x *testClient)
		reached     bool // the attempt reached the node before
		setUps      int
	}{
		{"left, at most once", "single", leave, true, 1},
		{"withdrawn, at most once", "single", withdraw, true, 1},
		{"left, restartable", "batch", leave, true, 2},
		{"left, at most once, never sent", "single", leave, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			n, x := r.nodes["a"], r.dial()
			n.onSetUp = func(*testConn, uint64) {}
			if !c.reached {
				n.listener.Close()
			}
			x.request(7, c.class)
			r.advance(100)
			c.depart(x)
			r.advance(100)
			if !c.reached {
				n.listen("a")
			}
			n.onSetUp = nil
			again := r.dial()
			again.request(7, c.class)
			r.advance(3000)
			if n.setUps[7] != c.setUps || len(again.received) != 1 {
				t.Errorf("the node received %d set-ups, want %d; the client received %q when its number came again", n.setUps[7], c.setUps, again.received)
			}
		})
	}
}
