package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
)

// Message types and parameter codes of the platform's protocol.
const (
	typeSetUp   = 1
	typeAnswer  = 9
	typeEnd     = 12
	typeNote    = 44
	typeMove    = 51
	typeTest    = 52
	typeTested  = 53
	parClass    = 3
	parTime     = 5
	parTenant   = 7
	parRetry    = 9
	parName     = 11
	parFigures  = 13
	parReason   = 17
	parReport   = 21
	parFigure   = 27
	parKey      = 29
	parCause    = 31
	parDescribe = 33
)

type param struct {
	code  byte
	value string
}

type message struct {
	kind   byte
	task   uint64
	params []param
}

func (m message) get(code byte) string {
	for _, p := range m.params {
		if p.code == code {
			return p.value
		}
	}
	return ""
}

// cause returns the cause, or -1.
func (m message) cause() int {
	if v := m.get(parCause); len(v) == 1 {
		return int(v[0])
	}
	return -1
}

func (m message) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, m.kind}, m.task)
	for _, p := range m.params {
		b = append(binary.BigEndian.AppendUint16(append(b, p.code), uint16(len(p.value))), p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func readMessage(r *bufio.Reader) (m message, err error) {
	var head [2]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if _, err = io.ReadFull(r, body); err != nil {
		return m, err
	}
	if len(body) < 9 {
		return m, fmt.Errorf("message of %d bytes", len(body))
	}
	m.kind, m.task = body[0], binary.BigEndian.Uint64(body[1:])
	for b := body[9:]; len(b) > 0; {
		if len(b) < 3 || len(b) < 3+int(binary.BigEndian.Uint16(b[1:])) {
			return m, fmt.Errorf("cut parameter")
		}
		n := 3 + int(binary.BigEndian.Uint16(b[1:]))
		m.params = append(m.params, param{b[0], string(b[3:n])})
		b = b[n:]
	}
	return m, nil
}

// link is a connection that sends and receives messages.
type link struct {
	conn *net.TCPConn
	in   *bufio.Reader
	mu   sync.Mutex
	dead bool
}

func newLink(c net.Conn) *link {
	return &link{conn: c.(*net.TCPConn), in: bufio.NewReader(c)}
}

func (l *link) send(m message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	if _, err := l.conn.Write(m.encode()); err != nil {
		l.dead = true
	}
	return !l.dead
}

// close ends the connection, with a reset if asked.
func (l *link) close(reset bool) {
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	if reset {
		_ = l.conn.SetLinger(0)
	}
	_ = l.conn.Close()
}

func endMessage(task uint64, cause byte, more ...param) message {
	return message{typeEnd, task, append([]param{{parCause, string([]byte{cause})}}, more...)}
}
