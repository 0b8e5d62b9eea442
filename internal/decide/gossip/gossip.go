// Package gossip decides which changes of the node list schedulers gossip: that a node drains or is gone, and by which version of the
// list. A scheduler that can't reach the list service learns of them from others. Gossip only makes it more cautious: it places nothing new
// on such a node until its own list has the same version. Nothing is gossiped about ready nodes.
package gossip

import (
	"cmp"
	"slices"
)

const (
	updateLifetime = 60000 // ms for which an update is believed whose version the own list never reaches
	maxUpdates     = 4096  // updates that are kept
)

// update says that a node is not ready by a version of the list.
type update struct {
	node          uint32
	version       uint64
	removed       bool
	at            float64
	transmissions int
	received      bool // received from others, ahead of the own list
}

// Store keeps updates. Its zero value is empty.
type Store struct {
	listVersion uint64
	updates     map[uint32]*update
	queue       []*update // that are still sent
}

// OnList handles an answer of the own list: its version and each node in it.
func (s *Store) OnList(now float64, version uint64, nodes func(yield func(node uint32, ready, removed bool))) {
	s.listVersion = max(s.listVersion, version)
	nodes(func(node uint32, ready, removed bool) {
		if known := s.updates[node]; known != nil && known.version > version {
			return // others are ahead
		}
		if ready {
			s.drop(node)
			return
		}
		if known := s.updates[node]; known == nil || known.removed != removed {
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

// put stores an update in place of an earlier one.
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

// Piggyback passes updates to fits, the least sent first, until one does not fit. Each is sent so many times in total.
func (s *Store) Piggyback(maxTransmissions int, fits func(node uint32, version uint64, gone bool) bool) {
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, func(x, y *update) int { return cmp.Compare(x.transmissions, y.transmissions) })
	kept, full := s.queue[:0], false
	for _, next := range s.queue {
		if !full {
			if full = !fits(next.node, next.version, next.removed); !full {
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

// Unready returns, sorted, the nodes that are not ready according to others.
func (s *Store) Unready(now float64) (nodes []uint32) {
	for node, w := range s.updates {
		if w.received && w.version > s.listVersion && now-w.at < updateLifetime {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
