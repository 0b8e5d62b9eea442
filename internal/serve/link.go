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

	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

const nodeDialTimeout = 250 // ms

// sendMark tells up to which byte of the stream a try's offer reaches.
type sendMark struct {
	offset  uint64
	ticket  uint64
	attempt uint8
}

// nodeLink is the connection to a node. Bytes handed to the network are counted, so that a try whose last byte never
// left can be told from one that may have arrived.
type nodeLink struct {
	server        *Server
	connections   *nodeConnections
	node          uint32
	address       string
	incarnation   uint64  // the node's, 0 until it has greeted
	nodeStartedAt float64 // when that began by our clock, 0: it did not say
	conn          env.Conn
	splitter      line.Splitter
	report        [node.MaxReportValues]float64
	lastReceived  atomic.Uint64 // bits of the time

	mu                sync.Mutex
	marks             []sendMark
	visit             visitPhase
	closed            bool
	reason            string
	inventoryWaiters  [][]*shard        // who waits to be told what the node holds, first the one of the next HELD-ALL
	inventoryReceived bool              // HELD-ALL was heard
	reassigned        map[uint64]*shard // tries of earlier lives, by their tickets
}

// newLink greets a node over a connection that was just made.
func newLink(t *nodeConnections, nd uint32, address string, conn env.Conn, visits bool) {
	l := &nodeLink{server: t.server, connections: t, node: nd, address: address, conn: conn, reassigned: map[uint64]*shard{}}
	if visits {
		l.visit = visiting
	}
	l.lastReceived.Store(math.Float64bits(t.server.env.Now()))
	conn.Start(l, node.WriteTimeout)
	conn.Send(func(b []byte) []byte {
		return line.AppendGreeting(b, node.GreetingLine, "Scheduler", t.name, "Node", strconv.FormatUint(uint64(nd), 10),
			"Sent", strconv.FormatFloat(t.server.env.Now(), 'f', 3, 64)) // so that the first offer can't lie on the way unseen
	})
	t.server.env.After(node.HandshakeTimeout, func() {
		if !l.isGreeted() {
			l.disconnect("greeting: none in time", false)
		}
	})
}

func (l *nodeLink) isGreeted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation > 0
}

// OnData takes what the node sends.
func (l *nodeLink) OnData(b []byte) {
	if len(b) == 0 {
		l.disconnect("peer closed: EOF", false)
		return
	}
	l.lastReceived.Store(math.Float64bits(l.server.env.Now()))
	if l.incarnation == 0 { // set here alone
		head, after, err := l.splitter.Greeting(b, node.GreetingLine)
		if err == nil && head == nil {
			return
		}
		if err == nil {
			err = l.onGreeting(head)
		}
		if err != nil {
			l.disconnect(err.Error(), false)
			return
		}
		b = after
	}
	if err := l.splitter.Feed(b, func(fields [][]byte) error { return node.DecodeNode(fields, l, l.report[:]) }); err != nil {
		l.disconnect(err.Error(), false)
	}
}

