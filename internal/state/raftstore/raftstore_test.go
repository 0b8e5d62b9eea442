package raftstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/state/bolt"
)

// model is the expected content of a store.
type model struct {
	hard, snapshot string
	first          uint64   // index of the first log entry
	log            []string // entry first+i
}

// saveArguments has the arguments of one call of Save.
type saveArguments struct {
	hard, snapshot      []byte
	from, snapshotIndex uint64
	entries             [][]byte
}

// drawSave draws the arguments of the n-th call of Save and applies them to the model.
func (m *model) drawSave(t *rapid.T, n int) (w saveArguments) {
	if rapid.Bool().Draw(t, "entries") {
		w.from = m.first + rapid.Uint64Range(0, uint64(len(m.log))).Draw(t, "from")
		m.log = m.log[:w.from-m.first]
		for i := range rapid.IntRange(0, 4).Draw(t, "number") {
			entry := fmt.Sprintf("%d.%d", n, i)
			w.entries = append(w.entries, []byte(entry))
			m.log = append(m.log, entry)
		}
	}
	if rapid.Bool().Draw(t, "hard") {
		m.hard = fmt.Sprint("hard ", n)
		w.hard = []byte(m.hard)
	}
	if rapid.Bool().Draw(t, "snapshot") {
		m.snapshot = fmt.Sprint("snapshot ", n)
		w.snapshot = []byte(m.snapshot)
		w.snapshotIndex = m.first - 1 + rapid.Uint64Range(0, uint64(len(m.log))).Draw(t, "snapshotIndex")
		m.log = slices.Clone(m.log[w.snapshotIndex+1-m.first:])
		m.first = w.snapshotIndex + 1
	}
	return w
}

// expectStored checks that a store has the content of the model.
func (m *model) expectStored(t *rapid.T, s *Store) {
	got, err := s.Load()
	var texts []string
	for _, e := range got.Entries {
		texts = append(texts, string(e))
	}
	if err != nil || string(got.HardState) != m.hard || string(got.Snapshot) != m.snapshot || !slices.Equal(texts, m.log) {
		t.Fatalf("got hard state %q, snapshot %q, entries %q, want %q, %q, %q, error %v", got.HardState, got.Snapshot, texts, m.hard, m.snapshot, m.log, err)
	}
}

// TestSave compares a store with a model after each of a random sequence of saves, some followed by closing and reopening the store.
func TestSave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "council")
		noError(t, err)
		defer func() { noError(t, os.RemoveAll(dir)) }()
		s, err := Open(dir, "lab")
		noError(t, err)
		defer func() { noError(t, s.Close()) }()
		m := &model{first: 2}
		for n := range rapid.IntRange(1, 12).Draw(t, "saves") {
			w := m.drawSave(t, n)
			noError(t, s.Save(w.hard, w.from, w.entries, w.snapshot, w.snapshotIndex))
			if rapid.Bool().Draw(t, "reopen") {
				noError(t, s.Close())
				s, err = Open(dir, "lab")
				noError(t, err)
			}
			m.expectStored(t, s)
		}
	})
}

func TestRefused(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "lab")
	if err != nil {
		t.Fatal(err)
	}
	noError(t, s.Save(nil, 2, [][]byte{[]byte("x")}, nil, 0))
	noError(t, s.Close())
	if _, err := Open(dir, "another"); err == nil || !strings.Contains(err.Error(), `site "lab"`) {
		t.Errorf("Open for another site returned %v, want an error that names site lab", err)
	}
	path := filepath.Join(dir, "council.db")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 4096; i < len(content); i += 7 {
		content[i] ^= 0x55
	}
	noError(t, os.WriteFile(path, content, 0o600))
	if _, err := Open(dir, "lab"); !errors.Is(err, bolt.ErrDamaged) {
		t.Errorf("Open of a damaged store returned %v, want ErrDamaged", err)
	}
}

// noError ends the test if err is not nil.
func noError(t interface {
	Helper()
	Fatal(args ...any)
}, err error,
) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
