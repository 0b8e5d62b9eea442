package platform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
	codec "ravenpond/internal/proto/platform"
)

const settingsText = `{"instances": 1, "discovery": "ask", "step-ns": 2000000, "kinds": ["std"], "zones": ["east", "west"],
 "projects": [{"name": "acme", "portion": 0.5}, {"name": "club", "portion": 0.5}],
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [32], "mem-of-kind": [64], "kind-by-class": [-1, -1, -1],
  "spread-over": ["silent"], "lists-free": true, "cold-bears": 20, "unit-cores": 1, "mean-memory": 2, "settle-ns": 1500000000},
 "policy-limits": {"max-attempts": 4, "probes": true, "cancel": true, "conn-idle-ns": 30000000000, "connect-timeout-ns": 250000000,
  "open-cap": 1000000},
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"cold-ns": 9000000000, "overload-for-ns": 2000000000, "ask-every-ns": 10000000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "free", "worth": 1, "group": "all"},
  {"name": "marked", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "guarded", "worth": 1, "group": "all", "window-ns": 8000000000},
  {"name": "single", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "single_shot", "worth": 1, "group": "all"}]}`

// simRig runs a scheduler with fake nodes, clients and a fake journal service, on a virtual clock and network.
type simRig struct {
	t             *testing.T
	clock         *sim.Clock
	process       *sim.Process
	server        *Server
	configuration *Configuration
	nodes         map[string]*fakeNode
	journal       *fakeJournal
	clients       *sim.Process
}

const (
	clientAddress = "scheduler:1"
	unixBase      = 1767225600000 // Unix ms, the origin of the virtual clock
)

// startRig starts a scheduler whose node list has nodes with these names, at addresses of the same names.
func startRig(t *testing.T, names ...string) *simRig {
	t.Helper()
	return startRigWith(t, settingsText, entryJSON, names...)
}

// startRigWith starts a scheduler with other settings. nodeEntry returns the entries of its node list.
func startRigWith(t *testing.T, settingsText string, nodeEntry func(name, address, status string) string, names ...string) *simRig {
	t.Helper()
	r := &simRig{t: t, clock: sim.NewClock(7), nodes: map[string]*fakeNode{}}
	r.process, r.clients = r.clock.NewProcess("scheduler"), r.clock.NewProcess("clients")
	r.journal = newFakeJournal(r, "journal:1")
	var entries []string
	for _, n := range names {
		newFakeNode(r, n, n)
		entries = append(entries, nodeEntry(n, n, "ready"))
	}
	initial := eventJSON(1, true, entries...)
	r.journal.events = []string{initial}
	c, err := Read([]byte(`{"name":"n0","listen":"scheduler:1","journal":"journal:1","seed":"3","limits":{"cores":1,"memory_mb":64,"sockets":256},` +
		`"known":{"pos":1,"entries":[` + initial + `]},"settings":` + settingsText + `}`))
	if err != nil {
		t.Fatal(err)
	}
	r.configuration = c
	r.start()
	r.advance(3000) // a scheduler that has just started does not use new nodes yet
	return r
}

func (r *simRig) start() {
	r.server = New(r.process, zerolog.Nop(), r.configuration)
	if err := r.server.Start(r.configuration); err != nil {
		r.t.Fatal(err)
	}
}

func (r *simRig) advance(ms float64) { r.clock.RunUntil(r.clock.TrueTime() + ms) }

