// Package shardplacement decides which shard an allocation goes to. The tasks of a service go to one shard, because the shard that holds
// them places the next one better. Weighted rendezvous hashing finds that shard, so that a shard that is lost or added moves only its own
// services. The load is bounded: a shard that holds far more than its part passes new allocations on to the service's next shard, so that
// one hot service cannot overload it.
//
// Allocations that are added and removed, shards that go up and down, and delays of shards go in; shards come out. The package does no
// I/O, starts no goroutines and returns no errors. A Table is not safe for concurrent use.
package shardplacement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLoadFactor       = 1.25 // times its part of all open allocations that a shard may hold
	loadAllowance       = 16   // further allocations that it may hold, so that small numbers pass nothing on
	minWeight           = 0.1  // weight of a slow shard: it still shows whether it recovers
	maxNormalDelay      = 5    // ms that events may wait before a shard counts as slow
	weightRetention     = 0.7  // of the old weight at each update, so that one hiccup moves little
	fullWeightThreshold = 0.95 // fraction of its given weight from which a shard has all of it again
)

// Policy is how allocations are assigned to shards.
type Policy uint8

// Policies.
const (
	ByService  Policy = iota
	ByTenant          // baseline: all of a tenant's allocations go to one shard
	RoundRobin        // baseline: each goes to the next shard
)

// Table is the load and state of all shards.
type Table struct {
	policy         Policy
	shards         []shard
	open           int     // allocations at all shards
	totalWeight    float64 // of all shards that get new allocations
	lastRoundRobin int     // of RoundRobin
	homes          map[uint64]home
}

// home is the shard that holds a service's allocations. While it holds any, new ones join them unless the shard is over its bound: then
// they go elsewhere, but the home stays.
type home struct{ shard, count int }

type shard struct {
	weight, baseWeight float64 // present and given weight
	open               int
	down               bool
	draining           bool // it gets nothing new, except for allocations that must stay together
}

// acceptsNew reports whether a shard gets new allocations.
func (s *shard) acceptsNew() bool { return !s.down && !s.draining }

// New returns a table of shards with given weights, which say what part of the work each should get.
func New(policy Policy, weights []float64) *Table {
	t := &Table{policy: policy, homes: map[uint64]home{}}
	for _, weight := range weights {
		t.shards = append(t.shards, shard{weight: weight, baseWeight: weight})
		t.totalWeight += weight
	}
	return t
}

// Place chooses the shard for an allocation and adds it there; false if no shard runs. See Choose for pinned.
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

// Choose returns the shard for an allocation, -1 if none runs. A pinned allocation goes to its service's home whatever that holds, because
// the shard that keeps a spread must see all tasks of the service.
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

// TargetOf returns the shard to which a service belongs when bounds are ignored, -1 if none gets new allocations. A draining shard gives
// its services there, and an added shard gets its services by it.
func (t *Table) TargetOf(service uint64, tenant int) int {
	if t.policy == ByTenant {
		service = uint64(tenant)
	}
	return t.best(service, false)
}

// nextShard returns the next shard in turn, -1 if none gets new allocations.
func (t *Table) nextShard() int {
	for range t.shards {
		t.lastRoundRobin = (t.lastRoundRobin + 1) % len(t.shards)
		if t.shards[t.lastRoundRobin].acceptsNew() {
			return t.lastRoundRobin
		}
	}
	return -1
}

// best returns the shard of the highest score for a key, -1 if there is none; with bounded among those that are within their bound. The
// score of a shard depends on itself alone, which makes the choice stable.
func (t *Table) best(key uint64, bounded bool) int {
	return t.highestScore(key, func(s *shard) (weight float64, ok bool) {
		return s.weight, s.acceptsNew() && (!bounded || t.hasCapacity(s))
	})
}

// bestByBaseWeight does the same by the weights that the shards were given, which no load changes: the choice for allocations that must stay
// together may change only with the set of shards.
func (t *Table) bestByBaseWeight(key uint64) int {
	return t.highestScore(key, func(s *shard) (weight float64, ok bool) { return s.baseWeight, s.acceptsNew() })
}

// highestScore returns the shard of the highest score for a key among those that are accepted, -1 if none is.
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

// hasCapacity reports whether a shard is within its bound of the open allocations.
func (t *Table) hasCapacity(s *shard) bool {
	return float64(s.open) < maxLoadFactor*float64(t.open+1)*s.weight/t.totalWeight+loadAllowance
}

// uniformHash returns a pseudo-random number above 0 and below 1 for a key and a shard.
func uniformHash(key uint64, shard int) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(shard))
	return (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
}

// Move counts an allocation of a service at another shard from now on, and makes that shard the service's home. Without a home, the next
// request of a service that was handed over would go to the shard that is drawn for it, which is another one as soon as a shard is slow.
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

// MarkDown excludes a shard.
func (t *Table) MarkDown(shard int) {
	if !t.shards[shard].down {
		t.shards[shard].down = true
		t.updateTotalWeight()
	}
}

// MarkUp includes a shard at its given weight.
func (t *Table) MarkUp(shard int) {
	s := &t.shards[shard]
	s.down, s.draining, s.weight = false, false, s.baseWeight
	t.updateTotalWeight()
}

// MarkDraining excludes a shard for new allocations. IsUp stays true until it is down.
func (t *Table) MarkDraining(shard int) {
	t.shards[shard].draining = true
	t.updateTotalWeight()
}

// IsUp reports whether a shard is not down.
func (t *Table) IsUp(shard int) bool { return !t.shards[shard].down }

// Open returns the number of open allocations at a shard.
func (t *Table) Open(shard int) int { return t.shards[shard].open }

// OnDelay records how long, in ms, events waited at a shard lately. A slow shard gets less of what is new.
func (t *Table) OnDelay(shard int, delay float64) {
	s := &t.shards[shard]
	target := s.baseWeight
	if delay > maxNormalDelay {
		target = max(minWeight, maxNormalDelay/delay) * s.baseWeight
	}
	s.weight = weightRetention*s.weight + (1-weightRetention)*target
	if s.weight > fullWeightThreshold*s.baseWeight { // services return to where their tasks are
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
