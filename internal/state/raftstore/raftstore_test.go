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

// TestSave saves at random, with the store closed and opened in between, and compares it with a plain list.
func TestSave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "council")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		s, err := Open(dir, "lab")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		var log []string // entry first+i
		first, hard, snapshot := uint64(2), "", ""
		for n := range rapid.IntRange(1, 12).Draw(t, "saves") {
			from, held := uint64(0), uint64(0)
			var entries [][]byte
			var h, snap []byte
			if rapid.Bool().Draw(t, "entries") {
				from = first + rapid.Uint64Range(0, uint64(len(log))).Draw(t, "from")
				for i := range rapid.IntRange(0, 4).Draw(t, "number") {
					entries = append(entries, fmt.Appendf(nil, "%d.%d", n, i))
				}
				log = log[:from-first]
				for _, e := range entries {
					log = append(log, string(e))
				}
			}
			if rapid.Bool().Draw(t, "hard") {
				hard = fmt.Sprint("hard ", n)
				h = []byte(hard)
			}
			if rapid.Bool().Draw(t, "snapshot") {
				snapshot = fmt.Sprint("snapshot ", n)
				snap = []byte(snapshot)
				held = first - 1 + rapid.Uint64Range(0, uint64(len(log))).Draw(t, "held")
				log = slices.Clone(log[held+1-first:])
				first = held + 1
			}
			if err := s.Save(h, from, entries, snap, held); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "again") {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if s, err = Open(dir, "lab"); err != nil {
					t.Fatal(err)
				}
			}
			got, err := s.Load()
			var texts []string
			for _, e := range got.Entries {
				texts = append(texts, string(e))
			}
			if err != nil || string(got.Hard) != hard || string(got.Snapshot) != snapshot || !slices.Equal(texts, log) {
				t.Fatalf("%q %q %q, want %q %q %q, %v", got.Hard, got.Snapshot, texts, hard, snapshot, log, err)
			}
		}
	})
}

func TestRefused(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "lab")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(nil, 2, [][]byte{[]byte("x")}, nil, 0); err != nil {
		t.Fatal(err)
	}
	s.Close()
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
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "lab"); !errors.Is(err, bolt.ErrDamaged) {
		t.Errorf("damaged: %v", err)
	}
}
