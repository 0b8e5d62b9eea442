package shards

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

// nodePeer is a scheduler's connection to a node of the bench. It refuses some offers, starts others at once, ends them
// soon, and keeps what it holds for its scheduler's next connection.
type nodePeer struct {
	bench     *testbench
	node      uint32
	scheduler string
	conn      net.Conn
	rng       *rand.Rand
	mu        sync.Mutex
	queue     []byte
	wake      chan struct{}
	tasks     []task
}

type task struct {
	ticket         uint64
	attempt        uint8
	job, tenant    int
	service, token uint64
	endsAt         time.Time
}

func (b *testbench) node(nd uint32, conn net.Conn) {
	defer conn.Close()
	in := line.NewReader(conn)
	head, err := in.Greeting(node.GreetingLine)
	if err != nil {
		return
	}
	p := &nodePeer{
		bench: b, node: nd, scheduler: head.Get("Scheduler"), conn: conn, wake: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(b.Seed, uint64(nd))),
	}
	p.queue = line.AppendGreeting(nil, node.GreetingLine, "Node", strconv.Itoa(int(nd)+1), "Life", "1")
	p.queue = node.AppendHeldAll(p.queue)
	done := make(chan struct{})
	go func() { defer close(done); p.write() }()
	p.wakeWriter()
	for err == nil {
		var fields [][]byte
		if fields, err = in.Next(); err == nil {
			err = node.DecodeScheduler(fields, p)
		}
	}
	conn.Close()
	p.wakeWriter()
	<-done
}

func (p *nodePeer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// write sends what is queued, and ends what has run long enough.
func (p *nodePeer) write() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.wake:
		case <-tick.C:
		}
		p.mu.Lock()
		now := time.Now()
		left := p.tasks[:0]
		for _, o := range p.tasks {
			if now.After(o.endsAt) {
				p.bench.onEnd(o.token, p.node, o.ticket, o.attempt)
				p.queue = node.AppendOutcome(p.queue, o.ticket, o.attempt, node.OutcomeEnded, 0, []float64{900, 1800})
			} else {
				left = append(left, o)
			}
		}
		p.tasks = left
		b := p.queue
		p.queue = nil
		p.mu.Unlock()
		if _, err := p.conn.Write(b); err != nil {
			return
		}
	}
}

func (p *nodePeer) send(b func([]byte) []byte) {
	p.mu.Lock()
	p.queue = b(p.queue)
	p.mu.Unlock()
	p.wakeWriter()
}

func (b *testbench) onEnd(token uint64, nd uint32, ticket uint64, try uint8) {
	b.mu.Lock()
	if h, ok := b.running[token]; ok && h.node == nd && h.attempt == attemptName(ticket, try) {
		delete(b.running, token)
	}
	b.mu.Unlock()
}

func attemptName(ticket uint64, try uint8) string {
	return strconv.FormatUint(ticket, 16) + "." + strconv.Itoa(int(try))
}

func (p *nodePeer) OnOffer(ticket uint64, try uint8, epoch uint32, _, timeout float64, job, tenant int, service, token uint64,
	_, _ float64,
) error {
	b, now := p.bench, time.Now()
	b.mu.Lock()
	seen := b.epochs[p.node][token]
	turned := epoch < seen || p.rng.IntN(20) == 0
	if epoch < b.newest[token] {
		b.result.StaleEpochs++
	}
	b.newest[token] = max(b.newest[token], epoch)
	if !turned {
		b.epochs[p.node][token] = epoch
		if h, ok := b.running[token]; ok && now.Before(h.deadline) {
			b.result.Duplicates++
		}
		b.running[token] = runningTask{p.node, attemptName(ticket, try), now.Add(time.Duration(timeout * 1e6))}
		if job == 2 {
			if b.started[token]++; b.started[token] > 1 {
				b.result.SecondStarts++
			}
		}
	}
	b.mu.Unlock()
	p.send(func(q []byte) []byte {
		if turned {
			return node.AppendOutcome(q, ticket, try, node.OutcomeRefused, 1+p.rng.IntN(2), []float64{900, 1800})
		}
		p.tasks = append(p.tasks, task{ticket, try, job, tenant, service, token, now.Add(time.Duration(60+p.rng.IntN(40)) * time.Millisecond)})
		return node.AppendStarted(q, ticket, try, 1)
	})
	return nil
}

func (p *nodePeer) OnRecall(uint64, uint8) error { return nil } // all starts at once: there is nothing to hand back

func (p *nodePeer) OnStop(ticket uint64, try uint8) error {
	p.mu.Lock()
	for i := range p.tasks {
		if p.tasks[i].ticket == ticket && p.tasks[i].attempt == try {
			p.tasks[i].endsAt = time.Time{}
		}
	}
	p.mu.Unlock()
	p.wakeWriter()
	return nil
}

func (p *nodePeer) OnClaim(ticket uint64, try uint8) error {
	p.send(func(q []byte) []byte {
		for _, o := range p.tasks {
			if o.ticket == ticket && o.attempt == try {
				return node.AppendClaimAnswer(q, ticket, try, node.ClaimRunning, 0)
			}
		}
		return node.AppendClaimAnswer(q, ticket, try, node.ClaimOutcome+node.OutcomeUnknown, 0)
	})
	return nil
}

func (p *nodePeer) OnProbe(seq uint64) error {
	p.send(func(q []byte) []byte { return node.AppendReport(q, seq, []float64{900, 1800}) })
	return nil
}

func (p *nodePeer) OnPing(float64) error {
	p.send(node.AppendPong)
	return nil
}

func (p *nodePeer) OnResync() error {
	p.send(func(q []byte) []byte {
		for _, o := range p.tasks {
			q = node.AppendHeld(q, o.ticket, o.attempt, 1, o.job, o.tenant, o.service, o.token, 1, 2)
		}
		return node.AppendHeldAll(q)
	})
	return nil
}

func (p *nodePeer) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }
