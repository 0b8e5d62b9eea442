package standin

import (
	"fmt"
	"maps"
	"slices"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/node"
)

// Node is a machine on the network. The testbed's lock guards its fields and those methods that say so.
type Node struct {
	ID            uint32
	Zone, Cell    string
	Kind          string
	Jobs, Tenants int    // numbers of known job classes and tenants
	ListedAddress string // address in the node list if a proxy relays to the node, empty for the node's own
	Machine       *Machine
	StartedAt     float64 // ms of the wall clock, 0 for long ago
	Draining      bool
	Gone          bool // whether the node is gone: it crashed or broke down

	testbed     *Testbed
	incarnation uint64
	listener    env.Listener
	address     string
	conns       map[string]*nodeConn // by scheduler
	loop        env.Loop
	pending     []func(now float64) // messages that arrived while the machine hung
}

// NodeStart holds the options for the start of a node.
type NodeStart struct {
	Machine MachineConfig
	Group   *Group
	Seed    uint64 // seed of the machine's random numbers
	Cold    bool   // whether the node starts cold and has to warm up
	Address string // listen address, empty for a free loopback port
}

// minLoopWait is the minimum wait between two iterations of a node's loop, in ms.
const minLoopWait = 0.5

// StartNode starts a node and its listener.
func (tb *Testbed) StartNode(n *Node, start NodeStart) error {
	address := start.Address
	if address == "" {
		address = LoopbackHost(int(n.ID)) + ":0"
	}
	n.testbed, n.incarnation, n.conns = tb, 1, map[string]*nodeConn{}
	tb.WithLock(func(now float64) {
		n.Machine = NewMachine(start.Machine, n, start.Group, start.Seed, now, start.Cold)
		n.recordStart(now, start.Cold)
	})
	var err error
	if n.listener, err = tb.Listen(address, n.accept); err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.address = n.listener.Address()
	n.loop = tb.StartLoop(n.advance)
	return nil
}

// Address returns the node's address.
func (n *Node) Address() string { return n.address }

func (n *Node) recordStart(now float64, cold bool) {
	detail := ""
	if cold {
		detail = audit.StartedCold
		n.StartedAt = float64(n.testbed.WallClock().UnixMilli())
	}
	n.testbed.Trace.Add(audit.Record{At: now, Kind: audit.NodeStarted, Node: n.ID, Detail: detail})
}

func (n *Node) recordLink(kind audit.Kind, scheduler, detail string) {
	n.testbed.Trace.Add(audit.Record{At: n.testbed.Now(), Kind: kind, Node: n.ID, Scheduler: scheduler, Detail: detail})
}

func (n *Node) recordAttempt(kind audit.Kind, id AttemptID, detail string) {
	n.testbed.Trace.Add(audit.Record{
		At: n.testbed.Now(), Kind: kind, Node: n.ID, Scheduler: id.Scheduler, Ticket: id.Ticket, Attempt: id.Attempt,
		Detail: detail,
	})
}

// advance moves the machine's time forward and returns the number of ms after which it has to be called again.
func (n *Node) advance() (wait float64) {
	n.testbed.WithLock(func(now float64) {
		if !n.Machine.Hung {
			n.processPending(now)
		}
		n.Machine.Advance(now)
		wait = max(minLoopWait, n.Machine.NextEvent()-now)
	})
	return wait
}

// processPending delivers the messages that arrived while the machine hung.
func (n *Node) processPending(now float64) {
	pending := n.pending
	n.pending = nil
	for _, deliver := range pending {
		deliver(now)
	}
}

// Crash stops the node, which loses everything that it held. The caller holds the testbed's lock.
func (n *Node) Crash(now float64) {
	n.Gone, n.pending = true, nil
	n.Machine.Restart(now, true)
	n.listener.Close()
	for _, c := range n.sortedConns() {
		c.conn.Close(false, nil)
	}
}

