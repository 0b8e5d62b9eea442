package members

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// Field numbers of a datagram.
const (
	fieldSite                = 1
	fieldFrom                = 2
	fieldAddress             = 3
	fieldIncarnation         = 4
	fieldCount               = 5
	fieldReceiverIncarnation = 6
	fieldKind                = 7
	fieldNumber              = 8
	fieldTarget              = 9
	fieldDigest              = 10
	fieldAfter               = 11
	fieldUntil               = 12
	fieldMember              = 13
	fieldPlace               = 14
	fieldGranted             = 15
	fieldCounted             = 16
	fieldNodeState           = 17
	fieldQuotaGranted        = 18
	fieldQuotaCounted        = 19
	fieldNodeQuery           = 20
	fieldNodeReply           = 21
	fieldStateVersion        = 22
	fieldFragment            = 23
)

// Field numbers of a fragment.
const (
	fragmentIndex = 1
	fragmentTotal = 2
	fragmentBody  = 3
)

// Field numbers of a member.
const (
	memberName        = 1
	memberAddress     = 2
	memberIncarnation = 3
	memberVersion     = 4
	memberState       = 5
	memberBy          = 6
)

// Field numbers of a node's state and of a reply to a node query.
const (
	nodeID = 1

	nodeStateVersion = 2
	nodeStateRemoved = 3

	nodeReplyIncarnation = 2
	nodeReplyAgo         = 3 // ms
)

// AppendHeader appends the header of a datagram of a site. All other parts are appended after it.
func AppendHeader(b []byte, site string, h Header) []byte {
	b = field.AppendString(b, fieldSite, site)
	b = field.AppendString(b, fieldFrom, h.From)
	b = field.AppendString(b, fieldAddress, h.Address)
	b = field.AppendUint(b, fieldIncarnation, h.Incarnation)
	b = field.AppendUint(b, fieldCount, h.Count)
	b = field.AppendUint(b, fieldReceiverIncarnation, h.ReceiverIncarnation)
	b = field.AppendUint(b, fieldKind, uint64(h.Kind))
	b = field.AppendUint(b, fieldNumber, h.Number)
	b = field.AppendString(b, fieldTarget, h.Target)
	if h.Digest != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, fieldDigest, protowire.Fixed64Type), h.Digest)
	}
	b = field.AppendString(b, fieldAfter, h.After)
	return field.AppendString(b, fieldUntil, h.Until)
}

// AppendLease appends the sender's place and, in an answer, its grants.
func AppendLease(b []byte, l Lease) []byte {
	b = field.AppendUint(b, fieldPlace, uint64(l.Place+1)) // 0 means that the sender has no place
	b = appendGrant(b, fieldGranted, l.Granted, fieldCounted, l.Counted)
	return appendGrant(b, fieldQuotaGranted, l.QuotaGranted, fieldQuotaCounted, l.QuotaCounted)
}

func appendGrant(b []byte, grantedField protowire.Number, granted bool, countedField protowire.Number, counted []byte) []byte {
	if granted {
		b = field.AppendUint(b, grantedField, 1)
	}
	if len(counted) > 0 {
		b = field.AppendBytes(b, countedField, counted)
	}
	return b
}

// AppendStateVersion appends the version of the cluster state that the sender holds.
func AppendStateVersion(b []byte, version uint64) []byte {
	return field.AppendUint(b, fieldStateVersion, version)
}

// AppendFragment appends a fragment whose body is at most MaxFragmentBytes long.
func AppendFragment(b []byte, index, total int, body []byte) []byte {
	f := field.AppendUint(nil, fragmentIndex, uint64(index))
	f = field.AppendUint(f, fragmentTotal, uint64(total))
	return field.AppendBytes(b, fieldFragment, field.AppendBytes(f, fragmentBody, body))
}

// AppendMember appends an update of a member and returns true, or returns b and false if it does not fit.
func AppendMember(b []byte, m Member) ([]byte, bool) {
	var item []byte
	item = field.AppendString(item, memberName, m.Name)
	item = field.AppendString(item, memberAddress, m.Address)
	item = field.AppendUint(item, memberIncarnation, m.Incarnation)
	item = field.AppendUint(item, memberVersion, m.Version)
	item = field.AppendUint(item, memberState, uint64(m.State))
	item = field.AppendString(item, memberBy, m.By)
	return appendIfFits(b, fieldMember, item)
}

// AppendNodeState appends the report that a node is draining, or removed, as of a version of the node list, and returns true, or returns b
// and false if it does not fit.
func AppendNodeState(b []byte, node uint32, version uint64, removed bool) ([]byte, bool) {
	s := field.AppendUint(nil, nodeID, uint64(node))
	s = field.AppendUint(s, nodeStateVersion, version)
	if removed {
		s = field.AppendUint(s, nodeStateRemoved, 1)
	}
	return appendIfFits(b, fieldNodeState, s)
}

// AppendNodeQuery appends a query of when the receiver last heard from a node and returns true, or returns b and false if it does not fit.
func AppendNodeQuery(b []byte, node uint32) ([]byte, bool) {
	q := protowire.AppendVarint(protowire.AppendTag(nil, fieldNodeQuery, protowire.VarintType), uint64(node))
	if len(b)+len(q)+sealBytes > MaxDatagramBytes {
		return b, false
	}
	return append(b, q...), true
}

// AppendNodeReply appends a node's incarnation and how many ms ago the sender last heard from it, rounded up, and returns true, or returns b
// and false if it does not fit.
func AppendNodeReply(b []byte, node uint32, incarnation uint64, ago float64) ([]byte, bool) {
	r := field.AppendUint(nil, nodeID, uint64(node))
	r = protowire.AppendFixed64(protowire.AppendTag(r, nodeReplyIncarnation, protowire.Fixed64Type), incarnation)
	r = field.AppendUint(r, nodeReplyAgo, uint64(min(max(0, math.Ceil(ago)), math.MaxUint32)))
	return appendIfFits(b, fieldNodeReply, r)
}

// appendIfFits appends an encoded message as a field if the sealed datagram has room for it.
func appendIfFits(b []byte, number protowire.Number, message []byte) ([]byte, bool) {
	const lengthBytes = 2 // maximum size of the encoded length of the message
	if len(b)+protowire.SizeTag(number)+lengthBytes+len(message)+sealBytes > MaxDatagramBytes {
		return b, false
	}
	return field.AppendBytes(b, number, message), true
}
