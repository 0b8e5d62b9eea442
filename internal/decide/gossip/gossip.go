// Package gossip decides which changes of the node list schedulers gossip: that a node drains or is gone, and by which version of the
// list. A scheduler that can't reach the list service learns of them from others. Gossip only makes it more cautious: it places nothing new
// on such a node until its own list has the same version. Nothing is gossiped about ready nodes.
package gossip

import (
	"cmp"
	"slices"
)

const (
	believed = 60000 // ms for which an update is believed whose version the own list never reaches
	most     = 4096  // updates that are kept
)

// update says that a node is not ready by a version of the list.
type update struct {
	node          uint32
	version       uint64
	gone          bool
	at            float64
	transmissions int
	received      bool // received from others, ahead of the own list
}

// Store keeps updates. Its zero value is empty.
type Store struct {
	own     uint64
	updates map[uint32]*update
	order   []*update // that are still sent
}

// OnList handles an answer of the own list: its version and each node in it.
func (s *Store) OnList(now float64, version uint64, each func(yield func(node uint32, ready, gone bool))) {
	s.own = max(s.own, version)
	each(func(node uint32, ready, gone bool) {
		if w := s.updates[node]; w != nil && w.version > version {
			return // others are ahead
		}
		if ready {
			s.drop(node)
			return
		}
		if w := s.updates[node]; w == nil || w.gone != gone {
			s.put(&update{node: node, version: version, gone: gone, at: now})
		}
	})
	for node, w := range s.updates {
		if w.received && w.version <= s.own { // the own list is as recent
			s.drop(node)
		}
	}
}

// OnUpdate handles an update from another scheduler and reports whether it is new.
func (s *Store) OnUpdate(now float64, node uint32, version uint64, gone bool) bool {
	if w := s.updates[node]; version <= s.own || w != nil && w.version >= version || len(s.updates) >= most {
		return false
	}
	s.put(&update{node: node, version: version, gone: gone, at: now, received: true})
	return true
}

// put stores an update in place of an earlier one.
func (s *Store) put(w *update) {
	if s.updates == nil {
		s.updates = map[uint32]*update{}
	}
	s.drop(w.node)
	s.updates[w.node] = w
	s.order = append(s.order, w)
	if len(s.order) > most {
		s.order = slices.Delete(s.order, 0, len(s.order)-most)
	}
}

// drop removes the update of a node.
func (s *Store) drop(node uint32) {
	if w := s.updates[node]; w != nil {
		delete(s.updates, node)
		s.order = slices.DeleteFunc(s.order, func(x *update) bool { return x == w })
	}
}

// Piggyback passes updates to fits, the least sent first, until one does not fit. Each is sent so many times in total.
func (s *Store) Piggyback(often int, fits func(node uint32, version uint64, gone bool) bool) {
	if len(s.order) == 0 {
		return
	}
	slices.SortStableFunc(s.order, func(x, y *update) int { return cmp.Compare(x.transmissions, y.transmissions) })
	kept, full := s.order[:0], false
	for _, w := range s.order {
		if !full {
			if full = !fits(w.node, w.version, w.gone); !full {
				w.transmissions++
			}
		}
		if w.transmissions < often {
			kept = append(kept, w)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// Unready returns, sorted, the nodes that are not ready according to others.
func (s *Store) Unready(now float64) (nodes []uint32) {
	for node, w := range s.updates {
		if w.received && w.version > s.own && now-w.at < believed {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
