package line

import (
	"bytes"
	"fmt"
	"net/textproto"
)

// Splitter splits a stream that arrives in pieces: first the greeting, then the lines.
type Splitter struct {
	partial []byte // the received part of an incomplete message
	fields  [][]byte
}

// Greeting takes a piece of the greeting, whose opening line must be want. The header is nil until the greeting is complete; rest is then the
// part of the piece that follows the greeting, which has to be passed to Feed.
func (s *Splitter) Greeting(piece []byte, want string) (header textproto.MIMEHeader, rest []byte, err error) {
	s.partial = append(s.partial, piece...)
	if lineEnd := bytes.IndexByte(s.partial, '\n'); lineEnd >= 0 { // a wrong opening line is reported at once
		if got := bytes.TrimSuffix(s.partial[:lineEnd], []byte("\r")); string(got) != want {
			return nil, nil, fmt.Errorf("greeting: %.40q, expected %q", got, want)
		}
	}
	end, ok := headerEnd(s.partial)
	if !ok {
		if len(s.partial) > MaxHeader*MaxLine {
			return nil, nil, ErrTooLong
		}
		return nil, nil, nil
	}
	if header, err = NewReader(bytes.NewReader(s.partial[:end])).Greeting(want); err != nil {
		return nil, nil, err
	}
	rest = bytes.Clone(s.partial[end:])
	s.partial = s.partial[:0]
	return header, rest, nil
}

// headerEnd returns the end of the first empty line, which ends a header block.
func headerEnd(text []byte) (end int, ok bool) {
	end = -1
	for _, separator := range []string{"\n\r\n", "\n\n"} {
		if index := bytes.Index(text, []byte(separator)); index >= 0 && (end < 0 || index+len(separator) < end) {
			end = index + len(separator)
		}
	}
	return end, end >= 0
}

// Feed takes a piece and calls onLine with the fields of each line that it completes; they are valid for that call only. Feed returns at the
// first error, of the input or of onLine; the stream can't be read further then.
func (s *Splitter) Feed(piece []byte, onLine func(fields [][]byte) error) error {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			if s.partial = append(s.partial, piece...); len(s.partial) > MaxLine {
				return ErrTooLong
			}
			return nil
		}
		text := piece[:end]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, text...)
			text = s.partial
		}
		if len(text) >= MaxLine {
			return ErrTooLong
		}
		piece = piece[end+1:]
		var err error
		if s.fields, err = splitFields(s.fields[:0], bytes.TrimSuffix(text, []byte("\r"))); err != nil {
			return err
		}
		if err = onLine(s.fields); err != nil {
			return err
		}
		s.partial = s.partial[:0]
	}
	return nil
}

// InsideMessage returns whether the stream ends in the middle of a message so far.
func (s *Splitter) InsideMessage() bool { return len(s.partial) > 0 }
