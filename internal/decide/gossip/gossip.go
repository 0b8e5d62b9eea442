// Package gossip decides what schedulers tell each other of the node list: that a node drains or is gone, by which version of
// the list. A scheduler that is cut off from the list learns of it so from those who are not. A word of others makes it
// more careful alone: it holds a node back until its own list has come as far, and says nothing of one that is ready.
package gossip

import (
	"cmp"
	"slices"
)

const (
	believed = 60000 // ms that a word counts which the own list never comes to: its version may be nobody's
	most     = 4096  // words that are kept
)

// word is that by a version of the list a node is not ready.
type word struct {
	node    uint32
	version uint64
	gone    bool
	at      float64
	told    int
	heard   bool // from others, ahead of the own list
}

// Board keeps words. The zero value has none.
type Board struct {
	own   uint64
	words map[uint32]*word
	order []*word // that are still told
}

// Own takes an answer of the own list: the version it brings, and each node that it names.
func (b *Board) Own(now float64, version uint64, each func(yield func(node uint32, ready, gone bool))) {
	b.own = max(b.own, version)
	each(func(node uint32, ready, gone bool) {
		if w := b.words[node]; w != nil && w.version > version {
			return // others are ahead
		}
		if ready {
			b.drop(node)
			return
		}
		if w := b.words[node]; w == nil || w.gone != gone {
			b.put(&word{node: node, version: version, gone: gone, at: now})
		}
	})
	for node, w := range b.words {
		if w.heard && w.version <= b.own { // the own list has said whatever it has to say of it
			b.drop(node)
		}
	}
}

// Heard takes a word of another scheduler. It tells whether that is news here.
func (b *Board) Heard(now float64, node uint32, version uint64, gone bool) bool {
	if w := b.words[node]; version <= b.own || w != nil && w.version >= version || len(b.words) >= most {
		return false
	}
	b.put(&word{node: node, version: version, gone: gone, at: now, heard: true})
	return true
}

func (b *Board) put(w *word) {
	if b.words == nil {
		b.words = map[uint32]*word{}
	}
	b.drop(w.node)
	b.words[w.node] = w
	b.order = append(b.order, w)
	if len(b.order) > most {
		b.order = slices.Delete(b.order, 0, len(b.order)-most)
	}
}

func (b *Board) drop(node uint32) {
	if w := b.words[node]; w != nil {
		delete(b.words, node)
		b.order = slices.DeleteFunc(b.order, func(x *word) bool { return x == w })
	}
}

// Ride gives words to be told, least told first, until one does not fit. Each is given so many times in all.
func (b *Board) Ride(often int, fits func(node uint32, version uint64, gone bool) bool) {
	if len(b.order) == 0 {
		return
	}
	slices.SortStableFunc(b.order, func(x, y *word) int { return cmp.Compare(x.told, y.told) })
	kept, full := b.order[:0], false
	for _, w := range b.order {
		if !full {
			if full = !fits(w.node, w.version, w.gone); !full {
				w.told++
			}
		}
		if w.told < often {
			kept = append(kept, w)
		}
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// Held are the nodes that get nothing new on the word of others, sorted.
func (b *Board) Held(now float64) (nodes []uint32) {
	for node, w := range b.words {
		if w.heard && w.version > b.own && now-w.at < believed {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
