package logic

import "slices"

const (
	maxDrawCandidates = 3    // maximum number of nodes among which one is drawn
	drawMargin        = 0.05 // maximum difference in net benefit to the best node for a node to count as equally good
)

// candidate is a node with its score.
type candidate struct {
	node  int
	score float64
}

// preferenceTier ranks nodes: only the nodes of the lowest tier present are candidates, so a higher tier is used if no lower one is left.
type preferenceTier uint8

const (
	tierNormal      preferenceTier = iota
	tierSurplus                    // not needed for the current load
	tierUnreachable                // does not answer
	tierNone                       // upper bound that no node has
)

func (n *nodeState) tier() preferenceTier {
	switch {
	case n.health.unreachable:
		return tierUnreachable
	case n.surplus:
		return tierSurplus
	}
	return tierNormal
}

// chooseNode is the stage that chooses a node: it filters the nodes, scores them by net benefit and draws uniformly among the best.
func (s *Scheduler) chooseNode(alloc *allocation) decision {
	need := demand{s.classes[alloc.class].NodeKind, alloc.size}
	if s.queue.isUnplaceable(need) {
		return wait
	}
	candidates, excluded := s.collectCandidates(alloc)
	if len(candidates) == 0 {
		if !excluded {
			s.queue.unplaceable = append(s.queue.unplaceable, need)
		}
		return wait
	}
	selectTop(candidates, max(maxDrawCandidates, probedCandidates))
	if s.awaitProbes(alloc, candidates[:min(probedCandidates, len(candidates))]) {
		return wait
	}
	tied := 1 // number of candidates that count as equal to the best, which is included
	for tied < min(maxDrawCandidates, len(candidates)) && candidates[tied].score > candidates[0].score-drawMargin {
		tied++
	}
	alloc.node = candidates[s.random.intN(tied)].node
	return proceed
}

// collectCandidates scores the nodes of the lowest tier that pass the filters. It also reports whether allocationAllows excluded a node, in
// which case another allocation with the same demand may still be placed. The result is valid until the next call.
func (s *Scheduler) collectCandidates(alloc *allocation) (candidates []candidate, excluded bool) {
	candidates, bestTier := s.candidates[:0], tierNone
	for i := range s.nodes.all {
		node := &s.nodes.all[i]
		if node.availability != Ready || !s.nodeAccepts(alloc, node) {
			continue
		}
		if !s.allocationAllows(alloc, i, node) {
			excluded = true
			continue
		}
		tier := node.tier()
		if tier < bestTier {
			candidates, bestTier = candidates[:0], tier
		}
		if tier == bestTier {
			candidates = append(candidates, candidate{i, s.netBenefit(alloc, i, s.fleet.meanLoad)})
		}
	}
	s.candidates = candidates
	return candidates, excluded
}

// selectTop moves the n best candidates to the front in descending order of score; the order of equals is kept.
func selectTop(all []candidate, n int) {
	for i := range min(n, len(all)) {
		best := i
		for x := i + 1; x < len(all); x++ {
			if all[x].score > all[best].score {
				best = x
			}
		}
		top := all[best]
		copy(all[i+1:best+1], all[i:best])
		all[i] = top
	}
}

// demand is what an allocation requires of a node.
type demand struct {
	nodeKind int
	size     resources
}

// noStricterThan reports whether a fleet without room for d has no room for other either.
func (d demand) noStricterThan(other demand) bool {
	return (d.nodeKind < 0 || d.nodeKind == other.nodeKind) && d.size.cores <= other.size.cores && d.size.memory <= other.size.memory
}

// isUnplaceable reports whether a demand that is no stricter has found no node in this scan. It then need not be tried again, because within
// a scan nodes only fill up and later allocations have no higher priority weight. If hundreds of allocations wait, scoring all nodes for
// each of them would take longer than their clients wait.
func (q *placementQueue) isUnplaceable(need demand) bool {
	return slices.ContainsFunc(q.unplaceable, func(d demand) bool { return d.noStricterThan(need) })
}
