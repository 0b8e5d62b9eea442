package standin

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/textproto"
	"slices"
	"strconv"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/admission"
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

// World is what the stand-ins of one process share: a clock, a lock over all machines and a trace.
type World struct {
	outside.Environment
	start float64
	mu    sync.Mutex
	Trace audit.Trace
}

// NewWorld starts the clock.
func NewWorld(w outside.Environment) *World { return &World{Environment: w, start: w.Now()} }

// Now is ms since the start.
func (w *World) Now() float64 { return w.Environment.Now() - w.start }

// At runs f under the lock over all machines.
func (w *World) At(f func(now float64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.Now())
}

// Node is a machine on the network.
type Node struct {
	ID         uint32
	Zone, Cell string
	Kind       string
	Machine    *Machine
	StartedAt  float64 // wall clock in ms, 0: long ago
	Drains     bool
	Lost       bool // it is not there
	w          *World
	life       uint64
	door       outside.Listener
	address    string
	Listed     string // the address that the list tells, where the node is reached by a way round; empty: its own
	conns      map[string]*peer
	loop       outside.Loop
	unread     []func(now float64) // what came while the machine hung
	Jobs       int                 // job types and tenants that are known
	Tenants    int
}

// peer is a scheduler's connection.
type peer struct {
	n     *Node
	sched string // "" until it has greeted
	conn  outside.Conn
	in    line.Splitter
	lag   admission.DelayEstimator // of what the scheduler sends
	heard float64
	mu    sync.Mutex
	ended bool
}

const (
	maxQueue  = 1 << 20
	maxUnread = 1 << 14
)

// StartNode puts a machine on the network, at an address of its own or, if that is empty, on a loopback port.
func (w *World) StartNode(n *Node, mk Make, group *Group, seed uint64, cold bool, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	n.w, n.life, n.conns = w, 1, map[string]*peer{}
	w.At(func(now float64) {
		n.Machine = NewMachine(mk, n, group, seed, now, cold)
		n.born(now, cold)
	})
	var err error
	if n.door, err = w.Listen(address, n.came); err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.address = n.door.Address()
	n.loop = w.StartLoop(n.turn)
	return nil
}

// Address is where the node listens.
func (n *Node) Address() string { return n.address }

func (n *Node) born(now float64, cold bool) {
	word := ""
	if cold {
		word = "cold"
		n.StartedAt = float64(n.w.WallClock().UnixMilli())
	}
	n.w.Trace.Add(audit.Record{At: now, Kind: audit.NodeBorn, Node: n.ID, Word: word})
}

func (n *Node) rec(kind audit.Kind, sched string, ticket uint64, try uint8, word string) {
	n.w.Trace.Add(audit.Record{At: n.w.Now(), Kind: kind, Node: n.ID, Sched: sched, Ticket: ticket, Try: try, Word: word})
}

// turn moves the machine's time.
func (n *Node) turn() (wait float64) {
	n.w.At(func(now float64) {
		if !n.Machine.Hang {
			n.read(now)
		}
		n.Machine.Tick(now)
		wait = max(0.5, n.Machine.Next()-now)
	})
	return wait
}

// all gives the connections in order of their schedulers' names; under the lock.
func (n *Node) all() (all []*peer) {
	for _, sched := range slices.Sorted(maps.Keys(n.conns)) {
		all = append(all, n.conns[sched])
	}
	return all
}

// Die takes the node away: what it held is lost. Under the world's lock.
func (n *Node) Die(now float64) {
	n.Lost, n.unread = true, nil
	n.Machine.Restart(now, true)
	n.door.StopAccepting()
	for _, p := range n.all() {
		p.conn.Close(false, nil)
	}
}

// Return brings a node back cold in another life, at the same address; that may take a few tries.
func (n *Node) Return() error {
	door, err := n.w.Listen(n.address, n.came)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.w.At(func(now float64) {
		n.door, n.Lost, n.Drains = door, false, false
		n.life++
		n.Machine.Restart(now, true)
		n.born(now, true)
	})
	n.loop.Wake()
	return nil
}

// came takes a connection; who it is from is told by its greeting.
func (n *Node) came(conn outside.Conn) {
	p := &peer{n: n, conn: conn, heard: n.w.Now()}
	conn.Start(p, node.WriteTimeout)
	outside.Every(n.w, node.HandshakeTimeout, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		silent := float64(node.SilenceTimeout)
		if p.sched == "" {
			silent = node.HandshakeTimeout
		}
		if !p.ended && n.w.Now()-p.heard >= silent {
			p.finish("silent")
		}
		return !p.ended
	})
}

