// Package members is the codec of what schedulers say to each other in datagrams (members.proto). Each datagram ends with
// an HMAC over the member key, its receiver's address and all its bytes: a stranger's, another site's and one that was
// meant for somebody else are told from the first look, for the price of one hash.
package members

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// MaxDatagramBytes is the most bytes of a datagram: it fits a usual network's packet whole.
const MaxDatagramBytes = 1400

// Kinds of datagrams.
const (
	Hello       = 1 // of one that does not know the receiver's life; changes nothing
	Welcome     = 2 // its answer
	Ping        = 3
	Ack         = 4
	PingRequest = 5 // for a ping of another
	Nack        = 6 // no answer came to that
	SyncChunk   = 7 // a part of what the sender holds of all
	SyncReply   = 8 // what the receiver of a page holds that is newer
	Fragment    = 9 // a part of a message of those who agree on the book
)

// States of a member, in the order in which they count at one version.
const (
	Alive   = 1
	Suspect = 2
	Dead    = 3
	Left    = 4
)

const (
	sealBytes    = 16 // bytes of the HMAC
	maxNameBytes = 64 // of a name or address

	maxPlaces = 100000
)

// Errors of datagrams.
var (
	ErrForeign   = errors.New("not sealed with this site's key for this receiver")
	ErrMalformed = field.ErrMalformed // sealed, but not a datagram of members
)

// DatagramHandler takes what a datagram holds, its head first.
type DatagramHandler interface {
	OnHeader(from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64, after, until string) bool
	OnMember(name, address string, life, version uint64, state uint32, by string)
	// OnLease comes before the news: the sender's place, whether it gives leave, and whom it counts, for cold nodes and for
	// what is lent of limits.
	OnLease(place int, given bool, counted []byte, lent bool, lentCounted []byte)
	// OnNodeState is that a node is not ready by a version of the node list.
	OnNodeState(node uint32, version uint64, gone bool)
	// OnStateVersion is the version of the book that the sender holds.
	OnStateVersion(version uint64)
	// OnFragment is a part of a message that a member carries for others of the program: the datagram's number is the message's.
	OnFragment(index, of int, body []byte)
	// OnNodeQuery asks what is heard of a node; Hears answers: its life, and how long ago it was heard, ms.
	OnNodeQuery(node uint32)
	OnNodeReply(node uint32, life uint64, ago float64)
}

// AppendHeader appends the head of a datagram. Fields that a kind does not have are empty.
func AppendHeader(b []byte, site, from, address string, incarnation, count, receiverIncarnation uint64, kind uint32, number uint64, target string, view uint64,
	after, until string,
) []byte {
	b = field.AppendString(b, 1, site)
	b = field.AppendString(b, 2, from)
	b = field.AppendString(b, 3, address)
	b = field.AppendUint(b, 4, incarnation)
	b = field.AppendUint(b, 5, count)
	b = field.AppendUint(b, 6, receiverIncarnation)
	b = field.AppendUint(b, 7, uint64(kind))
	b = field.AppendUint(b, 8, number)
	b = field.AppendString(b, 9, target)
	if view != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, 10, protowire.Fixed64Type), view)
	}
	b = field.AppendString(b, 11, after)
	return field.AppendString(b, 12, until)
}

// AppendLease appends a sender's place, counted from 0, and with an answer whether it gives leave and whom it counts, for cold nodes
// and for what is lent of limits.
func AppendLease(b []byte, place int, given bool, counted []byte, leased bool, leaseCounted []byte) []byte {
	b = field.AppendUint(b, 14, uint64(place+1))
	b = appendPermit(b, 15, given, 16, counted)
	return appendPermit(b, 18, leased, 19, leaseCounted)
}

func appendPermit(b []byte, givenField protowire.Number, given bool, countedField protowire.Number, counted []byte) []byte {
	if given {
		b = field.AppendUint(b, givenField, 1)
	}
	if len(counted) > 0 {
		b = field.AppendBytes(b, countedField, counted)
	}
	return b
}

