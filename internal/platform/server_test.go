package platform

import (
	"slices"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestServed follows a request from the set-up to the end of its task. The answer carries the node's description byte for byte, and a repeated end
// is not notified again.
func TestServed(t *testing.T) {
	for _, jobClass := range []string{"batch", "marked", "single"} {
		t.Run(jobClass, func(t *testing.T) {
			r := startRig(t, "a")
			x, n := r.dial(), r.nodes["a"]
			x.send(codec.AppendHealthCheck(nil, 9, false))
			x.request(7, jobClass)
			r.advance(200)
			x.want("served", "9 tested 1", "7 served "+n.description(7))
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
			r.advance(50)
			x.want("after the end", "9 tested 1", "7 served "+n.description(7), "7 end 16")
			n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
			r.advance(3000)
			x.want("after a repeated end", "9 tested 1", "7 served "+n.description(7), "7 end 16")
			if len(r.server.requests.byAlloc)+len(r.server.requests.byTask) > 0 || r.server.requests.admission.Open() != 0 {
				t.Errorf("%d requests by allocation, %d by task and %d open are left, want none", len(r.server.requests.byAlloc),
					len(r.server.requests.byTask), r.server.requests.admission.Open())
			}
		})
	}
}

// TestTaskOutlivesConnection ends a running task, or has it requested again, after the client's connection has closed. The client is notified on
// another connection, or on the next one that it opens.
func TestTaskOutlivesConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		another bool
		event   func(r *simRig)
		want    string
	}{
		{"end, with another connection", true, sendEnd, "7 end 16"},
		{"end, without another connection", false, sendEnd, "7 end 16"},
		{"move, with another connection", true, sendMove, "7 move"},
		{"move, without another connection", false, sendMove, "7 move"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			x := r.dial()
			x.request(7, "batch")
			r.advance(100)
			var y *testClient
			if c.another {
				y = r.dial()
				y.request(8, "batch")
				r.advance(100)
			}
			x.conn.Close(true, nil)
			r.advance(100)
			c.event(r)
			r.advance(100)
			if !c.another {
				y = r.dial()
				y.request(8, "batch")
				r.advance(300)
			}
			if !slices.Contains(y.received, c.want) {
				t.Errorf("received %q, want %q among them", y.received, c.want)
			}
			if n := len(r.nodes["a"].endsReceived); n > 0 {
				t.Errorf("the node received %d ends, want none", n)
			}
		})
	}
}

// TestEndWithoutFurtherRequest guards against ends of which a client is never told because it has no further request: it keeps a connection open on
// which it has only tested the scheduler. A connection that it opens for a test alone does not take the notification with it.
func TestEndWithoutFurtherRequest(t *testing.T) {
	r := startRig(t, "a")
	x := r.dial()
	x.request(7, "batch")
	r.advance(100)
	x.conn.Close(true, nil)
	r.advance(100)
	sendEnd(r)
	r.advance(1000)
	tested := r.dial()
	tested.send(codec.AppendHealthCheck(nil, 1, false))
	r.advance(500)
	tested.want("the connection for a test", "1 tested 1")
	tested.conn.Close(true, nil)
	kept := r.dial()
	kept.send(codec.AppendHealthCheck(nil, 2, false))
	r.advance(2000)
	kept.want("the connection that is kept open", "2 tested 1", "7 end 16")
}

// TestNoChecksAtExit guards against ends that nobody is told of: a node reports them on the next connection, which a process made that was about to
// exit and had disconnected its clients.
func TestNoChecksAtExit(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "batch")
	r.advance(100)
	r.server.Stop()
	r.advance(r.server.shutdown.plan.AnswerAt - r.process.Now() + 10)
	opened := len(n.conns)
	n.resetConns()
	r.advance(1000)
	select {
	case <-r.server.Done():
	default:
		t.Fatal("the shutdown is not complete")
	}
	if got := len(n.conns) - opened; got > 0 {
		t.Errorf("%d connections to the node after all requests were answered, want none", got)
	}
}

func sendEnd(r *simRig) { r.nodes["a"].conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal)) }

func sendMove(r *simRig) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	hostEffects{r.server}.NotifyMigration(r.server.requests.byTask[7].allocID)
}

// TestRecoverTask requests tasks that already run at nodes, as clients do after a scheduler has started. No answers are sent for them, and their ends
// are notified. A task at an unknown node fails.
func TestRecoverTask(t *testing.T) {
	r := startRig(t, "a")
	x := r.dial()
	x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:a"))
	x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:a"))
	x.send(setUp(8, "single", codec.ParamDemand, demandText+";at:nowhere"))
	r.advance(4000)
	x.want("the failure of the task at an unknown node alone", "8 end 41")
	if len(r.nodes["a"].conns) == 0 {
		t.Fatal("no connection to node a, which could carry the end of its task")
	}
	if open := openConns(r.nodes["a"]); len(open) != 1 {
		t.Fatalf("%d connections are open, want 1: each check of the node replaces the connection of the one before", len(open))
	} else {
		open[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	}
	r.advance(100)
	x.want("after the end", "8 end 41", "7 end 16")
}

// TestStop shuts a scheduler down under load. All accepted requests are answered, and running tasks go on.
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
	previous := n.onSetUp
	n.onSetUp = func(e *testConn, task uint64) {
		if previous == nil && task%5 == 0 {
			return // the node never answers these
		}
		n.process.After(30, func() { n.answer(e, task) })
	}
	r.advance(600)
	r.server.Stop()
	r.advance(300)
	y := r.dial()
	y.request(1001, "batch")
	r.advance(3400)
	select {
	case <-r.server.Done():
	default:
		t.Fatal("the scheduler has not shut down")
	}
	if len(x.received) != 30 || len(y.received) != 1 {
		t.Errorf("%d answers to the first client, want 30; %d to the second, want 1; the first received %q", len(x.received), len(y.received), x.received)
	}
	if len(n.running) != 25 {
		t.Errorf("%d tasks are running, want 25", len(n.running))
	}
	if z := r.dial(); !z.closed {
		t.Error("a connection was accepted after the shutdown")
	}
}
