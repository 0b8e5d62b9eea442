package clusterstate

import (
	"bytes"
	"encoding/binary"
	"os"
	"testing"
)

// recording reads a file of recorded commands: unsigned varints, and byte strings that begin with their size.
type recording struct {
	t         *testing.T
	remaining []byte
}

func (r *recording) number() uint64 {
	r.t.Helper()
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.t.Fatal("recording ends within a number")
	}
	r.remaining = r.remaining[n:]
	return v
}

func (r *recording) bytes() []byte {
	r.t.Helper()
	size := r.number()
	if size > uint64(len(r.remaining)) {
		r.t.Fatal("recording ends within a byte string")
	}
	b := r.remaining[:size]
	r.remaining = r.remaining[size:]
	return b
}

// TestFormat1 checks the compatibility of formats by commands that commit 9c27d6c encoded. Each command has the result that it had there, the
// final snapshot has the same bytes, and decoding a command and encoding it again yields the same bytes.
func TestFormat1(t *testing.T) {
	data, err := os.ReadFile("testdata/format1/commands") // per command: its encoding, version and result; then the snapshot
	if err != nil {
		t.Fatal(err)
	}
	const commands = 22
	r, state := &recording{t, data}, New()
	results := map[Refusal]int{}
	for range commands {
		command := r.bytes()
		version, want := r.number(), Refusal(r.number())
		got, err := state.Apply(version, command)
		if err != nil || got != want {
			t.Errorf("command %x: got %s, error %v, want %s", command, got, err, want)
		}
		results[got]++
		if c, err := ReadCommand(command); err == nil && c.Change != nil {
			if encoded := c.Append(nil); !bytes.Equal(encoded, command) {
				t.Errorf("command %x, decoded and encoded again: got %x, want no difference", command, encoded)
			}
		}
	}
	snapshot := r.bytes()
	if got := state.Snapshot(); !bytes.Equal(got, snapshot) || len(r.remaining) != 0 {
		t.Errorf("got snapshot %x, want %x; %d bytes of the recording are left, want 0", got, snapshot, len(r.remaining))
	}
	if decoded, err := ReadSnapshot(snapshot); err != nil || !bytes.Equal(decoded.Snapshot(), snapshot) {
		t.Errorf("snapshot, decoded and encoded again: got other bytes or error %v", err)
	}
	for _, refusal := range []Refusal{Accepted, UnknownProcess, StaleZoneVersion, InvalidTransition, HoldDown, LastOpenZone, InvalidShare, Malformed} {
		if results[refusal] == 0 {
			t.Errorf("no recorded command results in %s, want at least one", refusal)
		}
	}
}