// onGreeting takes the node's greeting; the shards hear that it is connected.
func (l *nodeLink) onGreeting(head textproto.MIMEHeader) error {
	t := l.connections
	if got := head.Get("Node"); got != strconv.FormatUint(uint64(l.node), 10) {
		return fmt.Errorf("greeting: node %.12q answers at %s, expected %d", got, l.address, l.node)
	}
	life, err := strconv.ParseUint(head.Get("Life"), 10, 64)
	if err != nil || life == 0 {
		return fmt.Errorf("greeting: bad life %.20q", head.Get("Life"))
	}
	if text := head.Get("Up"); text != "" {
		up, err := strconv.ParseFloat(text, 64)
		if err != nil || !(up >= 0) {
			return fmt.Errorf("greeting: bad time up %.20q", text)
		}
		l.nodeStartedAt = max(0, l.server.env.Now()-up)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	visits := l.isVisit()
	if !visits {
		delete(t.dialing, l.node)
	}
	if t.closed {
		return errors.New("not wanted any more")
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.New(l.reason)
	}
	l.incarnation = life
	l.inventoryWaiters = [][]*shard{slices.Clone(t.shards)}
	l.mu.Unlock()
	if !visits {
		t.register(l)
	}
	env.Every(l.server.env, node.PingInterval, l.ping)
	return nil
}

// ping keeps the connection alive and ends it when the node is silent.
func (l *nodeLink) ping() bool {
	l.mu.Lock()
	shut := l.closed
	l.mu.Unlock()
	if shut {
		return false
	}
	if l.server.env.Now()-math.Float64frombits(l.lastReceived.Load()) > node.SilenceTimeout {
		l.disconnect(fmt.Sprintf("silent for %d ms", node.SilenceTimeout), false)
		return false
	}
	l.send(func(b []byte) []byte { return node.AppendPing(b, l.server.env.Now()) })
	return true
}

// OnClose meets the end of the connection: the shards hear which tries never left.
func (l *nodeLink) OnClose(err error) {
	t := l.connections
	l.mu.Lock()
	if !l.closed {
		l.closed, l.reason = true, "peer closed: "+err.Error()
	}
	why, life, visit := l.reason, l.incarnation, l.visit
	handed := l.conn.HandedOver()
	unsent := slices.DeleteFunc(l.marks, func(m sendMark) bool { return m.offset <= handed })
	l.mu.Unlock()
	if life == 0 || visit == visiting {
		t.onDialFailed(l.node, errors.New(why))
		return
	}
	if visit == visited {
		return
	}
	t.mu.Lock()
	delete(t.links, l.node)
	l.server.onNodeDisconnected(l)
	l.server.workingSet.onConnection(l.node, false)
	for _, sh := range t.shards {
		sh.post(func(now float64) {
			if sh.links[l.node] != l {
				return
			}
			delete(sh.links, l.node)
			for _, m := range unsent {
				if uint32(m.ticket>>32) == sh.incarnation {
					sh.engine.OnUnsent(now, l.node, m.ticket, m.attempt)
				}
			}
			sh.engine.OnDisconnected(now, l.node, why)
		})
	}
	t.mu.Unlock()
	l.server.log.Debug().Uint32("node", l.node).Str("why", why).Msg("connection ended")
}

func (l *nodeLink) notifyLinked(sh *shard) {
	sh.post(func(now float64) {
		sh.links[l.node] = l
		sh.engine.OnConnected(now, l.node, l.incarnation, l.nodeStartedAt)
	})
}

// join brings a shard to a connection that stands already.
func (l *nodeLink) join(sh *shard) {
	l.notifyLinked(sh)
	l.mu.Lock()
	l.inventoryWaiters = append(l.inventoryWaiters, []*shard{sh})
	l.mu.Unlock()
	l.send(node.AppendResync)
}

// disconnect ends the link for a reason; the first one counts.
func (l *nodeLink) disconnect(why string, soft bool) {
	l.mu.Lock()
	first := !l.closed
	if first {
		l.closed, l.reason = true, why
	}
	l.mu.Unlock()
	if first {
		l.conn.Close(soft, node.AppendBye(nil, why))
	}
}

// send queues a line. A node that lets the queue run full is cut off, and its tries are told apart by their marks.
func (l *nodeLink) send(appendTo func([]byte) []byte) { l.sendMarked(appendTo, sendMark{}) }

// sendMarked queues a line with the mark of its try, if it has one. A try that finds the link shut was never sent.
func (l *nodeLink) sendMarked(appendTo func([]byte) []byte, m sendMark) {
	l.mu.Lock()
	sent, waits, ok := l.conn.Send(appendTo)
	if m.ticket != 0 {
		if m.offset = sent; !ok {
			m.offset = math.MaxUint64
		}
		if len(l.marks) >= maxMarks { // those that have left need no mark
			handed := l.conn.HandedOver()
			l.marks = slices.DeleteFunc(l.marks, func(m sendMark) bool { return m.offset <= handed })
		}
		l.marks = append(l.marks, m)
	}
	l.mu.Unlock()
	if ok && waits > l.server.config.Site.NodeQueue {
		l.disconnect(fmt.Sprintf("slow reader: over %d bytes queued", l.server.config.Site.NodeQueue), false)
	}
}

// maxMarks is how many marks are kept before a look at which have left.
const maxMarks = 64

func (d shardEffects) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64,
) {
	s := d.shard.server
	s.log.Debug().Uint64("allocation", ticket).Uint8("try", try).Uint32("node", nd).Int("tenant", tenant).Msg("offer")
	// A shard that stood still with leave in hand may have been fenced meanwhile and its allocation answered for, after
	// which nothing may be sent for it: a fence comes before this or after it, not in between.
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if d.fenced() && !s.config.Faults.PermitAnyEpoch {
		return
	}
	if l := d.shard.links[nd]; l != nil {
		l.sendMarked(func(b []byte) []byte {
			return node.AppendOffer(b, ticket, try, epoch, s.env.Now(), timeout, jobType, tenant, service, token, cores, memory)
		}, sendMark{ticket: ticket, attempt: try})
	}
}

func (d shardEffects) send(nd uint32, appendTo func([]byte) []byte) {
	if l := d.shard.links[nd]; l != nil && !d.fenced() {
		l.send(appendTo)
	}
}

func (d shardEffects) Recall(nd uint32, ticket uint64, try uint8) {
	d.send(nd, func(b []byte) []byte { return node.AppendRecall(b, ticket, try) })
}

func (d shardEffects) Stop(nd uint32, ticket uint64, try uint8) {
	d.send(nd, func(b []byte) []byte { return node.AppendStop(b, ticket, try) })
}

func (d shardEffects) Claim(nd uint32, ticket uint64, try uint8) {
	d.send(nd, func(b []byte) []byte { return node.AppendClaim(b, ticket, try) })
}

// Probe names the shard in the lowest bits of the number, as several may probe over one connection.
func (d shardEffects) Probe(nd uint32, seq uint64) {
	d.send(nd, func(b []byte) []byte { return node.AppendProbe(b, seq<<8|uint64(d.shard.index)) })
}

var (
	errFarewell       = errors.New("farewell")
	errInventoryOrder = errors.New("HELD after HELD-ALL, or an answer before it")
)
