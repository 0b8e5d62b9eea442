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
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

// Testbed is what the stand-ins of one process share: a clock, a lock over all machines and a trace.
type Testbed struct {
	env.Environment
	startedAt float64
	mu        sync.Mutex
	Trace     audit.Trace
}

// NewTestbed starts the clock.
func NewTestbed(w env.Environment) *Testbed { return &Testbed{Environment: w, startedAt: w.Now()} }

// Now is ms since the start.
func (w *Testbed) Now() float64 { return w.Environment.Now() - w.startedAt }

// WithLock runs f under the lock over all machines.
func (w *Testbed) WithLock(f func(now float64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.Now())
}

// Node is a machine on the network.
type Node struct {
	ID            uint32
	Zone, Cell    string
	Kind          string
	Machine       *Machine
	StartedAt     float64 // wall clock in ms, 0: long ago
	Draining      bool
	Lost          bool // it is not there
	testbed       *Testbed
	incarnation   uint64
	listener      env.Listener
	address       string
	ListedAddress string // the address that the list tells, where the node is reached by a way round; empty: its own
	conns         map[string]*peer
	loop          env.Loop
	pending       []func(now float64) // what came while the machine hung
	Jobs          int                 // job types and tenants that are known
	Tenants       int
}

// peer is a scheduler's connection.
type peer struct {
	node         *Node
	scheduler    string // "" until it has greeted
	conn         env.Conn
	in           line.Splitter
	lag          admission.DelayEstimator // of what the scheduler sends
	lastReceived float64
	mu           sync.Mutex
	ended        bool
}

const (
	maxQueuedBytes = 1 << 20
	maxPending     = 1 << 14
)

// StartNode puts a machine on the network, at an address of its own or, if that is empty, on a loopback port.
func (w *Testbed) StartNode(n *Node, mk MachineConfig, group *Group, seed uint64, cold bool, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	n.testbed, n.incarnation, n.conns = w, 1, map[string]*peer{}
	w.WithLock(func(now float64) {
		n.Machine = NewMachine(mk, n, group, seed, now, cold)
		n.recordStart(now, cold)
	})
	var err error
	if n.listener, err = w.Listen(address, n.accept); err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.address = n.listener.Address()
	n.loop = w.StartLoop(n.advance)
	return nil
}

// Address is where the node listens.
func (n *Node) Address() string { return n.address }

func (n *Node) recordStart(now float64, cold bool) {
	word := ""
	if cold {
		word = "cold"
		n.StartedAt = float64(n.testbed.WallClock().UnixMilli())
	}
	n.testbed.Trace.Add(audit.Record{At: now, Kind: audit.NodeStarted, Node: n.ID, Detail: word})
}

func (n *Node) record(kind audit.Kind, sched string, ticket uint64, try uint8, word string) {
	n.testbed.Trace.Add(audit.Record{At: n.testbed.Now(), Kind: kind, Node: n.ID, Scheduler: sched, Ticket: ticket, Attempt: try, Detail: word})
}

// advance moves the machine's time.
func (n *Node) advance() (wait float64) {
	n.testbed.WithLock(func(now float64) {
		if !n.Machine.Hung {
			n.processPending(now)
		}
		n.Machine.Advance(now)
		wait = max(0.5, n.Machine.NextEvent()-now)
	})
	return wait
}

// sortedPeers gives the connections in order of their schedulers' names; under the lock.
func (n *Node) sortedPeers() (all []*peer) {
	for _, sched := range slices.Sorted(maps.Keys(n.conns)) {
		all = append(all, n.conns[sched])
	}
	return all
}

// Crash takes the node away: what it held is lost. Under the world's lock.
func (n *Node) Crash(now float64) {
	n.Lost, n.pending = true, nil
	n.Machine.Restart(now, true)
	n.listener.Close()
	for _, p := range n.sortedPeers() {
		p.conn.Close(false, nil)
	}
}

// Restart brings a node back cold in another life, at the same address; that may take a few tries.
func (n *Node) Restart() error {
	door, err := n.testbed.Listen(n.address, n.accept)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.testbed.WithLock(func(now float64) {
		n.listener, n.Lost, n.Draining = door, false, false
		n.incarnation++
		n.Machine.Restart(now, true)
		n.recordStart(now, true)
	})
	n.loop.Wake()
	return nil
}

// accept takes a connection; who it is from is told by its greeting.
func (n *Node) accept(conn env.Conn) {
	p := &peer{node: n, conn: conn, lastReceived: n.testbed.Now()}
	conn.Start(p, node.WriteTimeout)
	env.Every(n.testbed, node.HandshakeTimeout, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		silent := float64(node.SilenceTimeout)
		if p.scheduler == "" {
			silent = node.HandshakeTimeout
		}
		if !p.ended && n.testbed.Now()-p.lastReceived >= silent {
			p.closeLocked("silent")
		}
		return !p.ended
	})
}

