package platform

import (
	"fmt"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// open returns a node's connections that have not ended.
func open(n *fakeNode) (all []*testConn) {
	for _, e := range n.conns {
		if !e.ended {
			all = append(all, e)
		}
	}
	return all
}

// descriptorRun is a run of TestDescriptors.
type descriptorRun struct {
	*simRig
	names   []string           // of the nodes
	held    []*testClient      // which fill the client listener
	maxHeld int                // connections at once
	endedAt map[uint64]float64 // when the first client was sent the end of a task
}

// connectClients opens as many connections of clients as the scheduler accepts.
func (d *descriptorRun) connectClients() {
	for range d.server.limits.ClientConns {
		x := &testClient{testConn: &testConn{}, rig: d.simRig}
		x.onMessage = func([]byte) {}
		d.clients.Dial(clientAddress, 1000, func(c env.Conn, err error) {
			if err == nil {
				x.conn = c
				c.Start(x, 5000)
				x.send(codec.AppendTest(nil, 9, false))
			}
		})
		d.held = append(d.held, x)
	}
}

// step lets 60 ms go by and counts the connections.
func (d *descriptorRun) step() {
	d.pass(60)
	held := 0
	for _, n := range d.nodes {
		held += len(open(n))
	}
	for _, x := range d.held {
		if !x.ended {
			held++
		}
	}
	d.maxHeld = max(d.maxHeld, held)
}

// endTasks has every node send the end of its task, on each connection that is open, and on each that comes.
func (d *descriptorRun) endTasks() {
	for i, name := range d.names {
		n, task := d.nodes[name], uint64(1000+i)
		end := codec.AppendEnd(nil, task, codec.CauseNormal)
		for _, e := range open(n) {
			e.send(end)
		}
		n.onConnect = func(e *testConn) { e.send(end) }
	}
}

// countEnds counts the ends that were sent to the client after a time, and those that were not sent.
func (d *descriptorRun) countEnds(deadline float64) (late, missing int) {
	for i := range d.names {
		at, ok := d.endedAt[uint64(1000+i)]
		if !ok {
			missing++
		} else if at > deadline {
			late++
		}
	}
	return late, missing
}

// check checks what the scheduler held, how it judged the nodes, and how often it dialed them.
func (d *descriptorRun) check() {
	t, s := d.t, d.server
	t.Helper()
	if d.maxHeld > s.limits.ClientConns+s.limits.NodeConns || d.maxHeld > d.configuration.Sockets*98/100-8 {
		t.Errorf("%d connections at once, %d and %d are allowed of %d descriptors", d.maxHeld, s.limits.ClientConns, s.limits.NodeConns,
			d.configuration.Sockets)
	}
	if s.telemetry.outcomes[logic.ConnectionLost] > 0 || s.telemetry.counts[countDialsExhausted] > 0 {
		t.Errorf("verdicts %v, %d dials found nothing left", s.telemetry.outcomes, s.telemetry.counts[countDialsExhausted])
	}
	for _, n := range s.nodes.byID {
		if b, _ := s.host.Belief(n.id); b.Unhealthy {
			t.Errorf("%s is taken for unhealthy", n.name)
		}
	}
	if dials := float64(s.telemetry.counts[countDials]) / (float64(len(d.names)) * 18 / 2); dials > 1.3 {
		t.Errorf("%d dials: %.1f a node in two seconds", s.telemetry.counts[countDials], dials)
	}
}

// TestDescriptors fills the client listener and has a task run at every node, of which there are more than the scheduler may have connections
// to: it never holds more connections than it may, takes no node for lost or unhealthy, and learns of every end in time.
func TestDescriptors(t *testing.T) {
	for _, nodes := range []int{40, 120, 200} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprint("n", i))
			}
			d := &descriptorRun{simRig: startRig(t, names...), names: names, endedAt: map[uint64]float64{}}
			d.connectClients()
			d.pass(100)
			if len(d.server.clients.conns) != d.server.limits.ClientConns {
				t.Fatalf("%d client connections", len(d.server.clients.conns))
			}
			x := d.held[0]
			x.onMessage = func(msg []byte) {
				if codec.Kind(msg) == codec.KindEnd {
					d.endedAt[codec.Task(msg)] = d.clock.TrueTime()
				}
			}
			for i, name := range names {
				x.send(setUp(uint64(1000+i), "single", codec.ParamDemand, demandText+";at:"+name))
				d.nodes[name].running[uint64(1000+i)] = true
			}
			for i := range 200 {
				x.request(uint64(1+i), "batch")
				d.step()
			}
			ends := d.clock.TrueTime()
			d.endTasks()
			for range 100 {
				d.step()
			}
			if late, missing := d.countEnds(ends + 5500); late+missing > 0 {
				t.Errorf("of %d ends %d came late, %d never", nodes, late, missing)
			}
			d.check()
		})
	}
}

// TestDialsExhausted has dials fail for want of descriptors: no node is taken for unhealthy, no running task for lost, and what provably never left is
// attempted again.
func TestDialsExhausted(t *testing.T) {
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

// spent is an environment without a descriptor left for a dial.
type spent struct{ env.Environment }

func (w spent) Dial(_ string, _ float64, done func(env.Conn, error)) {
	w.After(0.1, func() { done(nil, fmt.Errorf("socket: %w", env.ErrExhausted)) })
}

// TestHeldLimit has a client name more running tasks than may be held.
func TestHeldLimit(t *testing.T) {
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

// TestNothingIsKept replaces nodes, tasks and connections for a long time: nothing that is over is kept.
func TestNothingIsKept(t *testing.T) {
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
