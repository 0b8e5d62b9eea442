package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/logic"
)

// step is an event that may happen next.
type step struct {
	name string
	do   func()
}

// nextSteps returns all events that may happen next, in a fixed order.
func (p *path) nextSteps() (all []step) {
	add := func(do func(), format string, args ...any) {
		all = append(all, step{fmt.Sprintf(format, args...), do})
	}
	if p.requests == 0 {
		add(func() { p.request() }, "asked")
		return all
	}
	if last := uint64(p.requests); p.requests < 2 && p.answerCount[last] == 1 && (p.answers[last] == "declined" || p.ended > 0) {
		add(func() { p.request() }, "asked again")
	}
	for s := range shards {
		for n := range nodes {
			if len(p.toNode[s][n]) > 0 {
				add(func() { p.deliverToNode(s, n) }, "node %d hears %c from shard %d", n+1, p.toNode[s][n][0].kind, s)
			}
			if len(p.toShard[s][n]) > 0 {
				add(func() { p.deliverToShard(s, n) }, "shard %d hears %c from node %d", s, p.toShard[s][n][0].kind, n+1)
			}
			if !p.connected[s][n] {
				add(func() { p.connect(s, n); p.pendingRound[s] = true }, "shard %d and node %d are connected again", s, n+1)
			}
		}
	}
	for n := range nodes {
		for i, t := range p.held[n] {
			if t.running {
				add(func() { p.conclude(n, i, 1) }, "%x.%d ends at node %d", t.ticket, t.number, n+1)
			} else {
				add(func() { p.startTask(n, i) }, "%x.%d starts at node %d", t.ticket, t.number, n+1)
				add(func() { p.conclude(n, i, 0) }, "%x.%d is turned away by node %d", t.ticket, t.number, n+1)
			}
		}
	}
	for s := range shards {
		if p.pendingRound[s] {
			add(func() { p.runRound(s) }, "shard %d goes on", s)
		}
	}
	for i, e := range p.fencedEngines {
		if e.NextRound() <= p.now {
			add(func() { e.Round(p.now) }, "fenced shard %d goes on", i)
		}
	}
	if next := p.nextDeadline(); next > p.now && next < startTime+4000 && !p.pendingRound[0] && !p.pendingRound[1] {
		add(func() { p.advance(next) }, "time passes to %.0f", next-startTime)
	}
	if p.faults < p.model.Faults {
		for s := range shards {
			for n := range nodes {
				if p.connected[s][n] && p.faultEnabled('b') {
					add(func() { p.faults++; p.disconnect(s, n) }, "the connection of shard %d and node %d breaks", s, n+1)
				}
			}
			if p.faultEnabled('f') {
				add(func() { p.faults++; p.fence(s) }, "shard %d is fenced", s)
			}
			if s == 1 && p.faultEnabled('h') {
				add(func() { p.faults++; p.handOver(s) }, "shard %d gives what it may", s)
			}
		}
		for n := range nodes {
			if len(p.held[n]) > 0 && p.faultEnabled('n') {
				add(func() { p.faults++; p.restartNode(n) }, "node %d begins a new life", n+1)
			}
		}
		if p.answerCount[p.requests] == 0 && p.faultEnabled('w') {
			add(func() { p.faults++; p.withdraw() }, "the owner withdraws")
		}
	}
	return all
}

// faultEnabled reports whether a kind of fault is explored.
func (p *path) faultEnabled(kind rune) bool {
	return p.model.Kinds == "" || strings.ContainsRune(p.model.Kinds, kind)
}

// request sends a request for the allocation to the shard that the router chooses: its owner, if it has one.
func (p *path) request() {
	p.requests++
	ref := uint64(p.requests)
	p.deadlines[ref] = p.now + expiry
	d := p.router.Route(p.now, shardrouter.Arrival{ID: allocation, Request: shardownership.Request{
		Client: clientID, Ref: ref, JobClass: p.model.Job, Service: service, Cores: 1, Memory: 1,
		Deadline: p.now + expiry,
	}}, neverBehind)
	if d.IsRejected() {
		p.onAnswer(ref, engine.Declined)
		return
	}
	if err := p.engines[d.Shard].Allocate(p.now, p.engineRequest(ref, expiry, d.Epoch)); err != nil {
		p.fail("request %d: %v", ref, err)
	}
	p.pendingRound[d.Shard] = true
}