// OnData takes what a scheduler sends.
func (p *peer) OnData(b []byte) {
	p.mu.Lock()
	p.lastReceived = p.node.testbed.Now()
	p.mu.Unlock()
	if p.scheduler == "" {
		head, after, err := p.in.Greeting(b, node.GreetingLine)
		if err == nil && head == nil {
			return
		}
		if err == nil {
			err = p.handshake(head)
		}
		if err != nil {
			p.close(err.Error())
			return
		}
		b = after
	}
	if err := p.in.Feed(b, func(fields [][]byte) error { return node.DecodeScheduler(fields, p) }); err != nil {
		p.close(err.Error())
	}
}

var errUnavailable = errors.New("away")

// handshake begins to serve a scheduler; a later connection of the same name ends the earlier one.
func (p *peer) handshake(head textproto.MIMEHeader) (err error) {
	n, sched := p.node, head.Get("Scheduler")
	if sched == "" || head.Get("Node") != strconv.FormatUint(uint64(n.ID), 10) {
		return errors.New("not the node that was meant, or no name")
	}
	if text := head.Get("Sent"); text != "" {
		sent, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(sent) || math.IsInf(sent, 0) {
			return fmt.Errorf("greeting: bad time sent %.20q", text)
		}
		p.lag.OnRequest(n.testbed.Now(), sent, 0, 0)
	}
	n.testbed.WithLock(func(now float64) {
		if n.Lost || n.Machine.IsDown() || n.Machine.Hung {
			err = errUnavailable
			return
		}
		n.Machine.Advance(now) // what is due is said before the new connection can hear it
		if old := n.conns[sched]; old != nil {
			old.close("replaced by a later connection")
			n.record(audit.LinkClosed, sched, 0, 0, "")
		}
		p.mu.Lock()
		p.scheduler = sched
		p.mu.Unlock()
		n.conns[sched] = p
		n.record(audit.LinkOpened, sched, 0, 0, "")
		p.queue(func(b []byte) []byte {
			return line.AppendGreeting(b, node.GreetingLine, "Node", strconv.FormatUint(uint64(n.ID), 10),
				"Life", strconv.FormatUint(n.incarnation, 10), "Up", strconv.FormatFloat(n.Machine.Uptime(now), 'f', 3, 64))
		})
		p.sendHeld(now)
	})
	return err
}

// OnClose meets the end of the connection.
func (p *peer) OnClose(err error) {
	p.close(err.Error())
	n := p.node
	n.testbed.WithLock(func(float64) {
		if p.scheduler != "" && n.conns[p.scheduler] == p {
			delete(n.conns, p.scheduler)
			n.record(audit.LinkClosed, p.scheduler, 0, 0, err.Error())
		}
	})
}

// sendHeld queues all that the node holds for the scheduler; under the world's lock.
func (p *peer) sendHeld(now float64) {
	var b []byte
	p.node.Machine.EachHeld(now, p.scheduler, func(ticket uint64, try uint8, runs bool, job, tenant int, service, token uint64,
		cores, memory float64,
	) {
		state := 0
		if runs {
			state = 1
			p.node.record(audit.StartConfirmed, p.scheduler, ticket, try, "")
		}
		b = node.AppendHeld(b, ticket, try, state, job, tenant, service, token, cores, memory)
	})
	p.queue(func(queue []byte) []byte { return node.AppendHeldAll(append(queue, b...)) })
}

// OnResync tells again all that is held.
func (p *peer) OnResync() error { return p.deliver(p.sendHeld) }

func (p *peer) close(why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(why)
}

func (p *peer) closeLocked(why string) {
	if !p.ended {
		p.ended = true
		p.conn.Close(true, node.AppendBye(nil, why))
	}
}

func (p *peer) queue(b func([]byte) []byte) {
	if _, waits, _ := p.conn.Send(b); waits > maxQueuedBytes {
		p.close("slow reader")
	}
}

// deliver hands a scheduler's word to the machine; one that hangs finds it when it goes on.
func (p *peer) deliver(f func(now float64)) error {
	p.node.testbed.WithLock(func(now float64) {
		switch {
		case p.node.conns[p.scheduler] != p:
		case p.node.Machine.Hung && len(p.node.pending) < maxPending:
			p.node.pending = append(p.node.pending, func(now float64) {
				if p.node.conns[p.scheduler] == p {
					f(now)
				}
			})
		case !p.node.Machine.Hung:
			p.node.processPending(now)
			f(now)
		}
	})
	p.node.loop.Wake()
	return nil
}

// processPending hands over what came while the machine hung.
func (n *Node) processPending(now float64) {
	late := n.pending
	n.pending = nil
	for _, f := range late {
		f(now)
	}
}