// AppendStateVersion appends the version of the book that the sender holds.
func AppendStateVersion(b []byte, version uint64) []byte { return field.AppendUint(b, 22, version) }

// MaxFragmentBytes is the most bytes of a part, beside the longest head.
const MaxFragmentBytes = MaxDatagramBytes - sealBytes - 6*(maxNameBytes+3) - 12*11

// AppendFragment appends a part of a message.
func AppendFragment(b []byte, index, of int, body []byte) []byte {
	p := field.AppendUint(field.AppendUint(nil, 1, uint64(index)), 2, uint64(of))
	return field.AppendBytes(b, 23, field.AppendBytes(p, 3, body))
}

// AppendMember appends an item if it fits; false if it does not.
func AppendMember(b []byte, name, address string, incarnation, version uint64, state uint32, by string) ([]byte, bool) {
	var item []byte
	item = field.AppendString(item, 1, name)
	item = field.AppendString(item, 2, address)
	item = field.AppendUint(item, 3, incarnation)
	item = field.AppendUint(item, 4, version)
	item = field.AppendUint(item, 5, uint64(state))
	item = field.AppendString(item, 6, by)
	return appendIfFits(b, 13, item)
}

// appendIfFits appends a message as a field if it fits.
func appendIfFits(b []byte, number protowire.Number, message []byte) ([]byte, bool) {
	const length = 2 // bytes that say how long it is, at most
	if len(b)+protowire.SizeTag(number)+length+len(message)+sealBytes > MaxDatagramBytes {
		return b, false
	}
	return field.AppendBytes(b, number, message), true
}

func computeSeal(b, key []byte, to string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(to))
	h.Write([]byte{0})
	h.Write(b)
	return h.Sum(nil)[:sealBytes]
}

// Seal ends a datagram for the receiver at an address.
func Seal(b, key []byte, receiver string) []byte { return append(b, computeSeal(b, key, receiver)...) }

// Open reads a datagram that came to an address. Nothing of one that does not bear the seal is given to the taker, and
// nothing after its head if that says so.
func Open(b, key []byte, site, receiver string, handler DatagramHandler) error {
	if len(b) <= sealBytes || len(b) > MaxDatagramBytes {
		return ErrForeign
	}
	body := b[:len(b)-sealBytes]
	if !hmac.Equal(b[len(body):], computeSeal(body, key, receiver)) {
		return ErrForeign
	}
	var fromSite, from, address, target, after, until string
	var incarnation, count, receiverIncarnation, kind, number, view, place, given, leased uint64
	var counted, leaseCounted []byte
	err := field.ForEach(body, func(at protowire.Number, v uint64, x []byte) bool {
		var into *string
		switch at {
		case 1:
			into = &fromSite
		case 2:
			into = &from
		case 3:
			into = &address
		case 9:
			into = &target
		case 11:
			into = &after
		case 12:
			into = &until
		case 4:
			incarnation = v
		case 5:
			count = v
		case 6:
			receiverIncarnation = v
		case 7:
			kind = v
		case 8:
			number = v
		case 10:
			view = v
		case 14:
			place = v
		case 15:
			given = v
		case 16:
			counted = x
		case 18:
			leased = v
		case 19:
			leaseCounted = x
		}
		if into != nil {
			if len(x) > maxNameBytes {
				return false
			}
			*into = string(x)
		}
		return true
	})
	switch {
	case err != nil:
		return err
	case fromSite != site:
		return ErrForeign
	case from == "" || address == "" || incarnation == 0 || kind < Hello || kind > Fragment || place > maxPlaces:
		return ErrMalformed
	}
	if !handler.OnHeader(from, address, incarnation, count, receiverIncarnation, uint32(kind), number, target, view, after, until) {
		return nil
	}
	if place > 0 {
		handler.OnLease(int(place-1), given != 0, counted, leased != 0, leaseCounted)
	}
	return field.ForEach(body, func(at protowire.Number, v uint64, x []byte) bool {
		switch at {
		case 13:
			return readMember(x, handler)
		case 17:
			return readNodeState(x, handler)
		case 20:
			if v > math.MaxUint32 {
				return false
			}
			handler.OnNodeQuery(uint32(v))
		case 21:
			return readNodeReply(x, handler)
		case 22:
			handler.OnStateVersion(v)
		case 23:
			return readFragment(x, handler)
		}
		return true
	})
}

