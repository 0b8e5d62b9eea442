package timers

import (
	"container/heap"
	"math"
	"testing"
)

// TestHeap checks that timers are returned in order of their times, and those with the same time in the order in which they were set.
func TestHeap(t *testing.T) {
	var h Heap[int]
	for i := range 1000 {
		h.Set(float64((i*7919)%500), 0, uint64(i))
	}
	last, order := math.Inf(-1), uint64(0)
	for range 1000 {
		next, ok := h.Next(1000)
		if !ok || next.At < last || next.At == last && next.order < order {
			t.Fatalf("got timer %v after one due at %g, want them in order", next, last)
		}
		last, order = next.At, next.order
	}
	if _, ok := h.Next(1000); ok {
		t.Error("got more timers than were set")
	}
}

// standardHeap implements heap.Interface, to compare Heap with the standard library's container/heap.
type standardHeap []Timer[int]

func (h standardHeap) Len() int           { return len(h) }
func (h standardHeap) Less(i, j int) bool { return before(&h[i], &h[j]) }
func (h standardHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *standardHeap) Push(x any)        { *h = append(*h, x.(Timer[int])) }
func (h *standardHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// BenchmarkHeap measures setting a timer and taking one from a heap of 30,000 timers.
func BenchmarkHeap(b *testing.B) {
	at := func(i int) float64 { return float64(i) + float64((i*7919)%5000) }
	b.Run("own heap", func(b *testing.B) {
		var own Heap[int]
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			own.Set(at(i), 0, uint64(i))
			if i > 30000 {
				own.Next(1e18)
			}
		}
	})
	b.Run("container/heap", func(b *testing.B) {
		var p standardHeap
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			heap.Push(&p, Timer[int]{At: at(i), order: uint64(i), Key: uint64(i)})
			if i > 30000 {
				_ = heap.Pop(&p).(Timer[int])
			}
		}
	})
}
