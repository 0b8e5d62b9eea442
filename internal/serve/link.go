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

	"ravenpond/internal/outside"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

const dialFor = 250 // ms

// mark tells up to which byte of the stream a try's offer reaches.
type mark struct {
	end    uint64
	ticket uint64
	try    uint8
}

// link is the connection to a node. Bytes handed to the network are counted, so that a try whose last byte never
// left can be told from one that may have arrived.
type link struct {
	s       *Server
	t       *trunk
	nd      uint32
	address string
	life    uint64  // the node's, 0 until it has greeted
	since   float64 // when that began by our clock, 0: it did not say
	conn    outside.Conn
	in      line.Splitter
	buf     [node.MaxReportValues]float64
	heardAt atomic.Uint64 // bits of the time

	mu      sync.Mutex
	marks   []mark
	visit   visitPhase
	shut    bool
	why     string
	hearing [][]*shard        // who waits to be told what the node holds, first the one of the next HELD-ALL
	told    bool              // HELD-ALL was heard
	foreign map[uint64]*shard // tries of earlier lives, by their tickets
}

// newLink greets a node over a connection that was just made.
func newLink(t *trunk, nd uint32, address string, conn outside.Conn, visits bool) {
	l := &link{s: t.s, t: t, nd: nd, address: address, conn: conn, foreign: map[uint64]*shard{}}
	if visits {
		l.visit = visiting
	}
	l.heardAt.Store(math.Float64bits(t.s.w.Now()))
	conn.Start(l, node.WriteTimeout)
	conn.Send(func(b []byte) []byte {
		return line.AppendGreeting(b, node.GreetingLine, "Scheduler", t.name, "Node", strconv.FormatUint(uint64(nd), 10),
			"Sent", strconv.FormatFloat(t.s.w.Now(), 'f', 3, 64)) // so that the first offer can't lie on the way unseen
	})
	t.s.w.After(node.HandshakeTimeout, func() {
		if !l.greeted() {
			l.end("greeting: none in time", false)
		}
	})
}

func (l *link) greeted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.life > 0
}

// OnData takes what the node sends.
func (l *link) OnData(b []byte) {
	if len(b) == 0 {
		l.end("peer closed: EOF", false)
		return
	}
	l.heardAt.Store(math.Float64bits(l.s.w.Now()))
	if l.life == 0 { // set here alone
		head, after, err := l.in.Greeting(b, node.GreetingLine)
		if err == nil && head == nil {
			return
		}
		if err == nil {
			err = l.greet(head)
		}
		if err != nil {
			l.end(err.Error(), false)
			return
		}
		b = after
	}
	if err := l.in.Feed(b, func(fields [][]byte) error { return node.DecodeNode(fields, l, l.buf[:]) }); err != nil {
		l.end(err.Error(), false)
	}
}

