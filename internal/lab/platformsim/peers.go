package platformsim

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
	codec "ravenpond/internal/proto/platform"
)

const maxTaskRuntime = 6000 // ms that a task stands at most

// peerConn is a stand-in's end of a connection.
type peerConn struct {
	conn      env.Conn
	buffered  []byte
	onMessage func(msg []byte)
	onClose   func(err error)
	closed    bool
}

func (e *peerConn) OnData(b []byte) {
	e.buffered = append(e.buffered, b...)
	for !e.closed {
		msg, took, err := codec.Next(e.buffered)
		if err != nil || took == 0 {
			return
		}
		m := slices.Clone(msg)
		e.buffered = e.buffered[took:]
		e.onMessage(m)
	}
}

func (e *peerConn) OnClose(err error) {
	e.closed = true
	if e.onClose != nil {
		e.onClose(err)
	}
}

func (e *peerConn) send(b []byte) bool {
	if e.conn == nil || e.closed {
		return false
	}
	_, _, ok := e.conn.Send(func(q []byte) []byte { return append(q, b...) })
	return ok
}

func (e *peerConn) reset(both bool) {
	if r, ok := e.conn.(interface{ Reset(bool) }); ok && !e.closed {
		r.Reset(both)
	}
}

// message builds one from codes and values.
func message(kind byte, task uint64, params ...any) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, task)
	for i := 0; i < len(params); i += 2 {
		v := fmt.Sprint(params[i+1])
		b = append(binary.BigEndian.AppendUint16(append(b, byte(params[i].(int))), uint16(len(v))), v...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

// task is an allocation as its owner sees it.
type task struct {
	id, key     uint64
	job         int
	service     uint64
	scheduler   *scheduler
	conn        *peerConn // on which it was asked
	node        *node     // where it stands, as far as the owner was told
	deadline    float64
	running     bool
	attempts    uint8   // that reached nodes
	abandonedAt float64 // when its owner left or gave it up
}

// client asks one scheduler.
type client struct {
	sim       *simulation
	scheduler *scheduler
	process   *sim.Process
	conn      *peerConn
	pending   map[uint64]*task
}

// start is called at each start of the scheduler: what stands is told again.
func (o *client) start() {
	o.pending = map[uint64]*task{}
	lives := o.scheduler.incarnation
	o.dial(func() {
		o.process.After(50, func() {
			if o.scheduler.incarnation == lives {
				o.restoreTasks()
			}
		})
	})
}

func (o *client) dial(then func()) {
	e := &peerConn{}
	e.onMessage = o.onMessage
	o.conn = e
	s := o.scheduler
	lives := s.incarnation
	e.onClose = func(err error) {
		for _, id := range sorted(o.pending) { // given up with the connection
			t := o.pending[id]
			if t.conn != e {
				continue
			}
			o.sim.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: s.name, RequestRef: t.id})
			delete(o.pending, id)
			if err == io.EOF && s.server != nil && s.incarnation == lives {
				o.sim.fail(fmt.Sprintf("rule 1: %s ended a connection on which ask %d had no answer", s.name, id))
			}
		}
		if o.conn == e && s.server != nil && s.stoppedAt == 0 {
			o.dial(nil)
		}
	}
	o.process.Dial(s.name+":1", 500, func(c env.Conn, err error) {
		if err != nil {
			e.closed = true
			return
		}
		e.conn = c
		c.Start(e, 3000)
		e.send(codec.AppendTest(nil, 1, false))
		if then != nil {
			then()
		}
	})
}

// markDisconnected is called when the scheduler is gone.
func (o *client) markDisconnected() { o.conn = &peerConn{closed: true} }

