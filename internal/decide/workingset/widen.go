package workingset

const (
	widenInterval    = 250 // ms between two doublings of the width
	maxHoldFactor    = 16  // largest hold time, as a multiple of minHold: it doubles while shortages return soon after narrowing
	recurrenceFactor = 4   // multiple of the hold time after narrowing within which a shortage counts as returning soon
)

// widener computes by how much the set is wider than usual for one machine kind, while tasks for that kind find no node in it.
type widener struct {
	minHold        float64 // ms; first hold time
	hold           float64 // ms without a shortage until the width is halved
	factor         float64 // ratio of the width to the usual one; 0 stands for 1
	widenedAt      float64
	lastShortageAt float64
	narrowedAt     float64
}

// widthFactor returns the ratio of the set's width to the usual one.
func (w *widener) widthFactor() float64 { return max(1, w.factor) }

// onShortage doubles the width, unless it was doubled within widenInterval or all nodes are in the set.
func (w *widener) onShortage(now float64, hasAll bool, faults Faults) {
	w.lastShortageAt = now
	isRecent := now-w.widenedAt < widenInterval && w.factor > 1 && !faults.UnboundedWidening
	if hasAll || isRecent {
		return
	}
	switch {
	case w.hold == 0 || w.narrowedAt > 0 && now-w.narrowedAt >= 2*recurrenceFactor*maxHoldFactor*w.minHold:
		w.hold = w.minHold
	case w.narrowedAt > 0 && now-w.narrowedAt < recurrenceFactor*w.hold && !faults.Flap:
		w.hold = min(maxHoldFactor*w.minHold, 2*w.hold)
		w.narrowedAt = 0 // further doublings in the same shortage do not lengthen the hold time again
	}
	w.factor, w.widenedAt = 2*w.widthFactor(), now
}

// isNarrowingDue reports whether the width may be halved now.
func (w *widener) isNarrowingDue(now float64, faults Faults) bool {
	if faults.Flap {
		return w.factor > 1 && now-w.lastShortageAt >= widenInterval
	}
	return w.factor > 1 && now-max(w.lastShortageAt, w.narrowedAt) >= w.hold
}

// narrow halves the width.
func (w *widener) narrow(now float64) {
	w.factor = max(1, w.factor/2)
	w.narrowedAt = now
}
