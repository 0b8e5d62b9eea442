package timers

import (
	"container/heap"
	"math"
	"testing"
)

func TestHeap(t *testing.T) {
	var b Heap[int]
	for i := range 1000 {
		b.Set(float64((i*7919)%500), 0, uint64(i))
	}
	last, order := math.Inf(-1), uint64(0)
	for range 1000 {
		x, ok := b.Next(1000)
		if !ok || x.At < last || x.At == last && x.order < order {
			t.Fatalf("%v after %g", x, last)
		}
		last, order = x.At, x.order
	}
	if _, ok := b.Next(1000); ok {
		t.Error("one too many")
	}
}

// standardHeap is a heap of timers by the standard library, the plain way that Heap is measured against.
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

// BenchmarkHeap sets three timers an allocation, of which two ring stale, at 10,000 open.
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
