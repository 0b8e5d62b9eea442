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

// model is what a store should hold.
type model struct {
	hard, snapshot string
	first          uint64   // index of the first log entry
	log            []string // entry first+i
}

// saveArguments is the arguments of one call of Save.
type saveArguments struct {
	hard, snapshot      []byte
	from, snapshotIndex uint64
	entries             [][]byte
}

// drawSave draws the n-th save and applies it to the model.
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
		w.snapshotIndex = m.first - 1 + rapid.Uint64Range(0, uint64(len(m.log))).Draw(t, "held")
		m.log = slices.Clone(m.log[w.snapshotIndex+1-m.first:])
		m.first = w.snapshotIndex + 1
	}
	return w
}

// expectStored compares a store with the model.
func (m *model) expectStored(t *rapid.T, s *Store) {
	got, err := s.Load()
	var texts []string
	for _, e := range got.Entries {
		texts = append(texts, string(e))
	}
	if err != nil || string(got.Hard) != m.hard || string(got.Snapshot) != m.snapshot || !slices.Equal(texts, m.log) {
		t.Fatalf("%q %q %q, want %q %q %q, %v", got.Hard, got.Snapshot, texts, m.hard, m.snapshot, m.log, err)
	}
}

// TestSave saves at random, with the store closed and opened in between, and compares it with a model.
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
			if rapid.Bool().Draw(t, "again") {
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
		t.Errorf("another site's: %v", err)
	}
	path := filepath.Join(dir, "council.db")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 4096; i < len(text); i += 7 {
		text[i] ^= 0x55
	}
	noError(t, os.WriteFile(path, text, 0o600))
	if _, err := Open(dir, "lab"); !errors.Is(err, bolt.ErrDamaged) {
		t.Errorf("damaged: %v", err)
	}
}

// noError ends the test if an error has occurred.
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
