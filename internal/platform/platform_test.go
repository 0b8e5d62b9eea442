package platform

import (
	"slices"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestServed goes the whole way: a set-up, its answer with the node's description byte for byte, its end.
func TestServed(t *testing.T) {
	for _, job := range []string{"batch", "marked", "single"} {
		t.Run(job, func(t *testing.T) {
			r := begin(t, "a")
			x, n := r.dial(), r.nodes["a"]
			x.send(codec.AppendTest(nil, 9, false))
			x.ask(7, job)
			r.pass(200)
			x.want("served", "9 tested 1", "7 served "+n.describes(7))
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.Normal))
			r.pass(50)
			x.want("its end", "9 tested 1", "7 served "+n.describes(7), "7 end 16")
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.Normal))
			r.pass(3000)
			x.want("told twice", "9 tested 1", "7 served "+n.describes(7), "7 end 16")
			if len(r.s.requests)+len(r.s.tasks) > 0 || r.s.admit.Open() != 0 {
				t.Errorf("%d asks, %d tasks, %d open are kept", len(r.s.requests), len(r.s.tasks), r.s.admit.Open())
			}
		})
	}
}

// TestOutlives has what stands outlive the client's connection: its end, or that it is to be asked for again, is told on
// another, or on the next to come.
func TestOutlives(t *testing.T) {
	for _, c := range []struct {
		name    string
		another bool
		ends    func(r *rig)
		want    string
	}{
		{"ends, another", true, ends, "7 end 16"},
		{"ends, none", false, ends, "7 end 16"},
		{"moved, another", true, moves, "7 move"},
		{"moved, none", false, moves, "7 move"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := begin(t, "a")
			x := r.dial()
			x.ask(7, "batch")
			r.pass(100)
			var y *testClient
			if c.another {
				y = r.dial()
				y.ask(8, "batch")
				r.pass(100)
			}
			x.conn.Close(true, nil)
			r.pass(100)
			c.ends(r)
			r.pass(100)
			if !c.another {
				y = r.dial()
				y.ask(8, "batch")
				r.pass(300)
			}
			if !slices.Contains(y.got, c.want) {
				t.Errorf("%q, want %s", y.got, c.want)
			}
			if n := len(r.nodes["a"].ended); n > 0 {
				t.Errorf("the node was told %d times beside it", n)
			}
		})
	}
}

func ends(r *rig) { r.nodes["a"].conns[0].send(codec.AppendEnd(nil, 7, codec.Normal)) }

func moves(r *rig) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	edge{r.s}.NotifyMove(r.s.tasks[7].alloc)
}

// TestFound takes over what nodes hold after a start; no answer is owed, its end is told.
func TestFound(t *testing.T) {
	r := begin(t, "a")
	x := r.dial()
	x.send(setUp(7, "single", codec.Figures, figures+";at:a"))
	x.send(setUp(7, "single", codec.Figures, figures+";at:a"))
	x.send(setUp(8, "single", codec.Figures, figures+";at:nowhere"))
	r.pass(4000)
	x.want("nothing but for the one nowhere", "8 end 41")
	if len(r.nodes["a"].conns) == 0 {
		t.Fatal("no connection on which the node could tell its end")
	}
	if open := open(r.nodes["a"]); len(open) != 1 {
		t.Fatalf("%d connections are open: each look takes the place of the one before", len(open))
	} else {
		open[0].send(codec.AppendEnd(nil, 7, codec.Normal))
	}
	r.pass(100)
	x.want("its end", "8 end 41", "7 end 16")
}

// TestStop has a scheduler told to end under load: all that it takes is answered, and what stands is left standing.
func TestStop(t *testing.T) {
	r := begin(t, "a")
	n := r.nodes["a"]
	x := r.dial()
	task := uint64(0)
	env.Every(r.clients, 40, func() bool {
		task++
		x.ask(task, "single")
		return task < 30
	})
	slow := n.does
	n.does = func(e *ear, task uint64) {
		if slow == nil && task%5 == 0 {
			return // never answered
		}
		n.p.After(30, func() { n.answer(e, task) })
	}
	r.pass(600)
	r.s.Stop()
	r.pass(300)
	y := r.dial()
	y.ask(1001, "batch")
	r.pass(3400)
	select {
	case <-r.s.Done():
	default:
		t.Fatal("not ended")
	}
	if len(x.got) != 30 || len(y.got) != 1 {
		t.Errorf("%d of 30 answered, %d of 1: %q", len(x.got), len(y.got), x.got)
	}
	if len(n.stands) != 25 {
		t.Errorf("%d stand, want 25", len(n.stands))
	}
	if z := r.dial(); !z.ended {
		t.Error("the door is open still")
	}
}
