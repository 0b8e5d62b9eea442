// Package raftstore keeps the Raft state of a voter in a bbolt file that survives crashes. No state that the voter has
// acknowledged to others is lost, whenever its process is killed. Open rejects a file that is damaged, has a later format version or belongs to
// another site.
//
// Save and Load are one transaction each; Save returns when the transaction is durable. A Store is safe for concurrent use. One process at a
// time holds the lock of the file.
package raftstore

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/state/bolt"
)

// Format is the version of the store's format.
const Format = 1

var (
	stateBucket = []byte("state")
	logBucket   = []byte("log") // log entries by entryKey, without gaps

	// Keys of stateBucket.
	siteKey     = []byte("site")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
)

// Store is the store of one voter.
type Store struct{ db *bbolt.DB }

// Open opens the store in a folder, or creates it for a site. The error wraps bolt.ErrDamaged, bolt.ErrNewer or bolt.ErrLocked if that is the
// cause. A store that belongs to another site counts as damaged.
func Open(folder, site string) (*Store, error) {
	schema := bolt.Schema{
		Format:  Format,
		Buckets: [][]byte{stateBucket, logBucket},
		Check:   func(tx *bbolt.Tx) error { return checkRecords(tx, site) },
	}
	db, err := bolt.Open(filepath.Join(folder, "council.db"), schema)
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stateBucket).Put(siteKey, []byte(site)) }); err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	return &Store{db}, nil
}

// checkRecords verifies that the store belongs to the site and that its log has no gaps.
func checkRecords(tx *bbolt.Tx, site string) error {
	if stored := tx.Bucket(stateBucket).Get(siteKey); stored != nil && string(stored) != site {
		return fmt.Errorf("store belongs to site %q, want site %q", stored, site)
	}
	last := uint64(0)
	return tx.Bucket(logBucket).ForEach(func(k, _ []byte) error {
		if len(k) != 8 || last > 0 && binary.BigEndian.Uint64(k) != last+1 {
			return fmt.Errorf("log entry with key %x follows entry %d", k, last)
		}
		last = binary.BigEndian.Uint64(k)
		return nil
	})
}

// Load returns the saved hard state, snapshot and log entries.
func (s *Store) Load() (saved consensus.PersistedState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		saved.HardState = append([]byte(nil), tx.Bucket(stateBucket).Get(hardKey)...)
		saved.Snapshot = append([]byte(nil), tx.Bucket(stateBucket).Get(snapshotKey)...)
		return tx.Bucket(logBucket).ForEach(func(_, v []byte) error {
			saved.Entries = append(saved.Entries, append([]byte(nil), v...))
			return nil
		})
	})
	return saved, err
}

// Save writes its arguments in one transaction and returns when they are durable. The entries replace all stored entries from index from on; a
// from of 0 replaces none. Entries up to snapshotIndex, which the snapshot covers, are deleted. A nil hard state or snapshot leaves the stored
// one unchanged.
func (s *Store) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, snapshotIndex uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putUnlessNil(tx, hardKey, hard); err != nil {
			return err
		}
		if err := putUnlessNil(tx, snapshotKey, snapshot); err != nil {
			return err
		}
		if from > 0 {
			if err := replaceEntries(tx.Bucket(logBucket), from, entries); err != nil {
				return err
			}
		}
		return deleteEntries(tx.Bucket(logBucket), snapshotIndex)
	})
}

// putUnlessNil writes a value of stateBucket, or leaves the stored one if value is nil.
func putUnlessNil(tx *bbolt.Tx, key, value []byte) error {
	if value == nil {
		return nil
	}
	return tx.Bucket(stateBucket).Put(key, value)
}

// replaceEntries deletes the entries from an index on and writes the new entries there.
func replaceEntries(log *bbolt.Bucket, from uint64, entries [][]byte) error {
	c := log.Cursor()
	for k, _ := c.Seek(entryKey(from)); k != nil; k, _ = c.Seek(entryKey(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for i, e := range entries {
		if err := log.Put(entryKey(from+uint64(i)), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries up to an index.
func deleteEntries(log *bbolt.Bucket, upTo uint64) error {
	c := log.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= upTo; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of the log entry at an index. Keys sort by index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }
