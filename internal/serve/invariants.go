package serve

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
)

// overdueMargin is how long after its deadline, in ms, a request may still be unanswered.
const overdueMargin = 1000

// CheckInvariants checks what the router holds against what each shard holds: one shard acts for each allocation, and one for each that is
// held. It also checks that no request is overdue. It may only be called in an environment without concurrency.
func (s *shardSet) CheckInvariants() error {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if !sh.fenced.Load() && sh.inbox.hasEvents() {
			return nil // the shard holds less or more in a moment
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
			return fmt.Errorf("ask %d of owner %d is open beyond its expiry", id, c.id)
		}
	}
	return nil
}

// OpenAllocations returns how many of a tenant's allocations count against its limit here.
func (s *shardSet) OpenAllocations(tenant int) int {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.TenantOpen(s.env.Now(), tenant)
}

// KnowsAttempt reports whether some shard knows an attempt.
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
