package platform

import (
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// badAnswer is a case of TestBadAnswers: what a node does with an attempt, and the outcome for each job class.
type badAnswer struct {
	name    string
	respond func(n *fakeNode, e *testConn, task uint64)
	batch   string // "again": served after another attempt, "served": by this one, else the end that the client receives
	single  string
}

// badAnswers are the cases of TestBadAnswers.
var badAnswers = []badAnswer{
	{"full", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseFull)) }, "again", "again"},
	{"not started", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseNotStarted)) }, "again", "again"},
	{"error", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseErrored)) }, "again", "end 41"},
	{"reset", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseReset)) }, "again", "end 41"},
	{"normal end", func(_ *fakeNode, e *testConn, task uint64) { e.send(codec.AppendEnd(nil, task, codec.CauseNormal)) }, "end 42", "end 41"},
	{"connection closed", func(_ *fakeNode, e *testConn, _ uint64) { e.conn.Close(true, nil) }, "again", "end 41"},
	{"unreadable bytes", func(_ *fakeNode, e *testConn, _ uint64) { e.send([]byte("\x00\x40\xf3 noise, noise and more noise")) }, "again", "end 41"},
	{"answer with a length above the limit", func(_ *fakeNode, e *testConn, _ uint64) { e.send([]byte("\xff\xff\x09")) }, "again", "end 41"},
	{"answer without a description", func(_ *fakeNode, e *testConn, task uint64) { e.send(message(codec.KindAnswer, task)) }, "again", "end 41"},
	{"incomplete answer", func(n *fakeNode, e *testConn, task uint64) {
		b := codec.AppendAnswer(nil, task, []byte(n.description(task)))
		e.send(b[:len(b)-3])
		e.conn.Close(true, nil)
	}, "again", "end 41"},
	{"no answer", func(*fakeNode, *testConn, uint64) {}, "again", "end 41"},
	{"repeated answer", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, task); n.answer(e, task) }, "served", "served"},
	{"after the answer to an unknown task", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, 99); n.answer(e, task) }, "served", "served"},
	{"normal answer", func(n *fakeNode, e *testConn, task uint64) { n.answer(e, task) }, "served", "served"},
}

// TestBadAnswers makes the node of the first attempt fail in some way. Restartable work is served by another attempt. At-most-once work fails, as it
// may have run, unless it provably did not. It is then given to nodes only once, and so is restartable work that has ended normally.
func TestBadAnswers(t *testing.T) {
	for _, c := range badAnswers {
		for _, job := range []string{"batch", "single"} {
			t.Run(c.name+" "+job, func(t *testing.T) {
				checkBadAnswer(t, c, job)
			})
		}
	}
}

// checkBadAnswer runs one case of TestBadAnswers.
func checkBadAnswer(t *testing.T, c badAnswer, jobClass string) {
	t.Helper()
	r := startRig(t, "a", "b")
	x := r.dial()
	var first *fakeNode
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			if first == nil {
				first = n
				c.respond(n, e, task)
			} else {
				n.answer(e, task)
			}
		}
	}
	x.request(7, jobClass)
	r.advance(4000)
	want := map[string]string{"batch": c.batch, "single": c.single}[jobClass]
	other := r.nodes["a"]
	if first == other {
		other = r.nodes["b"]
	}
	switch want {
	case "again": // it was served by the other node, or by the first node in a further attempt
		want = "served " + other.description(7)
		if first.setUps[7] > 1 {
			want = "served " + first.description(7)
		}
	case "served":
		want = "served " + first.description(7)
	}
	x.want("answer", "7 "+want)
	if (jobClass == "single" && c.single != "again" || c.batch == "end 42") && first.setUps[7]+other.setUps[7] != 1 {
		t.Errorf("nodes received %d set-ups, want 1", first.setUps[7]+other.setUps[7])
	}
	if strings.HasPrefix(want, "served") && len(x.receivedAt) > 0 && x.receivedAt[0] > r.clock.TrueTime()-4000+2500 {
		t.Error("the request was served after its deadline")
	}
}

// TestResets resets connections to nodes when they are new and when they are idle. At-most-once work has one final answer, and is given to nodes at
// most once.
func TestResets(t *testing.T) {
	for _, c := range []struct {
		name   string
		reset  func(r *simRig)
		served bool // the request must be served, as no connection in use was reset
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
			r.advance(50)
		}, true},
		{"idle, noticed only when the set-up is sent", func(r *simRig) {
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
			r.advance(300)
			c.reset(r)
			x.received = nil
			x.request(7, "single")
			r.advance(3000)
			given := r.nodes["a"].setUps[7] + r.nodes["b"].setUps[7]
			if len(x.received) != 1 || c.served && !strings.HasPrefix(x.received[0], "7 served") {
				t.Errorf("received %q, want one message, and to be served if no connection in use was reset", x.received)
			} else if given > 1 || given > 0 && x.received[0] == "7 end 42" {
				t.Errorf("nodes received %d set-ups, want at most one; then the client received %q, want no retry of work that may have run", given, x.received)
			}
		})
	}
}

