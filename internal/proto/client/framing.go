// Package client frames the JSON-RPC 2.0 messages of the client protocol, as docs/protocols/owners.md describes: a header block with the length
// of the body, then the body. A Splitter limits how much a peer can make it buffer. It is not safe for concurrent use.
package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
)

// Limits of a message in bytes.
const (
	MaxBody   = 64 << 10
	maxHeader = 2 << 10
)

// contentLength is the header field that carries the length of the body.
const contentLength = "Content-Length"

// ErrTooLong is returned for a message or header beyond the limits.
var ErrTooLong = errors.New("message too long")

// bodyLength returns the length of the body that follows a header block.
func bodyLength(header textproto.MIMEHeader) (int, error) {
	lengths := header.Values(contentLength)
	if len(lengths) != 1 {
		return 0, fmt.Errorf("got %d Content-Length fields, want one", len(lengths))
	}
	n, err := strconv.ParseUint(lengths[0], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("malformed Content-Length %.20q", lengths[0])
	}
	if n > MaxBody {
		return 0, ErrTooLong
	}
	return int(n), nil
}

// Splitter splits a stream that arrives in pieces into messages. The zero value is ready to use.
type Splitter struct {
	buffered       []byte
	headerComplete bool // the header of the next message has been read
	bodyLength     int  // of the next message, once its header has been read
}

// Feed takes a piece of the stream and calls onMessage with the body of each message that it completes. A body is valid for that call only.
// Feed returns at the first error, of the framing or of onMessage, and must not be called again after it.
func (s *Splitter) Feed(piece []byte, onMessage func(body []byte) error) error {
	s.buffered = append(s.buffered, piece...)
	consumed := 0
	defer func() { s.buffered = s.buffered[:copy(s.buffered, s.buffered[consumed:])] }()
	for {
		if !s.headerComplete {
			end, err := s.readHeader(s.buffered[consumed:])
			if err != nil || end == 0 {
				return err
			}
			consumed += end
		}
		if len(s.buffered)-consumed < s.bodyLength {
			return nil
		}
		body := s.buffered[consumed : consumed+s.bodyLength]
		consumed, s.headerComplete = consumed+s.bodyLength, false
		if err := onMessage(body); err != nil {
			return err
		}
	}
}

// readHeader reads the header block at the start of b and returns its length, or 0 if the block is incomplete.
func (s *Splitter) readHeader(b []byte) (end int, err error) {
	end = headerEnd(b)
	if end == 0 && len(b) <= maxHeader {
		return 0, nil
	}
	if end == 0 || end > maxHeader {
		return 0, ErrTooLong
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(b[:end]))).ReadMIMEHeader()
	if err != nil {
		return 0, err
	}
	if s.bodyLength, err = bodyLength(header); err != nil {
		return 0, err
	}
	s.headerComplete = true
	return end, nil
}

// headerEnd returns the length of the header block at the start of b, which ends with the first empty line, whether lines end in CR LF or LF.
// It returns 0 if there is no empty line.
func headerEnd(b []byte) (end int) {
	for _, separator := range []string{"\n\r\n", "\n\n"} {
		if index := bytes.Index(b, []byte(separator)); index >= 0 && (end == 0 || index+len(separator) < end) {
			end = index + len(separator)
		}
	}
	return end
}

// AppendMessage appends the header and the body of a message.
func AppendMessage(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, contentLength+": "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
