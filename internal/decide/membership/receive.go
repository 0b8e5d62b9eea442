package membership

import (
	"errors"
	"math"

	"ravenpond/internal/decide/fragment"
	"ravenpond/internal/decide/reachability"
	codec "ravenpond/internal/proto/members"
)

// OnDatagram handles a received datagram.
func (d *Detector) OnDatagram(now float64, b []byte) {
	d.advance(now)
	d.header.kind, d.header.lease.place, d.header.queriedNodes = 0, 0, d.header.queriedNodes[:0]
	d.syncedNames = nil
	switch err := codec.Open(b, d.config.Key, d.config.Site, d.config.Address, datagramHandler{d}); {
	case errors.Is(err, codec.ErrForeign):
		d.Stats.Foreign++
	case err != nil:
		d.Stats.Malformed++ // the parts decoded before the error are kept, because the seal was valid
	}
	if d.header.kind != 0 {
		d.Stats.Received++
		d.handle()
	}
}

// header holds the parts of a datagram that are handled by its kind after all of it is decoded.
type header struct {
	sender         *member
	kind           uint32
	number, digest uint64 // number of the probe, page or message; digest of the sender's membership state
	target         string // of an indirect probe
	after, until   string // range of the names in a page: after is excluded, until included; until is empty on the last page
	lease          leaseFields
	queriedNodes   []uint32 // nodes that the sender cannot reach and asks about
}

// leaseFields holds the lease fields of a datagram.
type leaseFields struct {
	place                 int // index of the sender among the processes that share, plus 1; 0: no lease fields
	granted, quotaGranted bool
	counted, quotaCounted []byte
}

// datagramHandler receives the decoded parts of a datagram. It implements codec.DatagramHandler.
type datagramHandler struct{ *Detector }

// OnHeader checks whether a datagram is current. Only a sender that knows this process's incarnation may change the state, and each count is
// accepted once, so that replays have no effect.
func (d datagramHandler) OnHeader(received codec.Header) bool {
	switch {
	case received.From == d.config.Name:
		if received.Address != d.config.Address {
			d.onNameConflict(received.Address, received.Incarnation)
		}
		return false
	case received.Kind == codec.Hello:
		d.onHello(received.From, received.Address, received.Incarnation, received.Number)
		return false
	case received.ReceiverIncarnation != d.config.Incarnation && !d.config.Faults.AcceptReplays:
		d.Stats.Stale++
		return false
	case received.Kind == codec.Welcome && !d.onWelcome(received.Address, received.Number, received.Target, received.Digest):
		return false
	}
	m := d.senderOf(received.From, received.Address, received.Incarnation)
	if m == nil {
		return false
	}
	if received.Kind != codec.Welcome && !m.acceptCount(received.Count) && !d.config.Faults.AcceptReplays {
		d.Stats.Stale++
		return false
	}
	m.LastContact = d.now
	h := &d.header
	h.sender, h.kind, h.number, h.digest = m, received.Kind, received.Number, received.Digest
	h.target, h.after, h.until = received.Target, received.After, received.Until
	if received.Kind == codec.SyncChunk {
		d.syncedNames = map[string]bool{}
	}
	return true
}

// onWelcome handles an answer to a hello. It returns false if the answer does not belong to the last hello to the address.
func (d *Detector) onWelcome(address string, number uint64, target string, known uint64) bool {
	if d.hellos[address] != number {
		d.Stats.Stale++
		return false
	}
	delete(d.hellos, address)
	if target != "" && known > d.config.Incarnation { // the sender knows a later incarnation of this process's name
		d.raiseIncarnation(known)
	}
	return true
}

// senderOf returns the member that sent a datagram, and adds it if it is unknown. It returns nil if the datagram belongs to an earlier
// incarnation, to the same incarnation at another address, or if maxMembers is reached.
func (d *Detector) senderOf(name, address string, incarnation uint64) *member {
	m := d.members[name]
	if m == nil {
		if m = d.addMember(name, address, incarnation, 0); m != nil {
			d.setState(m, Alive, d.config.Name)
			d.lastSyncAt = math.Inf(-1)
		}
		return m
	}
	isStale := incarnation < m.Incarnation || incarnation == m.Incarnation && address != m.Address
	switch {
	case isStale && !d.config.Faults.AcceptReplays:
		d.Stats.Stale++
		return nil
	case incarnation > m.Incarnation:
		d.onNewIncarnation(m, address, incarnation, 0, Alive, d.config.Name)
	}
	return m
}