// TestConnectionRefused sends at-most-once work to a node that refuses connections. The work provably never ran, and is served by the other node.
func TestConnectionRefused(t *testing.T) {
	r := startRig(t, "a", "b")
	r.nodes["a"].listener.Close()
	x := r.dial()
	for task := range uint64(8) {
		x.request(task+1, "single")
	}
	r.advance(1000)
	if len(x.received) != 8 || strings.Contains(strings.Join(x.received, " "), "end") {
		t.Errorf("received %q, want 8 requests served", x.received)
	}
	if r.server.telemetry.outcomes[logic.Unreachable] == 0 {
		t.Error("no attempt was made at the node that refuses connections")
	}
}

// TestLateAnswer makes a node answer after the attempt has timed out. The task that started late is stopped, and that of the next attempt runs.
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
	r.advance(2400)
	if len(x.received) != 1 || !strings.HasPrefix(x.received[0], "7 served") {
		t.Fatalf("received %q, want one message, which says that task 7 is served", x.received)
	}
	if first.running[7] || !r.nodes["a"].running[7] && !r.nodes["b"].running[7] {
		t.Errorf("tasks running at a: %v, at b: %v; want task 7 at one node other than the first, %s",
			r.nodes["a"].running, r.nodes["b"].running, first.name)
	}
}

// TestStartAndEndInOneMessage checks that the client gets both the answer and the end when a node sends them in one message.
func TestStartAndEndInOneMessage(t *testing.T) {
	r := startRig(t, "a", "b")
	for _, node := range r.nodes {
		node.onSetUp = func(e *testConn, task uint64) {
			e.send(message(codec.KindEnd, task, codec.ParamCause, "\x10", codec.ParamDescription, "short"))
		}
	}
	x := r.dial()
	x.request(7, "single")
	r.advance(3000)
	x.want("answer and end", "7 served short", "7 end 16")
}

// TestNodeLost checks that the end of a running task is notified within 8 s if its node has failed, and not if only a connection broke.
func TestNodeLost(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *simRig, n *fakeNode)
		lost bool
	}{
		{"process killed", func(r *simRig, n *fakeNode) { n.process.Kill(false) }, true},
		{"power failure", func(r *simRig, n *fakeNode) { n.process.Kill(true) }, true},
		{"connections closed", func(r *simRig, n *fakeNode) {
			for _, e := range n.conns {
				e.conn.Close(false, nil)
			}
		}, false},
		{"no fault", func(*simRig, *fakeNode) {}, false},
		{"gone from the node list, process killed", func(r *simRig, n *fakeNode) {
			r.journal.publish(entryJSON("a", "a", "gone"))
			r.advance(100)
			n.process.Kill(false)
		}, true},
		{"gone from the node list, still running", func(r *simRig, n *fakeNode) { r.journal.publish(entryJSON("a", "a", "gone")) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			n := r.nodes["a"]
			x := r.dial()
			x.request(7, "single")
			r.advance(300)
			served := "7 served " + n.description(7)
			x.want("served", served)
			c.do(r, n)
			r.advance(7800)
			if c.lost {
				x.want("after the loss of the node", served, "7 end 41")
			} else {
				x.want("while the task runs", served)
			}
		})
	}
}

// TestAddressReused starts a new node at the address of one that is gone. The new node takes over neither the connections nor the tasks of the old
// one.
func TestAddressReused(t *testing.T) {
	r := startRig(t, "a")
	old := r.nodes["a"]
	x := r.dial()
	x.request(7, "batch")
	r.advance(100)
	old.listener.Close() // the process keeps running, with an open connection
	newFakeNode(r, "b", "a")
	r.journal.publish(entryJSON("a", "a", "gone"), entryJSON("b", "a", "ready"))
	r.advance(100)
	x.request(8, "single")
	r.advance(300)
	x.want("served by the new node", "7 served "+old.description(7), "8 served "+r.nodes["b"].description(8))
	if old.setUps[8] > 0 {
		t.Error("the old node received the set-up of task 8")
	}
	r.nodes["b"].conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	r.advance(100)
	x.want("after the new node sent the end of a task of the old one", "7 served "+old.description(7), "8 served "+r.nodes["b"].description(8))
	old.process.Kill(false)
	r.advance(500)
	if r.server.nodes.byName["a"] != nil {
		t.Error("the old node is still in the table")
	}
}
