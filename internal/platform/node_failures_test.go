package platform

import (
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// badAnswer is a way in which a node answers an attempt.
type badAnswer struct {
	name   string
	does   func(n *fakeNode, e *testConn, task uint64)
	batch  string // "again": served by the other node, "served": by this one
	single string
}

// badAnswers are the cases of TestBadAnswers.
var badAnswers = []badAnswer{
	{"full", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseFull)) }, "again", "again"},
	{"moot", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseNotStarted)) }, "again", "again"},
	{"error", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseErrored)) }, "again", "end 41"},
	{"broken on its way", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseReset)) }, "again", "end 41"},
	{"a normal end", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseNormal)) }, "end 42", "end 41"},
	{"closed under it", func(_ *fakeNode, e *testConn, _ uint64) { e.conn.Close(true, nil) }, "again", "end 41"},
	{"noise", func(_ *fakeNode, e *testConn, _ uint64) { e.send([]byte("\x00\x40\xf3 noise, noise and more noise")) }, "again", "end 41"},
	{"an answer said to be huge", func(_ *fakeNode, e *testConn, _ uint64) { e.send([]byte("\xff\xff\x09")) }, "again", "end 41"},
	{"without a description", func(_ *fakeNode, e *testConn, task uint64) { e.send(message(codec.KindAnswer, task)) }, "again", "end 41"},
	{"cut short", func(n *fakeNode, e *testConn, task uint64) {
		b := codec.AppendAnswer(nil, task, []byte(n.description(task)))
		e.send(b[:len(b)-3])
		e.conn.Close(true, nil)
	}, "again", "end 41"},
	{"never", func(*fakeNode, *testConn, uint64) {}, "again", "end 41"},
	{"doubled", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, task); n.answer(e, task) }, "served", "served"},
	{"behind one for nobody", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, 99); n.answer(e, task) }, "served", "served"},
	{"good", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, task) }, "served", "served"},
}

// TestBadAnswers has the node that is tried first answer badly. Restartable work is served by the other node; at-most-once work fails, as it may have
// run, unless it provably did not. Nothing is ever started twice at one time.
func TestBadAnswers(t *testing.T) {
	for _, c := range badAnswers {
		for _, job := range []string{"batch", "single"} {
			t.Run(c.name+" "+job, func(t *testing.T) {
				checkBadAnswer(t, c, job)
			})
		}
	}
}

// checkBadAnswer plays one case of TestBadAnswers.
func checkBadAnswer(t *testing.T, c badAnswer, job string) {
	t.Helper()
	r := startRig(t, "a", "b")
	x := r.dial()
	var first *fakeNode
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			if first == nil {
				first = n
				c.does(n, e, task)
			} else {
				n.answer(e, task)
			}
		}
	}
	x.request(7, job)
	r.pass(4000)
	want := map[string]string{"batch": c.batch, "single": c.single}[job]
	other := r.nodes["a"]
	if first == other {
		other = r.nodes["b"]
	}
	switch want {
	case "again": // by the other, or once more by the same where it had turned it away
		want = "served " + other.description(7)
		if first.starts[7] > 1 {
			want = "served " + first.description(7)
		}
	case "served":
		want = "served " + first.description(7)
	}
	x.want("answer", "7 "+want)
	if (job == "single" && c.single != "again" || c.batch == "end 42") && first.starts[7]+other.starts[7] != 1 {
		t.Errorf("given to nodes %d times", first.starts[7]+other.starts[7])
	}
	if strings.HasPrefix(want, "served") && len(x.receivedAt) > 0 && x.receivedAt[0] > r.clock.TrueTime()-4000+2500 {
		t.Error("after its expiry")
	}
}