// OnLease stores the lease fields until the datagram's kind is handled.
func (d datagramHandler) OnLease(l codec.Lease) {
	d.header.lease = leaseFields{l.Place + 1, l.Granted, l.QuotaGranted, l.Counted, l.QuotaCounted}
	d.header.sender.place = l.Place + 1
}

// OnNodeState handles a gossiped update of a node.
func (d datagramHandler) OnNodeState(node uint32, version uint64, removed bool) {
	d.nodeGossip.OnUpdate(d.now, node, version, removed)
}

// OnNodeQuery stores a query about a node; the ack of the probe that contains it replies to it.
func (d datagramHandler) OnNodeQuery(node uint32) {
	if len(d.header.queriedNodes) < reachability.MaxQueries {
		d.header.queriedNodes = append(d.header.queriedNodes, node)
	}
}

// OnNodeReply handles a reply about a node in the ack of a probe of this process. Replies in other datagrams are ignored.
func (d datagramHandler) OnNodeReply(node uint32, incarnation uint64, ago float64) {
	h := &d.header
	if h.kind != codec.Ack {
		return
	}
	if h.number == d.probe.number && d.probe.outstanding {
		d.nodeReachability.OnReply(d.probe.sent, node, incarnation, ago)
	} else if late, ok := d.lateProbes[h.number]; ok {
		d.nodeReachability.OnReply(late.sent, node, incarnation, ago)
	}
}

// OnStateVersion handles the sender's version of the cluster state.
func (d datagramHandler) OnStateVersion(version uint64) {
	if version > d.stateVersion && d.messageHandler != nil {
		d.messageHandler.OnNewerStateVersion(d.header.sender.Name, version)
	}
}

// OnFragment handles a fragment of a message and delivers the message when it is complete.
func (d datagramHandler) OnFragment(index, total int, body []byte) {
	h := &d.header
	if h.kind != codec.Fragment || d.messageHandler == nil {
		return
	}
	part := fragment.Fragment{From: h.sender.Name, Incarnation: h.sender.Incarnation, Number: h.number, Index: index, Total: total, Body: body}
	if message, ok := d.reassembler.Add(part); ok {
		d.messageHandler.OnMessage(h.sender.Name, message)
	}
}

// acceptCount reports whether a datagram's count is new, and records it. Counts that are 64 or more below the highest one are rejected, so
// datagrams may be reordered by up to 64.
func (m *member) acceptCount(count uint64) bool {
	switch {
	case count > m.highestCount:
		if by := count - m.highestCount; by < 64 {
			m.receivedMask = m.receivedMask<<by | 1
		} else {
			m.receivedMask = 1
		}
		m.highestCount = count
		return true
	case m.highestCount-count >= 64 || m.receivedMask>>(m.highestCount-count)&1 == 1:
		return false
	}
	m.receivedMask |= 1 << (m.highestCount - count)
	return true
}

// handle handles a datagram by its kind after all its parts were decoded.
func (d *Detector) handle() {
	h := d.header
	m := h.sender
	switch h.kind {
	case codec.Welcome: // the ping contains this process's state of the sender if it is not alive, so that the sender can refute it
		d.sequence++
		d.sendTo(m, codec.Ping, d.sequence, "")
		d.sync(m)
	case codec.Ping:
		d.sendTo(m, codec.Ack, h.number, "")
		d.syncIfDifferent(m, h.digest)
	case codec.Ack:
		d.onAck(m, h.number)
		d.syncIfDifferent(m, h.digest)
	case codec.PingRequest:
		d.onIndirectProbe(m, h.number, h.target)
	case codec.Nack:
		if d.probe.outstanding && h.number == d.probe.number {
			d.probe.nacks++
		}
	case codec.SyncChunk:
		d.onSyncPage(m, h.number, h.after, h.until)
	}
}
