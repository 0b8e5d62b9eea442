package cores

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

// peer is a scheduler's connection to a node of the bench. It refuses some offers, starts others at once, ends them
// soon, and keeps what it holds for its scheduler's next connection.
type peer struct {
	b     *bench
	nd    uint32
	sched string
	conn  net.Conn
	rng   *rand.Rand
	mu    sync.Mutex
	queue []byte
	wake  chan struct{}
	held  []offer
}

type offer struct {
	ticket         uint64
	try            uint8
	job, tenant    int
	service, token uint64
	ends           time.Time
}

func (b *bench) node(nd uint32, conn net.Conn) {
	defer conn.Close()
	in := line.NewReader(conn)
	head, err := in.Greeting(node.GreetingLine)
	if err != nil {
		return
	}
	p := &peer{
		b: b, nd: nd, sched: head.Get("Scheduler"), conn: conn, wake: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(b.Seed, uint64(nd))),
	}
	p.queue = line.AppendGreeting(nil, node.GreetingLine, "Node", strconv.Itoa(int(nd)+1), "Life", "1")
	p.queue = node.AppendHeldAll(p.queue)
	done := make(chan struct{})
	go func() { defer close(done); p.write() }()
	p.rouse()
	for err == nil {
		var fields [][]byte
		if fields, err = in.Next(); err == nil {
			err = node.DecodeScheduler(fields, p)
		}
	}
	conn.Close()
	p.rouse()
	<-done
}

func (p *peer) rouse() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// write sends what is queued, and ends what has run long enough.
func (p *peer) write() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.wake:
		case <-tick.C:
		}
		p.mu.Lock()
		now := time.Now()
		left := p.held[:0]
		for _, o := range p.held {
			if now.After(o.ends) {
				p.b.over(o.token, p.nd, o.ticket, o.try)
				p.queue = node.AppendOutcome(p.queue, o.ticket, o.try, node.OutcomeEnded, 0, []float64{900, 1800})
			} else {
				left = append(left, o)
			}
		}
		p.held = left
		b := p.queue
		p.queue = nil
		p.mu.Unlock()
		if _, err := p.conn.Write(b); err != nil {
			return
		}
	}
}

func (p *peer) say(b func([]byte) []byte) {
	p.mu.Lock()
	p.queue = b(p.queue)
	p.mu.Unlock()
	p.rouse()
}

func (b *bench) over(token uint64, nd uint32, ticket uint64, try uint8) {
	b.mu.Lock()
	if h, ok := b.out[token]; ok && h.nd == nd && h.name == tryName(ticket, try) {
		delete(b.out, token)
	}
	b.mu.Unlock()
}

func tryName(ticket uint64, try uint8) string {
	return strconv.FormatUint(ticket, 16) + "." + strconv.Itoa(int(try))
}

func (p *peer) OnOffer(ticket uint64, try uint8, epoch uint32, _, timeout float64, job, tenant int, service, token uint64,
	_, _ float64,
) error {
	b, now := p.b, time.Now()
	b.mu.Lock()
	seen := b.epochs[p.nd][token]
	turned := epoch < seen || p.rng.IntN(20) == 0
	if epoch < b.newest[token] {
		b.v.Stale++
	}
	b.newest[token] = max(b.newest[token], epoch)
	if !turned {
		b.epochs[p.nd][token] = epoch
		if h, ok := b.out[token]; ok && now.Before(h.until) {
			b.v.Duplicates++
		}
		b.out[token] = held{p.nd, tryName(ticket, try), now.Add(time.Duration(timeout * 1e6))}
		if job == 2 {
			if b.started[token]++; b.started[token] > 1 {
				b.v.Seconds++
			}
		}
	}
	b.mu.Unlock()
	p.say(func(q []byte) []byte {
		if turned {
			return node.AppendOutcome(q, ticket, try, node.OutcomeRefused, 1+p.rng.IntN(2), []float64{900, 1800})
		}
		p.held = append(p.held, offer{ticket, try, job, tenant, service, token, now.Add(time.Duration(60+p.rng.IntN(40)) * time.Millisecond)})
		return node.AppendStarted(q, ticket, try, 1)
	})
	return nil
}

func (p *peer) OnRecall(uint64, uint8) error { return nil } // all starts at once: there is nothing to hand back

func (p *peer) OnStop(ticket uint64, try uint8) error {
	p.mu.Lock()
	for i := range p.held {
		if p.held[i].ticket == ticket && p.held[i].try == try {
			p.held[i].ends = time.Time{}
		}
	}
	p.mu.Unlock()
	p.rouse()
	return nil
}

func (p *peer) OnClaim(ticket uint64, try uint8) error {
	p.say(func(q []byte) []byte {
		for _, o := range p.held {
			if o.ticket == ticket && o.try == try {
				return node.AppendClaimAnswer(q, ticket, try, node.ClaimRunning, 0)
			}
		}
		return node.AppendClaimAnswer(q, ticket, try, node.ClaimOutcome+node.OutcomeUnknown, 0)
	})
	return nil
}

func (p *peer) OnProbe(seq uint64) error {
	p.say(func(q []byte) []byte { return node.AppendReport(q, seq, []float64{900, 1800}) })
	return nil
}

func (p *peer) OnPing(float64) error {
	p.say(node.AppendPong)
	return nil
}

func (p *peer) OnResync() error {
	p.say(func(q []byte) []byte {
		for _, o := range p.held {
			q = node.AppendHeld(q, o.ticket, o.try, 1, o.job, o.tenant, o.service, o.token, 1, 2)
		}
		return node.AppendHeldAll(q)
	})
	return nil
}

func (p *peer) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }
