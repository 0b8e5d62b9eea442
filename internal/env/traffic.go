package env

import "sync/atomic"

// ConnKind tells connections apart by what they are for.
type ConnKind uint8

// Kinds of connections.
const (
	Accepted     ConnKind = iota // connections that were let in at a door
	Dialed                       // connections that were made, as to nodes
	EndpointList                 // the connection to the node list, where the world is told its address
	Datagram                     // datagrams
	numKinds
)

// String is the kind in counts.
func (k ConnKind) String() string { return [...]string{"taken", "dialed", "list", "datagrams"}[k] }

// Traffic is what passed over all connections of a kind since the start.
type Traffic struct {
	Kind              ConnKind
	SentMessages      uint64 // calls of Send
	SentBytes         uint64 // handed to the network
	ReceivedMessages  uint64 // datagrams, or reads of a connection, each of which may hold several lines or a part of one
	ReceivedBytes     uint64
	OpenedConnections uint64 // since the start
	OpenConnections   int64  // now; of datagrams there are none
}

// trafficCounters counts the flow of one kind.
type trafficCounters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes, opened atomic.Uint64
	open                                                             atomic.Int64
}

func (t *trafficCounters) addSent(bytes int) { t.sentBytes.Add(uint64(max(0, bytes))) }

func (t *trafficCounters) addReceived(bytes int) {
	t.receivedMessages.Add(1)
	t.receivedBytes.Add(uint64(bytes))
}

func (t *trafficCounters) addOpened() {
	t.opened.Add(1)
	t.open.Add(1)
}

func (t *trafficCounters) snapshot(kind ConnKind) Traffic {
	return Traffic{
		Kind: kind, SentMessages: t.sentMessages.Load(), SentBytes: t.sentBytes.Load(), ReceivedMessages: t.receivedMessages.Load(),
		ReceivedBytes: t.receivedBytes.Load(), OpenedConnections: t.opened.Load(), OpenConnections: t.open.Load(),
	}
}

// Traffic tells what passed since the start, by kind.
func (r *Real) Traffic() []Traffic {
	all := make([]Traffic, 0, numKinds)
	for kind := range numKinds {
		all = append(all, r.trafficByKind[kind].snapshot(kind))
	}
	return all
}

// dialTraffic is the count of a connection that is made to an address.
func (r *Real) dialTraffic(address string) *trafficCounters {
	if address == r.EndpointListAddress && address != "" {
		return &r.trafficByKind[EndpointList]
	}
	return &r.trafficByKind[Dialed]
}

// removeConn drops an ended connection from those that are closed with the world; under the world's lock.
func (r *Real) removeConn(c *realConn) {
	if r.conns[c] {
		delete(r.conns, c)
		c.traffic.open.Add(-1)
	}
}
