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

// Most is the most bytes of a datagram: it fits a usual network's packet whole.
const Most = 1400

// Kinds of datagrams.
const (
	Hello    = 1 // of one that does not know the receiver's life; changes nothing
	Welcome  = 2 // its answer
	Ping     = 3
	Ack      = 4
	Ask      = 5 // for a ping of another
	Nack     = 6 // no answer came to that
	Page     = 7 // a part of what the sender holds of all
	Answered = 8 // what the receiver of a page holds that is newer
	Carry    = 9 // a part of a message of those who agree on the book
)

// States of a member, in the order in which they count at one version.
const (
	Alive   = 1
	Suspect = 2
	Dead    = 3
	Left    = 4
)

const (
	sealed  = 16 // bytes of the HMAC
	longest = 64 // of a name or address

	mostPlaces = 100000
)

// Errors of datagrams.
var (
	ErrForeign = errors.New("not sealed with this site's key for this receiver")
	ErrBad     = field.ErrBad // sealed, but not a datagram of members
)

// Taker takes what a datagram holds, its head first.
type Taker interface {
	Head(from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64, after, until string) bool
	News(name, address string, life, version uint64, state uint32, by string)
	// Lease comes before the news: the sender's place, whether it gives leave, and whom it counts, for cold nodes and for
	// what is lent of limits.
	Lease(place int, given bool, counted []byte, lent bool, lentCounted []byte)
	// Word is that a node is not ready by a version of the node list.
	Word(node uint32, version uint64, gone bool)
	// Book is the version of the book that the sender holds.
	Book(version uint64)
	// Part is a part of a message that a member carries for others of the program: the datagram's number is the message's.
	Part(index, of int, body []byte)
	// Silent asks what is heard of a node; Hears answers: its life, and how long ago it was heard, ms.
	Silent(node uint32)
	Hears(node uint32, life uint64, ago float64)
}

// Begin appends the head of a datagram. Fields that a kind does not have are empty.
func Begin(b []byte, site, from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64,
	after, until string) []byte {
	b = field.Text(b, 1, site)
	b = field.Text(b, 2, from)
	b = field.Text(b, 3, address)
	b = field.Whole(b, 4, life)
	b = field.Whole(b, 5, count)
	b = field.Whole(b, 6, toLife)
	b = field.Whole(b, 7, uint64(kind))
	b = field.Whole(b, 8, number)
	b = field.Text(b, 9, target)
	if view != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, 10, protowire.Fixed64Type), view)
	}
	b = field.Text(b, 11, after)
	return field.Text(b, 12, until)
}

// Lease appends a sender's place, counted from 0, and with an answer whether it gives leave and whom it counts, for cold nodes
// and for what is lent of limits.
func Lease(b []byte, place int, given bool, counted []byte, lent bool, lentCounted []byte) []byte {
	b = field.Whole(b, 14, uint64(place+1))
	b = leave(b, 15, given, 16, counted)
	return leave(b, 18, lent, 19, lentCounted)
}

func leave(b []byte, yes protowire.Number, given bool, whom protowire.Number, counted []byte) []byte {
	if given {
		b = field.Whole(b, yes, 1)
	}
	if len(counted) > 0 {
		b = field.Bytes(b, whom, counted)
	}
	return b
}

// Book appends the version of the book that the sender holds.
func Book(b []byte, version uint64) []byte { return field.Whole(b, 22, version) }

// MostPart is the most bytes of a part, beside the longest head.
const MostPart = Most - sealed - 6*(longest+3) - 12*11

// Part appends a part of a message.
func Part(b []byte, index, of int, body []byte) []byte {
	p := field.Whole(field.Whole(nil, 1, uint64(index)), 2, uint64(of))
	return field.Bytes(b, 23, field.Bytes(p, 3, body))
}

// News appends an item if it fits; false if it does not.
func News(b []byte, name, address string, life, version uint64, state uint32, by string) ([]byte, bool) {
	var item []byte
	item = field.Text(item, 1, name)
	item = field.Text(item, 2, address)
	item = field.Whole(item, 3, life)
	item = field.Whole(item, 4, version)
	item = field.Whole(item, 5, uint64(state))
	item = field.Text(item, 6, by)
	return part(b, 13, item)
}

// part appends a message as a field if it fits.
func part(b []byte, as protowire.Number, message []byte) ([]byte, bool) {
	const length = 2 // bytes that say how long it is, at most
	if len(b)+protowire.SizeTag(as)+length+len(message)+sealed > Most {
		return b, false
	}
	return field.Bytes(b, as, message), true
}

func seal(b, key []byte, to string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(to))
	h.Write([]byte{0})
	h.Write(b)
	return h.Sum(nil)[:sealed]
}

// Seal ends a datagram for the receiver at an address.
func Seal(b, key []byte, to string) []byte { return append(b, seal(b, key, to)...) }

