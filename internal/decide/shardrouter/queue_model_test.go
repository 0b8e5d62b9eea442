package shardrouter

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/shardownership"
)

// TestRandomQueue makes random calls. Each request must be routed, rejected or withdrawn exactly once, and the queue's counts of open and held
// allocations must agree with the ownership table.
func TestRandomQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			t: t, router: newMultiTenant(2, modelMaxOpen), incarnation: 1,
			waiting: map[uint64]shardownership.ID{}, open: map[shardownership.ID]Decision{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.dequeue()
			m.check()
		}
	})
}

// modelMaxOpen is the limit of open allocations.
const modelMaxOpen = 12

// queueModel holds a multi-tenant router, the requests that wait and the allocations that shards hold.
type queueModel struct {
	t           *rapid.T
	router      *Router
	now         float64
	lastRef     uint64
	incarnation uint32
	waiting     map[uint64]shardownership.ID // by ref
	open        map[shardownership.ID]Decision
}

// step makes a random call for a random allocation, shard or waiting request.
func (m *queueModel) step() {
	m.now += float64(rapid.IntRange(0, 400).Draw(m.t, "time"))
	id := shardownership.ID{Tenant: rapid.IntRange(0, 2).Draw(m.t, "tenant"), Token: uint64(rapid.IntRange(0, 9).Draw(m.t, "key"))}
	switch rapid.IntRange(0, 6).Draw(m.t, "call") {
	case 0, 1, 2:
		m.submit(id)
	case 3:
		if d, ok := m.open[id]; ok {
			m.router.PermitAttempt(claimOfDecision(d), shardownership.Attempt{Node: 1})
			m.router.PermitAnswer(m.now, claimOfDecision(d), true)
		}
	case 4:
		if d, ok := m.open[id]; ok {
			m.router.Remove(claimOfDecision(d), d.Request.Service)
			delete(m.open, id)
		}
	case 5:
		m.fence(rapid.IntRange(0, 1).Draw(m.t, "shard"))
	case 6:
		m.withdraw()
	}
}

func claimOfDecision(d Decision) shardownership.Claim {
	return shardownership.Claim{ID: d.ID, Shard: d.Shard, Epoch: d.Epoch}
}

func (m *queueModel) submit(id shardownership.ID) {
	m.lastRef++
	size := float64(rapid.IntRange(1, 3).Draw(m.t, "size"))
	request := shardownership.Request{Client: 1, Ref: m.lastRef, Service: id.Token % 3, Cores: size, Memory: 1, Deadline: m.now + 900}
	d := m.router.Submit(m.now, Arrival{ID: id, Request: request}, idle)
	if d.Queued {
		m.waiting[m.lastRef] = id
	} else {
		m.onDecision(d)
	}
}

// onDecision records the decision about a request that no longer waits.
func (m *queueModel) onDecision(d Decision) {
	delete(m.waiting, d.Request.Ref)
	if !d.IsRejected() && d.Epoch > 0 {
		m.open[d.ID] = d
	}
}

func (m *queueModel) fence(shard int) {
	for _, orphan := range m.router.Fence(m.now, shard) {
		d := m.open[orphan.ID]
		delete(m.open, orphan.ID)
		if orphan.Disposition == shardownership.Reassign {
			d.Shard, d.Epoch = orphan.Shard, orphan.Epoch
			m.open[orphan.ID] = d
		}
	}
	m.incarnation++
	m.router.OnShardStarted(m.now, shard, m.incarnation)
}

// withdraw withdraws the oldest waiting request.
func (m *queueModel) withdraw() {
	if len(m.waiting) == 0 {
		return
	}
	oldest := uint64(1 << 62)
	for ref := range m.waiting {
		oldest = min(oldest, ref)
	}
	if !m.router.Withdraw(1, oldest) {
		m.t.Fatalf("request %d could not be withdrawn, want it to wait", oldest)
	}
	delete(m.waiting, oldest)
}

func (m *queueModel) dequeue() {
	for _, d := range m.router.Dequeue(m.now, idle) {
		if _, ok := m.waiting[d.Request.Ref]; !ok {
			m.t.Fatalf("request %d got a second decision, want one", d.Request.Ref)
		}
		m.onDecision(d)
	}
}

func (m *queueModel) check() {
	queue := m.router.queue
	if n := len(queue.waiting); n != len(m.waiting) || n != queue.fair.TotalWaiting() {
		m.t.Fatalf("want %d waiting requests, got %d in the router and %d in the fair queue", len(m.waiting), n, queue.fair.TotalWaiting())
	}
	if queue.fair.TotalOpen() != m.router.Open() || m.router.Open() > modelMaxOpen {
		m.t.Fatalf("the fair queue has %d open, the ownership table %d: want equal, at most modelMaxOpen", queue.fair.TotalOpen(), m.router.Open())
	}
	held := 0.0
	for _, d := range m.open {
		held += d.Request.Cores
	}
	if held != queue.held.Cores {
		m.t.Fatalf("want %g cores held, got %g in the router", held, queue.held.Cores)
	}
}
