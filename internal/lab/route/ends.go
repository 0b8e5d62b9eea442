package route

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/platform"
)

const life = 6000 // ms that a task stands at most

// ear is a stand-in's end of a connection.
type ear struct {
	conn  outside.Conn
	in    []byte
	heard func(msg []byte)
	gone  func(err error)
	over  bool
}

func (e *ear) OnData(b []byte) {
	e.in = append(e.in, b...)
	for !e.over {
		msg, took, err := codec.Next(e.in)
		if err != nil || took == 0 {
			return
		}
		m := slices.Clone(msg)
		e.in = e.in[took:]
		e.heard(m)
	}
}

func (e *ear) OnClose(err error) {
	e.over = true
	if e.gone != nil {
		e.gone(err)
	}
}

func (e *ear) send(b []byte) bool {
	if e.conn == nil || e.over {
		return false
	}
	_, _, ok := e.conn.Send(func(q []byte) []byte { return append(q, b...) })
	return ok
}

func (e *ear) reset(both bool) {
	if r, ok := e.conn.(interface{ Reset(bool) }); ok && !e.over {
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
	id, key uint64
	job     int
	service uint64
	s       *sched
	e       *ear  // on which it was asked
	at      *node // where it stands, as far as the owner was told
	until   float64
	stands  bool
	tries   uint8   // that reached nodes
	gone    float64 // when its owner left or gave it up
}

// owner asks one scheduler.
type owner struct {
	g    *play
	s    *sched
	p    *sim.Process
	e    *ear
	asks map[uint64]*task
}

// begin is called at each start of the scheduler: what stands is told again.
func (o *owner) begin() {
	o.asks = map[uint64]*task{}
	lives := o.s.lives
	o.dial(func() {
		o.p.After(50, func() {
			if o.s.lives == lives {
				o.retell()
			}
		})
	})
}

func (o *owner) dial(then func()) {
	e := &ear{}
	e.heard = o.heard
	o.e = e
	s := o.s
	lives := s.lives
	e.gone = func(err error) {
		for _, id := range sorted(o.asks) { // given up with the connection
			t := o.asks[id]
			if t.e != e {
				continue
			}
			o.g.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: s.name, RequestRef: t.id})
			delete(o.asks, id)
			if err == io.EOF && s.s != nil && s.lives == lives {
				o.g.fail(fmt.Sprintf("rule 1: %s ended a connection on which ask %d had no answer", s.name, id))
			}
		}
		if o.e == e && s.s != nil && s.ends == 0 {
			o.dial(nil)
		}
	}
	o.p.Dial(s.name+":1", 500, func(c outside.Conn, err error) {
		if err != nil {
			e.over = true
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

// lost is called when the scheduler is gone.
func (o *owner) lost() { o.e = &ear{over: true} }

// retell names what the scheduler held in its last life.
func (o *owner) retell() {
	for _, id := range sorted(o.g.tasks) {
		t := o.g.tasks[id]
		if t.s != o.s || !t.stands || t.at.runs[t.id] == nil {
			continue
		}
		o.g.v.Found++
		o.e.send(message(codec.SetUp, t.id, codec.JobType, jobNames[t.job], codec.Left, expiry, codec.Tenant, "acme", codec.Name,
			fmt.Sprintf("%016x", t.id), codec.Key, fmt.Sprintf("%032x", t.key), codec.Figures,
			fmt.Sprintf("cores:1;memory:2;service:%016x;at:%s", t.service, t.at.name), codec.Description, "owner's"))
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

// ask has some owner ask, and plans the next.
func (g *play) ask() {
	if g.c.TrueTime() > lasts {
		return
	}
	wait, s := 20+60*g.rng.Float64(), g.scheds[g.rng.IntN(len(g.scheds))]
	if g.busy != nil {
		wait, s = g.busy.next()
	}
	g.c.At(g.c.TrueTime()+wait, g.ask)
	o := s.owner
	if s.s == nil || o.e == nil || o.e.conn == nil || o.e.over || s.ends > 0 && g.c.TrueTime() > s.ends+shut {
		return
	}
	g.count++
	t := &task{id: g.count, key: g.count, job: g.rng.IntN(len(jobs)), service: uint64(1 + g.rng.IntN(4)), s: s, until: g.c.TrueTime() + expiry}
	g.tasks[t.id] = t
	o.asks[t.id], t.e = t, o.e
	g.v.Asks++
	g.v.Jobs[t.job].Asks++
	g.record(audit.Record{Kind: audit.RequestSent, Scheduler: s.name, RequestRef: t.id, Token: t.key, Job: t.job, Deadline: t.until + 50})
	o.e.send(message(codec.SetUp, t.id, codec.JobType, jobNames[t.job], codec.Left, expiry, codec.Tenant, "acme", codec.Name,
		fmt.Sprintf("%016x", t.id), codec.Key, fmt.Sprintf("%032x", t.key), codec.Figures,
		fmt.Sprintf("cores:1;memory:2;service:%016x", t.service), codec.Description, "owner's"))
	if g.busy == nil && g.rng.IntN(60) == 0 { // it leaves with all that is open
		g.c.At(g.c.TrueTime()+60*g.rng.Float64(), o.leaves)
	}
	if g.rng.IntN(20) == 0 { // given up
		g.c.At(g.c.TrueTime()+200*g.rng.Float64(), func() {
			if o.asks[t.id] == t {
				delete(o.asks, t.id)
				t.gone = g.c.TrueTime()
				g.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: s.name, RequestRef: t.id})
				t.e.send(codec.AppendEnd(nil, t.id, codec.Normal)) // an open set-up belongs to its connection
			}
		})
	}
}

// heard takes what a scheduler says.
func (o *owner) heard(msg []byte) {
	g, id := o.g, codec.Task(msg)
	t := g.tasks[id]
	if t == nil {
		return
	}
	cause, _ := codec.CauseOf(msg)
	answer := func(word string) {
		if o.asks[id] == t {
			delete(o.asks, id)
			g.record(audit.Record{Kind: audit.ResponseReceived, Scheduler: o.s.name, RequestRef: id, Token: t.key, Detail: word})
		}
	}
	switch codec.Kind(msg) {
	case codec.Answer:
		if o.asks[id] != t {
			return
		}
		d, _ := codec.Param(msg, codec.Description)
		name, _, _ := strings.Cut(string(d), " ")
		for _, n := range g.nodes {
			if n.name == name {
				t.at, t.stands = n, true
			}
		}
		if t.at == nil || string(d) != t.at.describes(id) {
			g.fail(fmt.Sprintf("task %x: description %q is no node's", id, d))
		}
		g.v.Served++
		g.v.Jobs[t.job].Served++
		answer("served")
	case codec.End:
		switch {
		case t.stands:
			t.stands = false
		case cause == codec.Busy || cause == codec.Full || cause == codec.Moot:
			answer("declined")
		default:
			answer("failed")
		}
	case codec.Move:
		t.stands = false
	}
}

// node is a stand-in for a node.
type node struct {
	g                           *play
	id                          uint32
	name, address, zone, status string
	cell                        int
	since                       float64
	p                           *sim.Process
	conns                       []*ear
	runs                        map[uint64]*run
	coming                      map[uint64]*ear
	ends                        []uint64 // told on no connection yet
	fails                       int      // of ten tries
	mute                        int
	full                        int
	lateAnswers                 int // of ten tasks that run, those whose end is told before their answer
	hangs                       bool
	changes                     int // of its state that were told
}

// run is a task at a node.
type run struct {
	sched  string
	e      *ear
	at     float64
	stands bool
	told   bool // its answer was sent
	try    uint8
}

func (n *node) describes(id uint64) string { return fmt.Sprintf("%s holds %x\x00\xff", n.name, id) }

func (g *play) addNode(name, address string, cold bool) *node {
	n := &node{
		g: g, id: uint32(len(g.nodes) + 1), name: name, address: address, cell: len(g.nodes) % 3, zone: []string{"east", "west"}[len(g.nodes)%2],
		status: "ready",
	}
	if cold {
		n.since = g.unix()
	}
	n.p = g.c.NewProcess("p-" + name)
	g.nodes = append(g.nodes, n)
	g.rules.Nodes[n.id] = audit.Location{Zone: n.zone, Cell: fmt.Sprint(n.zone, n.cell)}
	n.begin(cold)
	if !cold {
		g.list = append(g.list, change{n.name, n.address, n.zone, n.status, n.cell, 0})
	} else {
		g.tells(n)
	}
	return n
}

// unix is the true time in Unix ms.
func (g *play) unix() float64 { return g.scheds[0].p.Now() + float64(outside.Epoch.UnixMilli()) }

// begin begins a life of the node.
func (n *node) begin(cold bool) {
	n.runs, n.coming, n.conns, n.ends = map[uint64]*run{}, map[uint64]*ear{}, nil, nil
	n.behaves()
	word := ""
	if cold {
		word = "cold"
	}
	n.g.record(audit.Record{Kind: audit.NodeStarted, Node: n.id, Detail: word})
	if _, err := n.p.Listen(n.address, n.came); err != nil {
		n.g.fail(err.Error())
	}
}

func (n *node) came(c outside.Conn) {
	e := &ear{conn: c}
	e.heard = func(msg []byte) { n.heard(e, msg) }
	e.gone = func(error) {
		n.conns = slices.DeleteFunc(n.conns, func(x *ear) bool { return x == e })
		for id, r := range n.runs { // what is open on it is given up
			if r.e != e || r.told {
				continue
			}
			n.conclude(id, r, "cut")
			if !r.stands { // one whose answer was lost runs on
				delete(n.runs, id)
			}
		}
	}
	n.conns = append(n.conns, e)
	c.Start(e, 3000)
	ends := n.ends
	n.ends = nil
	for _, id := range ends {
		n.tellEnd(id, codec.Normal)
	}
}

func (n *node) conclude(id uint64, r *run, word string) {
	n.g.record(audit.Record{Kind: audit.AttemptConcluded, Scheduler: r.sched, Node: n.id, Ticket: id, Attempt: r.try, Detail: word})
}

func (n *node) heard(e *ear, msg []byte) {
	id := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.SetUp: // one that was given up on its way, as behind a cut, comes with its end
		n.coming[id] = e
		n.p.After(1, func() {
			if n.coming[id] == e {
				delete(n.coming, id)
				n.offered(e, id, msg)
			}
		})
	case codec.End:
		delete(n.coming, id)
		r := n.runs[id]
		if r == nil {
			return
		}
		n.conclude(id, r, "ended")
		delete(n.runs, id)
		if r.stands {
			e.send(codec.AppendEnd(nil, id, codec.Elsewhere))
		}
	case codec.Test:
		if !n.hangs {
			e.send(message(codec.Tested, id, codec.Cause, "\x01", codec.Report, n.report()))
		}
	}
}

func (n *node) report() string {
	return fmt.Sprintf("x0:%d;x1:%d", 32-len(n.runs), 48-2*len(n.runs))
}

func (n *node) offered(e *ear, id uint64, msg []byte) {
	g := n.g
	t := g.tasks[id]
	if t == nil {
		g.fail(fmt.Sprintf("a set-up %x that no owner sent", id))
		return
	}
	left, _ := codec.Number(msg, codec.Left)
	g.v.Starts++
	try := t.tries
	t.tries++
	r := &run{sched: t.s.name, e: e, at: g.c.TrueTime(), try: try}
	g.record(audit.Record{
		Kind: audit.PlacementReceived, Scheduler: t.s.name, Node: n.id, Ticket: id, Attempt: try, Job: t.job, Token: t.key, Service: t.service,
		Deadline: g.c.TrueTime() + left,
	})
	draw := g.rng.IntN(10)
	switch {
	case draw < n.full || len(n.runs) >= 28 || n.runs[id] != nil:
		n.conclude(id, r, "refused")
		e.send(message(codec.End, id, codec.Cause, string(byte(codec.Full)), codec.Word, "no_cores", codec.Report, n.report()))
		return
	}
	n.runs[id] = r
	if n.hangs {
		return
	}
	n.p.After(5+40*g.rng.Float64(), func() {
		if n.runs[id] != r {
			return
		}
		g.record(audit.Record{Kind: audit.TaskStarted, Scheduler: r.sched, Node: n.id, Ticket: id, Attempt: try})
		if g.rng.IntN(10) < n.fails {
			n.conclude(id, r, "error")
			delete(n.runs, id)
			e.send(codec.AppendEnd(nil, id, codec.Errored))
			return
		}
		r.stands = true
		if g.rng.IntN(10) < n.mute {
			return // its answer is lost
		}
		if n.lateAnswers > 0 && g.rng.IntN(10) < n.lateAnswers {
			n.answersAfterEnd(e, t, r)
			return
		}
		r.told = true
		g.record(audit.Record{Kind: audit.StartConfirmed, Scheduler: r.sched, Node: n.id, Ticket: id, Attempt: try})
		e.send(codec.AppendAnswer(nil, id, []byte(n.describes(id))))
	})
	n.p.After(200+float64(life-200)*g.rng.Float64(), func() {
		if n.runs[id] == r {
			n.conclude(id, r, "ended")
			delete(n.runs, id)
			n.tellEnd(id, codec.Normal)
			g.owes(t, n, e)
		}
	})
}

// tellEnd tells the end of what stood on its connection, or any other that the same scheduler holds, or on the next.
func (n *node) tellEnd(id uint64, cause byte) {
	b := message(codec.End, id, codec.Cause, string(cause), codec.Report, n.report())
	for _, e := range n.conns { // the other schedulers know of no such task
		e.send(b)
	}
	n.ends = append(n.ends[max(0, len(n.ends)-64):], id) // and on the next that is opened
}
