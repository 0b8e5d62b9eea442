package slowstart

import (
	"math"
	"slices"
)

// Sharers returns an upper bound of the number of processes that share the limit, or 0 if this process holds no lease and may use none of it.
func (h *Holder) Sharers(now float64) int {
	if h.place < 0 || h.place >= h.config.Places {
		return 0
	}
	grants, counted := 1, h.Counted(now) // itself
	if now-h.startedAt < h.retention() {
		return 0 // what its earlier incarnation sent still counts against the limit, and others may not count this one yet
	}
	for _, g := range h.received {
		if !h.isValid(now, g) {
			continue
		}
		grants++
		for i, word := range g.counted {
			if i < len(counted) {
				counted[i] |= word
			}
		}
	}
	if grants < h.quorum() {
		return 0
	}
	return counted.Len()
}

// isValid reports whether a received grant is valid now.
func (h *Holder) isValid(now float64, g receivedGrant) bool {
	return g.granted && now-g.requestedAt < h.config.LeaseDuration
}

// Grants returns how many grants from other processes are valid now.
func (h *Holder) Grants(now float64) (n int) {
	for _, g := range h.received {
		if h.isValid(now, g) {
			n++
		}
	}
	return n
}

// Expiry returns when the present lease expires if no further grant arrives, or 0 if none is held.
func (h *Holder) Expiry(now float64) float64 {
	var ends []float64
	for _, g := range h.received {
		if h.isValid(now, g) {
			ends = append(ends, g.requestedAt+h.config.LeaseDuration)
		}
	}
	needed := h.quorum() - 1 // besides its own
	switch {
	case len(ends) < needed:
		return 0
	case needed == 0:
		return math.Inf(1)
	}
	slices.Sort(ends)
	return ends[len(ends)-needed]
}