// restoreTasks names what the scheduler held in its last life.
func (o *client) restoreTasks() {
	for _, id := range sorted(o.sim.tasks) {
		t := o.sim.tasks[id]
		if t.scheduler != o.scheduler || !t.running || t.node.tasks[t.id] == nil {
			continue
		}
		o.sim.result.Restored++
		o.conn.send(message(codec.KindSetUp, t.id, codec.ParamJobClass, jobNames[t.job], codec.ParamTimeLeft, expiry, codec.ParamTenant, "acme", codec.ParamName,
			fmt.Sprintf("%016x", t.id), codec.ParamKey, fmt.Sprintf("%032x", t.key), codec.ParamDemand,
			fmt.Sprintf("cores:1;memory:2;service:%016x;at:%s", t.service, t.node.name), codec.ParamDescription, "owner's"))
	}
}

func sorted(m map[uint64]*task) []uint64 {
	var all []uint64
	for id := range m {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// sendNext has some owner ask, and plans the next.
func (g *simulation) sendNext() {
	if g.clock.TrueTime() > activeTime {
		return
	}
	wait, s := 20+60*g.rng.Float64(), g.schedulers[g.rng.IntN(len(g.schedulers))]
	if g.overload != nil {
		wait, s = g.overload.nextRequest()
	}
	g.clock.At(g.clock.TrueTime()+wait, g.sendNext)
	o := s.client
	if s.server == nil || o.conn == nil || o.conn.conn == nil || o.conn.closed || s.stoppedAt > 0 && g.clock.TrueTime() > s.stoppedAt+stopGrace {
		return
	}
	g.lastTask++
	t := &task{id: g.lastTask, key: g.lastTask, job: g.rng.IntN(len(jobs)), service: uint64(1 + g.rng.IntN(4)), scheduler: s, deadline: g.clock.TrueTime() + expiry}
	g.tasks[t.id] = t
	o.pending[t.id], t.conn = t, o.conn
	g.result.Requests++
	g.result.Jobs[t.job].Asks++
	g.record(audit.Record{Kind: audit.RequestSent, Scheduler: s.name, RequestRef: t.id, Token: t.key, Job: t.job, Deadline: t.deadline + 50})
	o.conn.send(message(codec.KindSetUp, t.id, codec.ParamJobClass, jobNames[t.job], codec.ParamTimeLeft, expiry, codec.ParamTenant, "acme", codec.ParamName,
		fmt.Sprintf("%016x", t.id), codec.ParamKey, fmt.Sprintf("%032x", t.key), codec.ParamDemand,
		fmt.Sprintf("cores:1;memory:2;service:%016x", t.service), codec.ParamDescription, "owner's"))
	if g.overload == nil && g.rng.IntN(60) == 0 { // it leaves with all that is open
		g.clock.At(g.clock.TrueTime()+60*g.rng.Float64(), o.disconnect)
	}
	if g.rng.IntN(20) == 0 { // given up
		g.clock.At(g.clock.TrueTime()+200*g.rng.Float64(), func() {
			if o.pending[t.id] == t {
				delete(o.pending, t.id)
				t.abandonedAt = g.clock.TrueTime()
				g.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: s.name, RequestRef: t.id})
				t.conn.send(codec.AppendEnd(nil, t.id, codec.CauseNormal)) // an open set-up belongs to its connection
			}
		})
	}
}

// onMessage takes what a scheduler says.
func (o *client) onMessage(msg []byte) {
	g, id := o.sim, codec.Task(msg)
	t := g.tasks[id]
	if t == nil {
		return
	}
	cause, _ := codec.CauseOf(msg)
	answer := func(word string) {
		if o.pending[id] == t {
			delete(o.pending, id)
			g.record(audit.Record{Kind: audit.ResponseReceived, Scheduler: o.scheduler.name, RequestRef: id, Token: t.key, Detail: word})
		}
	}
	switch codec.Kind(msg) {
	case codec.KindAnswer:
		if o.pending[id] != t {
			return
		}
		d, _ := codec.Param(msg, codec.ParamDescription)
		name, _, _ := strings.Cut(string(d), " ")
		for _, n := range g.nodes {
			if n.name == name {
				t.node, t.running = n, true
			}
		}
		if t.node == nil || string(d) != t.node.describe(id) {
			g.fail(fmt.Sprintf("task %x: description %q is no node's", id, d))
		}
		g.result.Served++
		g.result.Jobs[t.job].Served++
		answer("served")
	case codec.KindEnd:
		switch {
		case t.running:
			t.running = false
		case cause == codec.CauseBusy || cause == codec.CauseFull || cause == codec.CauseNotStarted:
			answer("declined")
		default:
			answer("failed")
		}
	case codec.KindMove:
		t.running = false
	}
}

