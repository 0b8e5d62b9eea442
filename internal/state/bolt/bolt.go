// Package bolt opens the bbolt files that this program uses as stores. Each file has a format version. Opening fails if a file is damaged, was
// written by a later version, or is locked by another process.
//
// The bbolt library may crash the process on a damaged file. Open therefore verifies every page itself before the library reads the file, and
// every record after that. A file that has not changed since it was last verified is not verified again. The functions are safe for concurrent
// use.
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
	ErrLocked  = errors.New("store is locked by another process")
)

const (
	// lockTimeout is how long Open waits for the lock if another process holds it.
	lockTimeout = 200 * time.Millisecond
	// lockRetryInterval is the time between two attempts to lock a file for verification.
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
	Format  byte                     // version of the format; Open rejects later versions
	Buckets [][]byte                 // names of the buckets that a store must have
	Check   func(tx *bbolt.Tx) error // reads every record, and returns an error if one is malformed
}

// Open opens a store, or creates it if the file does not exist or is empty. The error wraps ErrDamaged, ErrNewer or ErrLocked if that is the
// cause.
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

// RetryWhileLocked calls open until it returns no ErrLocked, at most attempts times, and not again after ctx is done. It returns the last error
// of open. It does not pause between the calls, as Open itself waits for the lock.
func RetryWhileLocked(ctx context.Context, attempts int, open func() error) (err error) {
	for range attempts {
		if err = open(); !errors.Is(err, ErrLocked) || ctx.Err() != nil {
			break
		}
	}
	return err
}

// checkFile verifies the pages of a file, if it exists, under the lock of the file, so that no process writes to it meanwhile. A process that
// writes between this check and the opening of the file leaves valid pages.
func checkFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // the file was opened for reading only; closing it releases the lock
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

// lockFile takes the same lock as bbolt, and returns ErrLocked if another process holds it for longer than lockTimeout.
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

// recoverPanics calls f and turns its panics into ErrDamaged. It protects against damage that the verification of the pages missed: the library
// panics on malformed pages, and reading a page beyond the end of the mapped file causes a memory fault.
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

// verifyOrCreate verifies the records of an open store, or creates the buckets if the store is new.
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

// verify reads the whole store and reports whether it is new. A store without a meta bucket is new.
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
		return false, fmt.Errorf("%w: format version is missing or malformed", ErrDamaged)
	case v[0] > s.Format:
		return false, fmt.Errorf("format version %d, want at most %d: %w", v[0], s.Format, ErrNewer)
	}
	for _, name := range s.Buckets {
		if tx.Bucket(name) == nil {
			return false, fmt.Errorf("%w: bucket %s is missing", ErrDamaged, name)
		}
	}
	if err := s.Check(tx); err != nil {
		return false, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return false, nil
}

// create creates the buckets of a new store and writes its format version. If that fails, the transaction of the caller is rolled back.
func (s *Schema) create(tx *bbolt.Tx) error {
	for _, name := range append([][]byte{metaBucket}, s.Buckets...) {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, []byte{s.Format})
}
