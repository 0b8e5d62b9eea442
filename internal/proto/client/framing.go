// Package owners frames JSON-RPC 2.0 messages for the owners' door: a header block with the length of the body,
// then the body, as docs/protocols/owners.md has it. Its Splitter bounds what a peer may make this side hold.
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

// ErrTooLong is returned for a message or header beyond the limits.
var ErrTooLong = errors.New("message too long")

// contentLength is the body's, by its header block.
func contentLength(head textproto.MIMEHeader) (int, error) {
	lengths := head.Values("Content-Length")
	if len(lengths) != 1 {
		return 0, fmt.Errorf("%d Content-Length fields, expected one", len(lengths))
	}
	n, err := strconv.ParseUint(lengths[0], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("bad Content-Length %.20q", lengths[0])
	}
	if n > MaxBody {
		return 0, ErrTooLong
	}
	return int(n), nil
}

// Splitter takes a stream in the pieces in which it comes.
type Splitter struct {
	buffered   []byte
	haveHeader bool // the header of the next is complete
	bodyLength int  // and its body is so long
}

// Feed takes a piece and gives the body of each message that it completes; it holds for that call alone. The first
// fault ends the stream.
func (s *Splitter) Feed(piece []byte, onMessage func(body []byte) error) error {
	s.buffered = append(s.buffered, piece...)
	consumed := 0
	defer func() { s.buffered = s.buffered[:copy(s.buffered, s.buffered[consumed:])] }()
	for {
		if !s.haveHeader {
			rest := s.buffered[consumed:]
			end := bytes.Index(rest, []byte("\n\r\n")) + 3
			if lf := bytes.Index(rest, []byte("\n\n")) + 2; lf > 1 && (end < 3 || lf < end) {
				end = lf
			}
			if end < 3 && len(rest) <= maxHeader {
				return nil
			}
			if end < 3 || end > maxHeader {
				return ErrTooLong
			}
			header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(rest[:end]))).ReadMIMEHeader()
			if err != nil {
				return err
			}
			if s.bodyLength, err = contentLength(header); err != nil {
				return err
			}
			s.haveHeader, consumed = true, consumed+end
		}
		if len(s.buffered)-consumed < s.bodyLength {
			return nil
		}
		body := s.buffered[consumed : consumed+s.bodyLength]
		consumed, s.haveHeader = consumed+s.bodyLength, false
		if err := onMessage(body); err != nil {
			return err
		}
	}
}

// AppendMessage appends a message with a body.
func AppendMessage(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