// node is a stand-in for a node.
type node struct {
	sim                         *simulation
	id                          uint32
	name, address, zone, status string
	cell                        int
	coldSince                   float64
	process                     *sim.Process
	conns                       []*peerConn
	tasks                       map[uint64]*attempt
	arriving                    map[uint64]*peerConn
	unsentEnds                  []uint64 // told on no connection yet
	errorRate                   int      // of ten tries
	answerLossRate              int
	rejectRate                  int
	lateAnswerRate              int // of ten tasks that run, those whose end is told before their answer
	hung                        bool
	announcements               int // of its state that were told
}

// attempt is a task at a node.
type attempt struct {
	scheduler  string
	conn       *peerConn
	receivedAt float64
	running    bool
	answered   bool // its answer was sent
	number     uint8
}

func (n *node) describe(id uint64) string { return fmt.Sprintf("%s holds %x\x00\xff", n.name, id) }

func (g *simulation) addNode(name, address string, cold bool) *node {
	n := &node{
		sim: g, id: uint32(len(g.nodes) + 1), name: name, address: address, cell: len(g.nodes) % 3, zone: []string{"east", "west"}[len(g.nodes)%2],
		status: "ready",
	}
	if cold {
		n.coldSince = g.unix()
	}
	n.process = g.clock.NewProcess("p-" + name)
	g.nodes = append(g.nodes, n)
	g.rules.Nodes[n.id] = audit.Location{Zone: n.zone, Cell: fmt.Sprint(n.zone, n.cell)}
	n.start(cold)
	if !cold {
		g.listChanges = append(g.listChanges, listChange{n.name, n.address, n.zone, n.status, n.cell, 0})
	} else {
		g.announce(n)
	}
	return n
}

// unix is the true time in Unix ms.
func (g *simulation) unix() float64 {
	return g.schedulers[0].process.Now() + float64(env.Epoch.UnixMilli())
}

// start begins a life of the node.
func (n *node) start(cold bool) {
	n.tasks, n.arriving, n.conns, n.unsentEnds = map[uint64]*attempt{}, map[uint64]*peerConn{}, nil, nil
	n.clearFaults()
	word := ""
	if cold {
		word = "cold"
	}
	n.sim.record(audit.Record{Kind: audit.NodeStarted, Node: n.id, Detail: word})
	if _, err := n.process.Listen(n.address, n.accept); err != nil {
		n.sim.fail(err.Error())
	}
}

func (n *node) accept(c env.Conn) {
	e := &peerConn{conn: c}
	e.onMessage = func(msg []byte) { n.onMessage(e, msg) }
	e.onClose = func(error) {
		n.conns = slices.DeleteFunc(n.conns, func(x *peerConn) bool { return x == e })
		for id, r := range n.tasks { // what is open on it is given up
			if r.conn != e || r.answered {
				continue
			}
			n.conclude(id, r, "cut")
			if !r.running { // one whose answer was lost runs on
				delete(n.tasks, id)
			}
		}
	}
	n.conns = append(n.conns, e)
	c.Start(e, 3000)
	ends := n.unsentEnds
	n.unsentEnds = nil
	for _, id := range ends {
		n.sendEnd(id, codec.CauseNormal)
	}
}

func (n *node) conclude(id uint64, r *attempt, word string) {
	n.sim.record(audit.Record{Kind: audit.AttemptConcluded, Scheduler: r.scheduler, Node: n.id, Ticket: id, Attempt: r.number, Detail: word})
}

