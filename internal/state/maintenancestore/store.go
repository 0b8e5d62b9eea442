// Package maintenancestore stores the maintenance calendar, the drains that were begun for its windows, and the load from which decisions on
// windows are made, in a bbolt file that survives crashes. A drain that was begun is neither lost nor begun twice, whenever the process is
// killed.
//
// Every method is one transaction and returns when it is durable. A Store is safe for concurrent use. One process at a time holds the lock of
// the file.
package maintenancestore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenpond/internal/state/bolt"
)

// Format is the version of the store's format.
const Format = 1

// Errors of the store.
var (
	// ErrDamaged means that the file is damaged and can't be read.
	ErrDamaged = bolt.ErrDamaged
	// ErrNewer means that a later version of the program wrote the file.
	ErrNewer = bolt.ErrNewer
	// ErrLocked means that another process holds the lock of the file.
	ErrLocked = bolt.ErrLocked
	// ErrNotFound means that no window or drain has the given name.
	ErrNotFound = errors.New("maintenance window or drain not found")
)

const fileMode = 0o640

var (
	eventBucket = []byte("events") // iCalendar texts by the ID of the window or protected time
	drainBucket = []byte("begun")  // drains in JSON by drainKey
	loadBucket  = []byte("load")   // created at the first write, as stores of earlier versions do not have it

	measuredKey  = []byte("measured")
	publishedKey = []byte("usual")
)

// Store is the store of one scheduler process.
type Store struct{ db *bbolt.DB }

func storePath(folder string) string { return filepath.Join(folder, "drains.db") }

// Exists reports whether a folder has a store.
func Exists(folder string) bool {
	_, err := os.Stat(storePath(folder))
	return err == nil
}

// Open opens the store in a folder, or creates it. The error wraps ErrDamaged, ErrNewer or ErrLocked if that is the cause.
func Open(folder string) (*Store, error) {
	schema := bolt.Schema{Format: Format, Buckets: [][]byte{eventBucket, drainBucket}, Check: checkRecords}
	db, err := bolt.Open(storePath(folder), schema)
	if err != nil {
		return nil, fmt.Errorf("maintenance store: %w", err)
	}
	return &Store{db}, nil
}

// checkRecords reads every record, and returns an error if one is malformed.
func checkRecords(tx *bbolt.Tx) error {
	if _, err := readCalendar(tx); err != nil {
		return err
	}
	if _, err := readDrains(tx); err != nil {
		return err
	}
	_, _, err := readLoads(tx)
	return err
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// CopyTo writes a consistent copy of the whole store to a file that Open can read.
func (s *Store) CopyTo(path string) error {
	return s.db.View(func(tx *bbolt.Tx) error { return tx.CopyFile(path, fileMode) })
}