// OnData takes what a scheduler sends.
func (p *peer) OnData(b []byte) {
	p.mu.Lock()
	p.heard = p.n.w.Now()
	p.mu.Unlock()
	if p.sched == "" {
		head, after, err := p.in.Greeting(b, node.GreetingLine)
		if err == nil && head == nil {
			return
		}
		if err == nil {
			err = p.greet(head)
		}
		if err != nil {
			p.end(err.Error())
			return
		}
		b = after
	}
	if err := p.in.Feed(b, func(fields [][]byte) error { return node.DecodeScheduler(fields, p) }); err != nil {
		p.end(err.Error())
	}
}

var errAway = errors.New("away")

// greet begins to serve a scheduler; a later connection of the same name ends the earlier one.
func (p *peer) greet(head textproto.MIMEHeader) (err error) {
	n, sched := p.n, head.Get("Scheduler")
	if sched == "" || head.Get("Node") != strconv.FormatUint(uint64(n.ID), 10) {
		return errors.New("not the node that was meant, or no name")
	}
	if text := head.Get("Sent"); text != "" {
		sent, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(sent) || math.IsInf(sent, 0) {
			return fmt.Errorf("greeting: bad time sent %.20q", text)
		}
		p.lag.OnRequest(n.w.Now(), sent, 0, 0)
	}
	n.w.At(func(now float64) {
		if n.Lost || n.Machine.Down() || n.Machine.Hang {
			err = errAway
			return
		}
		n.Machine.Tick(now) // what is due is said before the new connection can hear it
		if old := n.conns[sched]; old != nil {
			old.end("replaced by a later connection")
			n.rec(audit.Unlinked, sched, 0, 0, "")
		}
		p.mu.Lock()
		p.sched = sched
		p.mu.Unlock()
		n.conns[sched] = p
		n.rec(audit.Linked, sched, 0, 0, "")
		p.add(func(b []byte) []byte {
			return line.AppendGreeting(b, node.GreetingLine, "Node", strconv.FormatUint(uint64(n.ID), 10),
				"Life", strconv.FormatUint(n.life, 10), "Up", strconv.FormatFloat(n.Machine.Up(now), 'f', 3, 64))
		})
		p.tell(now)
	})
	return err
}

// OnClose meets the end of the connection.
func (p *peer) OnClose(err error) {
	p.end(err.Error())
	n := p.n
	n.w.At(func(float64) {
		if p.sched != "" && n.conns[p.sched] == p {
			delete(n.conns, p.sched)
			n.rec(audit.Unlinked, p.sched, 0, 0, err.Error())
		}
	})
}

// tell queues all that the node holds for the scheduler; under the world's lock.
func (p *peer) tell(now float64) {
	var b []byte
	p.n.Machine.Held(now, p.sched, func(ticket uint64, try uint8, runs bool, job, tenant int, service, token uint64,
		cores, memory float64,
	) {
		state := 0
		if runs {
			state = 1
			p.n.rec(audit.Confirmed, p.sched, ticket, try, "")
		}
		b = node.AppendHeld(b, ticket, try, state, job, tenant, service, token, cores, memory)
	})
	p.add(func(queue []byte) []byte { return node.AppendHeldAll(append(queue, b...)) })
}

// OnResync tells again all that is held.
func (p *peer) OnResync() error { return p.event(p.tell) }

func (p *peer) end(why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(why)
}

func (p *peer) finish(why string) {
	if !p.ended {
		p.ended = true
		p.conn.Close(true, node.AppendBye(nil, why))
	}
}

func (p *peer) add(b func([]byte) []byte) {
	if _, waits, _ := p.conn.Send(b); waits > maxQueue {
		p.end("slow reader")
	}
}

// event hands a scheduler's word to the machine; one that hangs finds it when it goes on.
func (p *peer) event(f func(now float64)) error {
	p.n.w.At(func(now float64) {
		switch {
		case p.n.conns[p.sched] != p:
		case p.n.Machine.Hang && len(p.n.unread) < maxUnread:
			p.n.unread = append(p.n.unread, func(now float64) {
				if p.n.conns[p.sched] == p {
					f(now)
				}
			})
		case !p.n.Machine.Hang:
			p.n.read(now)
			f(now)
		}
	})
	p.n.loop.Wake()
	return nil
}

// read hands over what came while the machine hung.
func (n *Node) read(now float64) {
	late := n.unread
	n.unread = nil
	for _, f := range late {
		f(now)
	}
}

