package serve

import (
	"slices"
	"sync"
)

// releaseReplies counts, for each node, the shards that have released it.
type releaseReplies struct {
	mu       sync.Mutex // guards the fields below
	pending  int        // shards that have not replied
	released map[uint32]int
}

// releaseIdle disconnects the nodes outside the set where no shard has a task.
func (w *workingSet) releaseIdle() {
	w.mu.Lock()
	var ids []uint32
	for id, state := range w.nodeStates {
		if state == nodeOutside {
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
	for _, sh := range shards { // a fenced shard does not reply, so nothing is released until it has restarted
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

// releaseNode makes a shard release a node if the shard has no task there, or in any case under the injected fault AbandonTasks. It reports
// whether the shard has released the node.
func (w *workingSet) releaseNode(sh *shard, now float64, id uint32) bool {
	if w.config.Faults.AbandonTasks {
		sh.engine.ForceRelease(now, id)
		return true
	}
	return sh.engine.Release(now, id)
}

// disconnectReleased disconnects the nodes that were released by all shards; shards is their number.
func (w *workingSet) disconnectReleased(ids []uint32, released map[uint32]int, shards int) {
	var idle []uint32
	w.mu.Lock()
	for _, id := range ids {
		if state, known := w.nodeStates[id]; known && state == nodeOutside && released[id] == shards {
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
