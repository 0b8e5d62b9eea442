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

// rig is a scheduler among stand-ins for nodes, clients and the journal service, on a virtual clock and network.
type rig struct {
	t             *testing.T
	c             *sim.Clock
	sched         *sim.Process
	s             *Server
	configuration *Configuration
	nodes         map[string]*node
	journal       *journal
	clients       *sim.Process
}

const (
	door     = "scheduler:1"
	unixBase = 1767225600000 // ms, of the world's zero
)

// begin starts a scheduler that knows the nodes with these names, at addresses of the same names.
func begin(t *testing.T, names ...string) *rig { return beginAt(t, settingsText, entryOf, names...) }

// beginAt starts one on other settings, with entries of the list as they want them.
func beginAt(t *testing.T, settingsText string, entryOf func(name, address, status string) string, names ...string) *rig {
	r := &rig{t: t, c: sim.NewClock(7), nodes: map[string]*node{}}
	r.sched, r.clients = r.c.NewProcess("scheduler"), r.c.NewProcess("clients")
	r.journal = newJournal(r, "journal:1")
	var all []string
	for _, n := range names {
		newNode(r, n, n)
		all = append(all, entryOf(n, n, "ready"))
	}
	first := event(1, true, all...)
	r.journal.events = []string{first}
	c, err := Read([]byte(`{"name":"n0","listen":"scheduler:1","journal":"journal:1","seed":"3","limits":{"cores":1,"memory_mb":64,"sockets":256},` +
		`"known":{"pos":1,"entries":[` + first + `]},"settings":` + settingsText + `}`))
	if err != nil {
		t.Fatal(err)
	}
	r.configuration = c
	r.start()
	r.pass(3000) // a scheduler that has just begun leaves new nodes alone
	return r
}

func (r *rig) start() {
	r.s = New(r.sched, zerolog.Nop(), r.configuration)
	if err := r.s.Start(r.configuration); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) pass(ms float64) { r.c.RunUntil(r.c.TrueTime() + ms) }

