package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

const dialFor = 250 * time.Millisecond

// mark tells up to which byte of the stream a try's offer reaches.
type mark struct {
	end    uint64
	ticket uint64
	try    uint8
}

// link is the connection to a node. Its writer hands the queue to the kernel and counts the bytes, so that a try
// whose last byte never left can be told from one that may have arrived.
type link struct {
	s     *server
	nd    uint32
	conn  net.Conn
	wake  chan struct{}
	done  chan struct{} // closed when the writer has ended
	held  bool          // HELD-ALL was heard
	buf   [node.MaxReport]float64
	mu    sync.Mutex
	queue []byte
	put   uint64 // bytes ever queued
	sent  uint64 // and handed to the kernel
	marks []mark
	shut  bool
	soft  bool // what is queued still goes out
	why   string
}

// dial connects to a node and serves the connection until it ends.
func (s *server) dial(nd uint32, address string) {
	conn, life, err := s.greet(s.ctx, nd, address)
	if err != nil {
		s.tell(func(now float64) error { s.eng.DialFailed(now, nd, err.Error()); return nil })
		s.log.Debug().Uint32("node", nd).Err(err).Msg("no connection")
		return
	}
	l := &link{s: s, nd: nd, conn: conn.Conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.tell(func(now float64) error {
		s.links[nd] = l
		s.eng.Linked(now, nd, life)
		return nil
	})
	s.goes(l.write)
	why := l.read(conn.in)
	l.end(why)
	<-l.done
	s.tell(func(now float64) error {
		for _, m := range l.marks {
			s.eng.Unsent(now, nd, m.ticket, m.try)
		}
		delete(s.links, nd)
		s.eng.Unlinked(now, nd, l.why)
		return nil
	})
	s.log.Debug().Uint32("node", nd).Str("why", l.why).Msg("connection ended")
}

type greeted struct {
	net.Conn
	in *line.Reader
}

// greet connects and exchanges greetings within the protocol's time.
func (s *server) greet(ctx context.Context, nd uint32, address string) (g greeted, life uint64, err error) {
	d := net.Dialer{Timeout: dialFor, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second,
		Interval: 2 * time.Second, Count: 3}}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return g, 0, err
	}
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	if err = conn.SetDeadline(time.Now().Add(node.Handshake * time.Millisecond)); err != nil {
		return g, 0, err
	}
	hello := line.AppendGreeting(nil, node.Opening, "Scheduler", s.who.Name,
		"Life", strconv.FormatUint(uint64(s.life), 10), "Node", strconv.FormatUint(uint64(nd), 10))
	if _, err = conn.Write(hello); err != nil {
		return g, 0, fmt.Errorf("greeting: %w", err)
	}
	in := line.NewReader(conn)
	head, err := in.Greeting(node.Opening)
	if err != nil {
		return g, 0, err
	}
	if got := head.Get("Node"); got != strconv.FormatUint(uint64(nd), 10) {
		return g, 0, fmt.Errorf("greeting: node %.12q answers at %s, expected %d", got, address, nd)
	}
	if life, err = strconv.ParseUint(head.Get("Life"), 10, 64); err != nil || life == 0 {
		return g, 0, fmt.Errorf("greeting: bad life %.20q", head.Get("Life"))
	}
	return greeted{conn, in}, life, conn.SetDeadline(time.Time{})
}

// read hands lines to the engine until the connection ends, and returns why it did.
func (l *link) read(in *line.Reader) string {
	for {
		if in.Buffered() == 0 {
			if err := l.conn.SetReadDeadline(time.Now().Add(node.Silent * time.Millisecond)); err != nil {
				return "read: " + err.Error()
			}
		}
		fields, err := in.Next()
		if err == nil {
			err = node.DecodeNode(fields, l, l.buf[:])
		}
		switch {
		case err == nil:
		case errors.Is(err, errBye), errors.Is(err, io.EOF):
			return "peer closed: " + err.Error()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Sprintf("silent for %d ms", node.Silent)
		default:
			return err.Error()
		}
	}
}

// write hands the queue to the kernel until the link ends.
func (l *link) write() {
	defer close(l.done)
	ping := time.NewTicker(node.PingEvery * time.Millisecond)
	defer ping.Stop()
	var spare []byte
	for {
		l.mu.Lock()
		b, shut, soft := l.queue, l.shut, l.soft
		l.queue, spare = spare[:0], nil // never the same memory twice: one is written while the other fills
		l.mu.Unlock()
		if shut {
			if soft {
				_, _ = l.hand(b) // last recalls; nothing waits for their answers
			}
			l.farewell()
			return
		}
		if len(b) > 0 {
			n, err := l.hand(b)
			l.mu.Lock()
			l.sent += uint64(n)
			for len(l.marks) > 0 && l.marks[0].end <= l.sent {
				l.marks = l.marks[1:]
			}
			l.mu.Unlock()
			if err != nil {
				l.end("write: " + err.Error())
			}
			if cap(b) <= 1<<16 { // a burst's memory is given back
				spare = b[:0]
			}
			continue
		}
		spare = b
		select {
		case <-l.wake:
		case <-ping.C:
			l.add(node.AppendPing)
		}
	}
}

func (l *link) hand(b []byte) (int, error) {
	if err := l.conn.SetWriteDeadline(time.Now().Add(node.Stuck * time.Millisecond)); err != nil {
		return 0, err
	}
	return l.conn.Write(b)
}

