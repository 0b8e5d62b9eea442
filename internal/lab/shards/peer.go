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

// nodePeer is a node's end of a scheduler's connection. It refuses one in twenty offers and those of an older epoch, starts the others at
// once, and ends their tasks after 60 to 100 ms.
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
	attempt node.AttemptID
	node.Task
	endsAt time.Time
}

func (b *testbench) serveNode(nodeIndex uint32, conn net.Conn) {
	defer conn.Close()
	in := line.NewReader(conn)
	head, err := in.Greeting(node.GreetingLine)
	if err != nil {
		return
	}
	p := &nodePeer{
		bench: b, node: nodeIndex, scheduler: head.Get("Scheduler"), conn: conn, wake: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(b.Seed, uint64(nodeIndex))),
	}
	p.queue = line.AppendGreeting(nil, node.GreetingLine, "Node", strconv.Itoa(int(nodeIndex)+1), "Life", "1")
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

// write sends queued messages, and ends tasks that have run long enough.
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
				p.bench.onEnd(o.Token, p.node, o.attempt)
				p.queue = node.AppendOutcome(p.queue, node.Outcome{Attempt: o.attempt, Result: node.OutcomeEnded, Report: []float64{900, 1800}})
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

func (p *nodePeer) send(appendMessage func([]byte) []byte) {
	p.mu.Lock()
	p.queue = appendMessage(p.queue)
	p.mu.Unlock()
	p.wakeWriter()
}

func (b *testbench) onEnd(token uint64, nodeIndex uint32, attempt node.AttemptID) {
	b.mu.Lock()
	if h, ok := b.running[token]; ok && h.node == nodeIndex && h.attempt == attempt {
		delete(b.running, token)
	}
	b.mu.Unlock()
}

func (p *nodePeer) OnOffer(o node.Offer) error {
	b, now, token := p.bench, time.Now(), o.Task.Token
	b.mu.Lock()
	epochSeen := b.epochs[p.node][token]
	refused := o.Epoch < epochSeen || p.rng.IntN(20) == 0
	if o.Epoch < b.newest[token] {
		b.result.StaleEpochs++
	}
	b.newest[token] = max(b.newest[token], o.Epoch)
	if !refused {
		b.epochs[p.node][token] = o.Epoch
		if h, ok := b.running[token]; ok && now.Before(h.deadline) {
			b.result.Duplicates++
		}
		b.running[token] = runningTask{p.node, o.Attempt, now.Add(time.Duration(o.Timeout * 1e6))}
		if o.Task.JobClass == 2 {
			if b.started[token]++; b.started[token] > 1 {
				b.result.SecondStarts++
			}
		}
	}
	b.mu.Unlock()
	p.send(func(q []byte) []byte {
		if refused {
			return node.AppendOutcome(q, node.Outcome{Attempt: o.Attempt, Result: node.OutcomeRefused, Reason: 1 + p.rng.IntN(2), Report: []float64{900, 1800}})
		}
		p.tasks = append(p.tasks, task{o.Attempt, o.Task, now.Add(time.Duration(60+p.rng.IntN(40)) * time.Millisecond)})
		return node.AppendStarted(q, o.Attempt, 1)
	})
	return nil
}

func (p *nodePeer) OnRecall(node.AttemptID) error { return nil } // All tasks start at once, so there is none to return.

func (p *nodePeer) OnStop(attempt node.AttemptID) error {
	p.mu.Lock()
	for i := range p.tasks {
		if p.tasks[i].attempt == attempt {
			p.tasks[i].endsAt = time.Time{}
		}
	}
	p.mu.Unlock()
	p.wakeWriter()
	return nil
}

func (p *nodePeer) OnClaim(attempt node.AttemptID) error {
	p.send(func(q []byte) []byte {
		for _, o := range p.tasks {
			if o.attempt == attempt {
				return node.AppendClaimAnswer(q, node.ClaimAnswer{Attempt: attempt, Claim: node.ClaimRunning})
			}
		}
		return node.AppendClaimAnswer(q, node.ClaimAnswer{Attempt: attempt, Claim: node.ClaimOutcome + node.OutcomeUnknown})
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
			held := o.Task
			held.Cores, held.Memory = 1, 2
			q = node.AppendHeld(q, node.HeldTask{Attempt: o.attempt, State: node.StateRunning, Task: held})
		}
		return node.AppendHeldAll(q)
	})
	return nil
}

func (p *nodePeer) OnBye(reason string) error {
	return fmt.Errorf("scheduler ended the connection: %s", reason)
}
