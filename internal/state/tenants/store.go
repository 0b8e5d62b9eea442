// Package tenants keeps the tenants of a hosted service, their tokens, the answers to requests, and a record of each change in a bbolt file
// that survives crashes. A change, its record and the answer to the request that asked for it are on the disk together or not at all.
//
// Records form a chain: each holds the MAC of the one before it, and the head holds the MAC of the last one, so that edits, gaps and a cut
// at the end are found. The key of the MACs lies in a file beside the store; tokens are kept as MACs only.
//
// Every method is one transaction and returns when it is on the disk. A Store is safe for concurrent use. One process at a time holds the
// file; the processes of a folder open it one after the other.
package tenants

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/state/bolt"
)

// Format is the version of the store's format.
const Format = 1

// Errors of the store, beside those of package bolt.
var (
	// ErrTampered means that records were edited or cut off.
	ErrTampered = errors.New("record of changes was cut or edited")
	// ErrRequestReused means that a request's ID was used before for another change.
	ErrRequestReused = errors.New("request was made before with another content")
	// ErrUnknownToken means that there is no token of that ID.
	ErrUnknownToken = errors.New("no such token")
)

// Permissions of the folder and its files.
const (
	folderMode = 0o750
	storeMode  = 0o640
	keyMode    = 0o600
)

var (
	tenantBucket  = []byte("tenants")
	requestBucket = []byte("requests")
	tokenBucket   = []byte("tokens")
	recordBucket  = []byte("records")
	headBucket    = []byte("head")

	headKey = []byte("head")
)

// Store is an open store.
type Store struct {
	db         *bbolt.DB
	key        []byte
	maxTenants int
}

func storePath(folder string) string { return filepath.Join(folder, "tenants.db") }

func keyPath(folder string) string { return filepath.Join(folder, "tenants.key") }

// Exists reports whether a folder has a store.
func Exists(folder string) bool {
	_, err := os.Stat(storePath(folder))
	return err == nil
}

// Open opens the store in a folder, or creates it, for at most maxTenants at once.
func Open(folder string, maxTenants int) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("tenants: %w", err)
	}
	db, err := bolt.Open(storePath(folder), bolt.Schema{
		Format:  Format,
		Buckets: [][]byte{tenantBucket, requestBucket, tokenBucket, recordBucket, headBucket},
		Check: func(tx *bbolt.Tx) error {
			_, err := readTenants(tx, maxTenants)
			return err
		},
	})
	if err != nil {
		return nil, fmt.Errorf("tenants: %w", err)
	}
	key, err := loadKey(keyPath(folder))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("tenants: %w", err), db.Close())
	}
	return &Store{db, key, maxTenants}, nil
}

// loadKey reads the key of the MACs, or creates it. The caller holds the store.
func loadKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		b = make([]byte, sha256.Size)
		if _, err := rand.Read(b); err != nil {
			return nil, err
		}
		return b, renameio.WriteFile(path, b, keyMode)
	}
	if err == nil && len(b) != sha256.Size {
		err = fmt.Errorf("%s: %d bytes, expected %d", path, len(b), sha256.Size)
	}
	return b, err
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// What a MAC is of: its first part.
var (
	macRecord  = []byte("record")
	macHead    = []byte("head")
	macRequest = []byte("request")
	macToken   = []byte("token")
)

// mac returns the MAC of parts, each with its length.
func (s *Store) mac(parts ...[]byte) []byte {
	m := hmac.New(sha256.New, s.key)
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		m.Write(n[:])
		m.Write(p)
	}
	return m.Sum(nil)
}

// State is what a process needs to know of the store.
type State struct {
	Tenants *tenancy.Registry
	Tokens  map[string]Token // by ID
	Changes uint64           // number of records
}

// Read returns the whole state.
func (s *Store) Read() (st State, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if st.Tenants, err = readTenants(tx, s.maxTenants); err != nil {
			return err
		}
		head, err := readHead(tx)
		if err != nil {
			return err
		}
		st.Changes, st.Tokens = head.Count, map[string]Token{}
		return tx.Bucket(tokenBucket).ForEach(func(k, text []byte) error {
			var t Token
			if err := json.Unmarshal(text, &t); err != nil {
				return fmt.Errorf("token %q: %w", k, err)
			}
			st.Tokens[string(k)] = t
			return nil
		})
	})
	return st, err
}

// Fingerprint returns a number that differs from an earlier one if the store has changed since, even if another store with as many changes
// was put in its place.
func (s *Store) Fingerprint() (fingerprint uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		head, err := readHead(tx)
		if len(head.LastMAC) >= 8 {
			fingerprint = binary.BigEndian.Uint64(head.LastMAC)
		}
		return err
	})
	return fingerprint, err
}

// ChangeCount returns the number of changes so far. It is cheaper than Read.
func (s *Store) ChangeCount() (n uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		head, err := readHead(tx)
		n = head.Count
		return err
	})
	return n, err
}

// milliseconds returns a time in ms since 1970, as package tenancy takes it.
func milliseconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }
