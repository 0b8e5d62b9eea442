package platformsim

import (
	"encoding/binary"
	"fmt"
	"slices"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// peerWriteTimeout ends a connection to a scheduler that reads nothing for so long, ms.
const peerWriteTimeout = 3000

// peerConn is a client's or a node's end of a connection to a scheduler. It implements env.ConnHandler.
type peerConn struct {
	conn      env.Conn // nil until the connection is made
	buffered  []byte
	onMessage func(msg []byte)
	onClose   func(err error) // nil: nothing
	closed    bool
}

// OnData hands on each complete message.
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
	pc.closed = true
	if pc.onClose != nil {
		pc.onClose(err)
	}
}

// send sends a message, if there is a connection.
func (pc *peerConn) send(msg []byte) {
	if pc.conn != nil && !pc.closed {
		pc.conn.Send(func(b []byte) []byte { return append(b, msg...) })
	}
}

// reset breaks the connection; see sim for what both means.
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
