package clusterstate

import (
	"bytes"
	"encoding/binary"
	"os"
	"testing"
)

// recording reads a file of recorded commands.
type recording struct {
	t    *testing.T
	rest []byte
}

func (r *recording) number() uint64 {
	r.t.Helper()
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.t.Fatal("the recording is cut off")
	}
	r.rest = r.rest[n:]
	return v
}

func (r *recording) bytes() []byte {
	r.t.Helper()
	size := r.number()
	if size > uint64(len(r.rest)) {
		r.t.Fatal("the recording is cut off")
	}
	b := r.rest[:size]
	r.rest = r.rest[size:]
	return b
}

// TestFormat1 applies commands that commit 9c27d6c encoded: each has the result that it had there, the snapshot at the end has the same
// bytes, and commands that are encoded again have theirs.
func TestFormat1(t *testing.T) {
	text, err := os.ReadFile("testdata/format1/commands")
	if err != nil {
		t.Fatal(err)
	}
	const commands = 22
	r, s := &recording{t, text}, New()
	results := map[Refusal]int{}
	for range commands {
		command := r.bytes()
		version, want := r.number(), Refusal(r.number())
		got, err := s.Apply(version, command)
		if err != nil || got != want {
			t.Errorf("command %x: %s, %v, want %s", command, got, err, want)
		}
		results[got]++
		if c, err := ReadCommand(command); err == nil && c.Change != nil {
			if again := c.Append(nil); !bytes.Equal(again, command) {
				t.Errorf("command %x encoded again: %x", command, again)
			}
		}
	}
	snapshot := r.bytes()
	if got := s.Snapshot(); !bytes.Equal(got, snapshot) || len(r.rest) != 0 {
		t.Errorf("snapshot %x, want %x, %d bytes left", got, snapshot, len(r.rest))
	}
	if again, err := Read(snapshot); err != nil || !bytes.Equal(again.Snapshot(), snapshot) {
		t.Errorf("snapshot read again: %v", err)
	}
	for _, refusal := range []Refusal{Accepted, UnknownProcess, StaleZoneVersion, InvalidTransition, HoldDown, LastOpenZone, InvalidShare, Malformed} {
		if results[refusal] == 0 {
			t.Errorf("no command of the recording results in %s", refusal)
		}
	}
}
