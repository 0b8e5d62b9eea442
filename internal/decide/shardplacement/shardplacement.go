// Package shares decides which shard an allocation goes to. Tasks of one service go to one shard, as a shard that
// holds a service's own tasks places the next one better; which shard that is, is found by weighted rendezvous
// hashing, so that a shard lost or added moves its own share and nothing else. Load is bounded: a shard that holds
// far more than its part passes new work on to the service's next shard, so that a hot service can't sink it.
package shardplacement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLoadFactor   = 1.25 // times its part of all open allocations that a shard may hold
	loadAllowance   = 16   // and so many more, so that small numbers pass nothing on
	minWeight       = 0.1  // least weight of a slow shard: it still shows whether it recovers
	usualDelay      = 5    // ms that events may wait before a shard counts as slow
	weightRetention = 0.7  // of the old weight at each look, so that one hiccup moves little
)

// Policy is how allocations are placed on shards.
type Policy uint8

const (
	ByService  Policy = iota
	ByTenant          // baseline: all of a tenant's go to one shard
	RoundRobin        // baseline: each to the next shard
)

// Table is what is known of the shards.
type Table struct {
	policy      Policy
	shards      []shard
	open        int
	totalWeight float64 // of all that live
	lastShard   int
	homes       map[uint64]home // where a service has open or running allocations
}

// home is the shard that a service's allocations are at. While it has any there, new ones join them, unless the
// shard is over its bound: then they go elsewhere, but the home stays.
type home struct{ shard, count int }

type shard struct {
	weight, base float64 // now, and as given
	open         int
	down         bool
	draining     bool // it gets nothing new, but what must be kept together stays with it until it is handed over
}

// New makes a table of shards of the given weights, which say what part of the work each should get.
func New(way Policy, weights []float64) *Table {
	t := &Table{policy: way, homes: map[uint64]home{}}
	for _, w := range weights {
		t.shards = append(t.shards, shard{weight: w, base: w})
		t.totalWeight += w
	}
	return t
}

// Place gives the shard for an allocation and counts it there; false if no shard lives. A pinned one goes to its
// service's home whatever that holds, as where a spread must be kept by one who sees all of the service.
func (t *Table) Place(service uint64, tenant int, pinned bool) (int, bool) {
	at := t.Choose(service, tenant, pinned)
	if at < 0 {
		return 0, false
	}
	t.Add(at, service)
	return at, true
}

// Add counts an allocation at a shard, as one that was found there.
func (t *Table) Add(at int, service uint64) {
	t.shards[at].open++
	t.open++
	h, ok := t.homes[service]
	if !ok {
		h.shard = at
	}
	if h.shard == at {
		h.count++
		t.homes[service] = h
	}
}

// Choose gives the shard for an allocation without counting it, -1 if none lives.
func (t *Table) Choose(service uint64, tenant int, pinned bool) int {
	switch t.policy {
	case RoundRobin:
		for range t.shards {
			t.lastShard = (t.lastShard + 1) % len(t.shards)
			if s := &t.shards[t.lastShard]; !s.down && !s.draining {
				return t.lastShard
			}
		}
		return -1
	case ByTenant:
		return t.best(uint64(tenant), false)
	}
	if h, ok := t.homes[service]; ok {
		if s := &t.shards[h.shard]; !s.down && (pinned || !s.draining && t.hasCapacity(s)) {
			return h.shard
		}
	}
	if pinned {
		return t.best(service, false)
	}
	if at := t.best(service, true); at >= 0 {
		return at
	}
	return t.best(service, false)
}

// best is the living shard of the highest score for a key, among those with room if that is asked for. The score of
// a shard depends on itself alone, which is what makes the choice stable.
func (t *Table) best(key uint64, bounded bool) int {
	best, top := -1, math.Inf(-1)
	for i := range t.shards {
		s := &t.shards[i]
		if s.down || s.draining || bounded && !t.hasCapacity(s) {
			continue
		}
		if score := s.weight / -math.Log(draw(key, i)); score > top {
			best, top = i, score
		}
	}
	return best
}

// hasCapacity tells whether a shard is within its bound of what all hold.
func (t *Table) hasCapacity(s *shard) bool {
	return float64(s.open) < maxLoadFactor*float64(t.open+1)*s.weight/t.totalWeight+loadAllowance
}

// draw gives a key and a shard a number between 0 and 1, both left out.
func draw(key uint64, shard int) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(shard))
	return (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
}

// Remove counts an allocation out.
func (t *Table) Remove(at int, service uint64) {
	t.shards[at].open--
	t.open--
	if h, ok := t.homes[service]; ok && h.shard == at {
		if h.count--; h.count <= 0 {
			delete(t.homes, service)
		} else {
			t.homes[service] = h
		}
	}
}

// MarkDown takes a shard out of the choice; Up brings it back at its given weight.
func (t *Table) MarkDown(at int) {
	if !t.shards[at].down {
		t.shards[at].down = true
		t.updateTotalWeight()
	}
}

// MarkUp brings a shard back.
func (t *Table) MarkUp(at int) {
	t.shards[at].down, t.shards[at].draining, t.shards[at].weight = false, false, t.shards[at].base
	t.updateTotalWeight()
}

// MarkDraining takes a shard out of the choice for what is new; Lives stays true until it is down.
func (t *Table) MarkDraining(at int) {
	t.shards[at].draining = true
	t.updateTotalWeight()
}

// TargetOf is the shard where a service belongs when bounds are left aside, -1 if none is in the choice: where what a
// leaving shard holds is to go, and what goes to an added one.
func (t *Table) TargetOf(service uint64, tenant int) int {
	if t.policy == ByTenant {
		service = uint64(tenant)
	}
	return t.best(service, false)
}

// IsUp tells whether a shard is in the choice.
func (t *Table) IsUp(at int) bool { return !t.shards[at].down }

// Open is the number of open allocations at a shard.
func (t *Table) Open(at int) int { return t.shards[at].open }

// OnDelay tells how long, in ms, events lately waited at a shard: a slow one gets less of what is new.
func (t *Table) OnDelay(at int, waited float64) {
	s := &t.shards[at]
	want := s.base
	if waited > usualDelay {
		want = max(minWeight, usualDelay/waited) * s.base
	}
	s.weight = weightRetention*s.weight + (1-weightRetention)*want
	if s.weight > 0.95*s.base { // back in full, so that services return to where their tasks are
		s.weight = s.base
	}
	t.updateTotalWeight()
}

func (t *Table) updateTotalWeight() {
	t.totalWeight = 0
	for i := range t.shards {
		if !t.shards[i].down && !t.shards[i].draining {
			t.totalWeight += t.shards[i].weight
		}
	}
	t.totalWeight = max(t.totalWeight, 1e-9)
}
