package line

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
)

// limitedReader returns ErrTooLong once the limit of a message has been read without the message being complete. Otherwise a line without
// end would exhaust the memory.
type limitedReader struct {
	source    io.Reader
	remaining int // bytes
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// Reader reads messages from an io.Reader.
type Reader struct {
	source *limitedReader
	buffer *bufio.Reader
	text   *textproto.Reader
	fields [][]byte
}

// NewReader returns a Reader of a source. As it reads ahead, nothing else may read the source afterwards.
func NewReader(source io.Reader) *Reader {
	limited := &limitedReader{source: source, remaining: MaxLine + readAhead}
	buffer := bufio.NewReaderSize(limited, readAhead)
	return &Reader{source: limited, buffer: buffer, text: textproto.NewReader(buffer)}
}

// Next returns the fields of the next line, which are valid until the next call. At the end of the stream it returns io.EOF between messages
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
	r.fields, err = splitFields(r.fields[:0], text)
	return r.fields, err
}

// Buffered returns the number of bytes that can be read without another read of the source.
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
	header, err := r.text.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if len(header) > MaxHeader {
		return nil, fmt.Errorf("greeting: %d header fields, at most %d", len(header), MaxHeader)
	}
	return header, nil
}
