package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// together is some schedulers of one site, each with a view of its own, and what all of them sent to cold nodes.
type together struct {
	t     *rapid.T
	cl    Cluster
	all   []*party
	now   float64
	ids   uint32
	sends map[uint32][]float64 // when offers reached a node, by node
	way   func() float64       // how long an offer takes to its node
}

// party is one of them, or its later life.
type party struct {
	together *together
	s        *Scheduler
	seed     uint64
	views    []view // of nodes, not yet told
	started  map[uint32]float64
	out      []offered
}

type view struct {
	at   float64
	node uint32
	up   bool
	said float64 // since when, as the list has it
}

type offered struct {
	at    float64
	alloc uint32
	node  uint32
	try   uint8
	v     Outcome
}

// Host, as far as it matters here.
func (p *party) Shed(uint32, float64)     {}
func (p *party) Fail(uint32)              {}
func (p *party) Cancel(uint32, uint8)     {}
func (p *party) Migrate(uint32)           {}
func (p *party) Probe(uint32)             {}
func (p *party) WatchList(bool)           {}
func (p *party) ReloadList()              {}
func (p *party) SetTimer(float64, uint64) {}
func (p *party) Log(string)               {}
func (p *party) StartAttempt(alloc, node uint32, _ float64) {
	g := p.together
	g.sends[node] = append(g.sends[node], g.now+g.way())
	try := uint8(0)
	for _, o := range p.out {
		if o.alloc == alloc {
			try = o.try + 1
		}
	}
	v := rapid.SampledFrom([]Outcome{Completed, Rejected, TimedOut, Errored, ConnectionLost, Unreachable}).Draw(g.t, "verdict")
	p.out = append(p.out, offered{g.now + rapid.Float64Range(5, 900).Draw(g.t, "takes"), alloc, node, try, v})
}

// begin starts a scheduler that knows what the list holds for it by now.
func (p *party) begin(index int) {
	g := p.together
	cl := g.cl
	cl.Index = index
	p.seed++
	p.s = New(p, g.now, p.seed, &cl)
	p.out = nil
	p.s.OnListBegin(g.now, ListCached)
	for id, since := range p.started {
		p.s.OnListNode(g.now, id, Ready, since, 40, 80, int(id)%3, int(id)%5, 0)
	}
	p.s.OnListEnd(g.now)
}

// TestColdSum drives 3 to 30 schedulers that hear of starts at times of their own, are restarted in the ramp, and whose offers take
// up to what the module allows for on their way, of which any may be refused or lost. What all of them send to a node in the time
// that the settings name is within what it bears then, and what chance is allowed.
func TestColdSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(rt, "schedulers")
		g := &together{t: rt, cl: *cluster(), now: t0, sends: map[uint32][]float64{}}
		g.cl.Schedulers = n
		g.cl.PollsList = rapid.Bool().Draw(rt, "asks")
		g.cl.SlowStartLimit = float64(rapid.IntRange(2, 60).Draw(rt, "bears"))
		g.cl.SlowStartWindow = rapid.SampledFrom([]float64{500, 1000, 2000, 3000}).Draw(rt, "window")
		g.way = func() float64 { return rapid.Float64Range(0, reportLag).Draw(rt, "way") }
		const nodes = 4
		for i := range n {
			p := &party{together: g, seed: uint64(i) * 1000, started: map[uint32]float64{}}
			p.begin(i)
			g.all = append(g.all, p)
		}
		// Nodes start one after the other; one of them starts again under its name.
		cold := map[uint32]float64{}
		for k := range nodes + 1 {
			id, at := uint32(10+k%nodes), t0+1000+float64(k)*700
			cold[id] = max(cold[id], at)
			for _, p := range g.all {
				late := rapid.Float64Range(0, 3000).Draw(rt, "late")
				p.views = append(p.views, view{at + late, id, true, at})
			}
		}
		for g.now = t0; g.now < t0+12000; g.now += 50 {
			for i, p := range g.all {
				if rapid.IntRange(0, 400).Draw(rt, "restart") == 0 {
					p.begin(i)
				}
				p.views = slices.DeleteFunc(p.views, func(v view) bool {
					if v.at > g.now {
						return false
					}
					p.started[v.node] = max(p.started[v.node], v.said)
					p.s.OnListBegin(g.now, ListChanges)
					p.s.OnListNode(g.now, v.node, Ready, v.said, 40, 80, int(v.node)%3, int(v.node)%5, 0)
					p.s.OnListEnd(g.now)
					return true
				})
				for _, o := range slices.Clone(p.out) {
					if o.at <= g.now && o.at > g.now-50 {
						p.s.OnOutcome(g.now, o.alloc, o.node, o.try, 100, false, QueueFull, o.v, nil)
					}
				}
				g.ids++
				p.s.OnRequest(g.now, g.ids, 0, 0, g.now+5000, uint64(g.ids%7), 0.1, 0.1)
				p.s.OnTimer(g.now, keyTick)
				p.s.OnTimer(g.now, keyScan)
				p.s.Decide(g.now)
			}
		}
		most := g.cl.SlowStartLimit + 2*math.Sqrt(g.cl.SlowStartLimit) + 2
		sent := 0
		for id, at := range g.sends {
			slices.Sort(at)
			for i, j := 0, 0; j < len(at); j++ {
				for at[j]-at[i] > g.cl.SlowStartWindow {
					i++
				}
				if k := j - i + 1; float64(k) > most && at[j] < cold[id]+g.cl.SlowStartDuration {
					rt.Fatalf("node %d: %d offers by %d schedulers within %g ms, %g are borne", id, k, n, g.cl.SlowStartWindow, g.cl.SlowStartLimit)
				}
			}
			sent += len(at)
		}
		if sent == 0 && float64(n) <= g.cl.SlowStartLimit/2 {
			rt.Fatalf("nothing was sent: nothing is shown (%s)", fmt.Sprint(n, g.cl.SlowStartLimit))
		}
	})
}
