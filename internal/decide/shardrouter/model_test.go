package shardrouter

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/shardownership"
)

// TestOneOwner makes random requests, attempts, outcomes, removals, fences, handovers and resizes. The router's tables must agree with what
// the shards hold after each step, and only the owner of an allocation may get a permit.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routerModel{t: t, router: newRouter(rapid.IntRange(1, 4).Draw(t, "shards")), held: map[int]heldItem{}, incarnation: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.checkInvariants()
		}
	})
}

// modelKeys is the number of keys, each for one allocation.
const modelKeys = 10

// routerModel holds a router and what its shards hold.
type routerModel struct {
	t           *rapid.T
	router      *Router
	now         float64
	held        map[int]heldItem // by key of the allocation
	incarnation uint32           // of the shard that was started last, and its first epoch
}

type heldItem struct {
	HandoverItem
	shard int
}

// step makes a random call for a random key and shard.
func (m *routerModel) step() {
	m.now += 20
	key := rapid.IntRange(0, modelKeys-1).Draw(m.t, "key")
	shard := rapid.IntRange(0, 3).Draw(m.t, "shard")
	switch rapid.IntRange(0, 7).Draw(m.t, "call") {
	case 0, 1:
		m.route(key)
	case 2:
		m.attempt(key, shard)
	case 3:
		m.complete(key)
	case 4:
		m.remove(key)
	case 5:
		m.fence(shard)
	case 6:
		m.handOver(shard, serviceOf(key))
	case 7:
		m.resize(1 + shard)
	}
}

func serviceOf(key int) uint64 { return uint64(key % 3) }

func (m *routerModel) route(key int) {
	a := arrival(key, rapid.IntRange(0, 2).Draw(m.t, "job class"), serviceOf(key), m.now+900)
	held, isHeld := m.held[key]
	d := m.router.Route(m.now, a, idle)
	switch {
	case d.IsRejected():
	case d.Epoch > 0:
		m.held[key] = heldItem{HandoverItem{ID: a.ID, Epoch: d.Epoch, Request: a.Request}, d.Shard}
	case isHeld != (d.Shard == held.shard):
		m.t.Fatalf("key %d is held by shard %d, but the router names shard %d as the owner", key, held.shard, d.Shard)
	}
}

func (m *routerModel) attempt(key, shard int) {
	held, isHeld := m.held[key]
	permitted := m.router.PermitAttempt(claimOf(key, shard, held.Epoch), shardownership.Attempt{Node: 1})
	if permitted && (!isHeld || shard != held.shard) {
		m.t.Fatal("a shard that does not own the allocation got a permit for an attempt")
	}
}

func (m *routerModel) complete(key int) {
	if held, ok := m.held[key]; ok {
		m.router.CompleteAttempt(claimOf(key, held.shard, held.Epoch), rapid.Bool().Draw(m.t, "never ran"))
	}
}

func (m *routerModel) remove(key int) {
	if held, ok := m.held[key]; ok {
		m.router.Remove(claimOf(key, held.shard, held.Epoch), held.Request.Service)
		delete(m.held, key)
	}
}

func (m *routerModel) fence(shard int) {
	if m.router.IsStopped(shard) {
		return
	}
	decisions := m.router.Fence(m.now, shard)
	m.apply(decisions)
	for _, d := range decisions {
		if d.Disposition == shardownership.Continue {
			delete(m.held, int(d.ID.Token))
		}
	}
	m.start(shard)
}

func (m *routerModel) start(shard int) {
	m.incarnation++
	m.router.OnShardStarted(m.now, shard, m.incarnation)
}

// handOver hands a service over, whether or not it belongs elsewhere: the number of shards may change after a shard has decided to hand over.
func (m *routerModel) handOver(shard int, service uint64) {
	var items []HandoverItem
	for key := range modelKeys {
		if held, ok := m.held[key]; ok && held.shard == shard && held.Request.Service == service {
			items = append(items, held.HandoverItem)
		}
	}
	if len(items) == 0 {
		return
	}
	decisions := m.router.HandOver(m.now, shard, items)
	for _, d := range decisions {
		// An attempt was open, so the router removed the allocation: an engine never hands one over that has an open attempt.
		if d.Disposition == shardownership.Continue && m.router.ownership.Entry(d.ID) == nil {
			delete(m.held, int(d.ID.Token))
		}
	}
	m.apply(decisions)
}

func (m *routerModel) resize(shards int) {
	change, err := m.router.Resize(m.now, shards)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, shard := range change.Start {
		m.start(shard)
	}
}

// apply carries out the router's decisions: it moves reassigned allocations, and removes all others except those that continue.
func (m *routerModel) apply(decisions []OrphanDecision) {
	for _, d := range decisions {
		key := int(d.ID.Token)
		switch d.Disposition {
		case shardownership.Reassign:
			held := m.held[key]
			held.shard, held.Epoch = d.Shard, d.Epoch
			m.held[key] = held
		case shardownership.Continue:
		default:
			delete(m.held, key)
		}
	}
}

func (m *routerModel) checkInvariants() {
	err := m.router.CheckInvariants(func(yield func(shardownership.Claim)) {
		for key, held := range m.held {
			yield(claimOf(key, held.shard, held.Epoch))
		}
	})
	if err != nil {
		m.t.Fatal(err)
	}
}
