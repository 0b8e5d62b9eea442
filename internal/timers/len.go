package timers

// Len is how many timers are set, stale ones with them.
func (b *Heap[W]) Len() int { return len(b.timers) }
