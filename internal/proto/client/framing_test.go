package client

import (
	"bytes"
	"strings"
	"testing"

	"github.com/creachadair/jrpc2/channel"
)

type stream struct{ bytes.Buffer }

func (*stream) Close() error { return nil }

// FuzzSplitter compares the splitter with the JSON-RPC library's own framing: whatever the pieces, a stream has the same messages, as far
// as the splitter's bounds allow.
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
				t.Fatalf("%d bytes taken", len(body))
			}
			want, err := reference.Recv()
			if err != nil { // the library takes fewer header blocks, such as those without a CR
				return
			}
			if string(want) != body {
				t.Fatalf("message %d: %q, by the library %q", i, body, want)
			}
		}
	})
}

// TestFraming splits what the library frames, and has the library read what AppendMessage frames.
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
		t.Errorf("%q, %v", got, err)
	}
	input := &stream{}
	input.Write(AppendMessage(nil, []byte(`{"b":2}`)))
	if body, err := channel.LSP(input, input).Recv(); err != nil || string(body) != `{"b":2}` {
		t.Errorf("%q, %v", body, err)
	}
}

// TestSplitterBounds feeds header blocks that must be rejected.
func TestSplitterBounds(t *testing.T) {
	for name, text := range map[string]string{
		"endless header": strings.Repeat("X: y\r\n", 1000),
		"long body":      "Content-Length: 65537\r\n\r\n",
		"no length":      "X: y\r\n\r\n",
		"two lengths":    "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"negative":       "Content-Length: -1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			if err := s.Feed([]byte(text), func([]byte) error { return nil }); err == nil {
				t.Error("taken")
			}
		})
	}
}
