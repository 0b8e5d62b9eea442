// Package timers keeps what is due at which time.
package timers

// Timer is a time at which something is due: what and which of it.
type Timer[W any] struct {
	At    float64
	order uint64 // among equals in order of setting
	Kind  W
	Key   uint64
}

// Heap is a binary heap of what is due. Most timers are never taken back but found stale when they fire, which
// costs less than keeping places up to date: an allocation sets three in its life.
type Heap[W any] struct {
	timers   []Timer[W]
	sequence uint64
}

func before[W any](x, y *Timer[W]) bool { return x.At < y.At || x.At == y.At && x.order < y.order }

// First is when the first timer is due; false if none is set.
func (b *Heap[W]) First() (at float64, ok bool) {
	if len(b.timers) == 0 {
		return 0, false
	}
	return b.timers[0].At, true
}

// Set sets a timer.
func (b *Heap[W]) Set(at float64, kind W, key uint64) {
	b.sequence++
	b.timers = append(b.timers, Timer[W]{at, b.sequence, kind, key})
	i := len(b.timers) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !before(&b.timers[i], &b.timers[up]) {
			break
		}
		b.timers[i], b.timers[up] = b.timers[up], b.timers[i]
		i = up
	}
}

// Next takes the first timer that is due.
func (b *Heap[W]) Next(now float64) (Timer[W], bool) {
	if len(b.timers) == 0 || b.timers[0].At > now {
		return Timer[W]{}, false
	}
	top, last := b.timers[0], len(b.timers)-1
	b.timers[0] = b.timers[last]
	b.timers = b.timers[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if right := down + 1; right < last && before(&b.timers[right], &b.timers[down]) {
			down = right
		}
		if !before(&b.timers[down], &b.timers[i]) {
			break
		}
		b.timers[i], b.timers[down] = b.timers[down], b.timers[i]
		i = down
	}
	if cap(b.timers) > 4096 && len(b.timers) < cap(b.timers)/8 { // a flood's memory is given back
		b.timers = append(make([]Timer[W], 0, cap(b.timers)/4), b.timers...)
	}
	return top, true
}
