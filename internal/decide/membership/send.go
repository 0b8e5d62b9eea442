package membership

import (
	"cmp"
	"math"
	"slices"

	"ravenpond/internal/decide/fragment"
	"ravenpond/internal/decide/slowstart"
	codec "ravenpond/internal/proto/members"
)

// MessageHandler receives the messages of other components that are sent as fragments in the members' datagrams.
type MessageHandler interface {
	// OnMessage delivers a message. The callee owns the body.
	OnMessage(from string, body []byte)
	// OnNewerStateVersion reports that a member has a later version of the cluster state than this process.
	OnNewerStateVersion(from string, version uint64)
}

// SetMessageHandler sets the receiver of messages; nil drops them.
func (d *Detector) SetMessageHandler(handler MessageHandler) { d.messageHandler = handler }

// SetStateVersion sets this process's version of the cluster state, which its probes and acks contain.
func (d *Detector) SetStateVersion(version uint64) { d.stateVersion = version }

// SendMessage sends a message to a member in as many datagrams as it needs, without a guarantee of delivery. It returns false if the member
// is unknown, dead or left, if this process lost its name to another one, or if the message is too long.
func (d *Detector) SendMessage(now float64, to string, body []byte) bool {
	d.now = max(d.now, now)
	m := d.members[to]
	if m == nil || m.State >= Dead || d.nameConflict {
		return false
	}
	d.sequence++
	parts := fragment.Split(body, codec.MaxFragmentBytes)
	for i, p := range parts {
		m.sentCount++
		b := d.appendHeader(m.Incarnation, codec.Header{Count: m.sentCount, Kind: codec.Fragment, Number: d.sequence})
		d.transmit(m.Address, codec.AppendFragment(b, i, len(parts), p))
	}
	return len(parts) > 0
}

// queueUpdate queues an update of a member to be piggybacked on the next datagrams. The count of its transmissions restarts.
func (d *Detector) queueUpdate(m *member) {
	if m.transmissions < 0 {
		d.updates = append(d.updates, m)
	}
	m.transmissions = 0
}

// retransmitLimit returns how many times an update is sent.
func (d *Detector) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(d.presentCount()+2))))
}

// sendTo sends a datagram with lease fields, reachability queries or replies, and as many updates as fit. If the receiver is not alive in this
// process's state, the first update is the one about the receiver, so that it can refute it.
func (d *Detector) sendTo(m *member, kind uint32, number uint64, target string) {
	m.sentCount++
	var first *member
	if m.State != Alive {
		first = m
	}
	b := d.appendHeader(m.Incarnation, codec.Header{Count: m.sentCount, Kind: kind, Number: number, Target: target, Digest: d.digest})
	b = codec.AppendStateVersion(b, d.stateVersion)
	b = d.appendLease(b, kind)
	b = d.appendReachability(b, kind)
	if first != nil {
		b, _ = appendUpdate(b, first)
	}
	d.transmit(m.Address, d.appendUpdates(b, first))
}

// appendLease appends a lease request to a ping, and the reply to an ack.
func (d *Detector) appendLease(b []byte, kind uint32) []byte {
	switch {
	case d.slowStart == nil || d.leaving || d.nameConflict:
	case kind == codec.Ping:
		return codec.AppendLease(b, codec.Lease{Place: d.config.Place})
	case kind == codec.Ack && d.header.kind == codec.Ping && d.header.lease.place > 0: // an ack that is forwarded for another member contains no reply
		place := d.header.lease.place - 1
		granted, counted := d.slowStart.OnRequest(d.now, place)
		var quotaGranted bool
		var quotaCounted slowstart.PlaceSet
		if d.quota != nil {
			quotaGranted, quotaCounted = d.quota.OnRequest(d.now, place)
		}
		return codec.AppendLease(b, codec.Lease{
			Place: d.config.Place, Granted: granted, Counted: counted.Bytes(), QuotaGranted: quotaGranted, QuotaCounted: quotaCounted.Bytes(),
		})
	}
	return b
}

// appendReachability appends queries about unreachable nodes to a ping, and the replies to an ack.
func (d *Detector) appendReachability(b []byte, kind uint32) []byte {
	switch {
	case kind == codec.Ping:
		d.nodeReachability.Queries(d.now, func(node uint32) (ok bool) {
			b, ok = codec.AppendNodeQuery(b, node)
			return ok
		})
	case kind == codec.Ack && d.header.kind == codec.Ping:
		for _, node := range d.header.queriedNodes {
			if incarnation, lastContact, ok := d.effects.LastNodeContact(node); ok {
				b, _ = codec.AppendNodeReply(b, node, incarnation, d.now-lastContact)
			}
		}
	}
	return b
}

// appendUpdates appends as many queued updates of members as fit, those sent least often first, and then updates of nodes. The datagram
// already contains the update of first.
func (d *Detector) appendUpdates(b []byte, first *member) []byte {
	slices.SortStableFunc(d.updates, func(x, y *member) int { return cmp.Compare(x.transmissions, y.transmissions) })
	limit, kept, full := d.retransmitLimit(), d.updates[:0], false
	for _, m := range d.updates {
		if !full && m != first {
			var ok bool
			if b, ok = appendUpdate(b, m); ok {
				m.transmissions++
			} else {
				full = true
			}
		}
		if m.transmissions >= limit {
			m.transmissions = -1
		} else {
			kept = append(kept, m)
		}
	}
	clear(d.updates[len(kept):])
	d.updates = kept
	d.nodeGossip.Piggyback(limit, func(node uint32, version uint64, removed bool) (ok bool) {
		b, ok = codec.AppendNodeState(b, node, version, removed)
		return ok
	})
	return b
}

// appendUpdate appends an update of a member. It returns false if the update does not fit.
func appendUpdate(b []byte, m *member) ([]byte, bool) {
	return codec.AppendMember(b, codec.Member{
		Name: m.Name, Address: m.Address, Incarnation: m.Incarnation, Version: m.Version, State: uint32(m.State), By: m.By,
	})
}

// sendWithoutUpdates sends a datagram with neither count nor updates to a process that may not know this one's incarnation.
func (d *Detector) sendWithoutUpdates(address string, incarnation uint64, kind uint32, number uint64, target string, digest uint64) {
	d.transmit(address, d.appendHeader(incarnation, codec.Header{Kind: kind, Number: number, Target: target, Digest: digest}))
}

// appendHeader begins a datagram to an incarnation of the receiver, and fills in the header fields about the sender.
func (d *Detector) appendHeader(receiverIncarnation uint64, h codec.Header) []byte {
	h.From, h.Address, h.Incarnation, h.ReceiverIncarnation = d.config.Name, d.config.Address, d.config.Incarnation, receiverIncarnation
	return codec.AppendHeader(nil, d.config.Site, h)
}

// transmit seals and sends a datagram.
func (d *Detector) transmit(address string, b []byte) {
	b = codec.Seal(b, d.config.Key, address)
	d.Stats.Sent++
	d.Stats.Bytes += uint64(len(b))
	d.effects.Send(address, b)
}
