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

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
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
	buf     [node.MaxReport]float64
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
	conn.Begin(l, node.Stuck)
	conn.Send(func(b []byte) []byte {
		return line.AppendGreeting(b, node.Opening, "Scheduler", t.name, "Node", strconv.FormatUint(uint64(nd), 10),
			"Sent", strconv.FormatFloat(t.s.w.Now(), 'f', 3, 64)) // so that the first offer can't lie on the way unseen
	})
	t.s.w.After(node.Handshake, func() {
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

// Heard takes what the node sends.
func (l *link) Heard(b []byte) {
	if len(b) == 0 {
		l.end("peer closed: EOF", false)
		return
	}
	l.heardAt.Store(math.Float64bits(l.s.w.Now()))
	if l.life == 0 { // set here alone
		head, after, err := l.in.Greeting(b, node.Opening)
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
	outside.Every(l.s.w, node.PingEvery, l.ping)
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
	if l.s.w.Now()-math.Float64frombits(l.heardAt.Load()) > node.Silent {
		l.end(fmt.Sprintf("silent for %d ms", node.Silent), false)
		return false
	}
	l.add(func(b []byte) []byte { return node.AppendPing(b, l.s.w.Now()) })
	return true
}

// Over meets the end of the connection: the shards hear which tries never left.
func (l *link) Over(err error) {
	t := l.t
	l.mu.Lock()
	if !l.shut {
		l.shut, l.why = true, "peer closed: "+err.Error()
	}
	why, life, visit := l.why, l.life, l.visit
	handed := l.conn.Handed()
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
					sh.eng.Unsent(now, l.nd, m.ticket, m.try)
				}
			}
			sh.eng.Unlinked(now, l.nd, why)
		})
	}
	t.mu.Unlock()
	l.s.log.Debug().Uint32("node", l.nd).Str("why", why).Msg("connection ended")
}

func (l *link) tellLinked(sh *shard) {
	sh.tell(func(now float64) {
		sh.links[l.nd] = l
		sh.eng.Linked(now, l.nd, l.life, l.since)
	})
}

// join brings a shard to a connection that stands already.
func (l *link) join(sh *shard) {
	l.tellLinked(sh)
	l.mu.Lock()
	l.hearing = append(l.hearing, []*shard{sh})
	l.mu.Unlock()
	l.add(node.AppendTell)
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
		l.conn.End(soft, node.AppendBye(nil, why))
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
			handed := l.conn.Handed()
			l.marks = slices.DeleteFunc(l.marks, func(m mark) bool { return m.end <= handed })
		}
		l.marks = append(l.marks, m)
	}
	l.mu.Unlock()
	if ok && waits > l.s.who.Place.NodeQueue {
		l.end(fmt.Sprintf("slow reader: over %d bytes queued", l.s.who.Place.NodeQueue), false)
	}
}

// marksKept is how many marks are kept before a look at which have left.
const marksKept = 64

func (d edge) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64) {
	s := d.sh.s
	s.log.Debug().Uint64("allocation", ticket).Uint8("try", try).Uint32("node", nd).Int("tenant", tenant).Msg("offer")
	// A shard that stood still with leave in hand may have been fenced meanwhile and its allocation answered for, after
	// which nothing may be sent for it: a fence comes before this or after it, not in between.
	s.desk.Lock()
	defer s.desk.Unlock()
	if d.dead() && !s.who.Plant.Trust {
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

// of gives the shard that a ticket belongs to; nil if its shard's life is over, an error if nobody ever made it. Under the
// desk.
func (l *link) of(ticket uint64, over bool) (*shard, error) {
	l.mu.Lock()
	early := !l.told
	sh := l.foreign[ticket]
	if over {
		delete(l.foreign, ticket)
	}
	l.mu.Unlock()
	if early {
		return nil, errHeld
	}
	if sh == nil {
		var ok bool
		if sh, ok = l.s.lives[uint32(ticket>>32)]; !ok {
			return nil, fmt.Errorf("answer for unknown try %x", ticket)
		}
	}
	if sh.fenced.Load() {
		return nil, nil
	}
	return sh, nil
}

// event hands a node's word to the shard that the ticket belongs to, before or after a handover of it but not in between: what
// came before is in the giver's inbox when it has given. A fault of the peer's ends the connection.
func (l *link) event(ticket uint64, over bool, event func(sh *shard, now float64) error) error {
	l.s.desk.Lock()
	defer l.s.desk.Unlock()
	sh, err := l.of(ticket, over)
	if sh == nil {
		return err
	}
	l.pass(sh, ticket, event)
	return nil
}

// pass hands a word to a shard; under the desk.
func (l *link) pass(sh *shard, ticket uint64, event func(sh *shard, now float64) error) {
	var hear func(sh *shard)
	hear = func(sh *shard) {
		sh.tell(func(now float64) {
			if to := sh.moved[ticket]; to != nil { // handed over while this was on its way
				hear(to)
			} else if err := event(sh, now); err != nil {
				l.end(err.Error(), false)
			}
		})
	}
	hear(sh)
}

func (l *link) Started(ticket uint64, try uint8, took float64) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		return sh.eng.Started(now, l.nd, ticket, try, took)
	})
}

