// Package env is what the program touches beside its memory: time, connections and a disk. All that the program
// does there goes through these interfaces, by calls that never wait, so that the same code runs on sockets (Real) and
// in the laboratory, on one goroutine and a clock of its own.
package env

import (
	"errors"
	"time"
)

// Epoch is the zero of every scheduler's clock: all share it, as turns at cold nodes are told by it.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Environment is where a process runs. Functions given to it are called on goroutines of the world's choosing, never from
// inside the call that gave them; those of one connection or loop, one at a time.
type Environment interface {
	// Now is ms since the Epoch. It only grows, whatever the machine's clock does.
	Now() float64
	// WallClock is what the machine's clock shows. It may jump.
	WallClock() time.Time
	// After calls f once, in so many ms.
	After(ms float64, f func()) Timer
	// StartLoop calls turn again and again: in as many ms as it returned last, or sooner when woken. A negative number
	// ends the loop.
	StartLoop(turn func() (wait float64)) Loop
	// Dial connects, or gives up after so many ms, and says which. The connection is to be begun or ended then.
	Dial(address string, within float64, done func(Conn, error))
	// Listen takes connections, each of which is to be begun or ended.
	Listen(address string, came func(Conn)) (Listener, error)
	// ListenPacket takes datagrams at an address, each of which holds for the call alone.
	ListenPacket(address string, heard func(b []byte)) (PacketConn, error)
}

// MaxDatagram is the most bytes of a datagram; longer ones are not sent.
const MaxDatagram = 1400

// PacketConn sends and takes datagrams. They may be lost, doubled, late and out of order.
type PacketConn interface {
	Address() string
	// Send hands one to the network. It never waits, and does not say whether it came.
	Send(to string, b []byte)
	Close()
}

// Timer is a call to come.
type Timer interface {
	// Stop cancels it, unless it has begun.
	Stop()
}

// Loop is a loop that runs.
type Loop interface {
	Wake()
	// HasEnded tells whether it has.
	HasEnded() bool
}

// Listener is a listener.
type Listener interface {
	Address() string
	// Close has nobody come any more, once all have been given over who were let in before: closed on them they would be reset,
	// with what they sent.
	Close()
}

// ConnHandler hears a connection.
type ConnHandler interface {
	// OnData takes bytes as they come, which hold for the call alone; none tell that the peer has sent its last, and may
	// still hear last words. Nothing more is heard once the connection was ended.
	OnData(b []byte)
	// OnClose is the last call: nothing more is handed over, and Sent is final.
	OnClose(err error)
}

// Conn is a connection whose sender never waits.
type Conn interface {
	// Start starts it. A peer that takes nothing for so many ms ends it.
	Start(p ConnHandler, stuck float64)
	// Send lets a message be appended to what waits. It returns how many bytes were ever sent so, and how many wait; false
	// if the connection is being ended.
	Send(appendTo func(b []byte) []byte) (sent uint64, waits int, ok bool)
	// HandedOver is how many bytes were handed over to the network, or may have been by now.
	HandedOver() uint64
	// Unsend takes back the message that was sent last, of n bytes, the last of which was the sent-th, if none of it was
	// handed over.
	Unsend(sent uint64, n int) bool
	// PeerClosed tells whether the peer has closed its side, or broken the connection, though what it sent before may still lie
	// unread. It says no where that can't be known.
	PeerClosed() bool
	// Close ends it: first what waits is handed over, if soft, then the last words, as far as the peer still listens. A soft
	// end destroys nothing that was handed over: what the peer still sends is read and dropped until it closes as well, or
	// for a while.
	Close(soft bool, last []byte)
}

// Errors of connections.
var (
	ErrClosed  = errors.New("ended here")
	ErrStalled = errors.New("peer takes nothing")
	// ErrRefused is in the error of a dial to where nobody listens.
	ErrRefused = errors.New("refused")
	// ErrExhausted is in the error of a dial for which this machine lacked something, as descriptors or ports.
	ErrExhausted = errors.New("nothing left here to connect with")
)

// Every calls f every so many ms until it returns false, the first time after as many.
func Every(e Environment, ms float64, f func() bool) {
	e.After(ms, func() {
		if f() {
			Every(e, ms, f)
		}
	})
}
