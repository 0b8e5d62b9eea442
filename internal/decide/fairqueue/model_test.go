package fairqueue

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLimitsHold makes random calls and checks that the limits hold at each admission, and that no request is counted twice or lost.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// modelTenants is the number of tenants of the model.
const modelTenants = 3

// queueModel is a queue under test and the state that it is expected to have.
type queueModel struct {
	t       *rapid.T
	queue   *Queue
	maxOpen int
	limits  [modelTenants]Limits
	open    [modelTenants]int
	held    map[uint64]heldRequest
	now     float64
	lastID  uint64
}

type heldRequest struct {
	tenant  int
	waiting bool
}

func newQueueModel(t *rapid.T) *queueModel {
	maxOpen := rapid.IntRange(1, 8).Draw(t, "max open")
	m := &queueModel{t: t, queue: New(10, 10, maxOpen), maxOpen: maxOpen, held: map[uint64]heldRequest{}}
	for tenant := range m.limits {
		m.setLimits(tenant)
	}
	return m
}

// step makes a random call for a random tenant.
func (m *queueModel) step() {
	m.now += float64(rapid.IntRange(0, 100).Draw(m.t, "ms"))
	tenant := rapid.IntRange(0, modelTenants-1).Draw(m.t, "tenant")
	switch rapid.IntRange(0, 5).Draw(m.t, "call") {
	case 0, 1:
		m.submit(tenant)
	case 2:
		m.next()
	case 3:
		m.release(tenant)
	case 4:
		m.remove()
	case 5:
		m.setLimits(tenant)
	}
}

func (m *queueModel) setLimits(tenant int) {
	m.limits[tenant] = Limits{
		Share: rapid.Float64Range(0.1, 5).Draw(m.t, "share"), Rate: float64(rapid.IntRange(0, 50).Draw(m.t, "rate")),
		Burst: float64(rapid.IntRange(0, 4).Draw(m.t, "burst")), MaxOpen: rapid.IntRange(0, 4).Draw(m.t, "max open"),
		MaxWaiting: rapid.IntRange(0, 5).Draw(m.t, "max waiting"), Blocked: rapid.IntRange(0, 9).Draw(m.t, "blocked") == 0,
	}
	m.queue.SetLimits(m.now, tenant, m.limits[tenant])
}

func (m *queueModel) submit(tenant int) {
	m.lastID++
	r := Request{ID: m.lastID, Tenant: tenant, Urgency: rapid.IntRange(0, 2).Draw(m.t, "urgency"), Cores: 1, Memory: 1}
	r.Deadline = m.now + float64(rapid.IntRange(1, 500).Draw(m.t, "ms to deadline"))
	verdict, retryAfter := m.queue.Submit(m.now, r)
	switch verdict {
	case Admitted:
		m.onAdmitted(r.ID, tenant)
	case Queued:
		m.held[r.ID] = heldRequest{tenant, true}
	case Shed:
		if !(retryAfter >= minRetryAfter && retryAfter <= maxRetryAfter) {
			m.t.Fatalf("got retry after %g ms, want minRetryAfter to maxRetryAfter", retryAfter)
		}
	}
}

// onAdmitted records an admission and checks the limits.
func (m *queueModel) onAdmitted(id uint64, tenant int) {
	m.open[tenant]++
	total := 0
	for _, n := range m.open {
		total += n
	}
	if l := m.limits[tenant]; l.MaxOpen > 0 && m.open[tenant] > l.MaxOpen || l.Blocked || total > m.maxOpen {
		m.t.Fatalf("got an admission beyond a limit: %v open by tenant with limits %+v and at most %d in all", m.open, l, m.maxOpen)
	}
	m.held[id] = heldRequest{tenant, false}
}

func (m *queueModel) next() {
	id, ok := m.queue.Next(m.now, func(id uint64) {
		if !m.held[id].waiting {
			m.t.Fatal("got a request expired that did not wait")
		}
		delete(m.held, id)
	})
	if !ok {
		return
	}
	if !m.held[id].waiting {
		m.t.Fatal("got a request admitted that did not wait")
	}
	m.onAdmitted(id, m.held[id].tenant)
}

func (m *queueModel) release(tenant int) {
	if m.open[tenant] > 0 {
		m.open[tenant]--
		m.queue.Release(tenant)
	}
}

// remove withdraws an arbitrary request, if there is one.
func (m *queueModel) remove() {
	for id, held := range m.held {
		if held.waiting != m.queue.Remove(id) {
			m.t.Fatal("got a request removed that did not wait, or a waiting request not removed")
		}
		if held.waiting {
			delete(m.held, id)
		}
		return
	}
}

func (m *queueModel) check() {
	for tenant := range m.limits {
		waiting := 0
		for _, held := range m.held {
			if held.waiting && held.tenant == tenant {
				waiting++
			}
		}
		if m.queue.Waiting(tenant) != waiting || m.queue.Open(tenant) != m.open[tenant] {
			m.t.Fatalf("tenant %d: want %d waiting, got %d; want %d open, got %d", tenant, waiting, m.queue.Waiting(tenant), m.open[tenant], m.queue.Open(tenant))
		}
	}
}
