package slowstart

import (
	"bytes"
	"encoding/binary"
	"math/bits"
)

// wordBits is the number of places that one word of a PlaceSet holds.
const wordBits = 64

// PlaceSet is a set of places, which are the indexes of schedulers in the site file, stored as a bit mask.
type PlaceSet []uint64

// ParsePlaceSet decodes a set. The lowest bit of the first byte is place 0.
func ParsePlaceSet(b []byte) (s PlaceSet) {
	for i, x := range b {
		if i/8 >= len(s) {
			s = append(s, 0)
		}
		s[i/8] |= uint64(x) << (8 * (i % 8))
	}
	return s
}

// Bytes encodes the set for ParsePlaceSet, without trailing zero bytes.
func (s PlaceSet) Bytes() (b []byte) {
	for _, word := range s {
		b = binary.LittleEndian.AppendUint64(b, word)
	}
	return bytes.TrimRight(b, "\x00")
}

// Contains reports whether a place is in the set.
func (s PlaceSet) Contains(place int) bool {
	return place/wordBits < len(s) && s[place/wordBits]>>(place%wordBits)&1 == 1
}

// Len returns the number of places in the set.
func (s PlaceSet) Len() (n int) {
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// add returns the set with a place added.
func (s PlaceSet) add(place int) PlaceSet {
	for len(s) <= place/wordBits {
		s = append(s, 0)
	}
	s[place/wordBits] |= 1 << (place % wordBits)
	return s
}