// greet takes the node's greeting; the shards hear that it is connected.
func (l *link) greet(head textproto.MIMEHeader) error {
	t := l.t
	if got := head.Get("Node"); got != strconv.FormatUint(uint64(l.nd), 10) {
		return fmt.Errorf("greeting: node %.12q answers at %s, expected %d", got, l.address, l.nd)
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
		l.since = max(0, l.s.w.Now()-up)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	visits := l.visits()
	if !visits {
		delete(t.dialing, l.nd)
	}
	if t.closed {
		return errors.New("not wanted any more")
	}
	l.mu.Lock()
	if l.shut {
		l.mu.Unlock()
		return errors.New(l.why)
	}
	l.life = life
	l.hearing = [][]*shard{slices.Clone(t.shards)}
	l.mu.Unlock()
	if !visits {
		t.add(l)
	}
	outside.Every(l.s.w, node.PingInterval, l.ping)
	return nil
}

// ping keeps the connection alive and ends it when the node is silent.
func (l *link) ping() bool {
	l.mu.Lock()
	shut := l.shut
	l.mu.Unlock()
	if shut {
		return false
	}
	if l.s.w.Now()-math.Float64frombits(l.heardAt.Load()) > node.SilenceTimeout {
		l.end(fmt.Sprintf("silent for %d ms", node.SilenceTimeout), false)
		return false
	}
	l.add(func(b []byte) []byte { return node.AppendPing(b, l.s.w.Now()) })
	return true
}

// OnClose meets the end of the connection: the shards hear which tries never left.
func (l *link) OnClose(err error) {
	t := l.t
	l.mu.Lock()
	if !l.shut {
		l.shut, l.why = true, "peer closed: "+err.Error()
	}
	why, life, visit := l.why, l.life, l.visit
	handed := l.conn.HandedOver()
	unsent := slices.DeleteFunc(l.marks, func(m mark) bool { return m.end <= handed })
	l.mu.Unlock()
	if life == 0 || visit == visiting {
		t.failed(l.nd, errors.New(why))
		return
	}
	if visit == visited {
		return
	}
	t.mu.Lock()
	delete(t.links, l.nd)
	l.s.missed(l)
	l.s.set.onConnection(l.nd, false)
	for _, sh := range t.shards {
		sh.tell(func(now float64) {
			if sh.links[l.nd] != l {
				return
			}
			delete(sh.links, l.nd)
			for _, m := range unsent {
				if uint32(m.ticket>>32) == sh.life {
					sh.eng.OnUnsent(now, l.nd, m.ticket, m.try)
				}
			}
			sh.eng.OnDisconnected(now, l.nd, why)
		})
	}
	t.mu.Unlock()
	l.s.log.Debug().Uint32("node", l.nd).Str("why", why).Msg("connection ended")
}

func (l *link) tellLinked(sh *shard) {
	sh.tell(func(now float64) {
		sh.links[l.nd] = l
		sh.eng.OnConnected(now, l.nd, l.life, l.since)
	})
}

// join brings a shard to a connection that stands already.
func (l *link) join(sh *shard) {
	l.tellLinked(sh)
	l.mu.Lock()
	l.hearing = append(l.hearing, []*shard{sh})
	l.mu.Unlock()
	l.add(node.AppendResync)
}

// end ends the link for a reason; the first one counts.
func (l *link) end(why string, soft bool) {
	l.mu.Lock()
	first := !l.shut
	if first {
		l.shut, l.why = true, why
	}
	l.mu.Unlock()
	if first {
		l.conn.Close(soft, node.AppendBye(nil, why))
	}
}

// add queues a line. A node that lets the queue run full is cut off, and its tries are told apart by their marks.
func (l *link) add(appendTo func([]byte) []byte) { l.offer(appendTo, mark{}) }

// offer queues a line with the mark of its try, if it has one. A try that finds the link shut was never sent.
func (l *link) offer(appendTo func([]byte) []byte, m mark) {
	l.mu.Lock()
	sent, waits, ok := l.conn.Send(appendTo)
	if m.ticket != 0 {
		if m.end = sent; !ok {
			m.end = math.MaxUint64
		}
		if len(l.marks) >= marksKept { // those that have left need no mark
			handed := l.conn.HandedOver()
			l.marks = slices.DeleteFunc(l.marks, func(m mark) bool { return m.end <= handed })
		}
		l.marks = append(l.marks, m)
	}
	l.mu.Unlock()
	if ok && waits > l.s.who.Site.NodeQueue {
		l.end(fmt.Sprintf("slow reader: over %d bytes queued", l.s.who.Site.NodeQueue), false)
	}
}

// marksKept is how many marks are kept before a look at which have left.
const marksKept = 64

func (d edge) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64,
) {
	s := d.sh.s
	s.log.Debug().Uint64("allocation", ticket).Uint8("try", try).Uint32("node", nd).Int("tenant", tenant).Msg("offer")
	// A shard that stood still with leave in hand may have been fenced meanwhile and its allocation answered for, after
	// which nothing may be sent for it: a fence comes before this or after it, not in between.
	s.desk.Lock()
	defer s.desk.Unlock()
	if d.dead() && !s.who.Faults.PermitAnyEpoch {
		return
	}
	if l := d.sh.links[nd]; l != nil {
		l.offer(func(b []byte) []byte {
			return node.AppendOffer(b, ticket, try, epoch, s.w.Now(), timeout, jobType, tenant, service, token, cores, memory)
		}, mark{ticket: ticket, try: try})
	}
}

func (d edge) line(nd uint32, appendTo func([]byte) []byte) {
	if l := d.sh.links[nd]; l != nil && !d.dead() {
		l.add(appendTo)
	}
}

func (d edge) Recall(nd uint32, ticket uint64, try uint8) {
	d.line(nd, func(b []byte) []byte { return node.AppendRecall(b, ticket, try) })
}

func (d edge) Stop(nd uint32, ticket uint64, try uint8) {
	d.line(nd, func(b []byte) []byte { return node.AppendStop(b, ticket, try) })
}

func (d edge) Claim(nd uint32, ticket uint64, try uint8) {
	d.line(nd, func(b []byte) []byte { return node.AppendClaim(b, ticket, try) })
}

// Probe names the shard in the lowest bits of the number, as several may probe over one connection.
func (d edge) Probe(nd uint32, seq uint64) {
	d.line(nd, func(b []byte) []byte { return node.AppendProbe(b, seq<<8|uint64(d.sh.index)) })
}

var (
	errBye  = errors.New("farewell")
	errHeld = errors.New("HELD after HELD-ALL, or an answer before it")
)
