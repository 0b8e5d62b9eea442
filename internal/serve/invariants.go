package serve

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
)

// overdueMargin is how long after its deadline, in ms, a request may remain unanswered.
const overdueMargin = 1000

// CheckInvariants compares the router's entries with the allocations that the shards hold: each entry's owner holds its allocation, and each
// allocation that a shard holds has an entry with that owner. It also checks that no request is overdue. It may be called only in an
// environment without concurrency.
func (s *shardSet) CheckInvariants() error {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if !sh.fenced.Load() && sh.inbox.hasEvents() {
			return nil // the waiting events change what the shard holds
		}
	}
	if err := s.router.CheckInvariants(func(yield func(shardownership.Claim)) {
		for _, sh := range s.liveShardsLocked() {
			if !sh.fenced.Load() {
				sh.engine.ForEachAllocation(func(task engine.OwnedTask, _ bool) {
					yield(shardownership.Claim{ID: ownerID(task.TaskKey), Shard: sh.index, Epoch: task.Epoch})
				})
			}
		}
	}); err != nil {
		return err
	}
	now := s.env.Now()
	for _, c := range s.clients.connected() {
		if id, ok := c.overdue(now - overdueMargin); ok {
			return fmt.Errorf("request %d of client %d is still open after its deadline", id, c.id)
		}
	}
	return nil
}

// OpenAllocations returns how many of a tenant's allocations count against its limit at this scheduler.
func (s *shardSet) OpenAllocations(tenant int) int {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.TenantOpen(s.env.Now(), tenant)
}

// HeldAllocations returns the number of allocations that the shards hold. It may be called only in an environment without concurrency.
func (s *shardSet) HeldAllocations() (held int) {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		held += sh.engine.Stats().Allocations
	}
	return held
}

// KnowsAttempt reports whether any shard knows an attempt.
func (s *shardSet) KnowsAttempt(attempt engine.AttemptID) bool {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if sh.engine.KnowsAttempt(attempt) {
			return true
		}
	}
	return false
}
