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
			return fmt.Errorf("%q: bad record", k)
		}
		return nil
	})
}}

// newStoreContent creates a store with records and returns its bytes.
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

// withDamagedRecords returns a copy of a store's bytes with damaged records and valid pages.
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
		{"undamaged", func() []byte { return good }, nil},
		{"of an earlier version", func() []byte { return newStoreContent(t, 1) }, nil},
		{"of a later version", func() []byte { return newStoreContent(t, 3) }, ErrNewer},
		{"empty", func() []byte { return nil }, nil},
		{"another file", func() []byte { return make([]byte, 8192) }, ErrDamaged},
		{"both headers torn", func() []byte { b := append([]byte(nil), good...); b[30] ^= 1; b[4096+30] ^= 1; return b }, ErrDamaged},
		{"cut", func() []byte { return good[:10000] }, ErrDamaged},
		{"a record damaged", func() []byte { return withDamagedRecords(good) }, ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.db")
			noError(t, os.WriteFile(path, c.file(), 0o600))
			db, err := Open(path, testSchema)
			if !errors.Is(err, c.want) {
				t.Fatalf("%v, want %v", err, c.want)
			}
			if err != nil {
				return
			}
			if _, err := Open(path, testSchema); !errors.Is(err, ErrLocked) {
				t.Errorf("opened twice: %v", err)
			}
			if err := db.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestVerifiedOnce checks that a store is verified again if it was written to, or so lately that its modification time does not tell.
func TestVerifiedOnce(t *testing.T) {
	good := newStoreContent(t, 2)
	now := time.Now()
	for _, c := range []struct {
		name          string
		was, is       time.Time // the file's time when it was valid, and when it is damaged
		longer        bool
		another       bool // the damaged one is another file of that name
		verifiedAgain bool
	}{
		{"untouched", now.Add(-time.Minute), now.Add(-time.Minute), false, false, false},
		{"written since", now.Add(-time.Minute), now.Add(-time.Second), false, false, true},
		{"put back to an earlier time", now.Add(-time.Minute), now.Add(-time.Hour), false, false, true},
		{"written within a step of the clock", now.Add(time.Hour), now.Add(time.Hour), false, false, true},
		{"longer", now.Add(-time.Minute), now.Add(-time.Minute), true, false, true},
		{"another file", now.Add(-time.Minute), now.Add(-time.Minute), false, true, true},
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
			if c.another {
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

// FuzzOpen overwrites a part of a store: it is refused, or opens and can be read and written.
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

// noError ends the test if an error has occurred.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