// farewell tells the peer why, as far as it still listens.
func (l *link) farewell() {
	_ = l.conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = l.conn.Write(node.AppendBye(nil, l.why)) // it may be gone: then nobody is left to be told
	l.conn.Close()
}

// end ends the link for a reason; the first one counts.
func (l *link) end(why string) {
	l.mu.Lock()
	if !l.shut {
		l.shut, l.why = true, why
		_ = l.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		_ = l.conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	}
	l.mu.Unlock()
	l.rouse()
}

func (l *link) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// add queues a line. A node that lets the queue run full is cut off, and its tries are told apart by their marks.
func (l *link) add(appendTo func([]byte) []byte) bool {
	l.mu.Lock()
	if l.shut || len(l.queue) > l.s.who.Place.NodeQueue {
		shut := l.shut
		l.mu.Unlock()
		if !shut {
			l.end(fmt.Sprintf("slow reader: over %d bytes queued", l.s.who.Place.NodeQueue))
		}
		return false
	}
	before := len(l.queue)
	l.queue = appendTo(l.queue)
	l.put += uint64(len(l.queue) - before)
	l.mu.Unlock()
	l.rouse()
	return true
}

func (d edge) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64) {
	d.s.log.Debug().Uint64("allocation", ticket).Uint8("try", try).Uint32("node", nd).Int("tenant", tenant).Msg("offer")
	l := d.s.links[nd]
	if l == nil {
		return // its Unlinked is on the way, but then the engine would not have called
	}
	ok := l.add(func(b []byte) []byte {
		b = node.AppendOffer(b, ticket, try, epoch, timeout, jobType, tenant, service, token, cores, memory)
		return b
	})
	l.mu.Lock()
	end := l.put
	if !ok {
		end = math.MaxUint64 // never queued
	}
	if ok && l.sent >= end {
		l.mu.Unlock()
		return
	}
	l.marks = append(l.marks, mark{end, ticket, try})
	l.mu.Unlock()
}

func (d edge) line(nd uint32, appendTo func([]byte) []byte) {
	if l := d.s.links[nd]; l != nil {
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

func (d edge) Probe(nd uint32, seq uint64) {
	d.line(nd, func(b []byte) []byte { return node.AppendProbe(b, seq) })
}

var (
	errBye  = errors.New("farewell")
	errHeld = errors.New("HELD after HELD-ALL, or an answer before it")
)

// verdicts gives the module's word for each of the protocol's outcomes.
var verdicts = [...]logic.Verdict{node.Ended: logic.Ended, node.Errored: logic.Errored, node.Refused: logic.Refused,
	node.Barred: logic.Refused, node.Lost: logic.Broken, node.Stopped: logic.CalledOff, node.Unknown: logic.Broken}

func (l *link) event(event func(now float64) error) error {
	if !l.held {
		return errHeld
	}
	return l.s.tell(event)
}

func (l *link) Started(ticket uint64, try uint8, took float64) error {
	return l.event(func(now float64) error { return l.s.eng.Started(now, l.nd, ticket, try, took) })
}

func (l *link) Settled(ticket uint64, try uint8, outcome, reason int, report []float64) error {
	if n := len(report); n != 0 && n != len(l.s.who.Place.Cluster.Report) {
		return fmt.Errorf("report of %d values, expected %d", n, len(l.s.who.Place.Cluster.Report))
	}
	return l.event(func(now float64) error {
		return l.s.eng.Settled(now, l.nd, ticket, try, verdicts[outcome], logic.Reason(reason), report)
	})
}

func (l *link) Claimed(ticket uint64, try uint8, claim, reason int) error {
	return l.event(func(now float64) error {
		if claim < node.ClaimedOutcome {
			l.s.eng.ClaimedHeld(now, l.nd, ticket, try, claim == node.ClaimedRuns)
		} else {
			l.s.eng.ClaimedOver(now, l.nd, ticket, try, verdicts[claim-node.ClaimedOutcome], logic.Reason(reason))
		}
		return nil
	})
}

func (l *link) Noted(ticket uint64, try uint8, kind int, value float64) error {
	return l.event(func(now float64) error {
		return l.s.eng.Noted(now, l.nd, ticket, try, logic.NoteKind(kind), value)
	})
}

func (l *link) Reported(seq uint64, report []float64) error {
	if len(report) != len(l.s.who.Place.Cluster.Report) {
		return fmt.Errorf("report of %d values, expected %d", len(report), len(l.s.who.Place.Cluster.Report))
	}
	return l.event(func(now float64) error { return l.s.eng.Reported(now, l.nd, seq, report) })
}

func (l *link) Held(ticket uint64, try uint8, state, jobType, tenant int, service, token uint64,
	cores, memory float64) error {
	if l.held {
		return errHeld
	}
	return l.s.tell(func(now float64) error {
		return l.s.eng.Held(now, l.nd, ticket, try, state == 1, jobType, tenant, service, token, cores, memory)
	})
}

func (l *link) HeldAll() error {
	if l.held {
		return errHeld
	}
	l.held = true
	return l.s.tell(func(now float64) error { l.s.eng.HeldAll(now, l.nd); return nil })
}

func (l *link) Pong() error          { return nil }
func (l *link) Bye(why string) error { return fmt.Errorf("%w: %s", errBye, why) }

// closeAll ends all links and owners' connections.
func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.mu.Lock()
		l.soft = true
		l.mu.Unlock()
		l.end("scheduler ends")
	}
	for _, o := range s.owners {
		o.cut("scheduler ends")
	}
}