func entryOf(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"east","type":"std","group":0,"status":%q,"since_ms":0,"room":[32,64]}`, name,
		address, status)
}

func event(pos int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, pos, pos, whole, strings.Join(entries, ","))
}

// ear is a connection of a stand-in.
type ear struct {
	conn  env.Conn
	in    []byte
	heard func(msg []byte)
	ended bool
}

func (e *ear) OnData(b []byte) {
	e.in = append(e.in, b...)
	for {
		msg, took, err := codec.Next(e.in)
		if err != nil || took == 0 {
			return
		}
		m := slices.Clone(msg)
		e.in = e.in[took:]
		e.heard(m)
	}
}

func (e *ear) OnClose(error) { e.ended = true }

func (e *ear) send(b []byte) { e.conn.Send(func(x []byte) []byte { return append(x, b...) }) }

// node is a stand-in for a node. Unless a test says otherwise it starts what it is given after 30 ms.
type node struct {
	r      *rig
	name   string
	p      *sim.Process
	door   env.Listener
	conns  []*ear
	starts map[uint64]int // set-ups that were taken, by task
	open   map[uint64]*ear
	stands map[uint64]bool
	ended  []uint64 // given up or cut by the scheduler
	tests  int
	does   func(e *ear, task uint64) // in place of starting it
	greets func(e *ear)              // a connection that is new
}

func newNode(r *rig, name, address string) *node {
	n := &node{
		r: r, name: name, p: r.c.NewProcess("node-" + name), starts: map[uint64]int{}, open: map[uint64]*ear{},
		stands: map[uint64]bool{},
	}
	r.nodes[name] = n
	n.listen(address)
	return n
}

func (n *node) listen(address string) {
	d, err := n.p.Listen(address, func(c env.Conn) {
		e := &ear{conn: c}
		e.heard = func(msg []byte) { n.message(e, msg) }
		n.conns = append(n.conns, e)
		c.Start(e, 5000)
		if n.greets != nil {
			n.greets(e)
		}
	})
	if err != nil {
		n.r.t.Fatal(err)
	}
	n.door = d
}

func (n *node) message(e *ear, msg []byte) {
	task := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.SetUp:
		n.starts[task]++
		n.open[task] = e
		if n.does != nil {
			n.does(e, task)
			return
		}
		n.p.After(30, func() { n.answer(e, task) })
	case codec.End:
		n.ended = append(n.ended, task)
		if n.stands[task] {
			delete(n.stands, task)
			e.send(codec.AppendEnd(nil, task, codec.Elsewhere))
		}
	case codec.Test:
		n.tests++
		e.send(codec.AppendTested(nil, task, true))
	}
}

// describes is a node's description of a task, with bytes that are no text.
func (n *node) describes(task uint64) string { return fmt.Sprintf("%s\x00\xff\r\n%x", n.name, task) }

func (n *node) answer(e *ear, task uint64) {
	n.stands[task] = true
	e.send(codec.AppendAnswer(nil, task, []byte(n.describes(task))))
}

// testClient is a client on a connection.
type testClient struct {
	*ear
	r   *rig
	got []string // what came, in words
	at  []float64
}

func (r *rig) dial() *testClient {
	x := &testClient{ear: &ear{}, r: r}
	x.heard = func(msg []byte) {
		cause, _ := codec.CauseOf(msg)
		d, _ := codec.Param(msg, codec.Description)
		word := map[byte]string{codec.Answer: "served " + string(d), codec.End: fmt.Sprint("end ", cause), codec.Tested: fmt.Sprint("tested ",
			cause), codec.Move: "move"}[codec.Kind(msg)]
		x.got, x.at = append(x.got, fmt.Sprintf("%d %s", codec.Task(msg), word)), append(x.at, r.c.TrueTime())
	}
	r.clients.Dial(door, 1000, func(c env.Conn, err error) {
		if err != nil {
			x.ended = true
			return
		}
		x.conn = c
		c.Start(x, 5000)
	})
	r.pass(50)
	return x
}

func (x *testClient) want(what string, want ...string) {
	x.r.t.Helper()
	if strings.Join(x.got, "\n") != strings.Join(want, "\n") {
		x.r.t.Errorf("%s: %q, want %q", what, x.got, want)
	}
}

// message builds one from codes and values.
func message(kind byte, task uint64, params ...any) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, task)
	for i := 0; i < len(params); i += 2 {
		v := params[i+1].(string)
		b = append(binary.BigEndian.AppendUint16(append(b, byte(params[i].(int))), uint16(len(v))), v...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

const figures = "cores:1;memory:2;service:00000000b4d65521"

// setUp is a client's set-up; more parameters take the place of those with the same code.
func setUp(task uint64, job string, more ...any) []byte {
	params := []any{
		codec.JobType, job, codec.Left, "2500", codec.Tenant, "acme", codec.Name, fmt.Sprintf("%016x", task), codec.Key,
		strings.Repeat("5c", 16), codec.Figures, figures, codec.Description, "owner's",
	}
	for i := 0; i < len(more); i += 2 {
		for j := 0; j < len(params); j += 2 {
			if params[j] == more[i] {
				params[j+1] = more[i+1]
			}
		}
	}
	return message(codec.SetUp, task, params...)
}

func (x *testClient) ask(task uint64, job string) { x.send(setUp(task, job)) }

// journal is a stand-in for the journal service.
type journal struct {
	r      *rig
	p      *sim.Process
	events []string
	conns  []*tailer
	door   env.Listener
	mute   bool // says nothing at all
	tails  []string
}

type tailer struct {
	j    *journal
	conn env.Conn
	over bool
}

func newJournal(r *rig, address string) *journal {
	j := &journal{r: r, p: r.c.NewProcess(address)}
	d, err := j.p.Listen(address, func(c env.Conn) {
		x := &tailer{j: j, conn: c}
		j.conns = append(j.conns, x)
		c.Start(x, 5000)
	})
	if err != nil {
		r.t.Fatal(err)
	}
	j.door = d
	env.Every(j.p, 1000, func() bool {
		j.tell(fmt.Sprintf(`{"pos":%d}`+"\n", j.last()))
		return true
	})
	return j
}

func (j *journal) last() int {
	if len(j.events) == 0 {
		return 0
	}
	var e struct{ Pos int }
	_ = json.Unmarshal([]byte(j.events[len(j.events)-1]), &e) // the rig writes them
	return e.Pos
}

func (x *tailer) OnClose(error) { x.over = true }

func (x *tailer) OnData(b []byte) {
	line := strings.TrimSpace(string(b))
	if line == "" {
		return
	}
	x.j.tails = append(x.j.tails, line)
	if x.j.mute {
		return
	}
	var from int
	fmt.Sscanf(line, "tail %d", &from)
	for _, e := range x.j.events {
		var p struct{ Pos int }
		_ = json.Unmarshal([]byte(e), &p)
		if p.Pos > from {
			x.say(e + "\n")
		}
	}
}

func (x *tailer) say(text string) { x.conn.Send(func(b []byte) []byte { return append(b, text...) }) }

// tell says something on all connections.
func (j *journal) tell(text string) {
	if j.mute {
		return
	}
	for _, x := range j.conns {
		if !x.over {
			x.say(text)
		}
	}
}

// happens adds an event and tells it.
func (j *journal) happens(entries ...string) {
	e := event(j.last()+1, false, entries...)
	j.events = append(j.events, e)
	j.tell(e + "\n")
}
