package client

import (
	"bytes"
	"strings"
	"testing"

	"github.com/creachadair/jrpc2/channel"
)

type stream struct{ bytes.Buffer }

func (*stream) Close() error { return nil }

// FuzzSplitter compares the splitter with the framing of the JSON-RPC library: whatever the size of the pieces, both must find the same
// messages in a stream, as far as the splitter's limits allow.
func FuzzSplitter(f *testing.F) {
	f.Add(AppendMessage(AppendMessage(nil, []byte(`{"a":1}`)), []byte(`[]`)), 3)
	f.Add([]byte("Content-Length: 3\n\nabcContent-Length: 99999999\r\n\r\n"), 1)
	f.Add([]byte("Content-Length: x\r\n\r\n"), 7)
	f.Add([]byte("Content-Type: text/x\r\nContent-Length: 2\r\n\r\n{}"), 2)
	f.Add([]byte("X: "+strings.Repeat("y", 3000)+"\r\n\r\n"), 50)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		size = 1 + max(0, size)%97
		var got []string
		var s Splitter
		var err error
		for at := 0; at < len(b) && err == nil; at += size {
			err = s.Feed(b[at:min(len(b), at+size)], func(body []byte) error {
				got = append(got, string(body))
				return nil
			})
		}
		input := &stream{}
		input.Write(b)
		reference := channel.Header("")(input, input)
		for i, body := range got {
			if len(body) > MaxBody {
				t.Fatalf("got a body of %d bytes, want at most MaxBody", len(body))
			}
			want, err := reference.Recv()
			if err != nil { // the library rejects some header blocks that the splitter accepts, such as those without a CR
				return
			}
			if string(want) != body {
				t.Fatalf("message %d: splitter returned %q, library returned %q", i, body, want)
			}
		}
	})
}

// TestFraming checks that Splitter reads messages that the library writes, and that the library reads a message that AppendMessage writes.
func TestFraming(t *testing.T) {
	out := &stream{}
	reference := channel.LSP(out, out)
	for _, body := range []string{`{"a":1}`, ``, `[1,2]`} {
		if err := reference.Send([]byte(body)); err != nil {
			t.Fatal(err)
		}
	}
	var s Splitter
	var got []string
	if err := s.Feed(out.Bytes(), func(body []byte) error { got = append(got, string(body)); return nil }); err != nil ||
		strings.Join(got, "|") != `{"a":1}||[1,2]` {
		t.Errorf("got messages %q, error %v; want those that the library wrote", got, err)
	}
	input := &stream{}
	input.Write(AppendMessage(nil, []byte(`{"b":2}`)))
	if body, err := channel.LSP(input, input).Recv(); err != nil || string(body) != `{"b":2}` {
		t.Errorf("library read %q, error %v; want {\"b\":2}", body, err)
	}
}

// TestSplitterBounds checks that malformed header blocks, and those beyond the limits, are rejected.
func TestSplitterBounds(t *testing.T) {
	for name, text := range map[string]string{
		"header without end":        strings.Repeat("X: y\r\n", 1000),
		"body above the limit":      "Content-Length: 65537\r\n\r\n",
		"no Content-Length":         "X: y\r\n\r\n",
		"two Content-Length fields": "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"negative Content-Length":   "Content-Length: -1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			if err := s.Feed([]byte(text), func([]byte) error { return nil }); err == nil {
				t.Error("the header is accepted, want an error")
			}
		})
	}
}
