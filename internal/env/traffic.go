package env

import "sync/atomic"

// ConnKind is the purpose of a connection.
type ConnKind uint8

// Kinds of connections.
const (
	Accepted     ConnKind = iota // accepted by a listener
	Dialed                       // dialed at any other address, as to nodes
	EndpointList                 // dialed at Real.EndpointListAddress
	Datagram                     // packet connections, as opposed to streams
	numKinds
)

// String returns the name of the kind in metrics.
func (k ConnKind) String() string { return [...]string{"taken", "dialed", "list", "datagrams"}[k] }

// Traffic holds the counts of what passed over all connections of one kind since the environment was created.
type Traffic struct {
	Kind              ConnKind
	SentMessages      uint64 // counts calls of Send
	SentBytes         uint64 // counts bytes that were passed to the network
	ReceivedMessages  uint64 // counts datagrams, or reads of a connection; each read may hold several lines or a part of one
	ReceivedBytes     uint64
	OpenedConnections uint64 // counts all that were ever opened
	OpenConnections   int64  // counts those that are open now; 0 for datagrams
}

// trafficCounters counts the traffic of one kind. It is safe for concurrent use.
type trafficCounters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes, opened atomic.Uint64
	open                                                             atomic.Int64
}

// addSent counts bytes that were passed to the network; a negative number counts as 0.
func (t *trafficCounters) addSent(bytes int) { t.sentBytes.Add(uint64(max(0, bytes))) }

// addReceived counts one datagram, or one read of a connection, and its bytes.
func (t *trafficCounters) addReceived(bytes int) {
	t.receivedMessages.Add(1)
	t.receivedBytes.Add(uint64(bytes))
}

// addOpened counts a connection that was opened.
func (t *trafficCounters) addOpened() {
	t.opened.Add(1)
	t.open.Add(1)
}

// addClosed counts a connection that was closed.
func (t *trafficCounters) addClosed() { t.open.Add(-1) }

func (t *trafficCounters) snapshot(kind ConnKind) Traffic {
	return Traffic{
		Kind: kind, SentMessages: t.sentMessages.Load(), SentBytes: t.sentBytes.Load(), ReceivedMessages: t.receivedMessages.Load(),
		ReceivedBytes: t.receivedBytes.Load(), OpenedConnections: t.opened.Load(), OpenConnections: t.open.Load(),
	}
}

// Traffic returns the traffic of each kind since the environment was created.
func (r *Real) Traffic() []Traffic {
	all := make([]Traffic, 0, numKinds)
	for kind := range numKinds {
		all = append(all, r.trafficByKind[kind].snapshot(kind))
	}
	return all
}

// dialTraffic returns the counters for a connection to an address.
func (r *Real) dialTraffic(address string) *trafficCounters {
	if address == r.EndpointListAddress && address != "" {
		return &r.trafficByKind[EndpointList]
	}
	return &r.trafficByKind[Dialed]
}

// removeConn removes a connection that was closed. The caller holds Real.mu.
func (r *Real) removeConn(c *realConn) {
	if r.conns[c] {
		delete(r.conns, c)
		c.traffic.addClosed()
	}
}
