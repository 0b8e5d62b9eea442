// Package gossip decides which changes of the node list schedulers gossip: that a node is draining or removed as of a version of the list. A
// scheduler that cannot reach the list server learns of these changes from other schedulers. Gossip can only stop placements: the
// scheduler places no new work on such a node until its own list has reached that version. Ready nodes are not gossiped.
//
// The caller passes the time in ms. A Store is not safe for concurrent use.
package gossip

import (
	"cmp"
	"slices"
)

const (
	updateLifetime = 60000 // ms for which an update applies if this scheduler's list does not reach its version
	maxUpdates     = 4096  // limit of the stored updates, and of the queued ones
)

// update states that a node is draining or removed as of a version of the list.
type update struct {
	node          uint32
	version       uint64
	removed       bool    // false: the node is draining
	storedAt      float64 // ms
	transmissions int
	received      bool // from another scheduler, whose list was ahead of this one's
}

// Store holds the updates of one scheduler. Its zero value is empty.
type Store struct {
	listVersion uint64             // version of this scheduler's list
	updates     map[uint32]*update // by node
	queue       []*update          // updates that are still to be sent
}

// Len returns the number of stored updates.
func (s *Store) Len() int { return len(s.updates) }

// OnList handles a node list from the list server: its version, and the state of each node in it.
func (s *Store) OnList(now float64, version uint64, nodes func(yield func(node uint32, ready, removed bool))) {
	s.listVersion = max(s.listVersion, version)
	nodes(func(node uint32, ready, removed bool) {
		known := s.updates[node]
		switch {
		case known != nil && known.version > version: // the update of another scheduler is newer than this list
		case ready:
			s.drop(node)
		case known == nil || known.removed != removed:
			s.put(&update{node: node, version: version, removed: removed, storedAt: now})
		}
	})
	for node, known := range s.updates {
		if known.received && known.version <= s.listVersion { // this scheduler's list has caught up
			s.drop(node)
		}
	}
}

// OnUpdate handles an update from another scheduler and reports whether it was stored. It is ignored if it is not newer than this scheduler's
// list and the stored update of the node, or if the store is full.
func (s *Store) OnUpdate(now float64, node uint32, version uint64, removed bool) bool {
	if known := s.updates[node]; version <= s.listVersion || known != nil && known.version >= version || len(s.updates) >= maxUpdates {
		return false
	}
	s.put(&update{node: node, version: version, removed: removed, storedAt: now, received: true})
	return true
}

// put stores and queues an update, and replaces the stored one of the same node. A full queue drops its first entries.
func (s *Store) put(latest *update) {
	if s.updates == nil {
		s.updates = map[uint32]*update{}
	}
	s.drop(latest.node)
	s.updates[latest.node] = latest
	s.queue = append(s.queue, latest)
	if len(s.queue) > maxUpdates {
		s.queue = slices.Delete(s.queue, 0, len(s.queue)-maxUpdates)
	}
}

// drop removes the update of a node from the store and the queue.
func (s *Store) drop(node uint32) {
	if known := s.updates[node]; known != nil {
		delete(s.updates, node)
		s.queue = slices.DeleteFunc(s.queue, func(x *update) bool { return x == known })
	}
}

// Piggyback passes queued updates to send, those sent least often first, until send returns false because an update does not fit. Each update
// is sent maxTransmissions times.
func (s *Store) Piggyback(maxTransmissions int, send func(node uint32, version uint64, removed bool) bool) {
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, func(x, y *update) int { return cmp.Compare(x.transmissions, y.transmissions) })
	kept, full := s.queue[:0], false
	for _, next := range s.queue {
		if !full {
			if full = !send(next.node, next.version, next.removed); !full {
				next.transmissions++
			}
		}
		if next.transmissions < maxTransmissions {
			kept = append(kept, next)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// Unready returns the nodes that are draining or removed according to other schedulers whose list is newer, sorted.
func (s *Store) Unready(now float64) (nodes []uint32) {
	for node, known := range s.updates {
		if known.received && known.version > s.listVersion && now-known.storedAt < updateLifetime {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