// TestResets has connections to nodes reset when they are new and when they are idle. At-most-once work has one final answer, and is served only
// once, whatever was under way.
func TestResets(t *testing.T) {
	for _, c := range []struct {
		name   string
		resets func(r *simRig)
		served bool // it must be: no connection was reset under it
	}{
		{"new", func(r *simRig) {
			for _, n := range r.nodes {
				n.onConnect = func(e *testConn) { e.conn.(interface{ Reset(bool) }).Reset(true) }
			}
		}, false},
		{"idle", func(r *simRig) {
			for _, n := range r.nodes {
				for _, e := range n.conns {
					e.conn.(interface{ Reset(bool) }).Reset(true)
				}
			}
			r.pass(50)
		}, true},
		{"idle, and it finds out by its set-up alone", func(r *simRig) {
			for _, n := range r.nodes {
				for _, e := range n.conns {
					e.conn.(interface{ Reset(bool) }).Reset(false)
				}
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a", "b")
			x := r.dial()
			for task := range uint64(6) {
				x.request(task+1, "batch")
			}
			r.pass(300)
			c.resets(r)
			x.received = nil
			x.request(7, "single")
			r.pass(3000)
			given := r.nodes["a"].starts[7] + r.nodes["b"].starts[7]
			if len(x.received) != 1 || c.served && !strings.HasPrefix(x.received[0], "7 served") {
				t.Errorf("%q", x.received)
			} else if given > 1 || given > 0 && x.received[0] == "7 end 42" {
				t.Errorf("given to nodes %d times, then %q", given, x.received)
			}
		})
	}
}

// TestConnectionRefused sends at-most-once work to a node that refuses connections: it provably never ran, and goes elsewhere.
func TestConnectionRefused(t *testing.T) {
	r := startRig(t, "a", "b")
	r.nodes["a"].listener.Close()
	x := r.dial()
	for task := range uint64(8) {
		x.request(task+1, "single")
	}
	r.pass(1000)
	if len(x.received) != 8 || strings.Contains(strings.Join(x.received, " "), "end") {
		t.Errorf("%q, want eight served", x.received)
	}
	if r.server.telemetry.outcomes[logic.Unreachable] == 0 {
		t.Error("the node that refuses was never tried")
	}
}

// TestLateAnswer has a node answer after the attempt has timed out: the task that started late is stopped, and one runs.
func TestLateAnswer(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	var first *fakeNode
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			if first != nil {
				n.answer(e, task)
				return
			}
			first = n
			n.process.After(1650, func() { n.answer(e, task) })
		}
	}
	x.request(7, "batch")
	r.pass(2400)
	if len(x.received) != 1 || !strings.HasPrefix(x.received[0], "7 served") {
		t.Fatalf("%q", x.received)
	}
	if first.running[7] || !r.nodes["a"].running[7] && !r.nodes["b"].running[7] {
		t.Errorf("a: %v, b: %v stand; the first was %s", r.nodes["a"].running, r.nodes["b"].running, first.name)
	}
}

// TestStartAndEndInOne checks that the start and the end of a task that come in one message are both passed on.
func TestStartAndEndInOne(t *testing.T) {
	r := startRig(t, "a", "b")
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			e.send(message(codec.KindEnd, task, codec.ParamCause, "\x10", codec.ParamDescription, "short"))
		}
	}
	x := r.dial()
	x.request(7, "single")
	r.pass(3000)
	x.want("answer and end", "7 served short", "7 end 16")
}

// TestNodeLost checks that the end of a running task is notified within 8 s if its node has died or is cut off, and not if only a connection broke.
func TestNodeLost(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *simRig, n *fakeNode)
		lost bool
	}{
		{"killed", func(r *simRig, n *fakeNode) { n.process.Kill(false) }, true},
		{"without power", func(r *simRig, n *fakeNode) { n.process.Kill(true) }, true},
		{"a connection reset", func(r *simRig, n *fakeNode) {
			for _, e := range n.conns {
				e.conn.Close(false, nil)
			}
		}, false},
		{"quiet", func(*simRig, *fakeNode) {}, false},
		{"gone from the list, and closes", func(r *simRig, n *fakeNode) {
			r.journal.publish(entryOf("a", "a", "gone"))
			r.pass(100)
			n.process.Kill(false)
		}, true},
		{"gone from the list, and still at work", func(r *simRig, n *fakeNode) { r.journal.publish(entryOf("a", "a", "gone")) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			n := r.nodes["a"]
			x := r.dial()
			x.request(7, "single")
			r.pass(300)
			served := "7 served " + n.description(7)
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

// TestAddressReused has a new node come up at the address of one that is gone: nothing of the old one passes to it.
func TestAddressReused(t *testing.T) {
	r := startRig(t, "a")
	old := r.nodes["a"]
	x := r.dial()
	x.request(7, "batch")
	r.pass(100)
	old.listener.Close() // its process lives on for a while, at a connection that stands
	newFakeNode(r, "b", "a")
	r.journal.publish(entryOf("a", "a", "gone"), entryOf("b", "a", "ready"))
	r.pass(100)
	x.request(8, "single")
	r.pass(300)
	x.want("served by the new one", "7 served "+old.description(7), "8 served "+r.nodes["b"].description(8))
	if old.starts[8] > 0 {
		t.Error("the set-up went to the old one")
	}
	r.nodes["b"].conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	r.pass(100)
	x.want("the new one can't end the old one's", "7 served "+old.description(7), "8 served "+r.nodes["b"].description(8))
	old.process.Kill(false)
	r.pass(500)
	if r.server.nodes.byName["a"] != nil {
		t.Error("the old one is kept")
	}
}
