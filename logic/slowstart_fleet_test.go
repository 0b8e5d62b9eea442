package logic

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// slowStartFleet is the set of schedulers of one site, each with its own view of the node list, with all attempts that they sent to nodes.
type slowStartFleet struct {
	t                *rapid.T
	cluster          Cluster
	members          []*fleetMember
	now              float64
	lastID           uint32
	arrivals         map[uint32][]float64 // times at which attempts reached a node, by node id
	drawNetworkDelay func() float64       // draws the network delay of an attempt
}

// fleetMember is one of the schedulers, including its restarts. It implements Effects.
type fleetMember struct {
	fleet     *slowStartFleet
	scheduler *Scheduler
	seed      uint64
	pending   []pendingChange    // changes of nodes that it has not received yet
	known     map[uint32]float64 // received start times by node id
	inFlight  []sentAttempt
}

// pendingChange is a list entry on its way to a scheduler.
type pendingChange struct {
	at        float64
	node      uint32
	startedAt float64 // start time in the list entry
}

// sentAttempt is an attempt with its drawn outcome.
type sentAttempt struct {
	endsAt  float64
	alloc   uint32
	node    uint32
	attempt uint8
	outcome Outcome
}

func (m *fleetMember) Shed(uint32, float64)     {}
func (m *fleetMember) Fail(uint32)              {}
func (m *fleetMember) Cancel(uint32, uint8)     {}
func (m *fleetMember) Migrate(uint32)           {}
func (m *fleetMember) Probe(uint32)             {}
func (m *fleetMember) WatchList(bool)           {}
func (m *fleetMember) ReloadList()              {}
func (m *fleetMember) SetTimer(float64, uint64) {}
func (m *fleetMember) Log(string)               {}
func (m *fleetMember) StartAttempt(alloc, node uint32, _ float64) {
	f := m.fleet
	f.arrivals[node] = append(f.arrivals[node], f.now+f.drawNetworkDelay())
	attempt := uint8(0)
	for _, sent := range m.inFlight {
		if sent.alloc == alloc {
			attempt = sent.attempt + 1
		}
	}
	outcome := rapid.SampledFrom([]Outcome{Completed, Rejected, TimedOut, Errored, ConnectionLost, Unreachable}).Draw(f.t, "outcome")
	m.inFlight = append(m.inFlight, sentAttempt{f.now + rapid.Float64Range(5, 900).Draw(f.t, "duration"), alloc, node, attempt, outcome})
}

// restart replaces the scheduler by a new one that gets the received list entries as its cached list.
func (m *fleetMember) restart(index int) {
	f := m.fleet
	cl := f.cluster
	cl.Index = index
	m.seed++
	m.scheduler = New(m, f.now, m.seed, &cl)
	m.inFlight = nil
	m.scheduler.OnListBegin(f.now, ListCached)
	for id, startedAt := range m.known {
		m.scheduler.OnListNode(f.now, ListEntry{
			Node: id, Availability: Ready, StartedAt: startedAt, FreeCores: 40,
			FreeMemory: 80, Zone: int(id) % 3, Cell: int(id) % 5,
		})
	}
	m.scheduler.OnListEnd(f.now)
}

// learn delivers the list changes that have reached the scheduler by now.
func (m *fleetMember) learn() {
	now := m.fleet.now
	m.pending = slices.DeleteFunc(m.pending, func(v pendingChange) bool {
		if v.at > now {
			return false
		}
		m.known[v.node] = max(m.known[v.node], v.startedAt)
		m.scheduler.OnListBegin(now, ListChanges)
		m.scheduler.OnListNode(now, ListEntry{
			Node: v.node, Availability: Ready, StartedAt: v.startedAt,
			FreeCores: 40, FreeMemory: 80, Zone: int(v.node) % 3, Cell: int(v.node) % 5,
		})
		m.scheduler.OnListEnd(now)
		return true
	})
}

