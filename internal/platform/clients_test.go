package platform

import (
	"strings"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestClientEnds has clients end what they requested: while the attempt is in flight, while the task runs, and by closing the connection.
func TestClientEnds(t *testing.T) {
	t.Run("out", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		n.onSetUp = func(*testConn, uint64) {}
		x := r.dial()
		x.request(7, "single")
		r.pass(100)
		x.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.pass(3000)
		x.want("no answer is owed")
		if len(n.ended) != 1 || r.server.host.OpenRequests() != 0 {
			t.Errorf("the node was told %d times; %d open", len(n.ended), r.server.host.OpenRequests())
		}
	})
	t.Run("closed", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		n.onSetUp = func(*testConn, uint64) {}
		x := r.dial()
		x.request(7, "single")
		r.pass(100)
		x.conn.Close(true, nil)
		r.pass(300)
		if len(n.ended) != 1 || r.server.host.OpenRequests() != 0 {
			t.Errorf("the node was told %d times; %d open", len(n.ended), r.server.host.OpenRequests())
		}
	})
	t.Run("stands, on another connection", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		x := r.dial()
		x.request(7, "single")
		r.pass(100)
		y := r.dial()
		y.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.pass(3000)
		x.want("its end is not told", "7 served "+n.description(7))
		y.want("nor here")
		if n.running[7] {
			t.Error("it still stands")
		}
	})
	t.Run("another's that is out", func(t *testing.T) {
		r := startRig(t, "a")
		x, y := r.dial(), r.dial()
		x.request(7, "single")
		y.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.pass(200)
		x.want("served all the same", "7 served "+r.nodes["a"].description(7))
	})
}

// TestBadClients has clients send what can't be used. Each gets an end, or is disconnected, within 3 s and is never served; a usual client beside it is.
func TestBadClients(t *testing.T) {
	ask := func(more ...any) []byte { return setUp(66, "batch", more...) }
	for _, c := range []struct {
		name string
		sent []byte
	}{
		{"nothing", nil},
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"a message without end", append([]byte{0x3f, 0xff, codec.KindSetUp}, make([]byte, 9000)...)},
		{"a length that is too large", append([]byte{0xff, 0xff, codec.KindSetUp}, make([]byte, 100)...)},
		{"a length of nothing", make([]byte, 64)},
		{"half a set-up", ask()[:40]},
		{"a job type that is not there", ask(codec.ParamJobClass, "none")},
		{"a tenant that is not there", ask(codec.ParamTenant, "nobody")},
		{"no number of a task", setUp(0, "batch")},
		{"a name that is none", ask(codec.ParamName, "x")},
		{"a key that is none", setUp(66, "marked", codec.ParamKey, "zz")},
		{"no time left", ask(codec.ParamTimeLeft, "0")},
		{"time below zero", ask(codec.ParamTimeLeft, "-5")},
		{"time without end", ask(codec.ParamTimeLeft, "1e30")},
		{"time that is no number", ask(codec.ParamTimeLeft, "soon")},
		{"cores that no machine has", ask(codec.ParamDemand, "cores:1e9;memory:2;service:00000000b4d65521")},
		{"cores below zero", ask(codec.ParamDemand, "cores:-1;memory:2;service:00000000b4d65521")},
		{"memory that is no number", ask(codec.ParamDemand, "cores:1;memory:NaN;service:00000000b4d65521")},
		{"no description", ask(codec.ParamDescription, "")},
		{"a node's answer", codec.AppendAnswer(nil, 66, []byte("x"))},
		{"a number twice", append(ask(), ask(codec.ParamDescription, "other")...)},
		{"a usual one's number", setUp(7, "batch", codec.ParamDescription, "other")},
		{"ends of what is not there", codec.AppendEnd(nil, 66, codec.CauseNormal)},
		{"at a node that is not there", ask(codec.ParamDemand, demandText+";at:nowhere")},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			r.nodes["a"].onSetUp = func(e *testConn, task uint64) {
				r.nodes["a"].process.After(400, func() { r.nodes["a"].answer(e, task) })
			}
			x, bad := r.dial(), r.dial()
			x.request(7, "single")
			r.pass(30)
			if len(c.sent) > 0 {
				bad.send(c.sent)
			}
			r.pass(2900)
			if got := strings.Join(bad.received, ", "); strings.Contains(got, "served") || !strings.Contains(got, "end") && !bad.ended {
				t.Errorf("got %q, closed %v", got, bad.ended)
			}
			x.want("the usual one", "7 served "+r.nodes["a"].description(7))
		})
	}
}

