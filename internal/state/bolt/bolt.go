// Package bolt opens bbolt files as this program's stores: with a version of their format, and refused when they are damaged, were written by
// a later version, or are held by another process.
//
// The bbolt library may end the process on a damaged file. Open therefore verifies every page itself before the library reads the file, and
// every record after that. A file that has not changed since it was last verified is not verified again. The functions may be called
// concurrently.
package bolt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
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

const (
	// lockTimeout is how long Open waits for another process that holds the store.
	lockTimeout = 200 * time.Millisecond
	// lockRetryInterval is the time between two attempts to lock the file for its verification.
	lockRetryInterval = 5 * time.Millisecond

	folderMode = 0o750
	fileMode   = 0o640
)

var (
	metaBucket = []byte("meta")
	formatKey  = []byte("format")
)

// Schema describes a kind of store.
type Schema struct {
	Format  byte                     // version of the format; later ones are refused
	Buckets [][]byte                 // that the store must have
	Check   func(tx *bbolt.Tx) error // reads every record, and returns an error if one is malformed
}

// Open opens a store, or creates it. The error wraps ErrDamaged, ErrNewer or ErrLocked if that is the cause.
func Open(path string, schema Schema) (*bbolt.DB, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	verify := !verifiedFiles.contains(path, info)
	if verify {
		if err := checkFile(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	db, err := openFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if verify {
		if err := schema.verifyOrCreate(db); err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
		}
		verifiedFiles.add(path, info)
	}
	return db, nil
}

// openFile opens a file whose pages have been verified.
func openFile(path string) (db *bbolt.DB, err error) {
	err = recoverPanics(func() error {
		db, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
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
	return db, err
}

// RetryWhileLocked calls open, again while it returns ErrLocked, at most so many times and not after ctx is done. It returns open's last
// error. There is no pause between the calls, as Open itself waits for the lock.
func RetryWhileLocked(ctx context.Context, attempts int, open func() error) (err error) {
	for range attempts {
		if err = open(); !errors.Is(err, ErrLocked) || ctx.Err() != nil {
			break
		}
	}
	return err
}

// checkFile verifies the pages of a file, if it exists, while no process writes to it. A process that writes before it is opened again
// writes valid pages.
func checkFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // it was opened for reading only; closing it releases the lock
	if err := lockFile(f); err != nil {
		return err
	}
	content, err := io.ReadAll(f)
	if err != nil || len(content) == 0 { // an empty file is a new store
		return err
	}
	if err := CheckPages(content); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// lockFile locks a file as bbolt does, and returns ErrLocked if another process holds it for longer than lockTimeout.
func lockFile(f *os.File) error {
	deadline := time.Now().Add(lockTimeout)
	for {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK):
			return err
		case time.Now().After(deadline):
			return ErrLocked
		}
		time.Sleep(lockRetryInterval)
	}
}

// recoverPanics calls f, which reads a file that may be damaged after all, and turns its panics into ErrDamaged: the library panics on
// malformed pages, and reading a page beyond the end of the mapped file faults.
func recoverPanics(f func() error) (err error) {
	before := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// verifyOrCreate verifies an open store, and creates its buckets if it is new.
func (s *Schema) verifyOrCreate(db *bbolt.DB) error {
	isNew := false
	err := recoverPanics(func() error {
		return db.View(func(tx *bbolt.Tx) (err error) {
			isNew, err = s.verify(tx)
			return err
		})
	})
	if err == nil && isNew {
		err = db.Update(s.create)
	}
	return err
}

// verify reads the whole store. A store without a format is new.
func (s *Schema) verify(tx *bbolt.Tx) (isNew bool, err error) {
	for checkErr := range tx.Check() {
		return false, fmt.Errorf("%w: %w", ErrDamaged, checkErr)
	}
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return true, nil
	}
	switch v := meta.Get(formatKey); {
	case len(v) != 1:
		return false, fmt.Errorf("%w: no format", ErrDamaged)
	case v[0] > s.Format:
		return false, fmt.Errorf("format %d, this program reads up to %d: %w", v[0], s.Format, ErrNewer)
	}
	for _, name := range s.Buckets {
		if tx.Bucket(name) == nil {
			return false, fmt.Errorf("%w: no %s", ErrDamaged, name)
		}
	}
	if err := s.Check(tx); err != nil {
		return false, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return false, nil
}

// create creates all buckets or none.
func (s *Schema) create(tx *bbolt.Tx) error {
	for _, name := range append([][]byte{metaBucket}, s.Buckets...) {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, []byte{s.Format})
}
