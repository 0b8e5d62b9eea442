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
func (q *Queue[T]) Add(at float64, item T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at, q.added, item})
}

// Next removes and returns the earliest item if it is due at the given time or before it.
func (q *Queue[T]) Next(until float64) (at float64, item T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > until {
		return 0, item, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.item, true
}
