// Package shardplacement decides which shard an allocation goes to. The tasks of a service go to one shard, because the shard that holds
// them can place the next one better. The shard is chosen by weighted rendezvous hashing, so that only the services of a shard that is lost
// or added move. The load is bounded: if a shard holds far more than its part, new allocations go to the service's next shard, so that one
// hot service cannot overload a shard.
//
// The inputs are allocations that are added and removed, shards that go up and down, and delays of shards; the output is a shard. The
// package does no I/O, starts no goroutines and returns no errors. A Table is not safe for concurrent use.
package shardplacement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLoadFactor       = 1.25 // a shard may hold this many times its part of all allocations
	loadAllowance       = 16   // allocations that a shard may hold in addition, so that the bound has no effect on small numbers
	minWeight           = 0.1  // minimum fraction of its base weight that a slow shard keeps, so that it gets work by which a recovery shows
	maxNormalDelay      = 5    // ms; a shard is slow if its events wait longer
	weightRetention     = 0.7  // fraction of the old weight that is kept at each update, so that one delay has little effect
	fullWeightThreshold = 0.95 // fraction of its base weight above which a shard gets the full base weight again
)

// Policy is how allocations are assigned to shards.
type Policy uint8

// Policies of assignment.
const (
	ByService  Policy = iota // all of a service's allocations go to one shard, within its bound
	ByTenant                 // baseline: all of a tenant's allocations go to one shard
	RoundRobin               // baseline: each allocation goes to the next shard in turn
)

// Table holds the load and state of all shards, and the home shard of each service.
type Table struct {
	policy         Policy
	shards         []shard
	open           int     // number of allocations at all shards
	totalWeight    float64 // sum over the shards that accept new allocations
	lastRoundRobin int     // shard that RoundRobin chose last
	homes          map[uint64]home
}

// home is the shard that holds a service's allocations, and their number there. While it holds any, new allocations join them unless the
// shard has reached its bound. In that case they go to other shards, but the home stays the same.
type home struct{ shard, count int }

type shard struct {
	weight, baseWeight float64 // current weight, reduced while the shard is slow, and the weight that was given to New
	open               int
	down               bool
	draining           bool // it accepts no new allocations, except pinned ones of services that have their home there
}

// acceptsNew reports whether a shard is neither down nor draining.
func (s *shard) acceptsNew() bool { return !s.down && !s.draining }

// New returns a table of shards with the given base weights. The work is divided in proportion to the weights.
func New(policy Policy, weights []float64) *Table {
	t := &Table{policy: policy, homes: map[uint64]home{}}
	for _, weight := range weights {
		t.shards = append(t.shards, shard{weight: weight, baseWeight: weight})
		t.totalWeight += weight
	}
	return t
}

// Place chooses the shard for an allocation and adds the allocation there. It returns false if there is no shard. Choose describes pinned.
func (t *Table) Place(service uint64, tenant int, pinned bool) (shard int, ok bool) {
	shard = t.Choose(service, tenant, pinned)
	if shard < 0 {
		return 0, false
	}
	t.Add(shard, service)
	return shard, true
}

// Add adds an allocation of a service to a shard.
func (t *Table) Add(shard int, service uint64) {
	t.shards[shard].open++
	t.open++
	h, ok := t.homes[service]
	if !ok {
		h.shard = shard
	}
	if h.shard == shard {
		h.count++
		t.homes[service] = h
	}
}

// Remove removes an allocation of a service from a shard.
func (t *Table) Remove(shard int, service uint64) {
	t.shards[shard].open--
	t.open--
	h, ok := t.homes[service]
	if !ok || h.shard != shard {
		return
	}
	if h.count--; h.count <= 0 {
		delete(t.homes, service)
	} else {
		t.homes[service] = h
	}
}

// Choose returns the shard for an allocation, -1 if there is none. A pinned allocation goes to its service's home however much that shard
// holds, because the shard that spreads the tasks of a service must know all of them.
func (t *Table) Choose(service uint64, tenant int, pinned bool) int {
	switch t.policy {
	case RoundRobin:
		return t.nextShard()
	case ByTenant:
		return t.best(uint64(tenant), false)
	}
	if h, ok := t.homes[service]; ok {
		if s := &t.shards[h.shard]; !s.down && (pinned || !s.draining && t.hasCapacity(s)) {
			return h.shard
		}
	}
	if pinned {
		return t.bestByBaseWeight(service)
	}
	if shard := t.best(service, true); shard >= 0 {
		return shard
	}
	return t.best(service, false)
}

