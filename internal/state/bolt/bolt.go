// Package bolt opens bbolt files as this program's stores: with a version of their format, and refused, not guessed at, when
// they are damaged, were written by a later version or are held by another process.
package bolt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors of opening a store.
var (
	ErrDamaged = errors.New("store is damaged")
	ErrNewer   = errors.New("store was written by a later version")
	ErrLocked  = errors.New("store is held by another process")
)

var (
	metaBucket = []byte("meta")
	formatKey  = []byte("format")
)

// Schema is what a store of this program is like.
type Schema struct {
	Format  byte     // its version; a later one is refused
	Buckets [][]byte // that it must have
	Check   func(tx *bbolt.Tx) error
}

// lockTimeout is how long one waits for another process that has the store.
const lockTimeout = 200 * time.Millisecond

// checked are the files that this process has found sound, as they were then. Stores are opened for a look at a time, twice a
// second: one that nobody has written to since is not walked again.
var checked struct {
	sync.Mutex
	as map[string]os.FileInfo
}

// minFileAge is how old a file's time must be to tell it from what is written next: its clock ticks in steps.
const minFileAge = time.Second

// isUnchanged tells whether a file is as it was when it was found sound.
func isUnchanged(path string, current os.FileInfo) bool {
	checked.Lock()
	defer checked.Unlock()
	previous := checked.as[path]
	return previous != nil && current != nil && os.SameFile(previous, current) && previous.Size() == current.Size() && previous.ModTime().Equal(current.ModTime())
}

// recordChecked notes a file as it was before it was walked.
func recordChecked(path string, info os.FileInfo) {
	checked.Lock()
	defer checked.Unlock()
	if checked.as == nil {
		checked.as = map[string]os.FileInfo{}
	}
	if delete(checked.as, path); info != nil && time.Since(info.ModTime()) > minFileAge {
		checked.as[path] = info
	}
}

// Open opens a store, or makes it. Every page and, by the shape's check, every record is read before it is used, once for
// each change of the file.
func Open(path string, schema Schema) (db *bbolt.DB, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	full := !isUnchanged(path, info)
	if full {
		if err := checkFile(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	err = recoverFaults(func() error {
		db, err = bbolt.Open(path, 0o640, &bbolt.Options{Timeout: lockTimeout})
		switch {
		case errors.Is(err, bolterrors.ErrTimeout):
			return ErrLocked
		case errors.Is(err, bolterrors.ErrVersionMismatch):
			return ErrNewer
		case err != nil:
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	empty := false
	if err = recoverFaults(func() error { return db.View(func(tx *bbolt.Tx) error { return schema.verify(tx, full, &empty) }) }); err == nil && empty {
		err = db.Update(schema.create)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	if full {
		recordChecked(path, info)
	}
	return db, nil
}

// RetryWhileLocked does something with a store, again while another process has it, so many times at most. Each opening waits a moment
// for whoever has it.
func RetryWhileLocked(ctx context.Context, attempts int, do func() error) (err error) {
	for range attempts {
		if err = do(); !errors.Is(err, ErrLocked) || ctx.Err() != nil {
			break
		}
	}
	return err
}

// checkFile reads a file that is there, while nobody writes to it. Whoever does so before it is opened again writes what is sound.
func checkFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close() // which gives up the lock
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(5 * time.Millisecond) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		} else if !errors.Is(err, syscall.EWOULDBLOCK) {
			return err
		} else if time.Now().After(deadline) {
			return ErrLocked
		}
	}
	content, err := io.ReadAll(f)
	if err != nil || len(content) == 0 { // nothing was written yet
		return err
	}
	if err := CheckPages(content); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// recoverFaults calls what reads a file that may be damaged after all: the library panics on pages that make no sense, and a page
// beyond the end of the mapped file faults.
func recoverFaults(f func() error) (err error) {
	before := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

func (s *Schema) verify(tx *bbolt.Tx, full bool, empty *bool) error {
	if !full {
		return nil
	}
	for fault := range tx.Check() {
		return fmt.Errorf("%w: %w", ErrDamaged, fault)
	}
	meta := tx.Bucket(metaBucket)
	if *empty = meta == nil; *empty {
		return nil
	}
	switch v := meta.Get(formatKey); {
	case len(v) != 1:
		return fmt.Errorf("%w: no format", ErrDamaged)
	case v[0] > s.Format:
		return fmt.Errorf("format %d, this program reads up to %d: %w", v[0], s.Format, ErrNewer)
	}
	for _, name := range s.Buckets {
		if tx.Bucket(name) == nil {
			return fmt.Errorf("%w: no %s", ErrDamaged, name)
		}
	}
	if err := s.Check(tx); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// create makes all buckets or none.
func (s *Schema) create(tx *bbolt.Tx) error {
	for _, name := range append([][]byte{metaBucket}, s.Buckets...) {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, []byte{s.Format})
}
