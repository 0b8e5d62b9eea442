package members

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// Open decodes a datagram that arrived at the receiver's address. The handler is not called for a datagram without a valid seal, and is not
// called again if OnHeader returns false. The error is ErrForeign or ErrMalformed. Parts that precede a malformed one have been handled when
// Open returns.
func Open(b, key []byte, site, receiver string, handler DatagramHandler) error {
	body, ok := unseal(b, key, receiver)
	if !ok {
		return ErrForeign
	}
	p, err := readPreamble(body)
	switch {
	case err != nil:
		return err
	case p.site != site:
		return ErrForeign
	case p.kind < Hello || p.kind > Fragment || p.place > maxPlaces || p.header.From == "" || p.header.Address == "" || p.header.Incarnation == 0:
		return ErrMalformed
	}
	p.header.Kind = uint32(p.kind)
	if !handler.OnHeader(p.header) {
		return nil
	}
	if p.place > 0 {
		p.lease.Place = int(p.place - 1)
		handler.OnLease(p.lease)
	}
	return field.ForEach(body, func(number protowire.Number, value uint64, content []byte) bool {
		return readPart(number, value, content, handler)
	})
}

// preamble holds the header and the lease, which Open reads before it reads the other parts of a datagram.
type preamble struct {
	site   string
	header Header
	kind   uint64
	lease  Lease
	place  uint64 // is counted from 1; 0 means that the datagram has no lease
}

func readPreamble(body []byte) (p preamble, err error) {
	err = field.ForEach(body, func(number protowire.Number, value uint64, content []byte) bool {
		if text := p.text(number); text != nil {
			*text = string(content)
			return len(content) <= maxNameBytes
		}
		p.set(number, value, content)
		return true
	})
	return p, err
}

// text returns the destination of a text field, or nil if the field is not a text.
func (p *preamble) text(number protowire.Number) *string {
	switch number {
	case fieldSite:
		return &p.site
	case fieldFrom:
		return &p.header.From
	case fieldAddress:
		return &p.header.Address
	case fieldTarget:
		return &p.header.Target
	case fieldAfter:
		return &p.header.After
	case fieldUntil:
		return &p.header.Until
	}
	return nil
}

// set stores a field that is not a text. It ignores unknown fields.
func (p *preamble) set(number protowire.Number, value uint64, content []byte) {
	switch number {
	case fieldIncarnation:
		p.header.Incarnation = value
	case fieldCount:
		p.header.Count = value
	case fieldReceiverIncarnation:
		p.header.ReceiverIncarnation = value
	case fieldKind:
		p.kind = value
	case fieldNumber:
		p.header.Number = value
	case fieldDigest:
		p.header.Digest = value
	case fieldPlace:
		p.place = value
	case fieldGranted:
		p.lease.Granted = value != 0
	case fieldCounted:
		p.lease.Counted = content
	case fieldQuotaGranted:
		p.lease.QuotaGranted = value != 0
	case fieldQuotaCounted:
		p.lease.QuotaCounted = content
	}
}

// readPart decodes a part that follows the header, and skips fields of the header and unknown ones. It reports whether the part is
// well-formed.
func readPart(number protowire.Number, value uint64, content []byte, handler DatagramHandler) bool {
	switch number {
	case fieldMember:
		return readMember(content, handler)
	case fieldNodeState:
		return readNodeState(content, handler)
	case fieldNodeQuery:
		if value > math.MaxUint32 {
			return false
		}
		handler.OnNodeQuery(uint32(value))
	case fieldNodeReply:
		return readNodeReply(content, handler)
	case fieldStateVersion:
		handler.OnStateVersion(value)
	case fieldFragment:
		return readFragment(content, handler)
	}
	return true
}

func readMember(b []byte, handler DatagramHandler) bool {
	var m Member
	var state uint64
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		if len(content) > maxNameBytes {
			return false
		}
		switch number {
		case memberName:
			m.Name = string(content)
		case memberAddress:
			m.Address = string(content)
		case memberIncarnation:
			m.Incarnation = value
		case memberVersion:
			m.Version = value
		case memberState:
			state = value
		case memberBy:
			m.By = string(content)
		}
		return true
	})
	if err != nil || m.Name == "" || m.Address == "" || m.Incarnation == 0 || state < Alive || state > Left {
		return false
	}
	m.State = uint32(state)
	handler.OnMember(m)
	return true
}

func readFragment(b []byte, handler DatagramHandler) bool {
	var index, total uint64
	var body []byte
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		switch number {
		case fragmentIndex:
			index = value
		case fragmentTotal:
			total = value
		case fragmentBody:
			body = content
		}
		return true
	})
	if err != nil || total == 0 || total > math.MaxInt16 || index >= total {
		return false
	}
	handler.OnFragment(int(index), int(total), body)
	return true
}

func readNodeState(b []byte, handler DatagramHandler) bool {
	n, ok := readNodeNumbers(b)
	if ok {
		handler.OnNodeState(n.node(), n[nodeStateVersion], n[nodeStateRemoved] != 0)
	}
	return ok
}

func readNodeReply(b []byte, handler DatagramHandler) bool {
	n, ok := readNodeNumbers(b)
	if !ok || n[nodeReplyIncarnation] == 0 || n[nodeReplyAgo] > math.MaxUint32 {
		return false
	}
	handler.OnNodeReply(n.node(), n[nodeReplyIncarnation], float64(n[nodeReplyAgo]))
	return true
}

// nodeNumbers holds the fields of a message about a node, by field number.
type nodeNumbers [4]uint64

func (n *nodeNumbers) node() uint32 { return uint32(n[nodeID]) }

func readNodeNumbers(b []byte) (numbers nodeNumbers, ok bool) {
	err := field.ForEach(b, func(number protowire.Number, value uint64, _ []byte) bool {
		if int(number) < len(numbers) {
			numbers[number] = value
		}
		return true
	})
	return numbers, err == nil && numbers[nodeID] <= math.MaxUint32
}