// withdraw withdraws the last request.
func (p *path) withdraw() {
	for s := range shards {
		// A shard that does not know the request returns an error.
		_ = p.engines[s].Withdraw(p.now, engine.RequestID{Client: clientID, Number: uint64(p.requests)})
		p.pendingRound[s] = true
	}
}

// deliverToNode delivers a shard's next message to a node.
func (p *path) deliverToNode(s, n int) {
	m := p.toNode[s][n][0]
	p.toNode[s][n] = p.toNode[s][n][1:]
	id := attemptID{m.ticket, m.attempt}
	i := slices.IndexFunc(p.held[n], func(t attempt) bool { return t.ticket == m.ticket && t.number == m.attempt })
	switch m.kind {
	case 'o':
		p.held[n] = append(p.held[n], attempt{m.ticket, m.attempt, s, false, m.deadline, m.request})
		if p.barred[n][id] || m.epoch < p.epochs[n] || p.now > m.deadline {
			p.conclude(n, len(p.held[n])-1, 0)
			return
		}
		p.epochs[n] = max(p.epochs[n], m.epoch)
	case 'r':
		if i >= 0 && !p.held[n][i].running {
			p.conclude(n, i, 0)
		} else if _, past := p.outcomes[n][id]; i < 0 && !past {
			p.barred[n][id] = true
		}
	case 's':
		if i >= 0 {
			p.conclude(n, i, boolInt(p.held[n][i].running))
		}
	case 'c':
		outcome := 3
		if i < 0 {
			o, past := p.outcomes[n][id]
			if !past {
				p.barred[n][id], p.outcomes[n][id] = true, 0
			}
			outcome = o
		} else if p.held[n][i].running {
			outcome = 4
		}
		p.sendToShard(s, n, message{kind: 'C', ticket: m.ticket, attempt: m.attempt, outcome: outcome})
	}
}

func boolInt(v bool) int { return int(boolByte(v)) }

// sendToShard sends a message from a node to a shard, if they are connected.
func (p *path) sendToShard(s, n int, m message) {
	if p.connected[s][n] {
		p.toShard[s][n] = append(p.toShard[s][n], m)
	}
}

// startTask starts a task at a node, or rejects it if its deadline has passed.
func (p *path) startTask(n, i int) {
	t := &p.held[n][i]
	if p.now > t.deadline {
		p.conclude(n, i, 0)
		return
	}
	t.running = true
	p.starts++
	if p.starts > 1 && Jobs[p.model.Job].Semantics == logic.AtMostOnce && p.ended == 0 {
		p.fail("at-most-once allocation was started %d times", p.starts)
	}
	p.sendToShard(t.shard, n, message{kind: 'S', ticket: t.ticket, attempt: t.number})
}

// conclude ends an attempt at a node with an outcome, which the node remembers and reports to the shard.
func (p *path) conclude(n, i, outcome int) {
	t := p.held[n][i]
	p.held[n] = slices.Delete(p.held[n], i, i+1)
	p.outcomes[n][attemptID{t.ticket, t.number}] = outcome
	p.sendToShard(t.shard, n, message{kind: 'E', ticket: t.ticket, attempt: t.number, outcome: outcome})
}

// verdicts are the engine's results for the outcomes 0 to 2 of messages.
var verdicts = [...]logic.Outcome{logic.Rejected, logic.Completed, logic.ConnectionLost}