// TargetOf returns the shard to which a service belongs, regardless of bounds, -1 if no shard accepts new allocations. A draining shard hands
// its services over to their targets, and an added shard receives the services whose target it is.
func (t *Table) TargetOf(service uint64, tenant int) int {
	if t.policy == ByTenant {
		service = uint64(tenant)
	}
	return t.best(service, false)
}

// nextShard returns the next shard in turn, -1 if no shard accepts new allocations.
func (t *Table) nextShard() int {
	for range t.shards {
		t.lastRoundRobin = (t.lastRoundRobin + 1) % len(t.shards)
		if t.shards[t.lastRoundRobin].acceptsNew() {
			return t.lastRoundRobin
		}
	}
	return -1
}

// best returns the shard with the highest score for a key, -1 if there is none. If bounded is true, it considers only shards below their bound.
// The score of a shard depends on the key and on that shard alone, which makes the choice stable.
func (t *Table) best(key uint64, bounded bool) int {
	return t.highestScore(key, func(s *shard) (weight float64, ok bool) {
		return s.weight, s.acceptsNew() && (!bounded || t.hasCapacity(s))
	})
}

// bestByBaseWeight returns the shard with the highest score by base weight, -1 if there is none. Load does not change base weights, so that the
// choice for allocations that must stay together changes only with the set of shards.
func (t *Table) bestByBaseWeight(key uint64) int {
	return t.highestScore(key, func(s *shard) (weight float64, ok bool) { return s.baseWeight, s.acceptsNew() })
}

// highestScore returns the shard with the highest score for a key among those for which accept returns true, -1 if there is none.
func (t *Table) highestScore(key uint64, accept func(s *shard) (weight float64, ok bool)) int {
	best, highest := -1, math.Inf(-1)
	for i := range t.shards {
		weight, ok := accept(&t.shards[i])
		if !ok {
			continue
		}
		if score := weight / -math.Log(uniformHash(key, i)); score > highest {
			best, highest = i, score
		}
	}
	return best
}

// hasCapacity reports whether a shard is below its bound of open allocations.
func (t *Table) hasCapacity(s *shard) bool {
	return float64(s.open) < maxLoadFactor*float64(t.open+1)*s.weight/t.totalWeight+loadAllowance
}

// uniformHash returns a pseudo-random number above 0 and below 1 that depends on a key and a shard alone.
func uniformHash(key uint64, shard int) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(shard))
	return (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
}

// Move moves the count of an allocation from one shard to another, and makes the new shard the service's home. Without a home, the next request
// of a service that was handed over would go to the shard with the highest score, which is another one as soon as a shard is slow.
func (t *Table) Move(from, to int, service uint64) {
	if from == to {
		return
	}
	t.Remove(from, service)
	if h, ok := t.homes[service]; ok && h.shard == from {
		delete(t.homes, service)
	}
	t.Add(to, service)
}

// MarkDown excludes a shard from all choices.
func (t *Table) MarkDown(shard int) {
	if !t.shards[shard].down {
		t.shards[shard].down = true
		t.updateTotalWeight()
	}
}

// MarkUp includes a shard in the choices, at its base weight, and ends its draining.
func (t *Table) MarkUp(shard int) {
	s := &t.shards[shard]
	s.down, s.draining, s.weight = false, false, s.baseWeight
	t.updateTotalWeight()
}

// MarkDraining excludes a shard from choices for new allocations. IsUp stays true until the shard is marked down.
func (t *Table) MarkDraining(shard int) {
	t.shards[shard].draining = true
	t.updateTotalWeight()
}

// IsUp reports whether a shard is not down.
func (t *Table) IsUp(shard int) bool { return !t.shards[shard].down }

// Open returns the number of allocations at a shard.
func (t *Table) Open(shard int) int { return t.shards[shard].open }

// OnDelay records how long, in ms, events waited at a shard recently. A slow shard gets fewer new allocations.
func (t *Table) OnDelay(shard int, delay float64) {
	s := &t.shards[shard]
	target := s.baseWeight
	if delay > maxNormalDelay {
		target = max(minWeight, maxNormalDelay/delay) * s.baseWeight
	}
	s.weight = weightRetention*s.weight + (1-weightRetention)*target
	if s.weight > fullWeightThreshold*s.baseWeight { // new allocations of a service then return to the shard that has its tasks
		s.weight = s.baseWeight
	}
	t.updateTotalWeight()
}

func (t *Table) updateTotalWeight() {
	t.totalWeight = 0
	for i := range t.shards {
		if t.shards[i].acceptsNew() {
			t.totalWeight += t.shards[i].weight
		}
	}
	t.totalWeight = max(t.totalWeight, 1e-9)
}
