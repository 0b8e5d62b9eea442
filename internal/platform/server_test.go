package platform

import (
	"slices"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestServed follows a request all the way: a set-up, its answer with the node's description byte for byte, its end.
func TestServed(t *testing.T) {
	for _, job := range []string{"batch", "marked", "single"} {
		t.Run(job, func(t *testing.T) {
			r := startRig(t, "a")
			x, n := r.dial(), r.nodes["a"]
			x.send(codec.AppendTest(nil, 9, false))
			x.request(7, job)
			r.pass(200)
			x.want("served", "9 tested 1", "7 served "+n.description(7))
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
			r.pass(50)
			x.want("its end", "9 tested 1", "7 served "+n.description(7), "7 end 16")
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
			r.pass(3000)
			x.want("told twice", "9 tested 1", "7 served "+n.description(7), "7 end 16")
			if len(r.server.requests.byAlloc)+len(r.server.requests.byTask) > 0 || r.server.requests.admission.Open() != 0 {
				t.Errorf("%d asks, %d tasks, %d open are kept", len(r.server.requests.byAlloc), len(r.server.requests.byTask), r.server.requests.admission.Open())
			}
		})
	}
}

// TestTaskOutlivesConnection has a running task outlive the client's connection: its end, or that it is to be requested anew, is notified on another connection, or on
// the next one.
func TestTaskOutlivesConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		another bool
		ends    func(r *simRig)
		want    string
	}{
		{"ends, another", true, ends, "7 end 16"},
		{"ends, none", false, ends, "7 end 16"},
		{"moved, another", true, moves, "7 move"},
		{"moved, none", false, moves, "7 move"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			x := r.dial()
			x.request(7, "batch")
			r.pass(100)
			var y *testClient
			if c.another {
				y = r.dial()
				y.request(8, "batch")
				r.pass(100)
			}
			x.conn.Close(true, nil)
			r.pass(100)
			c.ends(r)
			r.pass(100)
			if !c.another {
				y = r.dial()
				y.request(8, "batch")
				r.pass(300)
			}
			if !slices.Contains(y.received, c.want) {
				t.Errorf("%q, want %s", y.received, c.want)
			}
			if n := len(r.nodes["a"].ended); n > 0 {
				t.Errorf("the node was told %d times beside it", n)
			}
		})
	}
}

func ends(r *simRig) { r.nodes["a"].conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal)) }

func moves(r *simRig) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	hostEffects{r.server}.NotifyMove(r.server.requests.byTask[7].allocID)
}

// TestRecoverTask takes over tasks that run at nodes after a start: no answer is sent for them, their ends are notified.
func TestRecoverTask(t *testing.T) {
	r := startRig(t, "a")
	x := r.dial()
	x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:a"))
	x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:a"))
	x.send(setUp(8, "single", codec.ParamDemand, demandText+";at:nowhere"))
	r.pass(4000)
	x.want("nothing but for the one nowhere", "8 end 41")
	if len(r.nodes["a"].conns) == 0 {
		t.Fatal("no connection on which the node could tell its end")
	}
	if open := open(r.nodes["a"]); len(open) != 1 {
		t.Fatalf("%d connections are open: each look takes the place of the one before", len(open))
	} else {
		open[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	}
	r.pass(100)
	x.want("its end", "8 end 41", "7 end 16")
}

// TestStop stops a scheduler under load: all that it accepts is answered, and running tasks run on.
func TestStop(t *testing.T) {
	r := startRig(t, "a")
	n := r.nodes["a"]
	x := r.dial()
	task := uint64(0)
	env.Every(r.clients, 40, func() bool {
		task++
		x.request(task, "single")
		return task < 30
	})
	slow := n.onSetUp
	n.onSetUp = func(e *testConn, task uint64) {
		if slow == nil && task%5 == 0 {
			return // never answered
		}
		n.process.After(30, func() { n.answer(e, task) })
	}
	r.pass(600)
	r.server.Stop()
	r.pass(300)
	y := r.dial()
	y.request(1001, "batch")
	r.pass(3400)
	select {
	case <-r.server.Done():
	default:
		t.Fatal("not ended")
	}
	if len(x.received) != 30 || len(y.received) != 1 {
		t.Errorf("%d of 30 answered, %d of 1: %q", len(x.received), len(y.received), x.received)
	}
	if len(n.running) != 25 {
		t.Errorf("%d stand, want 25", len(n.running))
	}
	if z := r.dial(); !z.ended {
		t.Error("the door is open still")
	}
}
