// Package line is the common ground of the project's line protocols: messages are lines of fields, opened by a
// greeting with a header block. It works on bytes and readers alone; time-outs belong to whoever owns the
// connection.
package line

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/textproto"
	"strconv"
)

// Limits of one message, in bytes and header lines.
const (
	MaxLine   = 1024
	MaxHeader = 32
	readAhead = 4096
)

// ErrTooLong is returned when a peer sends more than a message may hold without ending it.
var ErrTooLong = errors.New("message too long")

// limitedReader stops a stream that sends more than a message may hold before a message ended: a line without end would
// otherwise fill the memory.
type limitedReader struct {
	source    io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// Reader reads messages.
type Reader struct {
	source *limitedReader
	buffer *bufio.Reader
	text   *textproto.Reader
	fields [][]byte
}

// NewReader reads from r, which is not read by anyone else after.
func NewReader(r io.Reader) *Reader {
	raw := &limitedReader{source: r, remaining: MaxLine + readAhead}
	buf := bufio.NewReaderSize(raw, readAhead)
	return &Reader{source: raw, buffer: buf, text: textproto.NewReader(buf)}
}

// Next returns the fields of the next line. They hold until the next call. It returns io.EOF between messages
// and io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() ([][]byte, error) {
	r.source.remaining = MaxLine + readAhead
	text, err := r.buffer.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull), err == nil && len(text) > MaxLine:
		return nil, ErrTooLong
	case errors.Is(err, io.EOF) && len(text) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	r.fields, err = split(r.fields[:0], text)
	return r.fields, err
}

// split appends the fields of a line.
func split(fields [][]byte, text []byte) ([][]byte, error) {
	for at := 0; at <= len(text); {
		end := at
		for end < len(text) && text[end] != ' ' {
			if c := text[end]; c < 0x21 || c > 0x7e {
				return nil, fmt.Errorf("byte %#02x in a line", c)
			}
			end++
		}
		if end == at {
			return nil, errors.New("empty field in a line")
		}
		fields = append(fields, text[at:end])
		at = end + 1
	}
	return fields, nil
}

// Splitter takes a stream in the pieces in which it comes: a greeting first, then lines.
type Splitter struct {
	partial []byte // of a message that is not complete
	fields  [][]byte
}

// Greeting takes a piece of the opening, which must be want, with its header block. The header is nil until it is
// complete; what comes after it is to be fed.
func (s *Splitter) Greeting(b []byte, want string) (head textproto.MIMEHeader, after []byte, err error) {
	s.partial = append(s.partial, b...)
	if first := bytes.IndexByte(s.partial, '\n'); first >= 0 { // a wrong opening is not waited out
		if got := bytes.TrimSuffix(s.partial[:first], []byte("\r")); string(got) != want {
			return nil, nil, fmt.Errorf("greeting: %.40q, expected %q", got, want)
		}
	}
	end := bytes.Index(s.partial, []byte("\n\r\n")) + 3
	if lf := bytes.Index(s.partial, []byte("\n\n")) + 2; lf > 1 && (end < 3 || lf < end) {
		end = lf
	}
	if end < 3 {
		if len(s.partial) > MaxHeader*MaxLine {
			return nil, nil, ErrTooLong
		}
		return nil, nil, nil
	}
	if head, err = NewReader(bytes.NewReader(s.partial[:end])).Greeting(want); err != nil {
		return nil, nil, err
	}
	after = bytes.Clone(s.partial[end:])
	s.partial = s.partial[:0]
	return head, after, nil
}

// Feed takes a piece and gives the fields of each line that it completes; they hold for that call alone. The first
// fault of the stream or of the callee ends it.
func (s *Splitter) Feed(b []byte, each func(fields [][]byte) error) error {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if s.partial = append(s.partial, b...); len(s.partial) > MaxLine {
				return ErrTooLong
			}
			return nil
		}
		text := b[:end]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, text...)
			text = s.partial
		}
		if len(text) >= MaxLine {
			return ErrTooLong
		}
		b = b[end+1:]
		var err error
		if s.fields, err = split(s.fields[:0], bytes.TrimSuffix(text, []byte("\r"))); err != nil {
			return err
		}
		if err = each(s.fields); err != nil {
			return err
		}
		s.partial = s.partial[:0]
	}
	return nil
}

// InsideMessage tells whether the stream stands inside a message.
func (s *Splitter) InsideMessage() bool { return len(s.partial) > 0 }

