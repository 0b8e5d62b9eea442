package serve

import (
	"fmt"

	"ravenpond/internal/engine"

	"ravenpond/internal/decide/shardownership"
)

// CheckInvariants holds what shards share against what each holds: one owner for each allocation, and nothing that nobody acts
// for. It is for worlds without concurrency, at a moment when no shard has events before it.
func (s *Server) CheckInvariants() error {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if !sh.fenced.Load() && sh.inbox.hasEvents() {
			return nil // it will hear of more in a moment
		}
	}
	if err := s.router.CheckInvariants(func(yield func(shardownership.Claim)) {
		for _, sh := range s.liveShardsLocked() {
			if !sh.fenced.Load() {
				sh.engine.ForEachAllocation(func(task engine.OwnedTask, _ bool) {
					yield(sh.claim(task))
				})
			}
		}
	}); err != nil {
		return err
	}
	now := s.env.Now()
	for _, c := range s.connectedClients() {
		c.mu.Lock()
		for ref, req := range c.requests {
			if !req.answered && req.expiry < now-1000 {
				c.mu.Unlock()
				return fmt.Errorf("ask %d of owner %d is open beyond its expiry", ref, c.id)
			}
		}
		c.mu.Unlock()
	}
	return nil
}

// OpenAllocations is how many of a tenant's allocations are open here by which its limit is held.
func (s *Server) OpenAllocations(tenant int) int {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.TenantOpen(s.env.Now(), tenant)
}

// KnowsAttempt tells whether some shard knows an attempt.
func (s *Server) KnowsAttempt(attempt engine.AttemptID) bool {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range s.liveShardsLocked() {
		if sh.engine.KnowsAttempt(attempt) {
			return true
		}
	}
	return false
}
