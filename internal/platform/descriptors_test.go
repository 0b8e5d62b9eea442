package platform

import (
	"fmt"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// openConns returns the node's connections that have not been closed.
func openConns(n *fakeNode) (conns []*testConn) {
	for _, e := range n.conns {
		if !e.closed {
			conns = append(conns, e)
		}
	}
	return conns
}

// descriptorRun is a run of TestDescriptors.
type descriptorRun struct {
	*simRig
	names       []string           // the names of the nodes
	clientConns []*testClient      // clients that use up the limit of client connections
	maxConns    int                // the largest number of connections at a time
	endedAt     map[uint64]float64 // the times at which the first client received the ends of tasks, by task
}

// connectClients opens as many client connections as the scheduler's limit allows.
func (d *descriptorRun) connectClients() {
	for range d.server.limits.ClientConns {
		x := &testClient{testConn: &testConn{}, rig: d.simRig}
		x.onMessage = func([]byte) {}
		d.clients.Dial(clientAddress, 1000, func(c env.Conn, err error) {
			if err == nil {
				x.conn = c
				c.Start(x, 5000)
				x.send(codec.AppendHealthCheck(nil, 9, false))
			}
		})
		d.clientConns = append(d.clientConns, x)
	}
}

// step advances the clock by 60 ms and counts the connections.
func (d *descriptorRun) step() {
	d.advance(60)
	conns := 0
	for _, n := range d.nodes {
		conns += len(openConns(n))
	}
	for _, x := range d.clientConns {
		if !x.closed {
			conns++
		}
	}
	d.maxConns = max(d.maxConns, conns)
}

// endTasks makes every node send the end of its task, on each open connection and on each new one.
func (d *descriptorRun) endTasks() {
	for i, name := range d.names {
		n, task := d.nodes[name], uint64(1000+i)
		end := codec.AppendEnd(nil, task, codec.CauseNormal)
		for _, e := range openConns(n) {
			e.send(end)
		}
		n.onConnect = func(e *testConn) { e.send(end) }
	}
}

// countEnds returns how many ends the client received after a deadline, and how many it did not receive.
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

// check checks how many connections the scheduler held, that it believes no node lost or unhealthy, and how often it dialed the nodes.
func (d *descriptorRun) check() {
	t, s := d.t, d.server
	t.Helper()
	if d.maxConns > s.limits.ClientConns+s.limits.NodeConns || d.maxConns > d.configuration.Sockets*98/100-8 {
		t.Errorf("%d connections at a time; limits: %d to clients, %d to nodes, %d descriptors", d.maxConns, s.limits.ClientConns, s.limits.NodeConns,
			d.configuration.Sockets)
	}
	if s.telemetry.outcomes[logic.ConnectionLost] > 0 || s.telemetry.counts[countDialsExhausted] > 0 {
		t.Errorf("outcomes %v, want no lost connection; %d dials failed for lack of descriptors, want 0",
			s.telemetry.outcomes, s.telemetry.counts[countDialsExhausted])
	}
	for _, n := range s.nodes.byID {
		if b, _ := s.host.NodeEstimate(n.id); b.Unhealthy {
			t.Errorf("node %s is believed unhealthy", n.name)
		}
	}
	if dials := float64(s.telemetry.counts[countDials]) / (float64(len(d.names)) * 18 / 2); dials > 1.3 {
		t.Errorf("%d dials: %.1f per node in two seconds, want at most 1.3", s.telemetry.counts[countDials], dials)
	}
}

// TestDescriptors uses up the client connections and has a task run at every node, in some cases of more nodes than the scheduler may have
// connections to. The limits of connections always hold, no node is taken for lost or unhealthy, and every end is notified in time.
func TestDescriptors(t *testing.T) {
	for _, count := range []int{40, 120, 200} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			var names []string
			for i := range count {
				names = append(names, fmt.Sprint("n", i))
			}
			d := &descriptorRun{simRig: startRig(t, names...), names: names, endedAt: map[uint64]float64{}}
			d.connectClients()
			d.advance(100)
			if len(d.server.clients.conns) != d.server.limits.ClientConns {
				t.Fatalf("%d client connections, want as many as the limit", len(d.server.clients.conns))
			}
			x := d.clientConns[0]
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
			endedAt := d.clock.TrueTime()
			d.endTasks()
			for range 100 {
				d.step()
			}
			if late, missing := d.countEnds(endedAt + 5500); late+missing > 0 {
				t.Errorf("of %d ends %d were notified late and %d never", count, late, missing)
			}
			d.check()
		})
	}
}

