package serve

import (
	"errors"
	"fmt"
	"math"
	"net/textproto"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

// nodeDialTimeout is the time within which a connection to a node has to be made, ms.
const nodeDialTimeout = 250

// sendMark records the position in the stream at which the offer of an attempt ends.
type sendMark struct {
	offset  uint64
	ticket  uint64
	attempt uint8
}

// nodeLink is the connection to a node. The bytes handed to the network are counted, so that an attempt whose last byte was never sent can
// be told from one that may have arrived.
//
// Events of the connection are delivered one at a time. mu comes after routerMu and the lock of the nodeConnections in the lock order, and
// before the connection's own lock.
type nodeLink struct {
	set           *shardSet
	connections   *nodeConnections
	node          uint32
	address       string
	incarnation   uint64  // the node's incarnation, 0 until its greeting was received; set once, with mu held
	nodeStartedAt float64 // start of that incarnation by this process's clock, ms; 0: unknown
	conn          env.Conn
	splitter      line.Splitter
	report        [node.MaxReportValues]float64
	lastReceived  atomic.Uint64 // math.Float64bits of when bytes were last received, ms

	mu                sync.Mutex // guards the fields below
	marks             []sendMark
	visit             visitPhase
	closed            bool
	reason            string
	inventoryWaiters  [][]*shard        // the shards that wait for each expected HELD-ALL, in the order of these messages
	inventoryReceived bool              // a HELD-ALL was received
	reassigned        map[uint64]*shard // the shards that own attempts made by another shard, by ticket
}

// newNodeLink starts a new connection to a node and sends the greeting.
func newNodeLink(conns *nodeConnections, nodeID uint32, address string, conn env.Conn, isVisit bool) {
	l := &nodeLink{set: conns.set, connections: conns, node: nodeID, address: address, conn: conn, reassigned: map[uint64]*shard{}}
	if isVisit {
		l.visit = visiting
	}
	l.lastReceived.Store(math.Float64bits(conns.set.env.Now()))
	conn.Start(l, node.WriteTimeout)
	conn.Send(func(b []byte) []byte {
		return line.AppendGreeting(b, node.GreetingLine, "Scheduler", conns.name, "Node", strconv.FormatUint(uint64(nodeID), 10),
			"Sent", strconv.FormatFloat(conns.set.env.Now(), 'f', 3, 64)) // lets the node compute how long the first offer was in transit
	})
	conns.set.env.After(node.HandshakeTimeout, func() {
		if !l.isGreeted() {
			l.disconnect("greeting: none in time", false)
		}
	})
}

// isGreeted reports whether the node's greeting was received.
func (l *nodeLink) isGreeted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation > 0
}

// OnData handles bytes from the node.
func (l *nodeLink) OnData(b []byte) {
	if len(b) == 0 {
		l.disconnect("peer closed: EOF", false)
		return
	}
	l.lastReceived.Store(math.Float64bits(l.set.env.Now()))
	if l.incarnation == 0 { // set only by onGreeting below
		header, rest, err := l.splitter.Greeting(b, node.GreetingLine)
		if err == nil && header == nil {
			return
		}
		if err == nil {
			err = l.onGreeting(header)
		}
		if err != nil {
			l.disconnect(err.Error(), false)
			return
		}
		b = rest
	}
	if err := l.splitter.Feed(b, func(fields [][]byte) error { return node.DecodeNode(fields, l, l.report[:]) }); err != nil {
		l.disconnect(err.Error(), false)
	}
}

// onGreeting handles the node's greeting and tells the shards of the connection, unless it is a visit.
func (l *nodeLink) onGreeting(header textproto.MIMEHeader) error {
	conns := l.connections
	if got := header.Get("Node"); got != strconv.FormatUint(uint64(l.node), 10) {
		return fmt.Errorf("greeting: node %.12q answers at %s, expected %d", got, l.address, l.node)
	}
	incarnation, err := strconv.ParseUint(header.Get("Life"), 10, 64)
	if err != nil || incarnation == 0 {
		return fmt.Errorf("greeting: bad life %.20q", header.Get("Life"))
	}
	if text := header.Get("Up"); text != "" {
		uptime, err := strconv.ParseFloat(text, 64)
		if err != nil || !(uptime >= 0) {
			return fmt.Errorf("greeting: bad time up %.20q", text)
		}
		l.nodeStartedAt = max(0, l.set.env.Now()-uptime)
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	isVisit := l.isVisit()
	if !isVisit {
		delete(conns.dialing, l.node)
	}
	if conns.closed {
		return errors.New("not wanted any more")
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.New(l.reason)
	}
	l.incarnation = incarnation
	l.inventoryWaiters = [][]*shard{slices.Clone(conns.shards)}
	l.mu.Unlock()
	if !isVisit {
		conns.register(l)
	}
	env.Every(l.set.env, node.PingInterval, l.ping)
	return nil
}

// ping sends a ping, or closes the connection if the node is silent. It reports whether the connection stays open.
func (l *nodeLink) ping() bool {
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return false
	}
	if l.set.env.Now()-math.Float64frombits(l.lastReceived.Load()) > node.SilenceTimeout {
		l.disconnect(fmt.Sprintf("silent for %d ms", node.SilenceTimeout), false)
		return false
	}
	l.send(func(b []byte) []byte { return node.AppendPing(b, l.set.env.Now()) })
	return true
}

