package timers

import (
	"container/heap"
	"math"
	"testing"
)

// TestHeap takes all timers in order of their times, and those of one time in order of setting.
func TestHeap(t *testing.T) {
	var h Heap[int]
	for i := range 1000 {
		h.Set(float64((i*7919)%500), 0, uint64(i))
	}
	last, order := math.Inf(-1), uint64(0)
	for range 1000 {
		next, ok := h.Next(1000)
		if !ok || next.At < last || next.At == last && next.order < order {
			t.Fatalf("%v after %g", next, last)
		}
		last, order = next.At, next.order
	}
	if _, ok := h.Next(1000); ok {
		t.Error("more timers than were set")
	}
}

// standardHeap is a heap of timers by the standard library, which Heap is compared with.
type standardHeap []Timer[int]

func (p standardHeap) Len() int           { return len(p) }
func (p standardHeap) Less(i, j int) bool { return before(&p[i], &p[j]) }
func (p standardHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *standardHeap) Push(x any)        { *p = append(*p, x.(Timer[int])) }
func (p *standardHeap) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

// BenchmarkHeap sets a timer and takes one, with 30,000 set.
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