// TestSilentClients has hundreds of clients connect and send nothing: usual clients are still served, and the silent ones are disconnected.
func TestSilentClients(t *testing.T) {
	r := startRig(t, "a")
	var silent []*testClient
	x := r.dial()
	x.request(7, "batch")
	r.pass(300)
	for range 20 {
		for range 20 {
			c := &testClient{testConn: &testConn{}, rig: r}
			c.onMessage = func([]byte) {}
			r.clients.Dial(clientAddress, 1000, func(conn env.Conn, err error) {
				if c.ended = err != nil; err == nil {
					c.conn = conn
					conn.Start(c, 5000)
				}
			})
			silent = append(silent, c)
		}
		r.pass(60)
	}
	if n, g := len(r.server.clients.conns), r.server.clients.provisional; n-g > r.server.limits.ClientConns || g > r.server.limits.ProvisionalConns {
		t.Errorf("%d connections, %d of them not let in; %d and %d are allowed", n, g, r.server.limits.ClientConns, r.server.limits.ProvisionalConns)
	}
	y := r.dial()
	y.request(8, "batch")
	r.pass(300)
	y.want("one more client", "8 served "+r.nodes["a"].description(8))
	r.pass(3000)
	for i, c := range silent {
		if !c.ended {
			t.Fatalf("silent one %d is held", i)
		}
	}
	if x.ended {
		t.Error("a client that asked once and holds its connection was cut off")
	}
}

// TestSlowReader has a client that reads nothing: it alone is disconnected.
func TestSlowReader(t *testing.T) {
	r := startRig(t, "a")
	x, slow := r.dial(), r.dial()
	slow.request(6, "batch")
	r.pass(200)
	slow.conn.(interface{ Stall(float64) }).Stall(60000)
	for range 30 {
		var b []byte
		for i := range 1000 {
			b = codec.AppendTest(b, uint64(i+1), false)
		}
		slow.send(b)
		r.pass(20)
	}
	x.request(7, "batch")
	r.pass(3000)
	x.want("a usual one", "7 served "+r.nodes["a"].description(7))
	if len(r.server.clients.conns) != 1 {
		t.Errorf("%d connections, want the usual one's alone", len(r.server.clients.conns))
	}
}

// TestAnswerBreaksOff has a client that reads nothing while its task starts. Its answer is not handed over before the connection is closed, so the client
// knows that it was not served, and the task is stopped at its node. A task whose answer was handed over runs on.
func TestAnswerBreaksOff(t *testing.T) {
	r := startRig(t, "a")
	n, slow := r.nodes["a"], r.dial()
	slow.request(6, "single")
	r.pass(200)
	slow.want("in time", "6 served "+n.description(6))
	slow.conn.(interface{ Stall(float64) }).Stall(60000)
	var b []byte
	for i := range 1200 { // more answers than the network takes
		b = codec.AppendTest(b, uint64(i+1000), false)
	}
	slow.send(b)
	r.pass(50)
	slow.request(7, "single")
	r.pass(200)
	if !n.running[7] {
		t.Fatal("it does not stand: nothing is shown")
	}
	r.pass(4000)
	if len(r.server.clients.conns) != 0 || n.running[7] || !n.running[6] {
		t.Errorf("%d clients; stands: the one whose answer broke off %v, the other %v", len(r.server.clients.conns), n.running[7], n.running[6])
	}
}

// TestPendingNotificationInTime has a task end after its client's connection has closed, while nothing is served that could verify another: the end is notified within
// a second all the same, on a connection on which something was requested, and not on one without a request.
func TestPendingNotificationInTime(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "single")
	r.pass(200)
	x.conn.Close(true, nil)
	r.pass(50)
	idle, y := r.dial(), r.dial()
	idle.send(codec.AppendTest(nil, 9, false))
	n.onSetUp = func(*testConn, uint64) {} // it serves nobody any more
	y.request(8, "single")
	r.pass(50)
	n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	r.pass(900)
	y.want("a client that asked", "7 end 16")
	idle.want("one that did not", "9 tested 1")
}

// TestSharedConnections has so few descriptors that set-ups share connections: all are served, and few connections are made.
func TestSharedConnections(t *testing.T) {
	r := startRig(t, "a", "b")
	r.server.limits.NodeConns = 2
	x := r.dial()
	for task := range uint64(10) {
		x.request(task+1, "batch")
	}
	r.pass(1000)
	if len(x.received) != 10 || strings.Contains(strings.Join(x.received, " "), "end") || r.server.telemetry.counts[countDials] > 4 {
		t.Errorf("%q over %d connections", x.received, r.server.telemetry.counts[countDials])
	}
}
