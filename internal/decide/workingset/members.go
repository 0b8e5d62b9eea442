package workingset

import (
	"math"
	"slices"
)

// settleFraction is the fraction of NarrowAfter for which the members must stay the same before the nodes are divided anew.
const settleFraction = 0.1

// SetMembers sets the names of all schedulers. Nodes are divided anew once the names have stayed the same for a while.
func (s *Set) SetMembers(now float64, names []string) {
	sorted := withName(names, s.config.Self)
	switch {
	case s.membersKnown && slices.Equal(sorted, s.view.names):
		s.pending = nil
	case !slices.Equal(sorted, s.pending):
		s.pending, s.pendingSince = sorted, now
	}
}

// applyMembers divides the nodes among the pending members, once these have stayed the same for long enough.
func (s *Set) applyMembers(now float64) {
	if s.pending == nil || now-s.pendingSince < settleFraction*s.config.NarrowAfter {
		return
	}
	s.view = newView(s.config.Key, s.config.Self, s.pending)
	s.pending, s.membersKnown, s.reassigned, s.dirty = nil, true, true, true
	for _, r := range s.nodes {
		r.position = s.position(r.id)
		if s.config.Faults.ForgetSet && r.inSet {
			r.inSet = false
			s.size--
		}
	}
	for _, st := range s.strata {
		st.sort()
	}
}

// position returns this scheduler's position in the ranking of all schedulers for a node. While it does not know the others, it takes a
// pseudo-random position, as if all schedulers of the site were running.
func (s *Set) position(id uint32) float64 {
	node := hashOfNode(id)
	if s.config.Faults.SkipNodes && node%10 == 0 {
		return math.Inf(1)
	}
	if s.membersKnown {
		return s.view.position(node)
	}
	return fraction(mix(node^s.view.self)) * s.schedulers()
}

// schedulers returns the number of schedulers among which nodes are divided.
func (s *Set) schedulers() float64 {
	if s.membersKnown {
		return s.view.schedulers()
	}
	return float64(max(1, s.config.Schedulers))
}