func (p *peer) OnOffer(ticket uint64, try uint8, epoch uint32, sent, timeout float64, job, tenant int,
	service, token uint64, cores, memory float64,
) error {
	if job >= p.n.Jobs || tenant >= p.n.Tenants {
		return fmt.Errorf("unknown job type %d or tenant %d", job, tenant)
	}
	came := p.n.w.Now()
	late := p.lag.OnRequest(came, sent, 0, 0)
	timeout -= late // it may be too late by now: then it is turned away
	p.n.w.Trace.Add(audit.Record{
		At: came, Kind: audit.Offered, Sched: p.sched, Node: p.n.ID, Ticket: ticket,
		Try: try, Job: job, Token: token, Service: service, Until: came + timeout, Sent: came - late,
	})
	return p.event(func(now float64) {
		p.n.Machine.Offer(now, p.sched, ticket, try, epoch, timeout-(now-came), job, tenant, service, token, cores, memory)
	})
}

func (p *peer) OnRecall(ticket uint64, try uint8) error {
	return p.event(func(now float64) {
		p.n.rec(audit.Recalled, p.sched, ticket, try, "")
		p.n.Machine.Recall(now, p.sched, ticket, try)
	})
}

func (p *peer) OnStop(ticket uint64, try uint8) error {
	return p.event(func(now float64) { p.n.Machine.Stop(now, p.sched, ticket, try) })
}

func (p *peer) OnClaim(ticket uint64, try uint8) error {
	return p.event(func(now float64) { p.n.Machine.Claim(now, p.sched, ticket, try) })
}

func (p *peer) OnProbe(seq uint64) error {
	return p.event(func(now float64) { p.n.Machine.Probe(now, p.sched, seq) })
}

func (p *peer) OnPing(sent float64) error {
	p.lag.OnRequest(p.n.w.Now(), sent, 0, 0)
	return p.event(func(float64) { p.add(node.AppendPong) })
}

func (p *peer) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }

// say speaks to a scheduler, if it is connected and the answer is not to be lost.
func (n *Node) say(sched string, mayLose bool, b func([]byte) []byte) bool {
	if mayLose && n.Machine.Mute > 0 && n.Machine.rng.Float64() < n.Machine.Mute {
		return false
	}
	p := n.conns[sched]
	if p != nil {
		p.add(b)
	}
	return p != nil
}

// Started and the others make the node its machine's voice.
func (n *Node) Started(sched string, ticket uint64, try uint8, took float64) {
	if n.say(sched, true, func(b []byte) []byte { return node.AppendStarted(b, ticket, try, took) }) {
		n.rec(audit.Confirmed, sched, ticket, try, "")
	}
}

// Settled tells an outcome; a lost one is not counted as told.
func (n *Node) Settled(sched string, ticket uint64, try uint8, outcome, reason int, report []float64) {
	n.rec(audit.Concluded, sched, ticket, try, node.OutcomeNames[outcome])
	n.say(sched, outcome == node.OutcomeErrored, func(b []byte) []byte {
		return node.AppendOutcome(b, ticket, try, outcome, reason, report)
	})
}

// Noted tells of a running allocation.
func (n *Node) Noted(sched string, ticket uint64, try uint8, kind int, value float64) {
	n.say(sched, false, func(b []byte) []byte { return node.AppendNote(b, ticket, try, kind, value) })
}

// Reported answers a probe.
func (n *Node) Reported(sched string, seq uint64, report []float64) {
	n.say(sched, false, func(b []byte) []byte { return node.AppendReport(b, seq, report) })
}

// Claimed answers a claim. One that proves that a try never ran concludes it.
func (n *Node) Claimed(sched string, ticket uint64, try uint8, claim, reason int) {
	if claim == node.ClaimRunning {
		n.rec(audit.Confirmed, sched, ticket, try, "")
	} else if claim >= node.ClaimOutcome {
		n.rec(audit.Concluded, sched, ticket, try, node.ClaimNames[claim])
	}
	n.say(sched, false, func(b []byte) []byte { return node.AppendClaimAnswer(b, ticket, try, claim, reason) })
}

// Ran is the moment of a try's effect.
func (n *Node) Ran(sched string, ticket uint64, try uint8) { n.rec(audit.Ran, sched, ticket, try, "") }

// Fell takes the node away for good.
func (n *Node) Fell() {
	n.rec(audit.NodeFell, "", 0, 0, "")
	n.Lost = true
	for _, p := range n.all() {
		p.end("fell over")
	}
	n.door.StopAccepting()
}

// Linked tells whether a scheduler is connected under a name. Under the world's lock.
func (n *Node) Linked(sched string) bool { return n.conns[sched] != nil }

// Connections is the number of schedulers that are connected. Under the world's lock.
func (n *Node) Connections() int { return len(n.conns) }
