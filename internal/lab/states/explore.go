package states

import (
	"fmt"
	"slices"
	"strings"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
	"ravenpond/logic"
)

// step is one thing that may happen.
type step struct {
	name string
	do   func()
}

// steps are all that may happen next, in a fixed order.
func (p *play) steps() (all []step) {
	add := func(do func(), format string, args ...any) {
		all = append(all, step{fmt.Sprintf(format, args...), do})
	}
	if p.asks == 0 {
		add(func() { p.ask() }, "asked")
		return all
	}
	if last := uint64(p.asks); p.asks < 2 && p.answers[last] == 1 && (p.answer[last] == "declined" || p.overs > 0) {
		add(func() { p.ask() }, "asked again")
	}
	for s := range shards {
		for n := range nodes {
			if len(p.to[s][n]) > 0 {
				add(func() { p.arrive(s, n) }, "node %d hears %c from shard %d", n+1, p.to[s][n][0].kind, s)
			}
			if len(p.from[s][n]) > 0 {
				add(func() { p.hear(s, n) }, "shard %d hears %c from node %d", s, p.from[s][n][0].kind, n+1)
			}
			if !p.up[s][n] {
				add(func() { p.connect(s, n); p.news[s] = true }, "shard %d and node %d are connected again", s, n+1)
			}
		}
	}
	for n := range nodes {
		for i, t := range p.at[n] {
			if t.runs {
				add(func() { p.settle(n, i, 1) }, "%x.%d ends at node %d", t.ticket, t.try, n+1)
			} else {
				add(func() { p.run(n, i) }, "%x.%d starts at node %d", t.ticket, t.try, n+1)
				add(func() { p.settle(n, i, 0) }, "%x.%d is turned away by node %d", t.ticket, t.try, n+1)
			}
		}
	}
	for s := range shards {
		if p.news[s] {
			add(func() { p.round(s) }, "shard %d goes on", s)
		}
	}
	for i, e := range p.old {
		if e.NextRound() <= p.now {
			add(func() { e.Round(p.now) }, "fenced shard %d goes on", i)
		}
	}
	if next := p.due(); next > p.now && next < start+4000 && !p.news[0] && !p.news[1] {
		add(func() { p.pass(next) }, "time passes to %.0f", next-start)
	}
	if p.faults < p.w.Faults {
		for s := range shards {
			for n := range nodes {
				if p.up[s][n] && p.may('b') {
					add(func() { p.faults++; p.cut(s, n) }, "the connection of shard %d and node %d breaks", s, n+1)
				}
			}
			if p.may('f') {
				add(func() { p.faults++; p.fence(s) }, "shard %d is fenced", s)
			}
			if s == 1 && p.may('h') {
				add(func() { p.faults++; p.hand(s) }, "shard %d gives what it may", s)
			}
		}
		for n := range nodes {
			if len(p.at[n]) > 0 && p.may('n') {
				add(func() { p.faults++; p.restart(n) }, "node %d begins a new life", n+1)
			}
		}
		if p.answers[p.asks] == 0 && p.may('w') {
			add(func() { p.faults++; p.withdraw() }, "the owner withdraws")
		}
	}
	return all
}

// may tells whether a kind of fault is explored.
func (p *play) may(kind rune) bool { return p.w.Kinds == "" || strings.ContainsRune(p.w.Kinds, kind) }

// ask asks for the allocation, at the shard that acts for it if one does.
func (p *play) ask() {
	p.asks++
	ref := uint64(p.asks)
	p.expiryOf[ref] = p.now + expiry
	at, epoch, why := p.acts.Route(p.now, name, shardownership.Request{
		Client: owner, Ref: ref, JobClass: p.w.Job, Service: service, Cores: 1, Memory: 1,
		Deadline: p.now + expiry,
	}, 0, calm)
	if why != "" {
		p.answered(ref, engine.Declined)
		return
	}
	if err := p.eng[at].Allocate(p.now, owner, ref, p.w.Job, 0, service, token, 1, 1, expiry, epoch); err != nil {
		p.fail("ask %d: %v", ref, err)
	}
	p.news[at] = true
}

func (p *play) withdraw() {
	for s := range shards {
		_ = p.eng[s].Withdraw(p.now, owner, uint64(p.asks)) // the one that does not know it says so
		p.news[s] = true
	}
}

// arrive lets a node hear the next line of a shard.
func (p *play) arrive(s, n int) {
	m := p.to[s][n][0]
	p.to[s][n] = p.to[s][n][1:]
	id := name2{m.ticket, m.try}
	i := slices.IndexFunc(p.at[n], func(t try) bool { return t.ticket == m.ticket && t.try == m.try })
	switch m.kind {
	case 'o':
		p.at[n] = append(p.at[n], try{m.ticket, m.try, s, false, m.until, m.ask})
		if p.bars[n][id] || m.epoch < p.epochs[n] || p.now > m.until {
			p.settle(n, len(p.at[n])-1, 0)
			return
		}
		p.epochs[n] = max(p.epochs[n], m.epoch)
	case 'r':
		if i >= 0 && !p.at[n][i].runs {
			p.settle(n, i, 0)
		} else if _, past := p.past[n][id]; i < 0 && !past {
			p.bars[n][id] = true
		}
	case 's':
		if i >= 0 {
			p.settle(n, i, b2i(p.at[n][i].runs))
		}
	case 'c':
		out := 3
		if i < 0 {
			o, past := p.past[n][id]
			if !past {
				p.bars[n][id], p.past[n][id] = true, 0
			}
			out = o
		} else if p.at[n][i].runs {
			out = 4
		}
		p.say(s, n, msg{kind: 'C', ticket: m.ticket, try: m.try, out: out})
	}
}