func readFragment(b []byte, t DatagramHandler) bool {
	var index, of uint64
	var body []byte
	err := field.ForEach(b, func(at protowire.Number, v uint64, x []byte) bool {
		switch at {
		case 1:
			index = v
		case 2:
			of = v
		case 3:
			body = x
		}
		return true
	})
	if err != nil || of == 0 || of > math.MaxInt16 || index >= of {
		return false
	}
	t.OnFragment(int(index), int(of), body)
	return true
}

// readNodeNumbers reads a message of three numbers, the first of which names a node.
func readNodeNumbers(b []byte) (node uint32, second, third uint64, ok bool) {
	var all [3]uint64
	err := field.ForEach(b, func(at protowire.Number, v uint64, _ []byte) bool {
		if at >= 1 && int(at) <= len(all) {
			all[at-1] = v
		}
		return true
	})
	return uint32(all[0]), all[1], all[2], err == nil && all[0] <= math.MaxUint32
}

func readNodeState(b []byte, t DatagramHandler) bool {
	node, version, removed, ok := readNodeNumbers(b)
	if ok {
		t.OnNodeState(node, version, removed != 0)
	}
	return ok
}

// AppendNodeQuery appends a question for a node if it fits; false if it does not.
func AppendNodeQuery(b []byte, node uint32) ([]byte, bool) {
	q := protowire.AppendVarint(protowire.AppendTag(nil, 20, protowire.VarintType), uint64(node))
	if len(b)+len(q)+sealBytes > MaxDatagramBytes {
		return b, false
	}
	return append(b, q...), true
}

// AppendNodeReply appends what is heard of a node if it fits; false if it does not.
func AppendNodeReply(b []byte, node uint32, incarnation uint64, ago float64) ([]byte, bool) {
	h := field.AppendUint(nil, 1, uint64(node))
	h = protowire.AppendFixed64(protowire.AppendTag(h, 2, protowire.Fixed64Type), incarnation)
	h = field.AppendUint(h, 3, uint64(min(max(0, math.Ceil(ago)), math.MaxUint32)))
	return appendIfFits(b, 21, h)
}

func readNodeReply(b []byte, t DatagramHandler) bool {
	node, incarnation, ago, ok := readNodeNumbers(b)
	if ok = ok && incarnation > 0 && ago <= math.MaxUint32; ok {
		t.OnNodeReply(node, incarnation, float64(ago))
	}
	return ok
}

// AppendNodeState appends a word of a node if it fits; false if it does not.
func AppendNodeState(b []byte, node uint32, version uint64, removed bool) ([]byte, bool) {
	w := field.AppendUint(field.AppendUint(nil, 1, uint64(node)), 2, version)
	if removed {
		w = field.AppendUint(w, 3, 1)
	}
	return appendIfFits(b, 17, w)
}

func readMember(b []byte, t DatagramHandler) bool {
	var name, address, by string
	var incarnation, version, state uint64
	err := field.ForEach(b, func(at protowire.Number, v uint64, x []byte) bool {
		switch {
		case len(x) > maxNameBytes:
			return false
		case at == 1:
			name = string(x)
		case at == 2:
			address = string(x)
		case at == 3:
			incarnation = v
		case at == 4:
			version = v
		case at == 5:
			state = v
		case at == 6:
			by = string(x)
		}
		return true
	})
	if err != nil || name == "" || address == "" || incarnation == 0 || state < Alive || state > Left {
		return false
	}
	t.OnMember(name, address, incarnation, version, uint32(state), by)
	return true
}
