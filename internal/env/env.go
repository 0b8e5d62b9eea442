// Package env is the interface to everything that the program uses beside its memory and its disk: time, connections and datagrams. Code that
// decides or serves gets an Environment and uses nothing else, so that the same code runs on sockets (Real) and, in tests and simulations, on a
// virtual clock and network (lab/sim).
//
// No call waits: connections queue what is sent, and results come by callbacks. Callbacks run on goroutines of the environment's choosing, never
// inside the call that registered them; those of one connection, loop or listener come one at a time, those of different ones may come at the
// same time. All implementations are safe for concurrent use.
//
// Times are milliseconds as float64, on a clock that starts at Epoch and never goes back. Errors are wrapped; ErrClosed, ErrStalled,
// ErrRefused and ErrExhausted say what happened.
package env

import (
	"errors"
	"time"
)

// Epoch is the zero of Environment.Now. All schedulers share it, as they take turns at nodes in slow start by the clock.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Environment is where a process runs.
type Environment interface {
	// Now returns the time since Epoch in ms. It never goes back, whatever the machine's clock does.
	Now() float64
	// WallClock returns the time of the machine's clock, which may jump.
	WallClock() time.Time
	// After calls f once, after so many ms.
	After(ms float64, f func()) Timer
	// StartLoop calls turn repeatedly: after as many ms as it returned last, or sooner if woken. A negative number ends the loop.
	StartLoop(turn func() (wait float64)) Loop
	// Dial connects to an address and calls onDone with the connection, which has to be started or closed, or with the error. It gives up after
	// timeoutMs.
	Dial(address string, timeoutMs float64, onDone func(Conn, error))
	// Listen accepts connections, each of which has to be started or closed.
	Listen(address string, onAccept func(Conn)) (Listener, error)
	// ListenPacket receives datagrams, which are valid during the call.
	ListenPacket(address string, onDatagram func(b []byte)) (PacketConn, error)
}

// MaxDatagram is the most bytes of a datagram. Longer ones are not sent.
const MaxDatagram = 1400

// PacketConn sends and receives datagrams. They may be lost, duplicated, delayed and reordered.
type PacketConn interface {
	// Address returns the local address.
	Address() string
	// Send hands a datagram to the network. It does not wait, and does not report whether the datagram arrives.
	Send(to string, b []byte)
	// Close stops receiving.
	Close()
}

// Timer is a call in the future.
type Timer interface {
	// Stop cancels the call unless it has begun.
	Stop()
}

// Loop is a running loop.
type Loop interface {
	// Wake has the next turn come at once.
	Wake()
	// HasEnded returns whether the loop has ended.
	HasEnded() bool
}

// Listener accepts connections.
type Listener interface {
	// Address returns the local address.
	Address() string
	// Close stops listening. Connections that the network has accepted already are still handed over: dropped, they would be reset with what
	// their peers have sent.
	Close()
}

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	// OnData takes received bytes, which are valid during the call; nil means that the peer has closed its side, though it may still receive. It
	// is not called after Conn.Close.
	OnData(b []byte)
	// OnClose is the last call: nothing more is handed over, and Conn.HandedOver is final. The error says why the connection ended.
	OnClose(err error)
}

// Conn is a connection that queues what is sent.
type Conn interface {
	// Start begins to receive, and to send what was queued. A peer that takes nothing for stallTimeoutMs ends the connection.
	Start(handler ConnHandler, stallTimeoutMs float64)
	// Send has a message appended to the queue. It returns how many bytes were queued since the start, how many of them are still in the queue,
	// and false if the connection is closed.
	Send(appendTo func(b []byte) []byte) (sent uint64, queued int, ok bool)
	// HandedOver returns how many bytes were handed over to the network, or may have been by now.
	HandedOver() uint64
	// Unsend takes back the last message, of n bytes ending at the byte numbered sent. It returns false if a part of it may have been handed over.
	Unsend(sent uint64, n int) bool
	// PeerClosed returns whether the peer has closed its side or reset the connection, even if data that it sent before is still unread. It
	// returns false where that can't be known.
	PeerClosed() bool
	// Close ends the connection. A graceful close first hands over the queue, then the final bytes, as far as the peer still receives, and then
	// reads on for a while until the peer closes too, as closing with unread data would reset the connection and discard what was sent. Any
	// other close drops the queue and sends the final bytes alone.
	Close(graceful bool, final []byte)
}

// Errors of connections.
var (
	// ErrClosed says that this side closed the connection.
	ErrClosed = errors.New("ended here")
	// ErrStalled says that the peer took nothing for too long. On sockets that is the error of the write that timed out.
	ErrStalled = errors.New("peer takes nothing")
	// ErrRefused says that nobody listens at the address that was dialed.
	ErrRefused = errors.New("refused")
	// ErrExhausted says that this machine lacked a resource for a dial, such as descriptors or ports.
	ErrExhausted = errors.New("nothing left here to connect with")
)

// Every calls f after every interval of so many ms, until it returns false.
func Every(e Environment, ms float64, f func() bool) {
	e.After(ms, func() {
		if f() {
			Every(e, ms, f)
		}
	})
}