func b2i(v bool) int { return int(b2(v)) }

// say sends a word of a node to a shard, if they are connected.
func (p *play) say(s, n int, m msg) {
	if p.up[s][n] {
		p.from[s][n] = append(p.from[s][n], m)
	}
}

func (p *play) run(n, i int) {
	t := &p.at[n][i]
	if p.now > t.until {
		p.settle(n, i, 0)
		return
	}
	t.runs = true
	p.ran++
	if p.ran > 1 && Jobs[p.w.Job].Semantics == logic.AtMostOnce && p.overs == 0 {
		p.fail("run-once allocation started %d times", p.ran)
	}
	p.say(t.shard, n, msg{kind: 'S', ticket: t.ticket, try: t.try})
}

func (p *play) settle(n, i, out int) {
	t := p.at[n][i]
	p.at[n] = slices.Delete(p.at[n], i, i+1)
	p.past[n][name2{t.ticket, t.try}] = out
	p.say(t.shard, n, msg{kind: 'E', ticket: t.ticket, try: t.try, out: out})
}

var verdicts = [...]logic.Outcome{logic.Rejected, logic.Completed, logic.ConnectionLost}

// hear lets a shard hear the next word of a node. A word for a life that is over goes nowhere.
func (p *play) hear(s, n int) {
	m := p.from[s][n][0]
	p.from[s][n] = p.from[s][n][1:]
	e, nd := p.eng[s], uint32(n+1)
	var err error
	switch m.kind {
	case 'S':
		err = e.OnStarted(p.now, nd, m.ticket, m.try, 1)
	case 'E':
		err = e.OnOutcome(p.now, nd, m.ticket, m.try, verdicts[m.out], logic.ReasonUnknown, nil)
	case 'C':
		if m.out >= 3 {
			e.OnClaimHeld(p.now, nd, m.ticket, m.try, m.out == 4)
		} else {
			e.OnClaimOutcome(p.now, nd, m.ticket, m.try, verdicts[m.out], logic.ReasonUnknown)
		}
	}
	p.news[s] = true
	if err != nil { // the connection would end
		p.cut(s, n)
	}
}

// cut breaks a connection. What was not handed to the network has left by then: all of it may have arrived or not.
func (p *play) cut(s, n int) {
	p.up[s][n], p.to[s][n], p.from[s][n] = false, nil, nil
	p.eng[s].OnDisconnected(p.now, uint32(n+1), "cut")
	p.news[s] = true
}

// restart loses what a node held.
func (p *play) restart(n int) {
	p.at[n], p.past[n], p.bars[n], p.epochs[n] = nil, map[name2]int{}, map[name2]bool{}, 0
	p.nlife[n]++
	for s := range shards {
		if p.up[s][n] {
			p.cut(s, n)
		}
	}
}

// due is when something is due at a shard.
func (p *play) due() float64 {
	next := start + 1e6
	for s := range shards {
		if at := p.eng[s].NextRound(); at > p.now {
			next = min(next, at)
		}
	}
	return next
}

func (p *play) pass(to float64) {
	p.now = to
	for s := range shards {
		p.round(s)
	}
	for ref := 1; ref <= p.asks; ref++ {
		if p.answers[ref] == 0 && p.now >= p.expiryOf[ref] {
			p.fail("ask %d got no answer by its expiry", ref)
		}
	}
}

// Result is what the exploration came to.
type Result struct {
	States, Steps, Paths int
	Deepest              int
	Cut                  int // paths that went on beyond the depth
	Broken               string
	Path                 []string // to it
}

// Explore goes through all paths, the shorter first, until so many states were seen or something broke.
func (w World) Explore(most int) (r Result) {
	seen := map[uint64]bool{}
	level := [][]int{nil}
	for depth := 0; len(level) > 0 && depth <= w.Depth; depth++ {
		var next [][]int
		for _, path := range level {
			p, names := w.replay(path)
			r.Paths++
			r.Steps += len(path)
			if p.broken != "" {
				r.Broken, r.Path = p.broken, names
				return r
			}
			mark := p.print()
			if seen[mark] {
				continue
			}
			seen[mark] = true
			r.States, r.Deepest = len(seen), depth
			if len(seen) >= most {
				return r
			}
			n := len(p.steps())
			if depth == w.Depth {
				r.Cut += min(1, n)
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

// replay plays a path from the beginning.
func (w World) replay(path []int) (p *play, names []string) {
	p = w.begin()
	for _, i := range path {
		s := p.steps()[i]
		names = append(names, s.name)
		s.do()
		if p.broken != "" {
			break
		}
	}
	return p, names
}
