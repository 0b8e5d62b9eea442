package serve

import "sync"

// event is something that a shard's engine is told; it runs on the shard's goroutine.
type event func(now float64)

// maxInbox bounds what waits for a shard. One that lets so much lie is as good as stopped.
const maxInbox = 1 << 17

// inbox hands events to a shard from many goroutines: both sides swap two slices under a lock. A channel measured
// some 35 ns an event faster with four producers (BenchmarkInbox), but it can't tell how long the oldest event has
// waited, which admission rests on, nor give what waits as one batch.
type inbox struct {
	mu            sync.Mutex
	queue         []event
	oldestAt      float64 // when the oldest that waits came
	batchOldestAt float64 // and the oldest of those that are being worked on, 0: none
	batchTakenAt  float64 // when the latter were taken
	closed        bool
	wake          func() // called when something waits where nothing did
}

// put queues an event; false if the shard takes none any more. full tells that it should be given up.
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

// take gives all that waits, in order; spare is a slice that may be filled next.
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

// done says that what was taken is worked off.
func (b *inbox) done() {
	b.mu.Lock()
	b.batchOldestAt = 0
	b.mu.Unlock()
}

// hasEvents tells whether there are events before the shard.
func (b *inbox) hasEvents() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// oldestAge is how long the oldest event has waited, those being worked on included.
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

// stalledFor is how long the shard has been at the same events, 0 while that is not out of the common.
func (b *inbox) stalledFor(now float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.batchOldestAt > 0 && now-b.batchTakenAt > stallThreshold {
		return now - b.batchTakenAt
	}
	return 0
}

// stallThreshold is how long, in ms, a shard is seldom at one batch.
const stallThreshold = 50

func (b *inbox) close() {
	b.mu.Lock()
	b.closed, b.queue = true, nil
	b.mu.Unlock()
	b.wake()
}
