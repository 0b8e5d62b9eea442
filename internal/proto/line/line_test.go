package line

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

// readWithReader reads the lines of a stream with a Reader.
func readWithReader(stream []byte) (lines []string, err error) {
	reader := NewReader(bytes.NewReader(stream))
	for {
		fields, err := reader.Next()
		if err != nil {
			return lines, err
		}
		lines = append(lines, string(bytes.Join(fields, []byte("|"))))
	}
}

// readWithSplitter reads the lines of a stream with a Splitter, which gets it in pieces of the given size.
func readWithSplitter(stream []byte, size int) (lines []string, err error) {
	var s Splitter
	for at := 0; at < len(stream); at += size {
		if err := s.Feed(stream[at:min(len(stream), at+size)], func(fields [][]byte) error {
			lines = append(lines, string(bytes.Join(fields, []byte("|"))))
			return nil
		}); err != nil {
			return lines, err
		}
	}
	if s.InsideMessage() {
		return lines, io.ErrUnexpectedEOF
	}
	return lines, io.EOF
}

// FuzzSplitter checks that Reader and Splitter return the same lines, whatever the size of the pieces.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("OFFER 1 2\nPING\r\n"), 1)
	f.Add([]byte("a  b\n"), 2)
	f.Add([]byte(strings.Repeat("x", MaxLine+5)+"\n"), 100)
	f.Add([]byte("half a line"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = 1 + max(0, size)%97
		want, werr := readWithReader(stream)
		got, gerr := readWithSplitter(stream, size)
		if !slices.Equal(want, got) || (werr == nil) != (gerr == nil) || errors.Is(werr, io.EOF) != errors.Is(gerr, io.EOF) {
			t.Errorf("Reader returned %q, error %v; Splitter returned %q, error %v; want the same", want, werr, got, gerr)
		}
	})
}

func TestSplitterGreeting(t *testing.T) {
	full := string(AppendGreeting(nil, "TEST 1", "Name", "x")) + "LINE one\n"
	for size := 1; size <= len(full); size++ {
		if got := readAfterGreeting(t, full, size); !slices.Equal(got, []string{"[LINE one]"}) {
			t.Errorf("pieces of %d bytes: got lines %q, want [LINE one]", size, got)
		}
	}
	for name, text := range map[string]string{"wrong opening line": "OTHER 1\r\n", "header without end": "TEST 1\r\n" +
		strings.Repeat("X: "+strings.Repeat("y", 500)+"\r\n", 100), "malformed header": "TEST 1\r\nno colon\r\n\r\n"} {
		var s Splitter
		if _, _, err := s.Greeting([]byte(text), "TEST 1"); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
}

// readAfterGreeting reads a stream in pieces of the given size and returns the lines after the greeting, whose header field Name must be x.
func readAfterGreeting(t *testing.T, stream string, size int) (lines []string) {
	t.Helper()
	var s Splitter
	greeted := false
	for at := 0; at < len(stream); at += size {
		piece := []byte(stream[at:min(len(stream), at+size)])
		if !greeted {
			header, rest, err := s.Greeting(piece, "TEST 1")
			if err != nil {
				t.Fatal(size, err)
			}
			if header == nil {
				continue
			}
			if greeted, piece = true, rest; header.Get("Name") != "x" {
				t.Fatal(header)
			}
		}
		err := s.Feed(piece, func(fields [][]byte) error {
			lines = append(lines, fmt.Sprintf("%s", fields))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return lines
}