// Restart starts a crashed node cold, in its next incarnation and at the same address. It fails while the system still holds the address, and
// may then be called again.
func (n *Node) Restart() error {
	listener, err := n.testbed.Listen(n.address, n.accept)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.testbed.WithLock(func(now float64) {
		n.listener, n.Gone, n.Draining = listener, false, false
		n.incarnation++
		n.Machine.Restart(now, true)
		n.recordStart(now, true)
	})
	n.loop.Wake()
	return nil
}

// sortedConns returns the connections sorted by the names of their schedulers. The caller holds the testbed's lock.
func (n *Node) sortedConns() (conns []*nodeConn) {
	for _, scheduler := range slices.Sorted(maps.Keys(n.conns)) {
		conns = append(conns, n.conns[scheduler])
	}
	return conns
}

// IsConnected reports whether a scheduler with a name is connected. The caller holds the testbed's lock.
func (n *Node) IsConnected(scheduler string) bool { return n.conns[scheduler] != nil }

// Connections returns the number of connected schedulers. The caller holds the testbed's lock.
func (n *Node) Connections() int { return len(n.conns) }

// send sends a message to a scheduler. It returns false if the scheduler is not connected or an injected fault dropped the message.
func (n *Node) send(scheduler string, mayLose bool, appendTo func([]byte) []byte) bool {
	if mayLose && n.Machine.AnswerLoss > 0 && n.Machine.rng.Float64() < n.Machine.AnswerLoss {
		return false
	}
	c := n.conns[scheduler]
	if c != nil {
		c.send(appendTo)
	}
	return c != nil
}

// OnStarted implements EventHandler.
func (n *Node) OnStarted(id AttemptID, took float64) {
	if n.send(id.Scheduler, true, func(b []byte) []byte {
		return node.AppendStarted(b, node.AttemptID{Ticket: id.Ticket, Number: id.Attempt}, took)
	}) {
		n.recordAttempt(audit.StartConfirmed, id, "")
	}
}

// OnConcluded implements EventHandler.
func (n *Node) OnConcluded(id AttemptID, c Conclusion) {
	n.recordAttempt(audit.AttemptConcluded, id, node.OutcomeNames[c.Outcome])
	n.send(id.Scheduler, c.Outcome == node.OutcomeErrored, func(b []byte) []byte {
		return node.AppendOutcome(b, node.Outcome{Attempt: node.AttemptID{Ticket: id.Ticket, Number: id.Attempt}, Result: c.Outcome, Reason: c.Reason, Report: c.Report})
	})
}

// OnNote implements EventHandler.
func (n *Node) OnNote(id AttemptID, kind int, value float64) {
	n.send(id.Scheduler, false, func(b []byte) []byte {
		return node.AppendNote(b, node.Note{Attempt: node.AttemptID{Ticket: id.Ticket, Number: id.Attempt}, Kind: kind, Value: value})
	})
}

// OnReport implements EventHandler.
func (n *Node) OnReport(scheduler string, seq uint64, report []float64) {
	n.send(scheduler, false, func(b []byte) []byte { return node.AppendReport(b, seq, report) })
}

// OnClaimed implements EventHandler. An answer with an outcome concludes the attempt in the trace.
func (n *Node) OnClaimed(id AttemptID, claim, reason int) {
	if claim == node.ClaimRunning {
		n.recordAttempt(audit.StartConfirmed, id, "")
	} else if claim >= node.ClaimOutcome {
		n.recordAttempt(audit.AttemptConcluded, id, node.ClaimNames[claim])
	}
	n.send(id.Scheduler, false, func(b []byte) []byte {
		return node.AppendClaimAnswer(b, node.ClaimAnswer{Attempt: node.AttemptID{Ticket: id.Ticket, Number: id.Attempt}, Claim: claim, Reason: reason})
	})
}

// OnRun implements EventHandler.
func (n *Node) OnRun(id AttemptID) { n.recordAttempt(audit.TaskStarted, id, "") }

// OnOverload implements EventHandler: the node is gone and does not restart by itself.
func (n *Node) OnOverload() {
	n.recordLink(audit.NodeOverloaded, "", "")
	n.Gone = true
	for _, c := range n.sortedConns() {
		c.close("fell over")
	}
	n.listener.Close()
}
