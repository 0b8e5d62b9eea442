package serve

import (
	"slices"
	"sync"
)

// releaseReplies counts the shards that have released nodes.
type releaseReplies struct {
	mu       sync.Mutex // guards the fields below
	pending  int        // shards that have not voted
	released map[uint32]int
}

// releaseIdle disconnects the nodes outside the set on which no shard has a task.
func (w *workingSet) releaseIdle() {
	w.mu.Lock()
	var ids []uint32
	for id, state := range w.nodeStates {
		if state == nodeAside {
			ids = append(ids, id)
		}
	}
	w.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	shards := w.shards.liveShards()
	replies := &releaseReplies{pending: len(shards), released: map[uint32]int{}}
	for _, sh := range shards { // a fenced shard does not vote, and so holds all up until it starts again
		sh.post(func(now float64) {
			replies.mu.Lock()
			defer replies.mu.Unlock()
			for _, id := range ids {
				if w.releaseNode(sh, now, id) {
					replies.released[id]++
				}
			}
			if replies.pending--; replies.pending == 0 {
				w.async(func() { w.disconnectReleased(ids, replies.released, len(shards)) })
			}
		})
	}
}

// releaseNode has a shard release a node. It reports whether the shard has no task there.
func (w *workingSet) releaseNode(sh *shard, now float64, id uint32) bool {
	if w.config.Faults.AbandonTasks {
		sh.engine.ForceRelease(now, id)
		return true
	}
	return sh.engine.Release(now, id)
}

// disconnectReleased disconnects the nodes that all of so many shards have released.
func (w *workingSet) disconnectReleased(ids []uint32, released map[uint32]int, shards int) {
	var idle []uint32
	w.mu.Lock()
	for _, id := range ids {
		if state, known := w.nodeStates[id]; known && state == nodeAside && released[id] == shards {
			w.nodeStates[id] = nodeReleased
			if !w.set.IsListed(id) {
				delete(w.nodeStates, id)
			}
			idle = append(idle, id)
		}
	}
	w.mu.Unlock()
	for _, id := range idle {
		w.connections.disconnect(id, "outside the working set")
	}
}
