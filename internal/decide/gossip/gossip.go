// Package gossip decides which changes of the node list schedulers gossip: that a node is draining or removed, as of a version of the list. A
// scheduler that can't reach the list service learns of them from others. Gossip makes it more cautious only: it places nothing new on such a
// node until its own list has that version. Nothing is gossiped about ready nodes.
//
// The caller passes the time in ms. A Store is not safe for concurrent use.
package gossip

import (
	"cmp"
	"slices"
)

const (
	updateLifetime = 60000 // ms for which an update counts if the own list never reaches its version
	maxUpdates     = 4096  // that are kept
)

// update says that a node is not ready as of a version of the list.
type update struct {
	node          uint32
	version       uint64
	removed       bool // else it is draining
	at            float64
	transmissions int
	received      bool // from another scheduler, ahead of the own list
}

// Store keeps updates. Its zero value is empty.
type Store struct {
	listVersion uint64
	updates     map[uint32]*update // by node
	queue       []*update          // that are still sent
}

// Len returns the number of updates that are kept.
func (s *Store) Len() int { return len(s.updates) }

// OnList handles an answer of the list service: its version, and each node in it.
func (s *Store) OnList(now float64, version uint64, nodes func(yield func(node uint32, ready, removed bool))) {
	s.listVersion = max(s.listVersion, version)
	nodes(func(node uint32, ready, removed bool) {
		known := s.updates[node]
		switch {
		case known != nil && known.version > version: // another scheduler's list is ahead
		case ready:
			s.drop(node)
		case known == nil || known.removed != removed:
			s.put(&update{node: node, version: version, removed: removed, at: now})
		}
	})
	for node, known := range s.updates {
		if known.received && known.version <= s.listVersion { // the own list is as recent
			s.drop(node)
		}
	}
}

// OnUpdate handles an update from another scheduler and reports whether it is new.
func (s *Store) OnUpdate(now float64, node uint32, version uint64, removed bool) bool {
	if known := s.updates[node]; version <= s.listVersion || known != nil && known.version >= version || len(s.updates) >= maxUpdates {
		return false
	}
	s.put(&update{node: node, version: version, removed: removed, at: now, received: true})
	return true
}

// put stores an update in place of an earlier one of its node.
func (s *Store) put(added *update) {
	if s.updates == nil {
		s.updates = map[uint32]*update{}
	}
	s.drop(added.node)
	s.updates[added.node] = added
	s.queue = append(s.queue, added)
	if len(s.queue) > maxUpdates {
		s.queue = slices.Delete(s.queue, 0, len(s.queue)-maxUpdates)
	}
}

// drop removes the update of a node.
func (s *Store) drop(node uint32) {
	if known := s.updates[node]; known != nil {
		delete(s.updates, node)
		s.queue = slices.DeleteFunc(s.queue, func(x *update) bool { return x == known })
	}
}

// Piggyback passes updates to send, the least sent first, until send returns false because one does not fit. Each is sent maxTransmissions
// times.
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

// Unready returns the nodes that are not ready according to other schedulers, sorted.
func (s *Store) Unready(now float64) (nodes []uint32) {
	for node, known := range s.updates {
		if known.received && known.version > s.listVersion && now-known.at < updateLifetime {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