func (p *peer) OnOffer(ticket uint64, try uint8, epoch uint32, sent, timeout float64, job, tenant int,
	service, token uint64, cores, memory float64,
) error {
	if job >= p.node.Jobs || tenant >= p.node.Tenants {
		return fmt.Errorf("unknown job type %d or tenant %d", job, tenant)
	}
	came := p.node.testbed.Now()
	late := p.lag.OnRequest(came, sent, 0, 0)
	timeout -= late // it may be too late by now: then it is turned away
	p.node.testbed.Trace.Add(audit.Record{
		At: came, Kind: audit.PlacementReceived, Scheduler: p.scheduler, Node: p.node.ID, Ticket: ticket,
		Attempt: try, Job: job, Token: token, Service: service, Deadline: came + timeout, SentAt: came - late,
	})
	return p.deliver(func(now float64) {
		p.node.Machine.Place(now, p.scheduler, ticket, try, epoch, timeout-(now-came), job, tenant, service, token, cores, memory)
	})
}

func (p *peer) OnRecall(ticket uint64, try uint8) error {
	return p.deliver(func(now float64) {
		p.node.record(audit.RecallReceived, p.scheduler, ticket, try, "")
		p.node.Machine.Recall(now, p.scheduler, ticket, try)
	})
}

func (p *peer) OnStop(ticket uint64, try uint8) error {
	return p.deliver(func(now float64) { p.node.Machine.Stop(now, p.scheduler, ticket, try) })
}

func (p *peer) OnClaim(ticket uint64, try uint8) error {
	return p.deliver(func(now float64) { p.node.Machine.Claim(now, p.scheduler, ticket, try) })
}

func (p *peer) OnProbe(seq uint64) error {
	return p.deliver(func(now float64) { p.node.Machine.Probe(now, p.scheduler, seq) })
}

func (p *peer) OnPing(sent float64) error {
	p.lag.OnRequest(p.node.testbed.Now(), sent, 0, 0)
	return p.deliver(func(float64) { p.queue(node.AppendPong) })
}

func (p *peer) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }

// send speaks to a scheduler, if it is connected and the answer is not to be lost.
func (n *Node) send(sched string, mayLose bool, b func([]byte) []byte) bool {
	if mayLose && n.Machine.AnswerLoss > 0 && n.Machine.rng.Float64() < n.Machine.AnswerLoss {
		return false
	}
	p := n.conns[sched]
	if p != nil {
		p.queue(b)
	}
	return p != nil
}

// OnStarted and the others make the node its machine's voice.
func (n *Node) OnStarted(sched string, ticket uint64, try uint8, took float64) {
	if n.send(sched, true, func(b []byte) []byte { return node.AppendStarted(b, ticket, try, took) }) {
		n.record(audit.StartConfirmed, sched, ticket, try, "")
	}
}

// OnConcluded tells an outcome; a lost one is not counted as told.
func (n *Node) OnConcluded(sched string, ticket uint64, try uint8, outcome, reason int, report []float64) {
	n.record(audit.AttemptConcluded, sched, ticket, try, node.OutcomeNames[outcome])
	n.send(sched, outcome == node.OutcomeErrored, func(b []byte) []byte {
		return node.AppendOutcome(b, ticket, try, outcome, reason, report)
	})
}

// OnNote tells of a running allocation.
func (n *Node) OnNote(sched string, ticket uint64, try uint8, kind int, value float64) {
	n.send(sched, false, func(b []byte) []byte { return node.AppendNote(b, ticket, try, kind, value) })
}

// OnReport answers a probe.
func (n *Node) OnReport(sched string, seq uint64, report []float64) {
	n.send(sched, false, func(b []byte) []byte { return node.AppendReport(b, seq, report) })
}

// OnClaimed answers a claim. One that proves that a try never ran concludes it.
func (n *Node) OnClaimed(sched string, ticket uint64, try uint8, claim, reason int) {
	if claim == node.ClaimRunning {
		n.record(audit.StartConfirmed, sched, ticket, try, "")
	} else if claim >= node.ClaimOutcome {
		n.record(audit.AttemptConcluded, sched, ticket, try, node.ClaimNames[claim])
	}
	n.send(sched, false, func(b []byte) []byte { return node.AppendClaimAnswer(b, ticket, try, claim, reason) })
}

// OnRun is the moment of a try's effect.
func (n *Node) OnRun(sched string, ticket uint64, try uint8) {
	n.record(audit.TaskStarted, sched, ticket, try, "")
}

// OnOverload takes the node away for good.
func (n *Node) OnOverload() {
	n.record(audit.NodeOverloaded, "", 0, 0, "")
	n.Lost = true
	for _, p := range n.sortedPeers() {
		p.close("fell over")
	}
	n.listener.Close()
}

// IsConnected tells whether a scheduler is connected under a name. Under the world's lock.
func (n *Node) IsConnected(sched string) bool { return n.conns[sched] != nil }

// Connections is the number of schedulers that are connected. Under the world's lock.
func (n *Node) Connections() int { return len(n.conns) }