// TestDialsExhausted makes dials fail because no descriptors are left. No node is believed unhealthy, no running task is lost, and the client may
// retry a request whose attempts were never sent.
func TestDialsExhausted(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	x.request(7, "single")
	r.advance(200)
	r.server.env = exhaustedEnv{r.server.env}
	for _, n := range r.nodes {
		for _, e := range n.conns {
			e.conn.(interface{ Reset(bool) }).Reset(true)
		}
	}
	x.request(8, "single")
	r.advance(9000)
	if r.server.telemetry.counts[countDialsExhausted] < 5 || r.server.host.RunningTasks() != 1 || len(x.received) != 2 || x.received[1] != "8 end 42" {
		t.Errorf("%d dials failed for lack of descriptors, want 5 or more; %d running tasks, want 1; received %q, want 2 messages and the last 8 end 42",
			r.server.telemetry.counts[countDialsExhausted], r.server.host.RunningTasks(), x.received)
	}
	for _, n := range r.server.nodes.byID {
		if b, _ := r.server.host.NodeEstimate(n.id); b.Unhealthy || b.FailureRate > 0 {
			t.Errorf("estimate of node %s: %+v, want it healthy with a failure rate of 0", n.name, b)
		}
	}
}

// exhaustedEnv is an environment in which every dial fails because no descriptors are left.
type exhaustedEnv struct{ env.Environment }

func (w exhaustedEnv) Dial(_ string, _ float64, onDialed func(env.Conn, error)) {
	w.After(0.1, func() { onDialed(nil, fmt.Errorf("socket: %w", env.ErrExhausted)) })
}

// TestHeldLimit requests more tasks that already run than the scheduler may hold. Those beyond the limit are rejected.
func TestHeldLimit(t *testing.T) {
	r := startRig(t, "a")
	r.server.limits.Held = 20
	x := r.dial()
	for task := range uint64(60) {
		x.send(setUp(task+1, "batch", codec.ParamDemand, demandText+";at:a"))
	}
	x.request(100, "batch")
	r.advance(500)
	if len(r.server.requests.byAlloc) != 20 || len(x.received) != 41 || x.received[40] != "100 end 42" {
		t.Errorf("%d requests are held, want 20; %d messages, want 41 rejections, the last of them of task 100",
			len(r.server.requests.byAlloc), len(x.received))
	}
}

// TestNoStateLeft replaces nodes, tasks and connections 60 times, and checks that the scheduler keeps no state of those that have ended.
func TestNoStateLeft(t *testing.T) {
	r := startRig(t, "n0")
	task := uint64(0)
	for i := range 60 {
		name, previous := fmt.Sprint("n", i+1), fmt.Sprint("n", i)
		newFakeNode(r, name, name)
		r.journal.publish(entryJSON(name, name, "ready"), entryJSON(previous, previous, "gone"))
		r.advance(300)
		x := r.dial()
		for range 5 {
			task++
			x.request(task, "batch")
		}
		r.advance(200)
		for _, n := range r.nodes {
			for done := range n.running {
				delete(n.running, done)
				n.setUpConn[done].send(codec.AppendEnd(nil, done, codec.CauseNormal))
			}
		}
		r.advance(200)
		x.conn.Close(true, nil)
		r.advance(100)
	}
	r.advance(3000)
	if len(r.server.requests.byAlloc)+len(r.server.requests.byTask)+len(r.server.clients.conns) > 0 ||
		len(r.server.nodes.byID) > 1 || len(r.server.nodes.byName) > 1 || r.server.nodes.conns > 5 {
		t.Errorf("left: %d requests by allocation, %d by task, %d client connections, %d nodes, %d connections to nodes",
			len(r.server.requests.byAlloc), len(r.server.requests.byTask), len(r.server.clients.conns), len(r.server.nodes.byID),
			r.server.nodes.conns)
	}
	if r.server.telemetry.counts[countServed] != int(task) {
		t.Errorf("%d of %d requests were served, want all", r.server.telemetry.counts[countServed], task)
	}
}
