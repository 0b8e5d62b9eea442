// Package owners frames JSON-RPC 2.0 messages for the owners' door: a header block with the length of the body,
// then the body, as docs/protocols/owners.md has it. Its Channel bounds what a peer may make this side hold.
package owners

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"time"
)

// Limits of a message in bytes, and of a write.
const (
	MaxBody   = 64 << 10
	maxHeader = 2 << 10
	readAhead = 4 << 10
	stuck     = 5 * time.Second
)

// ErrTooLong is returned for a message or header beyond the limits.
var ErrTooLong = errors.New("message too long")

// Channel carries messages over a connection.
type Channel struct {
	conn io.ReadWriteCloser
	left *io.LimitedReader
	buf  *bufio.Reader
	text *textproto.Reader
	mu   sync.Mutex
	out  []byte
}

// NewChannel frames messages on a connection, which the channel then owns.
func NewChannel(conn io.ReadWriteCloser) *Channel {
	left := &io.LimitedReader{R: conn, N: 0}
	buf := bufio.NewReaderSize(left, readAhead)
	return &Channel{conn: conn, left: left, buf: buf, text: textproto.NewReader(buf)}
}

// Recv returns the body of the next message.
func (c *Channel) Recv() ([]byte, error) {
	c.left.N = maxHeader + readAhead
	head, err := c.text.ReadMIMEHeader()
	if err != nil {
		if c.left.N <= 0 {
			return nil, ErrTooLong
		}
		return nil, err
	}
	lengths := head.Values("Content-Length")
	if len(lengths) != 1 {
		return nil, fmt.Errorf("%d Content-Length fields, expected one", len(lengths))
	}
	n, err := strconv.ParseUint(lengths[0], 10, 32)
	if err != nil {
		return nil, fmt.Errorf("bad Content-Length %.20q", lengths[0])
	}
	if n > MaxBody {
		return nil, ErrTooLong
	}
	c.left.N = int64(n) + readAhead
	body := make([]byte, n)
	if _, err := io.ReadFull(c.buf, body); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}

// Send sends a message; a peer that doesn't read ends the connection.
func (c *Channel) Send(body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = append(c.out[:0], "Content-Length: "...)
	c.out = strconv.AppendInt(c.out, int64(len(body)), 10)
	c.out = append(append(c.out, "\r\n\r\n"...), body...)
	if conn, ok := c.conn.(net.Conn); ok {
		if err := conn.SetWriteDeadline(time.Now().Add(stuck)); err != nil {
			return err
		}
	}
	_, err := c.conn.Write(c.out)
	return err
}

// Close closes the connection.
func (c *Channel) Close() error { return c.conn.Close() }
