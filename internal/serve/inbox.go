package serve

import "sync"

// event is a call of a shard's engine, or of something else that the shard's loop alone uses. It runs on that loop.
type event func(now float64)

const (
	// maxInbox bounds the events that wait for a shard. A shard that lets so many wait is fenced.
	maxInbox = 1 << 17
	// stallThreshold is how long, in ms, a shard seldom takes for one batch.
	stallThreshold = 50
)

// inbox hands events to a shard from many goroutines: the shard swaps the slice of what waits for an empty one, under a lock. A channel
// measured some 35 ns per event faster with four producers (BenchmarkInbox), but it can't tell how long the oldest event has waited, which
// admission rests on, nor give what waits as one batch. mu is the last in the package's lock order; wake is called without it.
type inbox struct {
	mu            sync.Mutex // guards all fields but wake
	queue         []event
	oldestAt      float64 // when the oldest event that waits was queued, ms
	batchOldestAt float64 // when the oldest event of the batch under way was queued, 0: no batch is
	batchTakenAt  float64 // when that batch was taken
	closed        bool
	wake          func() // called when an event waits where none did
}

// put queues an event. It returns ok false if the shard takes none any more, and full if too many wait: the shard is to be fenced.
func (b *inbox) put(now float64, queued event) (ok, full bool) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return false, false
	}
	if len(b.queue) >= maxInbox {
		b.mu.Unlock()
		return false, true
	}
	first := len(b.queue) == 0
	if first {
		b.oldestAt = now
	}
	b.queue = append(b.queue, queued)
	b.mu.Unlock()
	if first {
		b.wake()
	}
	return true, false
}

// take returns all events that wait, in order, as a batch. spare is a slice that put may fill next.
func (b *inbox) take(now float64, spare []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.queue
	b.queue = spare[:0]
	if b.batchOldestAt = 0; len(all) > 0 {
		b.batchOldestAt, b.batchTakenAt = b.oldestAt, now
	}
	return all
}

// done ends the batch.
func (b *inbox) done() {
	b.mu.Lock()
	b.batchOldestAt = 0
	b.mu.Unlock()
}

// hasEvents reports whether events wait.
func (b *inbox) hasEvents() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// oldestAge returns how long the oldest event has waited, those of the batch under way included, in ms.
func (b *inbox) oldestAge(now float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.batchOldestAt > 0:
		return now - b.batchOldestAt
	case len(b.queue) > 0:
		return now - b.oldestAt
	}
	return 0
}

// stalledFor returns how long the shard has been at the batch under way, in ms: 0 up to stallThreshold.
func (b *inbox) stalledFor(now float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.batchOldestAt > 0 && now-b.batchTakenAt > stallThreshold {
		return now - b.batchTakenAt
	}
	return 0
}

// close drops what waits and takes no further event.
func (b *inbox) close() {
	b.mu.Lock()
	b.closed, b.queue = true, nil
	b.mu.Unlock()
	b.wake()
}
