package workingset

const (
	widenInterval  = 250 // ms between two doublings
	maxHoldFactor  = 16  // times that the hold grows at most, doubled while shortages come back soon after narrowing
	soonHoldFactor = 4   // holds within which that is soon
)

// widener is how many times its usual size the set has for one machine kind, because nothing in it fits.
type widener struct {
	minHold    float64 // ms without a shortage until the set narrows by half, at first
	factor     float64 // 0 counts as 1
	widenedAt  float64
	shortAt    float64 // of the last shortage
	narrowedAt float64
	hold       float64
}

func (w *widener) times() float64 { return max(1, w.factor) }

// onShortage widens, unless that was done a moment ago or all nodes are in the set already.
func (w *widener) onShortage(now float64, hasAll bool, plant Faults) {
	w.shortAt = now
	switch {
	case hasAll:
		return
	case now-w.widenedAt < widenInterval && w.factor > 1 && !plant.UnboundedWidening:
		return
	}
	switch {
	case w.hold == 0 || w.narrowedAt > 0 && now-w.narrowedAt >= 2*soonHoldFactor*maxHoldFactor*w.minHold:
		w.hold = w.minHold
	case w.narrowedAt > 0 && now-w.narrowedAt < soonHoldFactor*w.hold && !plant.Flap:
		w.hold = min(maxHoldFactor*w.minHold, 2*w.hold)
		w.narrowedAt = 0 // one return counts once
	}
	w.factor, w.widenedAt = 2*w.times(), now
}

// isNarrowingDue tells whether it is time to narrow.
func (w *widener) isNarrowingDue(now float64, plant Faults) bool {
	if plant.Flap {
		return w.factor > 1 && now-w.shortAt >= widenInterval
	}
	return w.factor > 1 && now-max(w.shortAt, w.narrowedAt) >= w.hold
}

func (w *widener) narrow(now float64) {
	w.factor = max(1, w.factor/2)
	w.narrowedAt = now
}