// OnClose handles the end of the connection: it tells the shards of it and of those of their attempts that were never sent.
func (l *nodeLink) OnClose(err error) {
	conns := l.connections
	l.mu.Lock()
	if !l.closed {
		l.closed, l.reason = true, "peer closed: "+err.Error()
	}
	reason, incarnation, visit := l.reason, l.incarnation, l.visit
	handed := l.conn.BytesWritten()
	unsent := slices.DeleteFunc(l.marks, func(mark sendMark) bool { return mark.offset <= handed })
	l.mu.Unlock()
	if incarnation == 0 || visit == visiting {
		conns.onDialFailed(l.node, errors.New(reason))
		return
	}
	if visit == visited {
		return
	}
	conns.mu.Lock()
	delete(conns.links, l.node)
	l.set.membership.onNodeDisconnected(l)
	l.set.workingSet.onConnection(l.node, false)
	for _, sh := range conns.shards {
		sh.post(func(now float64) {
			if sh.links[l.node] != l {
				return
			}
			delete(sh.links, l.node)
			for _, mark := range unsent {
				if uint32(mark.ticket>>32) == sh.incarnation {
					sh.engine.OnUnsent(now, engine.AttemptID{Ticket: mark.ticket, Number: mark.attempt})
				}
			}
			sh.engine.OnDisconnected(now, l.node)
		})
	}
	conns.mu.Unlock()
	l.set.log.Debug().Uint32("node", l.node).Str("why", reason).Msg("connection to node closed")
}

// notifyLinked tells a shard that the connection was made.
func (l *nodeLink) notifyLinked(sh *shard) {
	sh.post(func(now float64) {
		sh.links[l.node] = l
		sh.engine.OnConnected(now, l.node, l.incarnation, l.nodeStartedAt)
	})
}

// join tells a shard that is being started of the connection, and asks the node which tasks it holds.
func (l *nodeLink) join(sh *shard) {
	l.notifyLinked(sh)
	l.mu.Lock()
	l.inventoryWaiters = append(l.inventoryWaiters, []*shard{sh})
	l.mu.Unlock()
	l.send(node.AppendResync)
}

// disconnect closes the connection. Only the first reason is kept. With flush, queued messages are still handed to the network.
func (l *nodeLink) disconnect(reason string, flush bool) {
	l.mu.Lock()
	first := !l.closed
	if first {
		l.closed, l.reason = true, reason
	}
	l.mu.Unlock()
	if first {
		l.conn.Close(flush, node.AppendBye(nil, reason))
	}
}

// send queues a message. A node whose queue is full is disconnected; the marks then tell which attempts were never sent.
func (l *nodeLink) send(appendTo func([]byte) []byte) { l.sendMarked(appendTo, sendMark{}) }

// sendMarked queues a message, with the mark of its attempt if it has one. If the connection is already closed, the mark says that
// the attempt was never sent.
func (l *nodeLink) sendMarked(appendTo func([]byte) []byte, mark sendMark) {
	l.mu.Lock()
	sent, queued, ok := l.conn.Send(appendTo)
	if mark.ticket != 0 {
		if mark.offset = sent; !ok {
			mark.offset = math.MaxUint64
		}
		if len(l.marks) >= maxMarks { // attempts that have been sent need no mark
			handed := l.conn.BytesWritten()
			l.marks = slices.DeleteFunc(l.marks, func(mark sendMark) bool { return mark.offset <= handed })
		}
		l.marks = append(l.marks, mark)
	}
	l.mu.Unlock()
	if ok && queued > l.set.config.Site.NodeQueue {
		l.disconnect(fmt.Sprintf("slow reader: over %d bytes queued", l.set.config.Site.NodeQueue), false)
	}
}

// maxMarks is the number of marks at which the marks of sent attempts are dropped.
const maxMarks = 64