// step delivers list changes and outcomes that have reached the scheduler by now, and one request.
func (m *fleetMember) step() {
	f := m.fleet
	m.learn()
	for _, sent := range slices.Clone(m.inFlight) {
		if sent.endsAt <= f.now && sent.endsAt > f.now-fleetStep {
			m.scheduler.OnOutcome(f.now, AttemptResult{
				Allocation: sent.alloc, Node: sent.node, Attempt: sent.attempt, Duration: 100, Reason: QueueFull, Outcome: sent.outcome,
			})
		}
	}
	f.lastID++
	m.scheduler.OnRequest(f.now, Request{
		Allocation: f.lastID, Deadline: f.now + 5000, Service: uint64(f.lastID % 7), Cores: 0.1, Memory: 0.1,
	})
	m.scheduler.OnTimer(f.now, timerTick)
	m.scheduler.OnTimer(f.now, timerScan)
	m.scheduler.Decide(f.now)
}

const (
	fleetNodes = 4
	fleetStep  = 50 // ms
)

// drawFleet draws the settings of a site and starts its schedulers.
func drawFleet(rt *rapid.T) *slowStartFleet {
	n := rapid.IntRange(3, 30).Draw(rt, "schedulers")
	f := &slowStartFleet{t: rt, cluster: *testCluster(), now: testStart, arrivals: map[uint32][]float64{}}
	f.cluster.Schedulers = n
	f.cluster.PollsList = rapid.Bool().Draw(rt, "polls list")
	f.cluster.SlowStartLimit = float64(rapid.IntRange(2, 60).Draw(rt, "slow-start limit"))
	f.cluster.SlowStartWindow = rapid.SampledFrom([]float64{500, 1000, 2000, 3000}).Draw(rt, "slow-start window")
	f.drawNetworkDelay = func() float64 { return rapid.Float64Range(0, reportDelay).Draw(rt, "network delay") }
	for i := range n {
		m := &fleetMember{fleet: f, seed: uint64(i) * 1000, known: map[uint32]float64{}}
		m.restart(i)
		f.members = append(f.members, m)
	}
	return f
}

// planStarts schedules starts of nodes one after the other, including a second start of one node with the same id. It returns the time of each
// node's last start.
func (f *slowStartFleet) planStarts() map[uint32]float64 {
	started := map[uint32]float64{}
	for k := range fleetNodes + 1 {
		id, at := uint32(10+k%fleetNodes), testStart+1000+float64(k)*700
		started[id] = max(started[id], at)
		for _, m := range f.members {
			delay := rapid.Float64Range(0, 3000).Draw(f.t, "list delay")
			m.pending = append(m.pending, pendingChange{at + delay, id, at})
		}
	}
	return started
}

// check compares the number of attempts that reached each node in slow start with the limit.
func (f *slowStartFleet) check(started map[uint32]float64) {
	limit, window := f.cluster.SlowStartLimit, f.cluster.SlowStartWindow
	allowed := limit + 2*math.Sqrt(limit) + 2
	sent := 0
	for id, at := range f.arrivals {
		slices.Sort(at)
		for i, j := 0, 0; j < len(at); j++ {
			for at[j]-at[i] > window {
				i++
			}
			if k := j - i + 1; float64(k) > allowed && at[j] < started[id]+f.cluster.SlowStartDuration {
				f.t.Fatalf("node %d: got %d attempts from %d schedulers within %g ms, want at most the limit of %g plus the allowance", id, k, len(f.members), window, limit)
			}
		}
		sent += len(at)
	}
	if sent == 0 && float64(len(f.members)) <= limit/2 {
		f.t.Fatalf("no attempts were sent, so nothing was tested (%d schedulers, limit %g)", len(f.members), limit)
	}
}

// TestSlowStartFleet runs 3 to 30 schedulers that learn of node starts at different times and restart while nodes are in slow start. Their
// attempts have network delays of up to reportDelay, and each may be rejected or lost. The attempts that reach a node from all schedulers within
// SlowStartWindow have to keep within the limit, with an allowance for random variation.
func TestSlowStartFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFleet(rt)
		started := f.planStarts()
		for f.now = testStart; f.now < testStart+12000; f.now += fleetStep {
			for i, m := range f.members {
				if rapid.IntRange(0, 400).Draw(rt, "restart") == 0 {
					m.restart(i)
				}
				m.step()
			}
		}
		f.check(started)
	})
}
