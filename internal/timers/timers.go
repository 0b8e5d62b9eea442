// Package timers keeps what is due at which time.
package timers

// Timer is a time at which something is due: what and which of it.
type Timer[W any] struct {
	At    float64
	order uint64 // among equals in order of setting
	What  W
	Key   uint64
}

// Heap is a binary heap of what is due. Most timers are never taken back but found stale when they fire, which
// costs less than keeping places up to date: an allocation sets three in its life.
type Heap[W any] struct {
	heap  []Timer[W]
	count uint64
}

func before[W any](x, y *Timer[W]) bool { return x.At < y.At || x.At == y.At && x.order < y.order }

// First is when the first timer is due; false if none is set.
func (b *Heap[W]) First() (at float64, ok bool) {
	if len(b.heap) == 0 {
		return 0, false
	}
	return b.heap[0].At, true
}

// Set sets a timer.
func (b *Heap[W]) Set(at float64, what W, key uint64) {
	b.count++
	b.heap = append(b.heap, Timer[W]{at, b.count, what, key})
	i := len(b.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !before(&b.heap[i], &b.heap[up]) {
			break
		}
		b.heap[i], b.heap[up] = b.heap[up], b.heap[i]
		i = up
	}
}

// Next takes the first timer that is due.
func (b *Heap[W]) Next(now float64) (Timer[W], bool) {
	if len(b.heap) == 0 || b.heap[0].At > now {
		return Timer[W]{}, false
	}
	top, last := b.heap[0], len(b.heap)-1
	b.heap[0] = b.heap[last]
	b.heap = b.heap[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if right := down + 1; right < last && before(&b.heap[right], &b.heap[down]) {
			down = right
		}
		if !before(&b.heap[down], &b.heap[i]) {
			break
		}
		b.heap[i], b.heap[down] = b.heap[down], b.heap[i]
		i = down
	}
	if cap(b.heap) > 4096 && len(b.heap) < cap(b.heap)/8 { // a flood's memory is given back
		b.heap = append(make([]Timer[W], 0, cap(b.heap)/4), b.heap...)
	}
	return top, true
}
