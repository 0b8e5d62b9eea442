// Package members encodes and decodes the datagrams that the schedulers of one site exchange (members.proto): the messages of the SWIM
// membership protocol and the data that is piggybacked on them.
//
// Each datagram ends with a seal: an HMAC, keyed with the member key, of the receiver's address and all other bytes. A datagram from an
// unknown sender, from another site or for another receiver costs one hash and is rejected with ErrForeign. The functions keep no state and
// may be called concurrently.
package members

import (
	"errors"

	"ravenpond/internal/proto/field"
)

// MaxDatagramBytes is the maximum size of a sealed datagram. It fits into one packet on common networks.
const MaxDatagramBytes = 1400

// Kinds of datagrams. The values are part of the wire format.
const (
	Hello       = 1 // is sent by a process that does not know the receiver's incarnation; changes no membership state
	Welcome     = 2 // answers a Hello
	Ping        = 3
	Ack         = 4
	PingRequest = 5 // asks the receiver to ping another member
	Nack        = 6 // reports that the other member did not answer the ping
	SyncChunk   = 7 // carries a range of the sender's member list
	SyncReply   = 8 // carries the entries that are newer at the receiver of a SyncChunk
	Fragment    = 9 // carries a fragment of a message for another component
)

// States of a member, in ascending order of precedence: at the same version, a later one overrides an earlier one. The values are part of
// the wire format.
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
	// ErrMalformed means that a datagram has a valid seal, but its contents are not a valid encoding.
	ErrMalformed = field.ErrMalformed
)

// Header is the part that all datagrams have. Fields that a kind does not use are zero.
type Header struct {
	From, Address       string // name and address of the sender
	Incarnation         uint64 // incarnation of the sender
	Count               uint64 // increases with each datagram that the incarnation sends to the receiver
	ReceiverIncarnation uint64 // is 0 if the sender does not know it
	Kind                uint32
	Number              uint64 // identifies the probe, synchronization or fragmented message that the datagram belongs to
	Target              string // member that the receiver of a PingRequest is to ping; in a Welcome, the receiver if Digest is set
	Digest              uint64 // digest of the sender's member list; in a Welcome, the latest known incarnation of the receiver
	After, Until        string // bounds of a SyncChunk: names greater than After, up to and including Until; an empty Until is no bound
}

// Lease grants the receiver its share of the limits that members divide among them by leases. A ping requests the grant, the answer to it
// carries the grant.
type Lease struct {
	Place        int    // index of the sender among the members, from 0
	Granted      bool   // whether the receiver may use its share of the slow-start limit
	Counted      []byte // bit set of the places that the sender counts as sharing that limit
	QuotaGranted bool   // the same as Granted for the quotas of tenants
	QuotaCounted []byte // the same as Counted for the quotas of tenants
}

// Member is an update of a member's state.
type Member struct {
	Name, Address        string
	Incarnation, Version uint64
	State                uint32
	By                   string // member that reported the state
}

// DatagramHandler handles the parts of a datagram, its header first.
type DatagramHandler interface {
	// OnHeader reports whether the rest of the datagram is to be read.
	OnHeader(h Header) bool
	// OnLease handles the lease, before all updates.
	OnLease(l Lease)
	// OnMember handles an update of a member.
	OnMember(m Member)
	// OnNodeState handles the report that a node is draining, or removed, as of a version of the node list.
	OnNodeState(node uint32, version uint64, removed bool)
	// OnStateVersion handles the version of the cluster state that the sender holds.
	OnStateVersion(version uint64)
	// OnFragment handles a fragment of a message whose number is the header's. The body is valid only during the call.
	OnFragment(index, total int, body []byte)
	// OnNodeQuery handles the sender's query of when the receiver last heard from a node.
	OnNodeQuery(node uint32)
	// OnNodeReply handles the reply to a query: the node's incarnation, and how many ms ago the sender last heard from it.
	OnNodeReply(node uint32, incarnation uint64, ago float64)
}
