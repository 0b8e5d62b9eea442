// Package members encodes and decodes the datagrams that the schedulers of one site exchange (members.proto): the messages of the SWIM
// membership protocol, and what is piggybacked on them.
//
// Each datagram ends with a seal: an HMAC over the member key, the receiver's address and all other bytes. A datagram of a stranger, of
// another site or for another receiver costs one hash and is rejected with ErrForeign. The functions keep no state and may be called
// concurrently.
package members

import (
	"errors"

	"ravenpond/internal/proto/field"
)

// MaxDatagramBytes is the largest size of a datagram. It fits one packet of a usual network.
const MaxDatagramBytes = 1400

// Kinds of datagrams. The values are part of the wire format.
const (
	Hello       = 1 // from a process that does not know the receiver's incarnation; changes nothing
	Welcome     = 2 // the answer to it
	Ping        = 3
	Ack         = 4
	PingRequest = 5 // asks for a ping of another member
	Nack        = 6 // that ping was not answered
	SyncChunk   = 7 // a range of the sender's member list
	SyncReply   = 8 // what the receiver of a SyncChunk holds that is newer
	Fragment    = 9 // of a message for another part of the program
)

// States of a member, in the order in which they override each other at one version. The values are part of the wire format.
const (
	Alive   = 1
	Suspect = 2
	Dead    = 3
	Left    = 4
)

// Bounds of the encoded fields.
const (
	sealBytes    = 16
	maxNameBytes = 64 // of a name or address
	maxPlaces    = 100000
)

// MaxFragmentBytes is the largest body of a fragment that fits a datagram with the longest header.
const MaxFragmentBytes = MaxDatagramBytes - sealBytes - 6*(maxNameBytes+3) - 12*11

// Errors of datagrams.
var (
	// ErrForeign means that a datagram is not sealed with this site's key for this receiver.
	ErrForeign = errors.New("not sealed with this site's key for this receiver")
	// ErrMalformed means that a datagram is sealed, but not one that this package encodes.
	ErrMalformed = field.ErrMalformed
)

// Header is the part that all datagrams have. Fields that a kind does not use are zero.
type Header struct {
	From, Address       string // name and address of the sender
	Incarnation         uint64 // of the sender
	Count               uint64 // grows with each datagram of the incarnation to one receiver
	ReceiverIncarnation uint64 // 0: not known to the sender
	Kind                uint32
	Number              uint64 // of the probe or synchronisation that the datagram belongs to
	Target              string // of a PingRequest
	Digest              uint64 // of the sender's member list; in a Welcome the latest incarnation known of the receiver
	After, Until        string // a SyncChunk covers the names after After up to Until, empty: to the last one
}

// Lease grants the receiver its part of what members share by leases: in an answer to a ping, or asked for in a ping.
type Lease struct {
	Place        int    // of the sender among the members, from 0
	Granted      bool   // the receiver may count on its part of the slow-start limit
	Counted      []byte // bit set of the places that the sender counts for it
	QuotaGranted bool   // likewise for the quotas of tenants
	QuotaCounted []byte
}

// Member is an update of a member's state.
type Member struct {
	Name, Address        string
	Incarnation, Version uint64
	State                uint32
	By                   string // the member that says so
}

// DatagramHandler receives the parts of a datagram, its header first.
type DatagramHandler interface {
	// OnHeader reports whether the rest of the datagram is to be read.
	OnHeader(h Header) bool
	// OnLease receives the lease, before all updates.
	OnLease(l Lease)
	// OnMember receives an update of a member.
	OnMember(m Member)
	// OnNodeState receives that a node is draining, or removed, as of a version of the node list.
	OnNodeState(node uint32, version uint64, removed bool)
	// OnStateVersion receives the version of the cluster state that the sender holds.
	OnStateVersion(version uint64)
	// OnFragment receives a fragment of a message. The header's number is the message's. The body is valid during the call only.
	OnFragment(index, total int, body []byte)
	// OnNodeQuery receives the question when the sender last heard from a node.
	OnNodeQuery(node uint32)
	// OnNodeReply receives the answer: the node's incarnation, and how many ms ago it was heard.
	OnNodeReply(node uint32, incarnation uint64, ago float64)
}
