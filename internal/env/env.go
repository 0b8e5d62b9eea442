// Package env abstracts everything that the program uses besides its memory and its disk: time, connections and datagrams. Code that decides
// or serves takes an Environment and uses no other source of time or network I/O, so that the same code runs on sockets (Real) and, in tests
// and simulations, on a virtual clock and network (lab/sim).
//
// No call blocks: connections queue what is sent, and results are delivered by callbacks. Callbacks run on goroutines chosen by the
// environment, never inside the call that registered them. Callbacks of one connection, loop or listener run one at a time; those of different
// ones may run concurrently. All implementations are safe for concurrent use.
//
// Times are milliseconds as float64, on a clock that starts at Epoch and never goes backwards. Errors are wrapped; errors.Is tells ErrClosed,
// ErrStalled, ErrRefused and ErrExhausted apart.
package env

import (
	"errors"
	"time"
)

// Epoch is the zero of Environment.Now. All schedulers share it, because they take turns at nodes in slow start by this clock.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Environment gives a process its clock and its network.
type Environment interface {
	// Now returns the time since Epoch in ms. It never goes backwards, whatever the machine's clock does.
	Now() float64
	// WallClock returns the time of the machine's clock, which may jump.
	WallClock() time.Time
	// After calls f once, after the given number of ms.
	After(ms float64, f func()) Timer
	// StartLoop calls step repeatedly: after the number of ms that the last call returned, or sooner if woken. A negative number ends the loop.
	StartLoop(step func() (wait float64)) Loop
	// Dial connects to an address and calls onDone with the connection, which has to be started or closed, or with the error. It times out after
	// timeoutMs.
	Dial(address string, timeoutMs float64, onDone func(Conn, error))
	// Listen accepts connections and passes them to onAccept, which has to start or close each.
	Listen(address string, onAccept func(Conn)) (Listener, error)
	// ListenPacket receives datagrams. The bytes passed to onDatagram are valid only during the call.
	ListenPacket(address string, onDatagram func(b []byte)) (PacketConn, error)
}

// MaxDatagram is the maximum length of a datagram in bytes. Longer ones are not sent.
const MaxDatagram = 1400

// MaxUnread is the maximum number of bytes that Conn.Unread looks at in a socket.
const MaxUnread = 256 << 10

// PacketConn sends and receives datagrams. They may be lost, duplicated, delayed and reordered.
type PacketConn interface {
	// Address returns the local address.
	Address() string
	// Send passes a datagram to the network. It does not wait for delivery, and does not report whether the datagram arrives.
	Send(to string, b []byte)
	// Close stops receiving.
	Close()
}

// Timer is a scheduled call.
type Timer interface {
	// Stop cancels the call unless it has already begun.
	Stop()
}

// Loop is a running loop.
type Loop interface {
	// Wake makes the next call of step happen immediately.
	Wake()
	// HasEnded returns whether the loop has ended.
	HasEnded() bool
}

// Listener accepts connections.
type Listener interface {
	// Address returns the local address.
	Address() string
	// Close stops listening. Connections that the network has already accepted are still passed to onAccept: dropping them would reset them
	// and lose what their peers have sent.
	Close()
}

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	// OnData takes received bytes, which are valid only during the call. Nil means that the peer has closed its side for sending; it may still
	// receive. OnData is not called after Conn.Close.
	OnData(b []byte)
	// OnClose is the last call: nothing more is passed to the network, and Conn.BytesWritten is final. The error says why the connection ended.
	OnClose(err error)
}

// LateReader is implemented by a ConnHandler that also takes what its peer sent before it learned that the connection was closed gracefully here.
// For other handlers these bytes are discarded.
type LateReader interface {
	ConnHandler
	// OnLateData takes bytes that were received after a graceful Conn.Close, and is called after OnClose. The bytes are valid only during the call.
	OnLateData(b []byte)
	// OnPeerDone is the last call after a graceful Conn.Close that ended the connection. complete says that the peer has closed its side too, having
	// read all that was sent to it, and that all that it sent was delivered.
	OnPeerDone(complete bool)
}

// Conn is a connection with an outgoing queue.
type Conn interface {
	// Start begins to receive, and to send what was queued. The connection ends if the peer accepts no bytes for stallTimeoutMs.
	Start(handler ConnHandler, stallTimeoutMs float64)
	// Send appends a message to the queue by calling appendTo. It returns the total number of bytes that were ever queued, the number of them
	// that are still in the queue, and false if the connection is closed.
	Send(appendTo func(b []byte) []byte) (sent uint64, queued int, ok bool)
	// BytesWritten returns how many bytes were passed to the network, including those of a write in progress, which may have been.
	BytesWritten() uint64
	// Unsend removes the last message from the queue; it has n bytes, and sent is the total that its Send returned. It returns false if a part of
	// the message may have been passed to the network.
	Unsend(sent uint64, n int) bool
	// PeerClosed returns whether the peer has closed its side or reset the connection, even if data that it sent before is still unread. It
	// returns false where that cannot be determined.
	PeerClosed() bool
	// Unread appends to buffer the received bytes for which no call of OnData has returned, also those that still lie in the socket, oldest first
	// and as far as they can be determined, up to MaxUnread. from is the position in the received stream of the first of them.
	Unread(buffer []byte) (from uint64, unread []byte)
	// Close ends the connection. A graceful close first sends the queue, then the final bytes, as far as the peer still receives, and then keeps
	// reading for a limited time until the peer closes too, because closing with unread data would reset the connection and discard what was
	// sent. Any other close drops the queue and sends only the final bytes.
	Close(graceful bool, final []byte)
}

// Errors of connections.
var (
	// ErrClosed says that the local side closed the connection.
	ErrClosed = errors.New("connection closed locally")
	// ErrStalled says that the peer accepted no bytes within the stall timeout. On sockets the error of the write that timed out is reported instead.
	ErrStalled = errors.New("connection stalled: peer accepted no bytes within the stall timeout")
	// ErrRefused says that no process listens at the address that was dialed.
	ErrRefused = errors.New("refused")
	// ErrExhausted says that this machine lacked a resource for a dial, such as descriptors or ports.
	ErrExhausted = errors.New("out of local resources for a connection, such as descriptors or ports")
)

// Every calls f repeatedly, ms milliseconds after the previous call returned, until f returns false.
func Every(e Environment, ms float64, f func() bool) {
	e.After(ms, func() {
		if f() {
			Every(e, ms, f)
		}
	})
}
