package serve

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
)

// CheckInvariants holds what shards share against what each holds: one owner for each allocation, and nothing that nobody acts
// for. It is for worlds without concurrency, at a moment when no shard has events before it.
func (s *Server) CheckInvariants() error {
	s.desk.Lock()
	defer s.desk.Unlock()
	for _, sh := range s.living() {
		if !sh.fenced.Load() && sh.inbox.waiting() {
			return nil // it will hear of more in a moment
		}
	}
	if err := s.acts.Check(func(f func(shard int, n shardownership.Name, epoch uint32)) {
		for _, sh := range s.living() {
			if !sh.fenced.Load() {
				sh.eng.ForEachAllocation(func(tenant int, token uint64, epoch uint32, _ bool) {
					f(sh.index, shardownership.Name{Tenant: tenant, Token: token}, epoch)
				})
			}
		}
	}); err != nil {
		return err
	}
	now := s.w.Now()
	for _, o := range s.connected() {
		o.mu.Lock()
		for ref, a := range o.asks {
			if !a.answered && a.expiry < now-1000 {
				o.mu.Unlock()
				return fmt.Errorf("ask %d of owner %d is open beyond its expiry", ref, o.id)
			}
		}
		o.mu.Unlock()
	}
	return nil
}

// OpenAllocations is how many of a tenant's allocations are open here by which its limit is held.
func (s *Server) OpenAllocations(tenant int) int {
	s.desk.Lock()
	defer s.desk.Unlock()
	return s.acts.Uses(s.w.Now(), tenant)
}

// KnowsAttempt tells whether some shard knows a try.
func (s *Server) KnowsAttempt(ticket uint64, try uint8) bool {
	s.desk.Lock()
	defer s.desk.Unlock()
	for _, sh := range s.living() {
		if sh.eng.KnowsAttempt(ticket, try) {
			return true
		}
	}
	return false
}