// deliverToShard delivers a node's next message to a shard. Messages to a fenced incarnation were dropped when the shard was fenced.
func (p *path) deliverToShard(s, n int) {
	m := p.toShard[s][n][0]
	p.toShard[s][n] = p.toShard[s][n][1:]
	e, nd := p.engines[s], uint32(n+1)
	var err error
	switch m.kind {
	case 'S':
		err = e.OnStarted(p.now, nd, engine.AttemptID{Ticket: m.ticket, Number: m.attempt}, 1)
	case 'E':
		err = e.OnOutcome(p.now, nd, engine.Outcome{Attempt: engine.AttemptID{Ticket: m.ticket, Number: m.attempt}, Result: verdicts[m.outcome], Reason: logic.ReasonUnknown})
	case 'C':
		if m.outcome >= 3 {
			e.OnClaimHeld(p.now, nd, engine.AttemptID{Ticket: m.ticket, Number: m.attempt}, m.outcome == 4)
		} else {
			e.OnClaimOutcome(p.now, nd, engine.Outcome{Attempt: engine.AttemptID{Ticket: m.ticket, Number: m.attempt}, Result: verdicts[m.outcome], Reason: logic.ReasonUnknown})
		}
	}
	p.pendingRound[s] = true
	if err != nil { // the node violated the protocol, so the scheduler would close the connection
		p.disconnect(s, n)
	}
}

// disconnect breaks a connection and drops all messages in transit. Paths on which some of them arrive first are explored too.
func (p *path) disconnect(s, n int) {
	p.connected[s][n], p.toNode[s][n], p.toShard[s][n] = false, nil, nil
	p.engines[s].OnDisconnected(p.now, uint32(n+1))
	p.pendingRound[s] = true
}

// restartNode starts a node's next incarnation, without the attempts and outcomes of the last one.
func (p *path) restartNode(n int) {
	p.held[n], p.outcomes[n], p.barred[n], p.epochs[n] = nil, map[attemptID]int{}, map[attemptID]bool{}, 0
	p.nodeIncarnation[n]++
	for s := range shards {
		if p.connected[s][n] {
			p.disconnect(s, n)
		}
	}
}

// nextDeadline returns the earliest time after now at which a shard has a round to run.
func (p *path) nextDeadline() float64 {
	next := startTime + 1e6
	for s := range shards {
		if at := p.engines[s].NextRound(); at > p.now {
			next = min(next, at)
		}
	}
	return next
}

// advance moves the time forward, runs a round of each shard, and checks that no request is unanswered at its deadline.
func (p *path) advance(to float64) {
	p.now = to
	for s := range shards {
		p.runRound(s)
	}
	for ref := 1; ref <= p.requests; ref++ {
		if p.answerCount[ref] == 0 && p.now >= p.deadlines[ref] {
			p.fail("request %d was not answered by its deadline", ref)
		}
	}
}

// Result is the result of an exploration.
type Result struct {
	States, Steps, Paths int
	Deepest              int
	Truncated            int      // paths with further steps beyond the maximum depth
	Failure              string   // the first violation, empty if there was none
	Path                 []string // steps that lead to the failure
}

// Explore explores all paths, shorter ones first, until maxStates states were seen or a path fails.
func (w Model) Explore(maxStates int) (r Result) {
	seen := map[uint64]bool{}
	level := [][]int{nil}
	for depth := 0; len(level) > 0 && depth <= w.Depth; depth++ {
		var next [][]int
		for _, path := range level {
			p, names := w.replay(path)
			r.Paths++
			r.Steps += len(path)
			if p.failure != "" {
				r.Failure, r.Path = p.failure, names
				return r
			}
			hash := p.fingerprint()
			if seen[hash] {
				continue
			}
			seen[hash] = true
			r.States, r.Deepest = len(seen), depth
			if len(seen) >= maxStates {
				return r
			}
			n := len(p.nextSteps())
			if depth == w.Depth {
				r.Truncated += min(1, n)
				continue
			}
			for i := range n {
				next = append(next, append(slices.Clone(path), i))
			}
		}
		level = next
	}
	return r
}

// replay plays a path, given by the indices of its steps, from the initial state, and returns the names of the steps.
func (w Model) replay(path []int) (p *path, names []string) {
	p = w.start()
	for _, i := range path {
		s := p.nextSteps()[i]
		names = append(names, s.name)
		s.do()
		if p.failure != "" {
			break
		}
	}
	return p, names
}
