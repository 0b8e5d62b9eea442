package bolt

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

var testSchema = Schema{Format: 2, Buckets: [][]byte{[]byte("things")}, Check: func(tx *bbolt.Tx) error {
	return tx.Bucket([]byte("things")).ForEach(func(k, v []byte) error {
		if len(v) == 0 || v[0] != 'v' {
			return fmt.Errorf("record %q is malformed", k)
		}
		return nil
	})
}}

// newStoreContent creates a store of the given format version with records and returns the content of its file.
func newStoreContent(tb testing.TB, format byte) []byte {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "a.db")
	s := testSchema
	s.Format = format
	db, err := Open(path, s)
	if err != nil {
		tb.Fatal(err)
	}
	for i := range 200 {
		noError(tb, db.Update(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("things")).Put(fmt.Appendf(nil, "k%d", i%70), fmt.Appendf(nil, "v%0200d", i))
		}))
	}
	noError(tb, db.Close())
	b, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// withDamagedRecords returns a copy of a store's content whose pages are valid but whose records are malformed.
func withDamagedRecords(store []byte) []byte {
	b := append([]byte(nil), store...)
	for i := range len(b) - 1 {
		if b[i] == 'v' && b[i+1] == '0' {
			b[i] = 'x'
		}
	}
	return b
}

func TestOpen(t *testing.T) {
	good := newStoreContent(t, 2)
	for _, c := range []struct {
		name string
		file func() []byte
		want error
	}{
		{"valid", func() []byte { return good }, nil},
		{"earlier format version", func() []byte { return newStoreContent(t, 1) }, nil},
		{"later format version", func() []byte { return newStoreContent(t, 3) }, ErrNewer},
		{"empty file", func() []byte { return nil }, nil},
		{"zeroes instead of a store", func() []byte { return make([]byte, 8192) }, ErrDamaged},
		{"both meta pages damaged", func() []byte { b := append([]byte(nil), good...); b[30] ^= 1; b[4096+30] ^= 1; return b }, ErrDamaged},
		{"truncated", func() []byte { return good[:10000] }, ErrDamaged},
		{"malformed records", func() []byte { return withDamagedRecords(good) }, ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.db")
			noError(t, os.WriteFile(path, c.file(), 0o600))
			db, err := Open(path, testSchema)
			if !errors.Is(err, c.want) {
				t.Fatalf("Open returned error %v, want %v", err, c.want)
			}
			if err != nil {
				return
			}
			if _, err := Open(path, testSchema); !errors.Is(err, ErrLocked) {
				t.Errorf("second Open of an open store returned %v, want ErrLocked", err)
			}
			if err := db.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestVerifiedOnce checks that Open verifies a store again only if the file may have changed since the last verification: its time, length or
// identity differ, or it was modified so recently that a later write may have the same modification time.
func TestVerifiedOnce(t *testing.T) {
	good := newStoreContent(t, 2)
	now := time.Now()
	for _, c := range []struct {
		name          string
		was, is       time.Time // modification times of the valid and of the damaged content
		longer        bool      // whether the damaged content is longer
		newFile       bool      // whether the damaged content is in a new file of the same name
		verifiedAgain bool
	}{
		{"same modification time", now.Add(-time.Minute), now.Add(-time.Minute), false, false, false},
		{"later modification time", now.Add(-time.Minute), now.Add(-time.Second), false, false, true},
		{"earlier modification time", now.Add(-time.Minute), now.Add(-time.Hour), false, false, true},
		{"modified too recently", now.Add(time.Hour), now.Add(time.Hour), false, false, true},
		{"longer file", now.Add(-time.Minute), now.Add(-time.Minute), true, false, true},
		{"new file of the same name", now.Add(-time.Minute), now.Add(-time.Minute), false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.db")
			put := func(b []byte, at time.Time) {
				noError(t, errors.Join(os.WriteFile(path, b, 0o600), os.Chtimes(path, at, at)))
			}
			put(good, c.was)
			db, err := Open(path, testSchema)
			if err != nil {
				t.Fatal(err)
			}
			noError(t, db.Close())
			bad := withDamagedRecords(good)
			if c.longer {
				bad = append(bad, make([]byte, 4096)...)
			}
			if c.newFile {
				noError(t, os.Rename(path, path+".old"))
			}
			put(bad, c.is)
			if db, err = Open(path, testSchema); errors.Is(err, ErrDamaged) != c.verifiedAgain {
				t.Error(err)
			}
			if err == nil {
				noError(t, db.Close())
			}
		})
	}
}

// FuzzOpen overwrites a part of a store. Open has to reject the store, or the store can be read and written.
func FuzzOpen(f *testing.F) {
	good := newStoreContent(f, 2)
	f.Add(uint16(0), []byte{1, 2, 3})
	f.Add(uint16(4096), []byte{0xff})
	f.Add(uint16(2*4096+8), []byte{0xff, 0xff, 0xff, 0xff})
	f.Add(uint16(3*4096+10), []byte{0x10, 0, 0xff, 0xff, 9, 9, 9, 9, 9, 9})
	f.Fuzz(func(t *testing.T, at uint16, b []byte) {
		file := append([]byte(nil), good...)
		copy(file[int(at)%len(file):], b)
		path := filepath.Join(t.TempDir(), "a.db")
		noError(t, os.WriteFile(path, file, 0o600))
		db, err := Open(path, testSchema)
		if err != nil {
			if !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
				t.Fatal(err)
			}
			return
		}
		defer func() { noError(t, db.Close()) }()
		noError(t, db.Update(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("things")).Put([]byte("new"), []byte("v")) }))
	})
}

// noError ends the test if err is not nil.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
