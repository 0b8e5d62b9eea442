package platform

import (
	"strings"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestClientEndsRequest makes clients end their requests: while the attempt is in flight, while the task runs, and by closing the connection. The
// node is told to end the task. A client can't end the open request of another connection.
func TestClientEndsRequest(t *testing.T) {
	t.Run("attempt in flight", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		n.onSetUp = func(*testConn, uint64) {}
		x := r.dial()
		x.request(7, "single")
		r.advance(100)
		x.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.advance(3000)
		x.want("messages after the client ended its request")
		if len(n.endsReceived) != 1 || r.server.host.OpenRequests() != 0 {
			t.Errorf("the node received %d ends, want 1; %d requests are open, want 0", len(n.endsReceived), r.server.host.OpenRequests())
		}
	})
	t.Run("connection closed", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		n.onSetUp = func(*testConn, uint64) {}
		x := r.dial()
		x.request(7, "single")
		r.advance(100)
		x.conn.Close(true, nil)
		r.advance(300)
		if len(n.endsReceived) != 1 || r.server.host.OpenRequests() != 0 {
			t.Errorf("the node received %d ends, want 1; %d requests are open, want 0", len(n.endsReceived), r.server.host.OpenRequests())
		}
	})
	t.Run("running task, on another connection", func(t *testing.T) {
		r := startRig(t, "a")
		n := r.nodes["a"]
		x := r.dial()
		x.request(7, "single")
		r.advance(100)
		y := r.dial()
		y.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.advance(3000)
		x.want("the client that requested the task, which gets no end", "7 served "+n.description(7))
		y.want("the client that ended the task")
		if n.running[7] {
			t.Error("the task is still running")
		}
	})
	t.Run("open request of another connection", func(t *testing.T) {
		r := startRig(t, "a")
		x, y := r.dial(), r.dial()
		x.request(7, "single")
		y.send(codec.AppendEnd(nil, 7, codec.CauseNormal))
		r.advance(200)
		x.want("the answer in spite of the other's end", "7 served "+r.nodes["a"].description(7))
	})
}

// TestInvalidClients makes clients send invalid messages. Each is rejected or disconnected within 3 s and never served, while another
// client is served.
func TestInvalidClients(t *testing.T) {
	request := func(replacements ...any) []byte { return setUp(66, "batch", replacements...) }
	for _, c := range []struct {
		name string
		sent []byte
	}{
		{"nothing", nil},
		{"an HTTP request", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"a message that stays incomplete", append([]byte{0x3f, 0xff, codec.KindSetUp}, make([]byte, 9000)...)},
		{"a length above the limit", append([]byte{0xff, 0xff, codec.KindSetUp}, make([]byte, 100)...)},
		{"lengths of zero", make([]byte, 64)},
		{"half a set-up", request()[:40]},
		{"an unknown job class", request(codec.ParamJobClass, "none")},
		{"an unknown tenant", request(codec.ParamTenant, "nobody")},
		{"task number zero", setUp(0, "batch")},
		{"an invalid name", request(codec.ParamName, "x")},
		{"an invalid key", setUp(66, "marked", codec.ParamKey, "zz")},
		{"no time left", request(codec.ParamTimeLeft, "0")},
		{"negative time left", request(codec.ParamTimeLeft, "-5")},
		{"implausibly long time left", request(codec.ParamTimeLeft, "1e30")},
		{"time left that is not a number", request(codec.ParamTimeLeft, "soon")},
		{"more cores than any node has", request(codec.ParamDemand, "cores:1e9;memory:2;service:00000000b4d65521")},
		{"negative cores", request(codec.ParamDemand, "cores:-1;memory:2;service:00000000b4d65521")},
		{"memory that is not a number", request(codec.ParamDemand, "cores:1;memory:NaN;service:00000000b4d65521")},
		{"no description", request(codec.ParamDescription, "")},
		{"a node's answer", codec.AppendAnswer(nil, 66, []byte("x"))},
		{"the same task number twice", append(request(), request(codec.ParamDescription, "other")...)},
		{"the task number of another client", setUp(7, "batch", codec.ParamDescription, "other")},
		{"the end of an unknown task", codec.AppendEnd(nil, 66, codec.CauseNormal)},
		{"a running task at an unknown node", request(codec.ParamDemand, demandText+";at:nowhere")},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			r.nodes["a"].onSetUp = func(e *testConn, task uint64) {
				r.nodes["a"].process.After(400, func() { r.nodes["a"].answer(e, task) })
			}
			x, bad := r.dial(), r.dial()
			x.request(7, "single")
			r.advance(30)
			if len(c.sent) > 0 {
				bad.send(c.sent)
			}
			r.advance(2900)
			if got := strings.Join(bad.received, ", "); strings.Contains(got, "served") || !strings.Contains(got, "end") && !bad.closed {
				t.Errorf("received %q, closed %v; want an end or a close, and not to be served", got, bad.closed)
			}
			x.want("the valid client", "7 served "+r.nodes["a"].description(7))
		})
	}
}

// TestSilentClients makes hundreds of clients connect and send nothing. Other clients are still served, and the silent ones are disconnected.
func TestSilentClients(t *testing.T) {
	r := startRig(t, "a")
	var silent []*testClient
	x := r.dial()
	x.request(7, "batch")
	r.advance(300)
	for range 20 {
		for range 20 {
			c := &testClient{testConn: &testConn{}, rig: r}
			c.onMessage = func([]byte) {}
			r.clients.Dial(clientAddress, 1000, func(conn env.Conn, err error) {
				if c.closed = err != nil; err == nil {
					c.conn = conn
					conn.Start(c, 5000)
				}
			})
			silent = append(silent, c)
		}
		r.advance(60)
	}
	if n, provisional := len(r.server.clients.conns), r.server.clients.provisional; n-provisional > r.server.limits.ClientConns ||
		provisional > r.server.limits.ProvisionalConns {
		t.Errorf("%d connections, %d of them provisional; limits: %d regular, %d provisional", n, provisional,
			r.server.limits.ClientConns, r.server.limits.ProvisionalConns)
	}
	y := r.dial()
	y.request(8, "batch")
	r.advance(300)
	y.want("a client that connects after the silent ones", "8 served "+r.nodes["a"].description(8))
	r.advance(3000)
	for i, c := range silent {
		if !c.closed {
			t.Fatalf("silent client %d is still connected", i)
		}
	}
	if x.closed {
		t.Error("an idle client that was served before was disconnected")
	}
}

// TestSlowReader makes one client read nothing: it is disconnected, and another is not.
func TestSlowReader(t *testing.T) {
	r := startRig(t, "a")
	x, slow := r.dial(), r.dial()
	slow.request(6, "batch")
	r.advance(200)
	slow.conn.(interface{ Stall(float64) }).Stall(60000)
	for range 30 {
		var b []byte
		for i := range 1000 {
			b = codec.AppendHealthCheck(b, uint64(i+1), false)
		}
		slow.send(b)
		r.advance(20)
	}
	x.request(7, "batch")
	r.advance(3000)
	x.want("the other client", "7 served "+r.nodes["a"].description(7))
	if len(r.server.clients.conns) != 1 {
		t.Errorf("%d connections, want 1, the other client's", len(r.server.clients.conns))
	}
}

// TestAnswerNotHandedOver makes a client read nothing while its task starts. Its answer is not handed over to the network before the connection is
// closed, so that the client knows that it was not served, and the task is stopped at its node. A task whose answer was handed over goes on.
func TestAnswerNotHandedOver(t *testing.T) {
	r := startRig(t, "a")
	n, slow := r.nodes["a"], r.dial()
	slow.request(6, "single")
	r.advance(200)
	slow.want("before it stops reading", "6 served "+n.description(6))
	slow.conn.(interface{ Stall(float64) }).Stall(60000)
	var b []byte
	for i := range 1200 { // more answers than the network buffers
		b = codec.AppendHealthCheck(b, uint64(i+1000), false)
	}
	slow.send(b)
	r.advance(50)
	slow.request(7, "single")
	r.advance(200)
	if !n.running[7] {
		t.Fatal("task 7 is not running, so that the test shows nothing")
	}
	r.advance(4000)
	if len(r.server.clients.conns) != 0 || n.running[7] || !n.running[6] {
		t.Errorf("%d client connections, want 0; running: %v for the task whose answer was not handed over, want false; %v for the other, want true",
			len(r.server.clients.conns), n.running[7], n.running[6])
	}
}

// TestPendingNotificationInTime ends a task after its client's connection has closed, while no request is served that could verify another
// connection. The end is still notified within a second, on a connection on which a request was received, and not on one without a request.
func TestPendingNotificationInTime(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "single")
	r.advance(200)
	x.conn.Close(true, nil)
	r.advance(50)
	idle, y := r.dial(), r.dial()
	idle.send(codec.AppendHealthCheck(nil, 9, false))
	n.onSetUp = func(*testConn, uint64) {} // the node answers no more set-ups
	y.request(8, "single")
	r.advance(50)
	n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	r.advance(900)
	y.want("a client with a request", "7 end 16")
	idle.want("a client without one", "9 tested 1")
}

// TestSharedConnections limits the connections to nodes so that set-ups share them. All requests are served, and few connections are made.
func TestSharedConnections(t *testing.T) {
	r := startRig(t, "a", "b")
	r.server.limits.NodeConns = 2
	x := r.dial()
	for task := range uint64(10) {
		x.request(task+1, "batch")
	}
	r.advance(1000)
	if len(x.received) != 10 || strings.Contains(strings.Join(x.received, " "), "end") || r.server.telemetry.counts[countDials] > 4 {
		t.Errorf("received %q, want 10 times served; %d dials, want at most 4", x.received, r.server.telemetry.counts[countDials])
	}
}
