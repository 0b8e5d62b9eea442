package platformsim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// peerWriteTimeout is the time without reads by the scheduler after which a connection is closed, in ms.
const peerWriteTimeout = 3000

// peerConn is a client's or a node's end of a connection to a scheduler. It implements env.ConnHandler.
type peerConn struct {
	conn      env.Conn // nil until the connection is made
	buffered  []byte   // received, without a complete message
	onMessage func(msg []byte)
	onClose   func(err error) // may be nil
	closed    bool
	broke     bool    // it was reset
	openUntil float64 // true time in ms at which the scheduler was last known not to have closed it
}

// OnData passes each complete message to onMessage.
func (pc *peerConn) OnData(b []byte) {
	pc.buffered = append(pc.buffered, b...)
	for !pc.closed {
		msg, size, err := codec.Next(pc.buffered)
		if err != nil || size == 0 {
			return
		}
		msg = slices.Clone(msg)
		pc.buffered = pc.buffered[size:]
		pc.onMessage(msg)
	}
}

// OnClose marks the connection closed.
func (pc *peerConn) OnClose(err error) {
	pc.closed, pc.broke = true, !errors.Is(err, io.EOF) && !errors.Is(err, env.ErrClosed)
	if pc.onClose != nil {
		pc.onClose(err)
	}
}

// onDialed returns the callback of a dial, which starts the connection and sends first on it.
func (pc *peerConn) onDialed(first []byte) func(env.Conn, error) {
	return func(conn env.Conn, err error) {
		if err != nil {
			pc.closed = true
			return
		}
		pc.conn = conn
		conn.Start(pc, peerWriteTimeout)
		pc.send(first)
	}
}

// isOpen returns whether the connection is established and has not been closed.
func (pc *peerConn) isOpen() bool { return pc.conn != nil && !pc.closed }

// send sends a message if the connection is open, and returns how many bytes have been sent on it so far.
func (pc *peerConn) send(msg []byte) (sent uint64) {
	if pc.isOpen() {
		sent, _, _ = pc.conn.Send(func(b []byte) []byte { return append(b, msg...) })
	}
	return sent
}

// delivered returns how many bytes the scheduler has read, or 0 if that is unknown.
func (pc *peerConn) delivered() uint64 {
	if c, ok := pc.conn.(interface{ Delivered() uint64 }); ok {
		return c.Delivered()
	}
	return 0
}

// peerName returns the name of the host at the other end, or "" if it is unknown.
func (pc *peerConn) peerName() string {
	if c, ok := pc.conn.(interface{ PeerName() string }); ok {
		return c.PeerName()
	}
	return ""
}

// reset breaks the connection. On the simulated network the scheduler notices at once if both is set, else when it sends.
func (pc *peerConn) reset(both bool) {
	if c, ok := pc.conn.(interface{ Reset(bool) }); ok && !pc.closed {
		c.Reset(both)
	}
}

// param is a parameter of a message.
type param struct {
	code  byte
	value any
}

// message encodes a message about a task.
func message(kind byte, task uint64, params ...param) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, task)
	for _, p := range params {
		value := fmt.Sprint(p.value)
		b = append(binary.BigEndian.AppendUint16(append(b, p.code), uint16(len(value))), value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}