func (l *link) Settled(ticket uint64, try uint8, outcome, reason int, report []float64) error {
	if n := len(report); n != 0 && n != len(l.s.who.Place.Cluster.Report) {
		return fmt.Errorf("report of %d values, expected %d", n, len(l.s.who.Place.Cluster.Report))
	}
	report = slices.Clone(report)
	if l.s.who.Place.Connections == site.Informed && len(report) > 0 {
		l.inform(ticket, report)
	}
	s, verdict, why := l.s, node.Verdicts[outcome], logic.Reason(reason)
	s.desk.Lock()
	defer s.desk.Unlock()
	sh, err := l.of(ticket, true)
	if sh == nil {
		if a, ok := s.acts.Ended(shardownership.Try{Node: l.nd, Ticket: ticket, No: try}); ok { // its shard was fenced while it ran
			if o := s.owner(a.Owner); o != nil {
				o.over(a.Ref, verdict, why)
			}
		}
		return err
	}
	l.pass(sh, ticket, func(sh *shard, now float64) error {
		return sh.eng.Settled(now, l.nd, ticket, try, verdict, why, report)
	})
	return nil
}

// inform tells a report to the shards that the answer is not for.
func (l *link) inform(ticket uint64, report []float64) {
	for _, sh := range l.t.all() {
		if uint32(ticket>>32) != sh.life {
			sh.tell(func(now float64) { sh.eng.Hint(now, l.nd, report) })
		}
	}
}

func (l *link) Claimed(ticket uint64, try uint8, claim, reason int) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		if claim < node.ClaimedOutcome {
			sh.eng.ClaimedHeld(now, l.nd, ticket, try, claim == node.ClaimedRuns)
		} else {
			sh.eng.ClaimedOver(now, l.nd, ticket, try, node.Verdicts[claim-node.ClaimedOutcome], logic.Reason(reason))
		}
		return nil
	})
}

func (l *link) Noted(ticket uint64, try uint8, kind int, value float64) error {
	return l.event(ticket, false, func(sh *shard, now float64) error {
		return sh.eng.Noted(now, l.nd, ticket, try, logic.NoteKind(kind), value)
	})
}

func (l *link) Reported(seq uint64, report []float64) error {
	if len(report) != len(l.s.who.Place.Cluster.Report) {
		return fmt.Errorf("report of %d values, expected %d", len(report), len(l.s.who.Place.Cluster.Report))
	}
	report = slices.Clone(report)
	for _, sh := range l.t.all() {
		if sh.index == int(seq&0xff) {
			sh.tell(func(now float64) {
				if err := sh.eng.Reported(now, l.nd, seq>>8, report); err != nil {
					l.end(err.Error(), false)
				}
			})
			return nil
		}
	}
	return errors.New("report for a probe never sent")
}

// Held goes to the shard whose try it is; one of a life that is over to the shard that has its service now.
func (l *link) Held(ticket uint64, try uint8, state, jobType, tenant int, service, token uint64,
	cores, memory float64) error {
	s := l.s
	if jobType >= len(s.who.Place.Jobs) || tenant >= len(s.who.Place.Tenants) {
		return fmt.Errorf("held try %x of unknown job type %d or tenant %d", ticket, jobType, tenant)
	}
	if l.visits() {
		if err := l.stay(); err != nil {
			return err
		}
	}
	s.desk.Lock()
	sh := s.lives[uint32(ticket>>32)]
	index := -1
	if sh != nil && !sh.fenced.Load() {
		index = sh.index
	}
	at, knows := s.acts.Home(shardownership.Name{Tenant: tenant, Token: token}, ticket, try, service, index)
	own := index >= 0 && at == index // else it was handed over, or its shard's life is over
	if !own && at >= 0 {
		sh = s.shards[at]
	}
	s.desk.Unlock()
	alone := l.t.all()
	l.mu.Lock()
	if len(l.hearing) == 0 {
		l.mu.Unlock()
		return errHeld
	}
	if old := l.foreign[ticket]; old != nil && !old.fenced.Load() {
		sh, own = old, false
	}
	if own {
		delete(l.foreign, ticket) // it was given away, but the one that got it is no more
	} else if sh != nil {
		if len(alone) == 1 { // its connections are its own: what they hold is its own too
			sh = alone[0]
		}
		l.foreign[ticket] = sh
	}
	listens := slices.Contains(l.hearing[0], sh)
	l.mu.Unlock()
	if sh == nil || !own && !listens && !l.told {
		return nil
	}
	if own && knows && !listens {
		return nil
	}
	sh.tell(func(now float64) {
		if own {
			delete(sh.moved, ticket)
		}
		err := sh.eng.Held(now, l.nd, ticket, try, state == 1, jobType, tenant, service, token, cores, memory)
		if err != nil {
			l.end(err.Error(), false)
		}
	})
	return nil
}

func (l *link) HeldAll() error {
	if l.visits() && l.leave() {
		return nil
	}
	l.mu.Lock()
	if len(l.hearing) == 0 {
		l.mu.Unlock()
		return errHeld
	}
	who := l.hearing[0]
	l.hearing, l.told = l.hearing[1:], true
	l.mu.Unlock()
	for _, sh := range who {
		sh.tell(func(now float64) { sh.eng.HeldAll(now, l.nd) })
	}
	return nil
}

func (l *link) Pong() error          { return nil }
func (l *link) Bye(why string) error { return fmt.Errorf("%w: %s", errBye, why) }