// Open reads a datagram that came to an address. Nothing of one that does not bear the seal is given to the taker, and
// nothing after its head if that says so.
func Open(b, key []byte, site, to string, t Taker) error {
	if len(b) <= sealed || len(b) > Most {
		return ErrForeign
	}
	body := b[:len(b)-sealed]
	if !hmac.Equal(b[len(body):], seal(body, key, to)) {
		return ErrForeign
	}
	var s, from, address, target, after, until string
	var life, count, toLife, kind, number, view, place, given, lent uint64
	var counted, lentCounted []byte
	err := field.Each(body, func(at protowire.Number, v uint64, x []byte) bool {
		var into *string
		switch at {
		case 1:
			into = &s
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
			life = v
		case 5:
			count = v
		case 6:
			toLife = v
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
			lent = v
		case 19:
			lentCounted = x
		}
		if into != nil {
			if len(x) > longest {
				return false
			}
			*into = string(x)
		}
		return true
	})
	switch {
	case err != nil:
		return err
	case s != site:
		return ErrForeign
	case from == "" || address == "" || life == 0 || kind < Hello || kind > Carry || place > mostPlaces:
		return ErrBad
	}
	if !t.Head(from, address, life, count, toLife, uint32(kind), number, target, view, after, until) {
		return nil
	}
	if place > 0 {
		t.Lease(int(place-1), given != 0, counted, lent != 0, lentCounted)
	}
	return field.Each(body, func(at protowire.Number, v uint64, x []byte) bool {
		switch at {
		case 13:
			return item(x, t)
		case 17:
			return word(x, t)
		case 20:
			if v > math.MaxUint32 {
				return false
			}
			t.Silent(uint32(v))
		case 21:
			return hears(x, t)
		case 22:
			t.Book(v)
		case 23:
			return parts(x, t)
		}
		return true
	})
}

func parts(b []byte, t Taker) bool {
	var index, of uint64
	var body []byte
	err := field.Each(b, func(at protowire.Number, v uint64, x []byte) bool {
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
	t.Part(int(index), int(of), body)
	return true
}

// numbers reads a message of three numbers, the first of which names a node.
func numbers(b []byte) (node uint32, second, third uint64, ok bool) {
	var all [3]uint64
	err := field.Each(b, func(at protowire.Number, v uint64, _ []byte) bool {
		if at >= 1 && int(at) <= len(all) {
			all[at-1] = v
		}
		return true
	})
	return uint32(all[0]), all[1], all[2], err == nil && all[0] <= math.MaxUint32
}

func word(b []byte, t Taker) bool {
	node, version, gone, ok := numbers(b)
	if ok {
		t.Word(node, version, gone != 0)
	}
	return ok
}

// Silent appends a question for a node if it fits; false if it does not.
func Silent(b []byte, node uint32) ([]byte, bool) {
	q := protowire.AppendVarint(protowire.AppendTag(nil, 20, protowire.VarintType), uint64(node))
	if len(b)+len(q)+sealed > Most {
		return b, false
	}
	return append(b, q...), true
}

// Hears appends what is heard of a node if it fits; false if it does not.
func Hears(b []byte, node uint32, life uint64, ago float64) ([]byte, bool) {
	h := field.Whole(nil, 1, uint64(node))
	h = protowire.AppendFixed64(protowire.AppendTag(h, 2, protowire.Fixed64Type), life)
	h = field.Whole(h, 3, uint64(min(max(0, math.Ceil(ago)), math.MaxUint32)))
	return part(b, 21, h)
}

func hears(b []byte, t Taker) bool {
	node, life, ago, ok := numbers(b)
	if ok = ok && life > 0 && ago <= math.MaxUint32; ok {
		t.Hears(node, life, float64(ago))
	}
	return ok
}

// Word appends a word of a node if it fits; false if it does not.
func Word(b []byte, node uint32, version uint64, gone bool) ([]byte, bool) {
	w := field.Whole(field.Whole(nil, 1, uint64(node)), 2, version)
	if gone {
		w = field.Whole(w, 3, 1)
	}
	return part(b, 17, w)
}

func item(b []byte, t Taker) bool {
	var name, address, by string
	var life, version, state uint64
	err := field.Each(b, func(at protowire.Number, v uint64, x []byte) bool {
		switch {
		case len(x) > longest:
			return false
		case at == 1:
			name = string(x)
		case at == 2:
			address = string(x)
		case at == 3:
			life = v
		case at == 4:
			version = v
		case at == 5:
			state = v
		case at == 6:
			by = string(x)
		}
		return true
	})
	if err != nil || name == "" || address == "" || life == 0 || state < Alive || state > Left {
		return false
	}
	t.News(name, address, life, version, uint32(state), by)
	return true
}