// Buffered tells how many bytes are at hand without another read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Greeting reads the opening line, which must be want, and the header block after it.
func (r *Reader) Greeting(want string) (textproto.MIMEHeader, error) {
	r.source.remaining = MaxHeader*MaxLine + readAhead
	got, err := r.text.ReadLineBytes()
	if err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if string(got) != want {
		return nil, fmt.Errorf("greeting: %.40q, expected %q", got, want)
	}
	head, err := r.text.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if len(head) > MaxHeader {
		return nil, fmt.Errorf("greeting: %d header fields, at most %d", len(head), MaxHeader)
	}
	return head, nil
}

// AppendGreeting appends an opening line and header fields given as name and value in turn.
func AppendGreeting(b []byte, opening string, fields ...string) []byte {
	b = append(append(b, opening...), "\r\n"...)
	for i := 0; i+1 < len(fields); i += 2 {
		b = append(append(append(append(b, fields[i]...), ": "...), fields[i+1]...), "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Fields takes fields one by one and keeps the first fault, so that a decoder reads like the grammar.
type Fields struct {
	remaining [][]byte
	err       error
}

// NewFields starts on the fields after the word of a line.
func NewFields(fields [][]byte) Fields { return Fields{remaining: fields[1:]} }

// Remaining is the number of fields not yet taken.
func (f *Fields) Remaining() int { return len(f.remaining) }

// End returns the first fault; fields left over are one.
func (f *Fields) End() error {
	if f.err == nil && len(f.remaining) > 0 {
		return fmt.Errorf("%d fields too many", len(f.remaining))
	}
	return f.err
}

func (f *Fields) next() []byte {
	if len(f.remaining) == 0 {
		if f.err == nil {
			f.err = errors.New("too few fields")
		}
		return nil
	}
	s := f.remaining[0]
	f.remaining = f.remaining[1:]
	return s
}

// recordError keeps the first fault. The field is copied only here: a string made of it in the calls below stays on the
// stack, so that decoding allocates nothing.
func (f *Fields) recordError(what string, got []byte, bad bool) {
	if bad && f.err == nil {
		f.err = fmt.Errorf("bad %s %.24q", what, bytes.Clone(got))
	}
}

// Uint takes an unsigned decimal of so many bits.
func (f *Fields) Uint(what string, bits int) uint64 {
	s := f.next()
	v, err := strconv.ParseUint(string(s), 10, bits)
	f.recordError(what, s, err != nil)
	return v
}

// Hex takes 64 bits in hexadecimal.
func (f *Fields) Hex(what string) uint64 {
	s := f.next()
	v, err := strconv.ParseUint(string(s), 16, 64)
	f.recordError(what, s, err != nil)
	return v
}

// Float takes a finite decimal.
func (f *Fields) Float(what string) float64 {
	s := f.next()
	v, err := strconv.ParseFloat(string(s), 64)
	f.recordError(what, s, err != nil || math.IsNaN(v) || math.IsInf(v, 0))
	return v
}

// Keyword takes one of the words and returns its place.
func (f *Fields) Keyword(what string, keywords []string) int {
	s := f.next()
	for i, w := range keywords {
		if string(s) == w {
			return i
		}
	}
	f.recordError(what, s, true)
	return 0
}

// Text takes a field as it stands.
func (f *Fields) Text() string { return string(f.next()) }

// AppendNumber appends a space and a float with at most three decimals, enough for milliseconds and shares.
func AppendNumber(b []byte, v float64) []byte {
	b = append(b, ' ')
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.AppendInt(b, int64(v), 10)
	}
	return strconv.AppendFloat(b, v, 'f', 3, 64)
}

// AppendInt appends a space and an unsigned decimal.
func AppendInt(b []byte, v uint64) []byte { return strconv.AppendUint(append(b, ' '), v, 10) }

// AppendHex appends a space and 64 bits in hexadecimal.
func AppendHex(b []byte, v uint64) []byte { return strconv.AppendUint(append(b, ' '), v, 16) }

// AppendText appends a space and a word.
func AppendText(b []byte, s string) []byte { return append(append(b, ' '), s...) }

// EscapeText makes a text fit one field: spaces become dashes, and what no field may hold a question mark.
func EscapeText(s string) string {
	if s == "" {
		return "-"
	}
	b := []byte(s[:min(len(s), 200)])
	for i, c := range b {
		switch {
		case c == ' ':
			b[i] = '-'
		case c < 0x21 || c > 0x7e:
			b[i] = '?'
		}
	}
	return string(b)
}
