package workingset

import (
	"math"
	"slices"
)

// minReachableFraction is the fraction of a kind's nodes in a set of the usual size below which unreachable nodes are replaced.
const minReachableFraction = 0.75

// Step updates the set and returns what changed. The caller calls it a few times per second.
func (s *Set) Step(now float64) Change {
	s.applyMembers(now)
	size := s.computeUsualSize(now)
	s.refillTokens(now, size)
	if !s.dirty && size == s.usualSize {
		return Change{}
	}
	s.usualSize, s.dirty = size, false
	s.widen(now, size)
	var change Change
	var extra []*record
	for _, st := range s.strata {
		extra = s.updateStratum(st, s.limits(st, size), &change, extra)
	}
	s.addExtra(extra, &change)
	s.reassigned = false
	s.dirty = s.dirty || slices.ContainsFunc(s.wideners, func(w widener) bool { return w.factor > 1 })
	return change
}

// computeUsualSize returns how many nodes the set needs for the scheduler's load and for the coverage of all nodes. A scheduler that is
// partitioned from more than half of the others does not cover all of their nodes in their place.
func (s *Set) computeUsualSize(now float64) float64 {
	need := s.config.Spare*s.load.Machines + s.config.PerStart*s.load.Starts
	size := s.sizer.size(now, need, float64(s.config.MinNodes))
	schedulers := max(s.schedulers(), float64(s.config.Schedulers)/2)
	return max(size, s.config.Coverage*float64(s.ready)/schedulers)
}

// refillTokens refills the token bucket that bounds widening: one set of the usual size per second, at most half of one at once.
func (s *Set) refillTokens(now, size float64) {
	s.tokens = min(size/2, s.tokens+size*(now-s.lastStepAt)/1000)
	s.lastStepAt = now
	if s.config.Faults.UnboundedWidening {
		s.tokens = math.Inf(1)
	}
}

// widen widens the set for machine kinds with a shortage or with too few reachable nodes, and narrows it for kinds that have had no shortage
// for long.
func (s *Set) widen(now, size float64) {
	for kind := range s.wideners {
		w := &s.wideners[kind]
		n := s.count(kind, size)
		switch {
		case s.shortKinds[kind] || n.lacksReachable():
			w.onShortage(now, n.inSet >= n.all, s.config.Faults)
		case w.isNarrowingDue(now, s.config.Faults) && s.mayNarrow(kind, size):
			w.narrow(now)
		}
		s.shortKinds[kind] = false
	}
}

// counts has numbers of ready nodes of a machine kind.
type counts struct {
	all       int
	usual     int // in a set of the usual size
	inSet     int // in the set now
	reachable int // in the set and reachable
}

// lacksReachable reports whether too few of the nodes in the set are reachable.
func (n counts) lacksReachable() bool {
	return n.inSet > 0 && float64(n.reachable) < minReachableFraction*float64(min(n.usual, n.inSet))
}

func (s *Set) count(kind int, size float64) counts {
	var n counts
	for _, st := range s.strata {
		if st.kind != kind {
			continue
		}
		limit := s.limits(st, size)
		for index, r := range st.readyNodes {
			n.all++
			if r.position < limit.usual || index < s.config.PerStratum {
				n.usual++
			}
			if r.inSet {
				n.inSet++
				if !r.unreachable {
					n.reachable++
				}
			}
		}
	}
	return n
}

// mayNarrow reports whether the set would keep enough reachable nodes of a kind at half its present width.
func (s *Set) mayNarrow(kind int, size float64) bool {
	usual, remaining := 0, 0
	for _, st := range s.strata {
		if st.kind != kind {
			continue
		}
		limit := s.limits(st, size)
		for _, r := range st.readyNodes {
			if r.position < limit.usual {
				usual++
			}
			if r.position < max(limit.usual, limit.present/2) && !r.unreachable {
				remaining++
			}
		}
	}
	return float64(remaining) >= minReachableFraction*float64(usual)
}

// positionLimits has the positions below which the nodes of a stratum belong to the set.
type positionLimits struct {
	usual   float64 // for a set of the usual size
	present float64 // for the set at its present width
}

func (s *Set) limits(st *stratum, size float64) positionLimits {
	usual := size * s.schedulers() / float64(max(1, s.ready))
	return positionLimits{usual, usual * s.wideners[st.kind].widthFactor()}
}

// updateStratum adds and removes nodes of a stratum. It appends the nodes to add beyond the usual size to extra, because these are added at a
// bounded rate. A draining node stays in the set if it is there, and is not added otherwise.
func (s *Set) updateStratum(st *stratum, limit positionLimits, change *Change, extra []*record) []*record {
	for index, r := range st.readyNodes {
		isMinimum := index < s.config.PerStratum
		wanted := isMinimum && !math.IsInf(r.position, 1) || r.position < limit.present
		switch {
		case wanted == r.inSet:
		case !wanted:
			s.remove(r, change)
		case isMinimum || r.position < limit.usual:
			s.add(r, change)
		default:
			extra = append(extra, r)
		}
	}
	return extra
}

// addExtra adds as many nodes beyond the usual size as there are tokens, in order of their positions.
func (s *Set) addExtra(extra []*record, change *Change) {
	slices.SortFunc(extra, comparePosition)
	for _, r := range extra {
		if s.tokens < 1 {
			return
		}
		s.tokens--
		s.add(r, change)
	}
}

func (s *Set) add(r *record, change *Change) {
	r.inSet, r.unreachable = true, false
	s.size++
	change.Added = append(change.Added, r.id)
}

func (s *Set) remove(r *record, change *Change) {
	reason := Narrowed
	if s.reassigned {
		reason = Reassigned
	}
	r.inSet, r.unreachable = false, false
	s.size--
	change.Removed = append(change.Removed, Removal{r.id, reason})
}
