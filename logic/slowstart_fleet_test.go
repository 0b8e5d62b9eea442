package logic

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// slowStartFleet is the schedulers of one site, each with its own view, and what all of them sent to nodes in slow start.
type slowStartFleet struct {
	t                *rapid.T
	cluster          Cluster
	members          []*fleetMember
	now              float64
	lastID           uint32
	arrivals         map[uint32][]float64 // when attempts reached a node, by node
	drawNetworkDelay func() float64       // of an attempt on its way to a node
}

// fleetMember is one of the schedulers, over its restarts. It implements Effects.
type fleetMember struct {
	fleet     *slowStartFleet
	scheduler *Scheduler
	seed      uint64
	pending   []pendingChange // changes of nodes that it has not learned of
	known     map[uint32]float64
	inFlight  []sentAttempt
}

type pendingChange struct {
	at        float64
	node      uint32
	startedAt float64 // as the list has it
}

type sentAttempt struct {
	endsAt  float64
	alloc   uint32
	node    uint32
	attempt uint8
	outcome Outcome
}

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
	g.arrivals[node] = append(g.arrivals[node], g.now+g.drawNetworkDelay())
	attempt := uint8(0)
	for _, o := range p.inFlight {
		if o.alloc == alloc {
			attempt = o.attempt + 1
		}
	}
	v := rapid.SampledFrom([]Outcome{Completed, Rejected, TimedOut, Errored, ConnectionLost, Unreachable}).Draw(g.t, "verdict")
	p.inFlight = append(p.inFlight, sentAttempt{g.now + rapid.Float64Range(5, 900).Draw(g.t, "takes"), alloc, node, attempt, v})
}

// restart begins a new scheduler that knows what the list says by now.
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

// learn delivers the changes that have reached the scheduler by now.
func (p *fleetMember) learn() {
	now := p.fleet.now
	p.pending = slices.DeleteFunc(p.pending, func(v pendingChange) bool {
		if v.at > now {
			return false
		}
		p.known[v.node] = max(p.known[v.node], v.startedAt)
		p.scheduler.OnListBegin(now, ListChanges)
		p.scheduler.OnListNode(now, ListEntry{
			Node: v.node, Availability: Ready, StartedAt: v.startedAt,
			FreeCores: 40, FreeMemory: 80, Zone: int(v.node) % 3, Cell: int(v.node) % 5,
		})
		p.scheduler.OnListEnd(now)
		return true
	})
}

// step delivers what has reached the scheduler by now, with one request.
func (p *fleetMember) step() {
	g := p.fleet
	p.learn()
	for _, o := range slices.Clone(p.inFlight) {
		if o.endsAt <= g.now && o.endsAt > g.now-fleetStep {
			p.scheduler.OnOutcome(g.now, AttemptResult{
				Allocation: o.alloc, Node: o.node, Attempt: o.attempt, Duration: 100, Reason: QueueFull, Outcome: o.outcome,
			})
		}
	}
	g.lastID++
	p.scheduler.OnRequest(g.now, Request{
		Allocation: g.lastID, Deadline: g.now + 5000, Service: uint64(g.lastID % 7), Cores: 0.1, Memory: 0.1,
	})
	p.scheduler.OnTimer(g.now, timerTick)
	p.scheduler.OnTimer(g.now, timerScan)
	p.scheduler.Decide(g.now)
}

const (
	fleetNodes = 4
	fleetStep  = 50 // ms
)

// drawFleet draws the site and starts its schedulers.
func drawFleet(rt *rapid.T) *slowStartFleet {
	n := rapid.IntRange(3, 30).Draw(rt, "schedulers")
	g := &slowStartFleet{t: rt, cluster: *testCluster(), now: testStart, arrivals: map[uint32][]float64{}}
	g.cluster.Schedulers = n
	g.cluster.PollsList = rapid.Bool().Draw(rt, "asks")
	g.cluster.SlowStartLimit = float64(rapid.IntRange(2, 60).Draw(rt, "limit"))
	g.cluster.SlowStartWindow = rapid.SampledFrom([]float64{500, 1000, 2000, 3000}).Draw(rt, "window")
	g.drawNetworkDelay = func() float64 { return rapid.Float64Range(0, reportDelay).Draw(rt, "way") }
	for i := range n {
		p := &fleetMember{fleet: g, seed: uint64(i) * 1000, known: map[uint32]float64{}}
		p.restart(i)
		g.members = append(g.members, p)
	}
	return g
}

// planStarts has nodes start one after the other, one of them again under its id. It returns when each started last.
func (g *slowStartFleet) planStarts() map[uint32]float64 {
	started := map[uint32]float64{}
	for k := range fleetNodes + 1 {
		id, at := uint32(10+k%fleetNodes), testStart+1000+float64(k)*700
		started[id] = max(started[id], at)
		for _, p := range g.members {
			late := rapid.Float64Range(0, 3000).Draw(g.t, "late")
			p.pending = append(p.pending, pendingChange{at + late, id, at})
		}
	}
	return started
}

// check compares the attempts that reached each node in slow start with the limit.
func (g *slowStartFleet) check(started map[uint32]float64) {
	limit, window := g.cluster.SlowStartLimit, g.cluster.SlowStartWindow
	allowed := limit + 2*math.Sqrt(limit) + 2
	sent := 0
	for id, at := range g.arrivals {
		slices.Sort(at)
		for i, j := 0, 0; j < len(at); j++ {
			for at[j]-at[i] > window {
				i++
			}
			if k := j - i + 1; float64(k) > allowed && at[j] < started[id]+g.cluster.SlowStartDuration {
				g.t.Fatalf("node %d: %d attempts by %d schedulers within %g ms, the limit is %g", id, k, len(g.members), window, limit)
			}
		}
		sent += len(at)
	}
	if sent == 0 && float64(len(g.members)) <= limit/2 {
		g.t.Fatalf("nothing was sent: nothing is shown (%d schedulers, limit %g)", len(g.members), limit)
	}
}

// TestSlowStartFleet drives 3 to 30 schedulers that learn of starts at different times and restart while nodes warm up. Their attempts take up
// to reportDelay on their way, and any may be rejected or lost. What all of them together send to a node within SlowStartWindow keeps within
// the limit, with an allowance for chance.
func TestSlowStartFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := drawFleet(rt)
		started := g.planStarts()
		for g.now = testStart; g.now < testStart+12000; g.now += fleetStep {
			for i, p := range g.members {
				if rapid.IntRange(0, 400).Draw(rt, "restart") == 0 {
					p.restart(i)
				}
				p.step()
			}
		}
		g.check(started)
	})
}
