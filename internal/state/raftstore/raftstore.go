// Package council keeps what a steward of the book must not forget, in a store that survives crashes: nothing that it has
// answered for is lost, wherever its process is killed. A store that is damaged, of a later form or of another site is
// refused.
package raftstore

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/state/bolt"
)

// Format is the version of the store; one written by a later version is refused.
const Format = 1

var (
	stateBucket = []byte("state")
	logBucket   = []byte("log")

	siteKey     = []byte("site")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
)

// Store is a steward's.
type Store struct{ db *bbolt.DB }

// Open opens the store in a folder, or makes it for a site.
func Open(folder, site string) (*Store, error) {
	db, err := bolt.Open(filepath.Join(folder, "council.db"), bolt.Schema{
		Format: Format, Buckets: [][]byte{stateBucket, logBucket},
		Check: func(tx *bbolt.Tx) error {
			if was := tx.Bucket(stateBucket).Get(siteKey); was != nil && string(was) != site {
				return fmt.Errorf("it is of site %q, not %q", was, site)
			}
			last := uint64(0)
			return tx.Bucket(logBucket).ForEach(func(k, _ []byte) error {
				if len(k) != 8 || last > 0 && binary.BigEndian.Uint64(k) != last+1 {
					return fmt.Errorf("entry %x after %d", k, last)
				}
				last = binary.BigEndian.Uint64(k)
				return nil
			})
		},
	})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	s := &Store{db}
	if err := db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stateBucket).Put(siteKey, []byte(site)) }); err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	return s, nil
}

// Load gives all that was saved.
func (s *Store) Load() (saved consensus.PersistedState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		saved.Hard = append([]byte(nil), tx.Bucket(stateBucket).Get(hardKey)...)
		saved.Snapshot = append([]byte(nil), tx.Bucket(stateBucket).Get(snapshotKey)...)
		return tx.Bucket(logBucket).ForEach(func(_, v []byte) error {
			saved.Entries = append(saved.Entries, append([]byte(nil), v...))
			return nil
		})
	})
	return saved, err
}

// Save writes all of it or nothing, and returns when it is on the disk. Entries that a snapshot holds are dropped.
func (s *Store) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if hard != nil {
			if err := state.Put(hardKey, hard); err != nil {
				return err
			}
		}
		if snapshot != nil {
			if err := state.Put(snapshotKey, snapshot); err != nil {
				return err
			}
		}
		c := log.Cursor()
		if from > 0 {
			for k, _ := c.Seek(key(from)); k != nil; k, _ = c.Seek(key(from)) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
			for i, e := range entries {
				if err := log.Put(key(from+uint64(i)), e); err != nil {
					return err
				}
			}
		}
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= held; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }
