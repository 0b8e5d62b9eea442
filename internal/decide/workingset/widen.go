package workingset

const (
	widenInterval  = 250 // ms between two doublings
	maxHoldFactor  = 16  // largest hold, in first holds: it doubles while shortages return soon after narrowing
	soonHoldFactor = 4   // holds within which a shortage returns soon
)

// widener computes by how much the set is wider than usual for one machine kind, because nothing in it fits.
type widener struct {
	minHold    float64 // first hold, ms
	hold       float64 // ms without a shortage until the set narrows by half
	factor     float64 // 0 counts as 1
	widenedAt  float64
	shortAt    float64 // when the last shortage was
	narrowedAt float64
}

// times returns the factor by which the set is wider than usual.
func (w *widener) times() float64 { return max(1, w.factor) }

// onShortage doubles the width, unless that was done a moment ago or all nodes are in the set.
func (w *widener) onShortage(now float64, hasAll bool, faults Faults) {
	w.shortAt = now
	isRecent := now-w.widenedAt < widenInterval && w.factor > 1 && !faults.UnboundedWidening
	if hasAll || isRecent {
		return
	}
	switch {
	case w.hold == 0 || w.narrowedAt > 0 && now-w.narrowedAt >= 2*soonHoldFactor*maxHoldFactor*w.minHold:
		w.hold = w.minHold
	case w.narrowedAt > 0 && now-w.narrowedAt < soonHoldFactor*w.hold && !faults.Flap:
		w.hold = min(maxHoldFactor*w.minHold, 2*w.hold)
		w.narrowedAt = 0 // one return counts once
	}
	w.factor, w.widenedAt = 2*w.times(), now
}

// isNarrowingDue reports whether it is time to narrow.
func (w *widener) isNarrowingDue(now float64, faults Faults) bool {
	if faults.Flap {
		return w.factor > 1 && now-w.shortAt >= widenInterval
	}
	return w.factor > 1 && now-max(w.shortAt, w.narrowedAt) >= w.hold
}

// narrow halves the width.
func (w *widener) narrow(now float64) {
	w.factor = max(1, w.factor/2)
	w.narrowedAt = now
}
