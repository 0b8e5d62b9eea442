// Package agenda is the event queue of a virtual clock. Events come out in order of time; events of the same time come out in the order in
// which they were added.
package agenda

import "container/heap"

type entry[T any] struct {
	at    float64
	order uint64
	item  T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = entry[T]{}
	*e = (*e)[:last]
	return x
}

// Queue is a priority queue of future events. Its zero value is an empty queue.
type Queue[T any] struct {
	entries entries[T]
	added   uint64
}

// Add schedules an item for a time.
func (a *Queue[T]) Add(at float64, what T) {
	a.added++
	heap.Push(&a.entries, entry[T]{at, a.added, what})
}

// Next removes and returns the earliest item if it is due at the given time or before it.
func (a *Queue[T]) Next(by float64) (at float64, what T, ok bool) {
	if len(a.entries) == 0 || a.entries[0].at > by {
		return 0, what, false
	}
	e := heap.Pop(&a.entries).(entry[T])
	return e.at, e.item, true
}
