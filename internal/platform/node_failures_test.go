package platform

import (
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// TestBadAnswers has the node that is tried first answer badly. Restartable work is served by the other node; run-once
// work fails, as it may have run, unless it provably did not. Nothing is ever started twice at one time.
func TestBadAnswers(t *testing.T) {
	good := func(n *node, e *ear, task uint64) { n.answer(e, task) }
	for _, c := range []struct {
		name   string
		does   func(n *node, e *ear, task uint64)
		batch  string // "again": served by the other node, "served": by this one
		single string
	}{
		{"full", func(_ *node, e *ear, task uint64) { e.send(codec.AppendEnd(nil, task, codec.Full)) }, "again", "again"},
		{"moot", func(_ *node, e *ear, task uint64) { e.send(codec.AppendEnd(nil, task, codec.Moot)) }, "again", "again"},
		{"error", func(_ *node, e *ear, task uint64) { e.send(codec.AppendEnd(nil, task, codec.Errored)) }, "again", "end 41"},
		{"broken on its way", func(_ *node, e *ear, task uint64) { e.send(codec.AppendEnd(nil, task, codec.Reset)) }, "again", "end 41"},
		{"a normal end", func(_ *node, e *ear, task uint64) { e.send(codec.AppendEnd(nil, task, codec.Normal)) }, "end 42", "end 41"},
		{"closed under it", func(_ *node, e *ear, _ uint64) { e.conn.Close(true, nil) }, "again", "end 41"},
		{"noise", func(_ *node, e *ear, _ uint64) { e.send([]byte("\x00\x40\xf3 noise, noise and more noise")) }, "again", "end 41"},
		{"an answer said to be huge", func(_ *node, e *ear, _ uint64) { e.send([]byte("\xff\xff\x09")) }, "again", "end 41"},
		{"without a description", func(_ *node, e *ear, task uint64) { e.send(message(codec.Answer, task)) }, "again", "end 41"},
		{"cut short", func(n *node, e *ear, task uint64) {
			b := codec.AppendAnswer(nil, task, []byte(n.describes(task)))
			e.send(b[:len(b)-3])
			e.conn.Close(true, nil)
		}, "again", "end 41"},
		{"never", func(*node, *ear, uint64) {}, "again", "end 41"},
		{"doubled", func(n *node, e *ear, task uint64) { n.answer(e, task); n.answer(e, task) }, "served", "served"},
		{"behind one for nobody", func(n *node, e *ear, task uint64) { n.answer(e, 99); n.answer(e, task) }, "served", "served"},
		{"good", good, "served", "served"},
	} {
		for _, job := range []string{"batch", "single"} {
			t.Run(c.name+" "+job, func(t *testing.T) {
				r := begin(t, "a", "b")
				x := r.dial()
				var first *node
				for _, n := range r.nodes {
					n.does = func(e *ear, task uint64) {
						if first == nil {
							first = n
							c.does(n, e, task)
						} else {
							n.answer(e, task)
						}
					}
				}
				x.ask(7, job)
				r.pass(4000)
				want := map[string]string{"batch": c.batch, "single": c.single}[job]
				other := r.nodes["a"]
				if first == other {
					other = r.nodes["b"]
				}
				switch want {
				case "again": // by the other, or once more by the same where it had turned it away
					want = "served " + other.describes(7)
					if first.starts[7] > 1 {
						want = "served " + first.describes(7)
					}
				case "served":
					want = "served " + first.describes(7)
				}
				x.want("answer", "7 "+want)
				if (job == "single" && c.single != "again" || c.batch == "end 42") && first.starts[7]+other.starts[7] != 1 {
					t.Errorf("given to nodes %d times", first.starts[7]+other.starts[7])
				}
				if strings.HasPrefix(want, "served") && len(x.at) > 0 && x.at[0] > r.c.TrueTime()-4000+2500 {
					t.Error("after its expiry")
				}
			})
		}
	}
}

// TestResets has connections to nodes reset when they are new and when they are idle. Run-once work has one final
// answer, and is served only once, whatever was on its way.
func TestResets(t *testing.T) {
	for _, c := range []struct {
		name   string
		resets func(r *rig)
		served bool // it must be: no connection was reset under it
	}{
		{"new", func(r *rig) {
			for _, n := range r.nodes {
				n.greets = func(e *ear) { e.conn.(interface{ Reset(bool) }).Reset(true) }
			}
		}, false},
		{"idle", func(r *rig) {
			for _, n := range r.nodes {
				for _, e := range n.conns {
					e.conn.(interface{ Reset(bool) }).Reset(true)
				}
			}
			r.pass(50)
		}, true},
		{"idle, and it finds out by its set-up alone", func(r *rig) {
			for _, n := range r.nodes {
				for _, e := range n.conns {
					e.conn.(interface{ Reset(bool) }).Reset(false)
				}
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := begin(t, "a", "b")
			x := r.dial()
			for task := range uint64(6) {
				x.ask(task+1, "batch")
			}
			r.pass(300)
			c.resets(r)
			x.got = nil
			x.ask(7, "single")
			r.pass(3000)
			given := r.nodes["a"].starts[7] + r.nodes["b"].starts[7]
			if len(x.got) != 1 || c.served && !strings.HasPrefix(x.got[0], "7 served") {
				t.Errorf("%q", x.got)
			} else if given > 1 || given > 0 && x.got[0] == "7 end 42" {
				t.Errorf("given to nodes %d times, then %q", given, x.got)
			}
		})
	}
}

// TestUnmade offers run-once work to a node that refuses connections: it provably never ran, and goes elsewhere.
func TestUnmade(t *testing.T) {
	r := begin(t, "a", "b")
	r.nodes["a"].door.StopAccepting()
	x := r.dial()
	for task := range uint64(8) {
		x.ask(task+1, "single")
	}
	r.pass(1000)
	if len(x.got) != 8 || strings.Contains(strings.Join(x.got, " "), "end") {
		t.Errorf("%q, want eight served", x.got)
	}
	if r.s.counts.verdicts[logic.Unreachable] == 0 {
		t.Error("the node that refuses was never tried")
	}
}

// TestLate has a node answer after the try's time is up: what started late is cut, and one stands.
func TestLate(t *testing.T) {
	r := begin(t, "a", "b")
	x := r.dial()
	var first *node
	for _, n := range r.nodes {
		n.does = func(e *ear, task uint64) {
			if first != nil {
				n.answer(e, task)
				return
			}
			first = n
			n.p.After(1650, func() { n.answer(e, task) })
		}
	}
	x.ask(7, "batch")
	r.pass(2400)
	if len(x.got) != 1 || !strings.HasPrefix(x.got[0], "7 served") {
		t.Fatalf("%q", x.got)
	}
	if first.stands[7] || !r.nodes["a"].stands[7] && !r.nodes["b"].stands[7] {
		t.Errorf("a: %v, b: %v stand; the first was %s", r.nodes["a"].stands, r.nodes["b"].stands, first.name)
	}
}

// TestStoodAndEnded passes on that a task stood and ended in one.
func TestStoodAndEnded(t *testing.T) {
	r := begin(t, "a", "b")
	for _, n := range r.nodes {
		n.does = func(e *ear, task uint64) {
			e.send(message(codec.End, task, codec.Cause, "\x10", codec.Description, "short"))
		}
	}
	x := r.dial()
	x.ask(7, "single")
	r.pass(3000)
	x.want("answer and end", "7 served short", "7 end 16")
}

// TestNodeLost tells the end of the running task at a node that died or is cut off within 8 s, and not when it is merely a
// connection that broke.
func TestNodeLost(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *rig, n *node)
		lost bool
	}{
		{"killed", func(r *rig, n *node) { n.p.Kill(false) }, true},
		{"without power", func(r *rig, n *node) { n.p.Kill(true) }, true},
		{"a connection reset", func(r *rig, n *node) {
			for _, e := range n.conns {
				e.conn.Close(false, nil)
			}
		}, false},
		{"quiet", func(*rig, *node) {}, false},
		{"gone from the list, and closes", func(r *rig, n *node) {
			r.journal.happens(entryOf("a", "a", "gone"))
			r.pass(100)
			n.p.Kill(false)
		}, true},
		{"gone from the list, and still at work", func(r *rig, n *node) { r.journal.happens(entryOf("a", "a", "gone")) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := begin(t, "a")
			n := r.nodes["a"]
			x := r.dial()
			x.ask(7, "single")
			r.pass(300)
			served := "7 served " + n.describes(7)
			x.want("served", served)
			c.do(r, n)
			r.pass(7800)
			if c.lost {
				x.want("lost", served, "7 end 41")
			} else {
				x.want("stands", served)
			}
		})
	}
}

// TestAddressReused has a new node come up at the address of one that is gone: nothing of the old one's passes to it.
func TestAddressReused(t *testing.T) {
	r := begin(t, "a")
	old := r.nodes["a"]
	x := r.dial()
	x.ask(7, "batch")
	r.pass(100)
	old.door.StopAccepting() // its process lives on for a while, at a connection that stands
	newNode(r, "b", "a")
	r.journal.happens(entryOf("a", "a", "gone"), entryOf("b", "a", "ready"))
	r.pass(100)
	x.ask(8, "single")
	r.pass(300)
	x.want("served by the new one", "7 served "+old.describes(7), "8 served "+r.nodes["b"].describes(8))
	if old.starts[8] > 0 {
		t.Error("the set-up went to the old one")
	}
	r.nodes["b"].conns[0].send(codec.AppendEnd(nil, 7, codec.Normal))
	r.pass(100)
	x.want("the new one can't end the old one's", "7 served "+old.describes(7), "8 served "+r.nodes["b"].describes(8))
	old.p.Kill(false)
	r.pass(500)
	if r.s.names["a"] != nil {
		t.Error("the old one is kept")
	}
}