func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"east","type":"std","group":0,"status":%q,"since_ms":0,"room":[32,64]}`, name,
		address, status)
}

func eventJSON(pos int, snapshot bool, entries ...string) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, pos, pos, snapshot, strings.Join(entries, ","))
}

// testConn is a connection of a fake node or of a test client.
type testConn struct {
	conn      env.Conn
	partial   []byte
	onMessage func(msg []byte)
	closed    bool
}

func (e *testConn) OnData(b []byte) {
	e.partial = append(e.partial, b...)
	for {
		msg, size, err := codec.Next(e.partial)
		if err != nil || size == 0 {
			return
		}
		m := slices.Clone(msg)
		e.partial = e.partial[size:]
		e.onMessage(m)
	}
}

func (e *testConn) OnClose(error) { e.closed = true }

func (e *testConn) send(b []byte) { e.conn.Send(func(x []byte) []byte { return append(x, b...) }) }

// fakeNode is a simulated node. By default it starts a task 30 ms after the set-up.
type fakeNode struct {
	rig           *simRig
	name          string
	process       *sim.Process
	listener      env.Listener
	conns         []*testConn
	setUps        map[uint64]int       // the number of set-ups received, by task
	setUpConn     map[uint64]*testConn // the connection of the last set-up, by task
	running       map[uint64]bool
	endsReceived  []uint64                       // tasks that the scheduler ended
	testsReceived int                            // the number of test messages received
	onSetUp       func(e *testConn, task uint64) // called instead of starting the task, if set
	onConnect     func(e *testConn)              // called for each new connection, if set
}

func newFakeNode(r *simRig, name, address string) *fakeNode {
	n := &fakeNode{
		rig: r, name: name, process: r.clock.NewProcess("node-" + name), setUps: map[uint64]int{}, setUpConn: map[uint64]*testConn{},
		running: map[uint64]bool{},
	}
	r.nodes[name] = n
	n.listen(address)
	return n
}

func (n *fakeNode) listen(address string) {
	listener, err := n.process.Listen(address, func(c env.Conn) {
		e := &testConn{conn: c}
		e.onMessage = func(msg []byte) { n.onMessage(e, msg) }
		n.conns = append(n.conns, e)
		c.Start(e, 5000)
		if n.onConnect != nil {
			n.onConnect(e)
		}
	})
	if err != nil {
		n.rig.t.Fatal(err)
	}
	n.listener = listener
}

func (n *fakeNode) onMessage(e *testConn, msg []byte) {
	task := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp:
		n.setUps[task]++
		n.setUpConn[task] = e
		if n.onSetUp != nil {
			n.onSetUp(e, task)
			return
		}
		n.process.After(30, func() { n.answer(e, task) })
	case codec.KindEnd:
		n.endsReceived = append(n.endsReceived, task)
		if n.running[task] {
			delete(n.running, task)
			e.send(codec.AppendEnd(nil, task, codec.CauseElsewhere))
		}
	case codec.KindHealthCheck:
		n.testsReceived++
		e.send(codec.AppendHealthCheckResult(nil, task, true))
	}
}

// description returns the node's description of a task, with bytes that are not valid text.
func (n *fakeNode) description(task uint64) string {
	return fmt.Sprintf("%s\x00\xff\r\n%x", n.name, task)
}

func (n *fakeNode) answer(e *testConn, task uint64) {
	n.running[task] = true
	e.send(codec.AppendAnswer(nil, task, []byte(n.description(task))))
}

// testClient is a client with one connection.
type testClient struct {
	*testConn
	rig        *simRig
	received   []string // the received messages as text
	receivedAt []float64
}

func (r *simRig) dial() *testClient {
	x := &testClient{testConn: &testConn{}, rig: r}
	x.onMessage = func(msg []byte) {
		cause, _ := codec.CauseOf(msg)
		d, _ := codec.Param(msg, codec.ParamDescription)
		word := map[byte]string{codec.KindAnswer: "served " + string(d), codec.KindEnd: fmt.Sprint("end ", cause), codec.KindHealthCheckResult: fmt.Sprint("tested ",
			cause), codec.KindMove: "move"}[codec.Kind(msg)]
		x.received, x.receivedAt = append(x.received, fmt.Sprintf("%d %s", codec.Task(msg), word)), append(x.receivedAt, r.clock.TrueTime())
	}
	r.clients.Dial(clientAddress, 1000, func(c env.Conn, err error) {
		if err != nil {
			x.closed = true
			return
		}
		x.conn = c
		c.Start(x, 5000)
	})
	r.advance(50)
	return x
}

func (x *testClient) want(what string, want ...string) {
	x.rig.t.Helper()
	if strings.Join(x.received, "\n") != strings.Join(want, "\n") {
		x.rig.t.Errorf("%s: %q, want %q", what, x.received, want)
	}
}

// message returns a message with the given pairs of a parameter code and a value.
func message(kind byte, task uint64, params ...any) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, task)
	for i := 0; i < len(params); i += 2 {
		v := params[i+1].(string)
		b = append(binary.BigEndian.AppendUint16(append(b, byte(params[i].(int))), uint16(len(v))), v...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

const demandText = "cores:1;memory:2;service:00000000b4d65521"

// setUp returns a client's set-up message. Further parameters replace the default ones with the same code.
func setUp(task uint64, jobClass string, replacements ...any) []byte {
	params := []any{
		codec.ParamJobClass, jobClass, codec.ParamTimeLeft, "2500", codec.ParamTenant, "acme", codec.ParamName, fmt.Sprintf("%016x", task), codec.ParamKey,
		strings.Repeat("5c", 16), codec.ParamDemand, demandText, codec.ParamDescription, "owner's",
	}
	for i := 0; i < len(replacements); i += 2 {
		for j := 0; j < len(params); j += 2 {
			if params[j] == replacements[i] {
				params[j+1] = replacements[i+1]
			}
		}
	}
	return message(codec.KindSetUp, task, params...)
}

func (x *testClient) request(task uint64, jobClass string) { x.send(setUp(task, jobClass)) }

// handOver hands over task 7, which runs at node a by the client's knowledge.
func (x *testClient) handOver() { x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:a")) }

// fakeJournal is a simulated journal service.
type fakeJournal struct {
	rig      *simRig
	process  *sim.Process
	events   []string
	conns    []*journalConn
	listener env.Listener
	silent   bool // it sends nothing at all
	requests []string
}

type journalConn struct {
	journal *fakeJournal
	conn    env.Conn
	closed  bool
}

func newFakeJournal(r *simRig, address string) *fakeJournal {
	j := &fakeJournal{rig: r, process: r.clock.NewProcess(address)}
	listener, err := j.process.Listen(address, func(c env.Conn) {
		x := &journalConn{journal: j, conn: c}
		j.conns = append(j.conns, x)
		c.Start(x, 5000)
	})
	if err != nil {
		r.t.Fatal(err)
	}
	j.listener = listener
	env.Every(j.process, 1000, func() bool {
		j.broadcast(fmt.Sprintf(`{"pos":%d}`+"\n", j.last()))
		return true
	})
	return j
}

func (j *fakeJournal) last() int {
	if len(j.events) == 0 {
		return 0
	}
	var e struct{ Pos int }
	_ = json.Unmarshal([]byte(j.events[len(j.events)-1]), &e) // eventJSON wrote the text, which is valid
	return e.Pos
}

func (x *journalConn) OnClose(error) { x.closed = true }

func (x *journalConn) OnData(b []byte) {
	line := strings.TrimSpace(string(b))
	if line == "" {
		return
	}
	x.journal.requests = append(x.journal.requests, line)
	if x.journal.silent {
		return
	}
	var from int
	_, _ = fmt.Sscanf(line, "tail %d", &from) // any other request asks for all events
	for _, e := range x.journal.events {
		var p struct{ Pos int }
		_ = json.Unmarshal([]byte(e), &p)
		if p.Pos > from {
			x.send(e + "\n")
		}
	}
}

func (x *journalConn) send(text string) {
	x.conn.Send(func(b []byte) []byte { return append(b, text...) })
}

// broadcast sends text on all open connections.
func (j *fakeJournal) broadcast(text string) {
	if j.silent {
		return
	}
	for _, x := range j.conns {
		if !x.closed {
			x.send(text)
		}
	}
}

// publish appends an event to the journal and sends it on all open connections.
func (j *fakeJournal) publish(entries ...string) {
	e := eventJSON(j.last()+1, false, entries...)
	j.events = append(j.events, e)
	j.broadcast(e + "\n")
}
