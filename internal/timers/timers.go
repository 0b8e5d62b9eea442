// Package timers provides a priority queue of timers. It uses no clock: the caller passes the time. A Heap is not safe for concurrent use.
package timers

// Timer is due at a time. Kind and Key identify what is due.
type Timer[K any] struct {
	At    float64
	order uint64 // sequence number by which timers that are due at the same time are ordered
	Kind  K
	Key   uint64
}

// before reports whether x is due before y.
func before[K any](x, y *Timer[K]) bool { return x.At < y.At || x.At == y.At && x.order < y.order }

// Heap is a binary heap of timers. Timers cannot be removed: users recognise stale timers when they are due, which costs less than tracking the
// positions of timers in the heap. An allocation sets three timers during its life. The zero value is an empty heap.
type Heap[K any] struct {
	timers   []Timer[K]
	sequence uint64
}

// The heap is moved to a smaller array when its capacity exceeds minShrink timers and less than 1/shrinkFraction of the capacity is used.
const (
	minShrink      = 4096
	shrinkFraction = 8
)

// Len returns the number of timers that are set, including stale ones.
func (h *Heap[K]) Len() int { return len(h.timers) }

// First returns the time at which the first timer is due, and false if no timer is set.
func (h *Heap[K]) First() (at float64, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].At, true
}

// Set adds a timer that is due at the given time.
func (h *Heap[K]) Set(at float64, kind K, key uint64) {
	h.sequence++
	h.timers = append(h.timers, Timer[K]{at, h.sequence, kind, key})
	i := len(h.timers) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !before(&h.timers[i], &h.timers[parent]) {
			break
		}
		h.timers[i], h.timers[parent] = h.timers[parent], h.timers[i]
		i = parent
	}
}

// Next removes and returns the first timer. It returns false if no timer is due.
func (h *Heap[K]) Next(now float64) (Timer[K], bool) {
	if len(h.timers) == 0 || h.timers[0].At > now {
		return Timer[K]{}, false
	}
	first, last := h.timers[0], len(h.timers)-1
	h.timers[0] = h.timers[last]
	h.timers = h.timers[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if right := child + 1; right < last && before(&h.timers[right], &h.timers[child]) {
			child = right
		}
		if !before(&h.timers[child], &h.timers[i]) {
			break
		}
		h.timers[i], h.timers[child] = h.timers[child], h.timers[i]
		i = child
	}
	if cap(h.timers) > minShrink && len(h.timers) < cap(h.timers)/shrinkFraction {
		h.timers = append(make([]Timer[K], 0, cap(h.timers)/4), h.timers...)
	}
	return first, true
}
