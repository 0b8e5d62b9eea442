package workingset

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// view holds the schedulers among which nodes are divided, and which of them this one is.
type view struct {
	names  []string // sorted
	hashes []uint64 // of the names, in the same order
	self   uint64   // hash of this scheduler's name
}

// newView returns the view of a scheduler. Its own name is always one of the names.
func newView(key, self string, names []string) view {
	v := view{names: withName(names, self), self: hashOfName(key, self)}
	for _, name := range v.names {
		v.hashes = append(v.hashes, hashOfName(key, name))
	}
	return v
}

// withName returns names with self added, sorted and without duplicates.
func withName(names []string, self string) []string {
	sorted := append(slices.Clone(names), self)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

func (v *view) schedulers() float64 { return float64(len(v.names)) }

// position returns this scheduler's position in the ranking of all schedulers for a node: its rank by rendezvous hashing (Thaler and
// Ravishankar, 1998) plus a fraction from 0 to 1. If each scheduler takes the nodes for which its position is below k, a node is in floor(k)
// or floor(k)+1 sets, and in k sets on average.
func (v *view) position(node uint64) float64 {
	own := mix(node ^ v.self)
	rank := 0
	for _, scheduler := range v.hashes {
		if mix(node^scheduler) > own {
			rank++
		}
	}
	return float64(rank) + fraction(mix(own))
}

func hashOfName(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

func hashOfNode(id uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, id))
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fraction maps a hash to [0, 1).
func fraction(x uint64) float64 { return math.Ldexp(float64(x>>11), -53) }
