package serve

import "sync"

// event is a function that calls a shard's engine or uses other state of the shard's loop. It runs on that loop.
type event func(now float64)

const (
	// maxInbox is the greatest number of events that may wait for a shard. A shard with a full inbox is fenced.
	maxInbox = 1 << 17
	// stallThreshold is the time in ms above which a batch counts as stalled. Batches seldom take that long.
	stallThreshold = 50
)

// inbox passes events from many goroutines to a shard: the shard swaps the slice of waiting events for an empty one, under a lock. A channel
// is some 35 ns per event faster with four producers (BenchmarkInbox), but it can't tell how long the oldest event has waited, on which
// admission depends, nor return all waiting events as one batch. mu is the last in the package's lock order; wake is called without it.
type inbox struct {
	mu            sync.Mutex // guards all fields except wake
	queue         []event
	oldestAt      float64 // when the oldest waiting event was queued, ms
	batchOldestAt float64 // when the oldest event of the current batch was queued, ms; 0: there is no batch
	batchTakenAt  float64 // when the current batch was taken, ms
	closed        bool
	wake          func() // called when an event is put into an empty queue
}

// put queues an event. It returns ok false if the event was not queued, because the inbox is closed or full. If it is full, the caller has to
// fence the shard.
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

// take returns all waiting events, in order, as a batch. spare becomes the slice that put fills next.
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

// hasEvents reports whether events are waiting.
func (b *inbox) hasEvents() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// oldestAge returns how long, in ms, the oldest event has waited, including the events of the current batch.
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

// stalledFor returns how long, in ms, the shard has worked on the current batch, or 0 if that is not above stallThreshold.
func (b *inbox) stalledFor(now float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.batchOldestAt > 0 && now-b.batchTakenAt > stallThreshold {
		return now - b.batchTakenAt
	}
	return 0
}

// close drops the waiting events and accepts no others.
func (b *inbox) close() {
	b.mu.Lock()
	b.closed, b.queue = true, nil
	b.mu.Unlock()
	b.wake()
}
