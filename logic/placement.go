package logic

import "slices"

const (
	maxDrawCandidates = 3    // nodes in the draw, at most
	drawMargin        = 0.05 // difference in net benefit within which nodes count as equally good
)

// candidate is a node with its score.
type candidate struct {
	node  int
	score float64
}

// preferenceTier ranks nodes: only those of the least flaw are candidates, so no flaw excludes every node.
type preferenceTier uint8

const (
	tierNormal preferenceTier = iota
	tierSurplus
	tierUnreachable
	tierNone // none has it
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

// chooseNode is the stage that draws a node: filters, net benefit, and a uniform draw among the best.
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
	tied := 1 // so many are as good as the best
	for tied < min(maxDrawCandidates, len(candidates)) && candidates[tied].score > candidates[0].score-drawMargin {
		tied++
	}
	alloc.node = candidates[s.random.intN(tied)].node
	return proceed
}

// collectCandidates scores the nodes of the least flaw that pass the filters. It also reports whether a node was excluded for a reason that
// lies in this allocation, so that another of the same demand may find room. The result is valid until the next call.
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

// selectTop brings the n best to the front in order; of equals those that came first.
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

// demand is what an allocation needs of a node.
type demand struct {
	nodeKind int
	size     resources
}

// noStricterThan reports whether a fleet that has no room for d has none for other.
func (d demand) noStricterThan(other demand) bool {
	return (d.nodeKind < 0 || d.nodeKind == other.nodeKind) && d.size.cores <= other.size.cores && d.size.memory <= other.size.memory
}

// isUnplaceable reports whether a smaller demand found no node in this scan. Within a scan nodes only fill, and later allocations have no
// higher weight; scoring all nodes for each of hundreds that wait would take longer than their clients wait.
func (q *placementQueue) isUnplaceable(need demand) bool {
	return slices.ContainsFunc(q.unplaceable, func(d demand) bool { return d.noStricterThan(need) })
}