func (n *node) onMessage(e *peerConn, msg []byte) {
	id := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp: // one that was given up on its way, as behind a cut, comes with its end
		n.arriving[id] = e
		n.process.After(1, func() {
			if n.arriving[id] == e {
				delete(n.arriving, id)
				n.onPlacement(e, id, msg)
			}
		})
	case codec.KindEnd:
		delete(n.arriving, id)
		r := n.tasks[id]
		if r == nil {
			return
		}
		n.conclude(id, r, "ended")
		delete(n.tasks, id)
		if r.running {
			e.send(codec.AppendEnd(nil, id, codec.CauseElsewhere))
		}
	case codec.KindTest:
		if !n.hung {
			e.send(message(codec.KindTested, id, codec.ParamCause, "\x01", codec.ParamReport, n.report()))
		}
	}
}

func (n *node) report() string {
	return fmt.Sprintf("x0:%d;x1:%d", 32-len(n.tasks), 48-2*len(n.tasks))
}

func (n *node) onPlacement(e *peerConn, id uint64, msg []byte) {
	g := n.sim
	t := g.tasks[id]
	if t == nil {
		g.fail(fmt.Sprintf("a set-up %x that no owner sent", id))
		return
	}
	left, _ := codec.Number(msg, codec.ParamTimeLeft)
	g.result.Starts++
	try := t.attempts
	t.attempts++
	r := &attempt{scheduler: t.scheduler.name, conn: e, receivedAt: g.clock.TrueTime(), number: try}
	g.record(audit.Record{
		Kind: audit.PlacementReceived, Scheduler: t.scheduler.name, Node: n.id, Ticket: id, Attempt: try, Job: t.job, Token: t.key, Service: t.service,
		Deadline: g.clock.TrueTime() + left,
	})
	draw := g.rng.IntN(10)
	switch {
	case draw < n.rejectRate || len(n.tasks) >= 28 || n.tasks[id] != nil:
		n.conclude(id, r, "refused")
		e.send(message(codec.KindEnd, id, codec.ParamCause, string(byte(codec.CauseFull)), codec.ParamReason, "no_cores", codec.ParamReport, n.report()))
		return
	}
	n.tasks[id] = r
	if n.hung {
		return
	}
	n.process.After(5+40*g.rng.Float64(), func() {
		if n.tasks[id] != r {
			return
		}
		g.record(audit.Record{Kind: audit.TaskStarted, Scheduler: r.scheduler, Node: n.id, Ticket: id, Attempt: try})
		if g.rng.IntN(10) < n.errorRate {
			n.conclude(id, r, "error")
			delete(n.tasks, id)
			e.send(codec.AppendEnd(nil, id, codec.CauseErrored))
			return
		}
		r.running = true
		if g.rng.IntN(10) < n.answerLossRate {
			return // its answer is lost
		}
		if n.lateAnswerRate > 0 && g.rng.IntN(10) < n.lateAnswerRate {
			n.answerAfterEnd(e, t, r)
			return
		}
		r.answered = true
		g.record(audit.Record{Kind: audit.StartConfirmed, Scheduler: r.scheduler, Node: n.id, Ticket: id, Attempt: try})
		e.send(codec.AppendAnswer(nil, id, []byte(n.describe(id))))
	})
	n.process.After(200+float64(maxTaskRuntime-200)*g.rng.Float64(), func() {
		if n.tasks[id] == r {
			n.conclude(id, r, "ended")
			delete(n.tasks, id)
			n.sendEnd(id, codec.CauseNormal)
			g.expectEnd(t, n, e)
		}
	})
}

// sendEnd tells the end of what stood on its connection, or any other that the same scheduler holds, or on the next.
func (n *node) sendEnd(id uint64, cause byte) {
	b := message(codec.KindEnd, id, codec.ParamCause, string(cause), codec.ParamReport, n.report())
	for _, e := range n.conns { // the other schedulers know of no such task
		e.send(b)
	}
	n.unsentEnds = append(n.unsentEnds[max(0, len(n.unsentEnds)-64):], id) // and on the next that is opened
}
