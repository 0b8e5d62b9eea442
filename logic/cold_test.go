package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// coldFleet is some schedulers of one site, each with a view of its own, and what all of them sent to cold nodes.
type coldFleet struct {
	t            *rapid.T
	cluster      Cluster
	members      []*fleetMember
	now          float64
	lastID       uint32
	arrivals     map[uint32][]float64 // when offers reached a node, by node
	networkDelay func() float64       // how long an offer takes to its node
}

// fleetMember is one of them, or its later life.
type fleetMember struct {
	fleet     *coldFleet
	scheduler *Scheduler
	seed      uint64
	pending   []pendingView // of nodes, not yet told
	known     map[uint32]float64
	inFlight  []sentAttempt
}

type pendingView struct {
	at        float64
	node      uint32
	ready     bool
	startedAt float64 // since when, as the list has it
}

type sentAttempt struct {
	endsAt  float64
	alloc   uint32
	node    uint32
	attempt uint8
	outcome Outcome
}

// Host, as far as it matters here.
func (p *fleetMember) Shed(uint32, float64)     {}
func (p *fleetMember) Fail(uint32)              {}
func (p *fleetMember) Cancel(uint32, uint8)     {}
func (p *fleetMember) Migrate(uint32)           {}
func (p *fleetMember) Probe(uint32)             {}
func (p *fleetMember) WatchList(bool)           {}
func (p *fleetMember) ReloadList()              {}
func (p *fleetMember) SetTimer(float64, uint64) {}
func (p *fleetMember) Log(string)               {}
func (p *fleetMember) StartAttempt(alloc, node uint32, _ float64) {
	g := p.fleet
	g.arrivals[node] = append(g.arrivals[node], g.now+g.networkDelay())
	try := uint8(0)
	for _, o := range p.inFlight {
		if o.alloc == alloc {
			try = o.attempt + 1
		}
	}
	v := rapid.SampledFrom([]Outcome{Completed, Rejected, TimedOut, Errored, ConnectionLost, Unreachable}).Draw(g.t, "verdict")
	p.inFlight = append(p.inFlight, sentAttempt{g.now + rapid.Float64Range(5, 900).Draw(g.t, "takes"), alloc, node, try, v})
}

// restart starts a scheduler that knows what the list holds for it by now.
func (p *fleetMember) restart(index int) {
	g := p.fleet
	cl := g.cluster
	cl.Index = index
	p.seed++
	p.scheduler = New(p, g.now, p.seed, &cl)
	p.inFlight = nil
	p.scheduler.OnListBegin(g.now, ListCached)
	for id, since := range p.known {
		p.scheduler.OnListNode(g.now, ListEntry{
			Node: id, Availability: Ready, StartedAt: since, FreeCores: 40,
			FreeMemory: 80, Zone: int(id) % 3, Cell: int(id) % 5,
		})
	}
	p.scheduler.OnListEnd(g.now)
}

// TestColdSum drives 3 to 30 schedulers that hear of starts at times of their own, are restarted in the ramp, and whose offers take
// up to what the module allows for on their way, of which any may be refused or lost. What all of them send to a node in the time
// that the settings name is within what it bears then, and what chance is allowed.
func TestColdSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(rt, "schedulers")
		g := &coldFleet{t: rt, cluster: *testCluster(), now: testStart, arrivals: map[uint32][]float64{}}
		g.cluster.Schedulers = n
		g.cluster.PollsList = rapid.Bool().Draw(rt, "asks")
		g.cluster.SlowStartLimit = float64(rapid.IntRange(2, 60).Draw(rt, "bears"))
		g.cluster.SlowStartWindow = rapid.SampledFrom([]float64{500, 1000, 2000, 3000}).Draw(rt, "window")
		g.networkDelay = func() float64 { return rapid.Float64Range(0, reportDelay).Draw(rt, "way") }
		const nodes = 4
		for i := range n {
			p := &fleetMember{fleet: g, seed: uint64(i) * 1000, known: map[uint32]float64{}}
			p.restart(i)
			g.members = append(g.members, p)
		}
		// Nodes start one after the other; one of them starts again under its name.
		cold := map[uint32]float64{}
		for k := range nodes + 1 {
			id, at := uint32(10+k%nodes), testStart+1000+float64(k)*700
			cold[id] = max(cold[id], at)
			for _, p := range g.members {
				late := rapid.Float64Range(0, 3000).Draw(rt, "late")
				p.pending = append(p.pending, pendingView{at + late, id, true, at})
			}
		}
		for g.now = testStart; g.now < testStart+12000; g.now += 50 {
			for i, p := range g.members {
				if rapid.IntRange(0, 400).Draw(rt, "restart") == 0 {
					p.restart(i)
				}
				p.pending = slices.DeleteFunc(p.pending, func(v pendingView) bool {
					if v.at > g.now {
						return false
					}
					p.known[v.node] = max(p.known[v.node], v.startedAt)
					p.scheduler.OnListBegin(g.now, ListChanges)
					p.scheduler.OnListNode(g.now, ListEntry{
						Node: v.node, Availability: Ready, StartedAt: v.startedAt,
						FreeCores: 40, FreeMemory: 80, Zone: int(v.node) % 3, Cell: int(v.node) % 5,
					})
					p.scheduler.OnListEnd(g.now)
					return true
				})
				for _, o := range slices.Clone(p.inFlight) {
					if o.endsAt <= g.now && o.endsAt > g.now-50 {
						p.scheduler.OnOutcome(g.now, AttemptResult{
							Allocation: o.alloc, Node: o.node,
							Attempt: o.attempt, Duration: 100, Reason: QueueFull, Outcome: o.outcome,
						})
					}
				}
				g.lastID++
				p.scheduler.OnRequest(g.now, Request{
					Allocation: g.lastID, Deadline: g.now + 5000,
					Service: uint64(g.lastID % 7), Cores: 0.1, Memory: 0.1,
				})
				p.scheduler.OnTimer(g.now, timerTick)
				p.scheduler.OnTimer(g.now, timerScan)
				p.scheduler.Decide(g.now)
			}
		}
		most := g.cluster.SlowStartLimit + 2*math.Sqrt(g.cluster.SlowStartLimit) + 2
		sent := 0
		for id, at := range g.arrivals {
			slices.Sort(at)
			for i, j := 0, 0; j < len(at); j++ {
				for at[j]-at[i] > g.cluster.SlowStartWindow {
					i++
				}
				if k := j - i + 1; float64(k) > most && at[j] < cold[id]+g.cluster.SlowStartDuration {
					rt.Fatalf("node %d: %d offers by %d schedulers within %g ms, %g are borne", id, k, n, g.cluster.SlowStartWindow, g.cluster.SlowStartLimit)
				}
			}
			sent += len(at)
		}
		if sent == 0 && float64(n) <= g.cluster.SlowStartLimit/2 {
			rt.Fatalf("nothing was sent: nothing is shown (%s)", fmt.Sprint(n, g.cluster.SlowStartLimit))
		}
	})
}
