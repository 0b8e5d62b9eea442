// Package tenants stores the tenants of a hosted service, their tokens, the responses to requests, and an audit record of each change in a
// bbolt file that survives crashes. A change, its record and the response to its request are written in one transaction.
//
// Records form a chain: each has the MAC of the previous one, and the head has the MAC of the last one, so that edited, missing and
// truncated records are detected. The key of the MACs is in a file beside the store. Of tokens only MACs are stored.
//
// Every method is one transaction and returns when it is durable. A Store is safe for concurrent use. One process at a time holds the lock of
// the file; processes that use the same folder open it one after the other.
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

// Errors of the store, in addition to those of package bolt.
var (
	// ErrTampered means that audit records were edited, removed or truncated.
	ErrTampered = errors.New("record of changes was cut or edited")
	// ErrRequestReused means that the ID of a request was used before for a different change.
	ErrRequestReused = errors.New("request ID was used before for a different change")
	// ErrUnknownToken means that no token has the given ID.
	ErrUnknownToken = errors.New("token not found")
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

// Open opens the store in a folder, or creates it. maxTenants limits how many tenants may exist at the same time.
func Open(folder string, maxTenants int) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("tenant store: %w", err)
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
		return nil, fmt.Errorf("tenant store: %w", err)
	}
	key, err := loadKey(keyPath(folder))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("tenant store: %w", err), db.Close())
	}
	return &Store{db, key, maxTenants}, nil
}

// loadKey reads the key of the MACs, or creates it. The caller holds the lock of the store.
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
		err = fmt.Errorf("key file %s has %d bytes, want %d", path, len(b), sha256.Size)
	}
	return b, err
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// The first part of the input of a MAC names the kind of the content that it covers.
var (
	macRecord  = []byte("record")
	macHead    = []byte("head")
	macRequest = []byte("request")
	macToken   = []byte("token")
)

// mac returns the MAC of the parts. The length of each part is included, so that different parts can't have the same input.
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

// State is the content of the store that a process uses.
type State struct {
	Tenants *tenancy.Registry
	Tokens  map[string]Token // by ID
	Changes uint64           // number of audit records
}

// Read returns the tenants, the tokens and the number of changes.
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

// Fingerprint returns a number that changes whenever the store changes, even if the file is replaced by another store with the same number of
// changes.
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

// ChangeCount returns the number of audit records. It is cheaper than Read.
func (s *Store) ChangeCount() (n uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		head, err := readHead(tx)
		n = head.Count
		return err
	})
	return n, err
}

// milliseconds converts a time to milliseconds since 1970, the unit of package tenancy.
func milliseconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }
