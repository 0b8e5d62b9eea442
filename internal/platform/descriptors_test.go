package platform

import (
	"fmt"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// open is a node's connections that have not ended.
func open(n *fakeNode) (all []*testConn) {
	for _, e := range n.conns {
		if !e.ended {
			all = append(all, e)
		}
	}
	return all
}

// TestDescriptors fills the door and has something stand at every node, of which there are more than the scheduler may
// have connections to: it never holds more than it may, calls no node lost or ill, and hears of every end in time.
func TestDescriptors(t *testing.T) {
	for _, nodes := range []int{40, 120, 200} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprint("n", i))
			}
			r := startRig(t, names...)
			var doors []*testClient
			for range r.server.limits.ClientConns {
				x := &testClient{testConn: &testConn{}, rig: r}
				x.onMessage = func([]byte) {}
				r.clients.Dial(clientAddress, 1000, func(c env.Conn, err error) {
					if err == nil {
						x.conn = c
						c.Start(x, 5000)
						x.send(codec.AppendTest(nil, 9, false))
					}
				})
				doors = append(doors, x)
			}
			r.pass(100)
			if len(r.server.clients.conns) != r.server.limits.ClientConns {
				t.Fatalf("%d client connections", len(r.server.clients.conns))
			}
			most, ended := 0, map[uint64]float64{}
			count := func() {
				held := 0
				for _, n := range r.nodes {
					held += len(open(n))
				}
				for _, x := range doors {
					if !x.ended {
						held++
					}
				}
				most = max(most, held)
			}
			x := doors[0]
			x.onMessage = func(msg []byte) {
				if codec.Kind(msg) == codec.KindEnd {
					ended[codec.Task(msg)] = r.clock.TrueTime()
				}
			}
			for i, name := range names {
				x.send(setUp(uint64(1000+i), "single", codec.ParamDemand, demandText+";at:"+name))
				r.nodes[name].running[uint64(1000+i)] = true
			}
			for i := range 200 {
				x.request(uint64(1+i), "batch")
				r.pass(60)
				count()
			}
			ends := r.clock.TrueTime()
			for i, name := range names { // on what is open, and on what comes next
				n, task := r.nodes[name], uint64(1000+i)
				end := codec.AppendEnd(nil, task, codec.CauseNormal)
				for _, e := range open(n) {
					e.send(end)
				}
				n.onConnect = func(e *testConn) { e.send(end) }
			}
			for range 100 {
				r.pass(60)
				count()
			}
			if most > r.server.limits.ClientConns+r.server.limits.NodeConns || most > r.configuration.Sockets*98/100-8 {
				t.Errorf("%d connections at once, %d and %d are allowed of %d descriptors", most, r.server.limits.ClientConns, r.server.limits.NodeConns, r.configuration.Sockets)
			}
			late, unheard := 0, 0
			for i := range names {
				at, ok := ended[uint64(1000+i)]
				if !ok {
					unheard++
				} else if at > ends+5500 {
					late++
				}
			}
			if late+unheard > 0 || r.server.telemetry.outcomes[logic.ConnectionLost] > 0 || r.server.telemetry.counts[countDialsExhausted] > 0 {
				t.Errorf("of %d ends %d came late, %d never; verdicts %v, %d dials found nothing left", nodes, late, unheard, r.server.telemetry.outcomes,
					r.server.telemetry.counts[countDialsExhausted])
			}
			for _, p := range r.server.nodes.byID {
				if b, _ := r.server.host.Belief(p.id); b.Unhealthy {
					t.Errorf("%s is taken for ill", p.name)
				}
			}
			if d := float64(r.server.telemetry.counts[countDials]) / (float64(nodes) * 18 / 2); d > 1.3 {
				t.Errorf("%d dials: %.1f a node in two seconds", r.server.telemetry.counts[countDials], d)
			}
		})
	}
}

// TestSpent has dials fail for want of descriptors here: no node is blamed, nothing that stands is called lost, and what
// provably never left is offered again.
func TestSpent(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	x.request(7, "single")
	r.pass(200)
	r.server.env = spent{r.server.env}
	for _, n := range r.nodes {
		for _, e := range n.conns {
			e.conn.(interface{ Reset(bool) }).Reset(true)
		}
	}
	x.request(8, "single")
	r.pass(9000)
	if r.server.telemetry.counts[countDialsExhausted] < 5 || r.server.host.RunningTasks() != 1 || len(x.received) != 2 || x.received[1] != "8 end 42" {
		t.Errorf("%d spent, %d stand, %q", r.server.telemetry.counts[countDialsExhausted], r.server.host.RunningTasks(), x.received)
	}
	for _, p := range r.server.nodes.byID {
		if b, _ := r.server.host.Belief(p.id); b.Unhealthy || b.FailureRate > 0 {
			t.Errorf("%s is blamed: %+v", p.name, b)
		}
	}
}

// spent is a world with no descriptor left for a dial.
type spent struct{ env.Environment }

func (w spent) Dial(_ string, _ float64, done func(env.Conn, error)) {
	w.After(0.1, func() { done(nil, fmt.Errorf("socket: %w", env.ErrExhausted)) })
}

// TestHeld has a client name more than can be held as standing at a node.
func TestHeld(t *testing.T) {
	r := startRig(t, "a")
	r.server.limits.Held = 20
	x := r.dial()
	for task := range uint64(60) {
		x.send(setUp(task+1, "batch", codec.ParamDemand, demandText+";at:a"))
	}
	x.request(100, "batch")
	r.pass(500)
	if len(r.server.requests.byAlloc) != 20 || len(x.received) != 41 || x.received[40] != "100 end 42" {
		t.Errorf("%d are held, %d turned away", len(r.server.requests.byAlloc), len(x.received))
	}
}

// TestFlat replaces nodes, tasks and connections for long: nothing of what is over is kept.
func TestFlat(t *testing.T) {
	r := startRig(t, "n0")
	task := uint64(0)
	for i := range 60 {
		name, last := fmt.Sprint("n", i+1), fmt.Sprint("n", i)
		newFakeNode(r, name, name)
		r.journal.publish(entryOf(name, name, "ready"), entryOf(last, last, "gone"))
		r.pass(300)
		x := r.dial()
		for range 5 {
			task++
			x.request(task, "batch")
		}
		r.pass(200)
		for _, n := range r.nodes {
			for done := range n.running {
				delete(n.running, done)
				n.open[done].send(codec.AppendEnd(nil, done, codec.CauseNormal))
			}
		}
		r.pass(200)
		x.conn.Close(true, nil)
		r.pass(100)
	}
	r.pass(3000)
	if len(r.server.requests.byAlloc)+len(r.server.requests.byTask)+len(r.server.clients.conns) > 0 || len(r.server.nodes.byID) > 1 || len(r.server.nodes.byName) > 1 || r.server.nodes.conns > 5 {
		t.Errorf("%d asks, %d tasks, %d clients, %d nodes, %d links are kept", len(r.server.requests.byAlloc), len(r.server.requests.byTask), len(r.server.clients.conns), len(r.server.nodes.byID),
			r.server.nodes.conns)
	}
	if r.server.telemetry.counts[countServed] != int(task) {
		t.Errorf("%d of %d served", r.server.telemetry.counts[countServed], task)
	}
}
