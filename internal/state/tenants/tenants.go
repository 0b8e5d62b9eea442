// Package tenants keeps the tenants of a hosted service, their tokens and a record of each change in a store that survives
// crashes. A change, its record and the answer to the request that brought it are on the disk together or not at all.
package tenants

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/state/bolt"
)

// Format is the version of the store.
const Format = 1

// Errors of the store beside those of package bolt.
var (
	ErrTampered      = errors.New("record of changes was cut or edited")
	ErrRequestReused = errors.New("request was made before with another content")
	ErrUnknownToken  = errors.New("no such token")
)

var (
	tenantBucket  = []byte("tenants")
	requestBucket = []byte("requests")
	tokenBucket   = []byte("tokens")
	recordBucket  = []byte("records")
	headBucket    = []byte("head")
	headKey       = []byte("head")
)

// responseRetention is how long the answer to a request is kept for who asks again.
const responseRetention = 24 * time.Hour

// Store is one process's, or shared by those of a folder one after the other.
type Store struct {
	db         *bbolt.DB
	key        []byte
	maxTenants int
}

func storePath(folder string) string { return filepath.Join(folder, "tenants.db") }

// Exists tells whether a folder has a store.
func Exists(folder string) bool {
	_, err := os.Stat(storePath(folder))
	return err == nil
}

// Open opens the store in a folder, or makes it, for so many tenants at once.
func Open(folder string, maxTenants int) (*Store, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
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
	key, err := loadKey(filepath.Join(folder, "tenants.key"))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("tenants: %w", err), db.Close())
	}
	return &Store{db, key, maxTenants}, nil
}

// loadKey reads the key of the records and tokens, and makes it where there is none; under the lock of the store.
func loadKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		b = make([]byte, sha256.Size)
		if _, err := rand.Read(b); err != nil {
			return nil, err
		}
		return b, renameio.WriteFile(path, b, 0o600)
	}
	if err == nil && len(b) != sha256.Size {
		err = fmt.Errorf("%s: %d bytes, expected %d", path, len(b), sha256.Size)
	}
	return b, err
}

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

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

func readTenants(tx *bbolt.Tx, maxTenants int) (*tenancy.Registry, error) {
	registry := tenancy.New(maxTenants)
	err := tx.Bucket(tenantBucket).ForEach(func(k, text []byte) error {
		var t tenancy.Tenant
		if err := json.Unmarshal(text, &t); err != nil {
			return fmt.Errorf("tenant %q: %w", k, err)
		}
		return registry.Restore(t)
	})
	return registry, err
}

// ChainHead names the last change: what was read at another head may be old.
type ChainHead struct {
	Count   uint64 `json:"Count"`
	LastMAC []byte `json:"Mac"` // of the last record
	MAC     []byte `json:"Sum"` // of the two before, so that records can't be cut off unseen
}

func (s *Store) readHead(tx *bbolt.Tx) (h ChainHead, err error) {
	text := tx.Bucket(headBucket).Get(headKey)
	if text == nil {
		return h, nil
	}
	err = json.Unmarshal(text, &h)
	return h, err
}

// State is what a process needs to know.
type State struct {
	Tenants *tenancy.Registry
	Tokens  map[string]Token // by their ids
	Changes uint64           // of changes
}

// Read gives all of it.
func (s *Store) Read() (st State, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if st.Tenants, err = readTenants(tx, s.maxTenants); err != nil {
			return err
		}
		h, err := s.readHead(tx)
		if err != nil {
			return err
		}
		st.Changes, st.Tokens = h.Count, map[string]Token{}
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

// Fingerprint tells one state of the store from another, also where it was put in the place of one with as many changes.
func (s *Store) Fingerprint() (fingerprint uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.readHead(tx)
		if len(h.LastMAC) >= 8 {
			fingerprint = binary.BigEndian.Uint64(h.LastMAC)
		}
		return err
	})
	return fingerprint, err
}

// ChangeCount is the number of changes so far: cheaper to ask than to read all.
func (s *Store) ChangeCount() (n uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.readHead(tx)
		n = h.Count
		return err
	})
	return n, err
}

// Record is one change, as it is kept.
type Record struct {
	At          time.Time       `json:"At"`
	Actor       string          `json:"By"`
	Action      string          `json:"What"` // add, limit, pause, resume, remove, finish, issue, revoke
	Tenant      string          `json:"Whom"` // the tenant
	After       json.RawMessage `json:"Now"`
	PreviousMAC []byte          `json:"Before"` // the code of the record before it
}

// appendRecord adds a record, in the transaction of the change.
func (s *Store) appendRecord(tx *bbolt.Tx, r Record, after any) error {
	h, err := s.readHead(tx)
	if err != nil {
		return err
	}
	if r.After, err = json.Marshal(after); err != nil {
		return err
	}
	r.PreviousMAC = h.LastMAC
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	h.Count++
	h.LastMAC = s.mac([]byte("record"), text)
	number := binary.BigEndian.AppendUint64(nil, h.Count)
	h.MAC = s.mac([]byte("head"), number, h.LastMAC)
	if err := tx.Bucket(recordBucket).Put(number, append(h.LastMAC[:len(h.LastMAC):len(h.LastMAC)], text...)); err != nil {
		return err
	}
	head, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(headBucket).Put(headKey, head)
}

// Records reads the record of changes from a number on, in order, and holds it against its codes: an edit, a gap and a cut at
// the end show. That the whole store was put back to an earlier state does not: for this the head must be kept elsewhere.
func (s *Store) Records(from uint64, handle func(n uint64, r Record) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.readHead(tx)
		if err != nil {
			return err
		}
		if h.Count > 0 && !hmac.Equal(h.MAC, s.mac([]byte("head"), binary.BigEndian.AppendUint64(nil, h.Count), h.LastMAC)) {
			return fmt.Errorf("head: %w", ErrTampered)
		}
		var previous []byte
		n := uint64(0)
		err = tx.Bucket(recordBucket).ForEach(func(k, v []byte) error {
			n++
			tampered := fmt.Errorf("record %d: %w", n, ErrTampered)
			if len(k) != 8 || binary.BigEndian.Uint64(k) != n || len(v) < sha256.Size {
				return tampered
			}
			mac, text := v[:sha256.Size], v[sha256.Size:]
			var r Record
			if !hmac.Equal(mac, s.mac([]byte("record"), text)) || json.Unmarshal(text, &r) != nil || !hmac.Equal(r.PreviousMAC, previous) {
				return tampered
			}
			previous = append([]byte(nil), mac...)
			if n < from {
				return nil
			}
			return handle(n, r)
		})
		if err == nil && (n != h.Count || !hmac.Equal(previous, h.LastMAC)) {
			err = fmt.Errorf("%d records of %d: %w", n, h.Count, ErrTampered)
		}
		return err
	})
}

// response is what was said to a request.
type response struct {
	At         time.Time            `json:"At"`
	RequestMAC []byte               `json:"Content"`
	Tenant     tenancy.Tenant       `json:"Tenant"`
	Fault      *tenancy.ChangeError `json:"Fault"`
}

// Apply carries a change out, on the disk before it returns. A request that was made before, by its id, changes nothing and has
// the answer that it had then; with another content it is refused. Without an id each is a new one.
func (s *Store) Apply(now time.Time, actor, request string, c tenancy.Change) (t tenancy.Tenant, fault *tenancy.ChangeError, err error) {
	text, err := json.Marshal(c)
	if err != nil {
		return t, nil, err
	}
	requestMAC := s.mac([]byte("request"), []byte(actor), text)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		requests := tx.Bucket(requestBucket)
		if old := requests.Get([]byte(request)); request != "" && old != nil {
			var a response
			if err := json.Unmarshal(old, &a); err != nil {
				return err
			}
			if !hmac.Equal(a.RequestMAC, requestMAC) {
				return fmt.Errorf("%.60q: %w", request, ErrRequestReused)
			}
			t, fault = a.Tenant, a.Fault
			return nil
		}
		registry, err := readTenants(tx, s.maxTenants)
		if err != nil {
			return err
		}
		before, _ := registry.Get(c.Name)
		if t, fault = registry.Apply(ms(now), c); fault == nil && t != before {
			if err := s.saveTenants(tx, registry); err != nil {
				return err
			}
			if err := s.appendRecord(tx, Record{At: now, Actor: actor, Action: c.Kind.String(), Tenant: c.Name}, t); err != nil {
				return err
			}
		}
		if request == "" {
			return nil
		}
		if err := expireResponses(requests, now); err != nil {
			return err
		}
		if text, err = json.Marshal(response{now, requestMAC, t, fault}); err != nil {
			return err
		}
		return requests.Put([]byte(request), text)
	})
	return t, fault, err
}

// saveTenants writes the book: tenants whose slots were given away are gone from it.
func (s *Store) saveTenants(tx *bbolt.Tx, registry *tenancy.Registry) error {
	bucket := tx.Bucket(tenantBucket)
	kept := map[string]bool{}
	for _, t := range registry.All() {
		kept[t.Name] = true
		text, err := json.Marshal(t)
		if err != nil {
			return err
		}
		if old := bucket.Get([]byte(t.Name)); string(old) != string(text) {
			if err := bucket.Put([]byte(t.Name), text); err != nil {
				return err
			}
		}
	}
	return deleteMatching(bucket, math.MaxInt, func(k, _ []byte) (bool, error) { return !kept[string(k)], nil })
}

// deleteMatching deletes what is to go from a bucket, so many at most.
func deleteMatching(bucket *bbolt.Bucket, limit int, matches func(k, v []byte) (bool, error)) error {
	var keys [][]byte
	c := bucket.Cursor()
	for k, v := c.First(); k != nil && len(keys) < limit; k, v = c.Next() {
		if ok, err := matches(k, v); err != nil {
			return err
		} else if ok {
			keys = append(keys, append([]byte(nil), k...))
		}
	}
	for _, k := range keys {
		if err := bucket.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// expireResponses drops some answers that are old enough, a few at a time.
func expireResponses(requests *bbolt.Bucket, now time.Time) error {
	return deleteMatching(requests, 16, func(_, v []byte) (bool, error) {
		var a response
		return json.Unmarshal(v, &a) != nil || now.Sub(a.At) > responseRetention, nil
	})
}

func ms(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// FinishRemoval ends a removal of which nothing is left at any process; false if none is under way. Its tokens are gone with it.
func (s *Store) FinishRemoval(now time.Time, name string) (ok bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		registry, err := readTenants(tx, s.maxTenants)
		if err != nil {
			return err
		}
		t, done := registry.CompleteRemoval(ms(now), name)
		if ok = done; !ok {
			return nil
		}
		if err := s.saveTenants(tx, registry); err != nil {
			return err
		}
		if err := deleteMatching(tx.Bucket(tokenBucket), math.MaxInt, func(_, v []byte) (bool, error) {
			var tk Token
			err := json.Unmarshal(v, &tk)
			return tk.Tenant == name, err
		}); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: "scheduler", Action: "finish", Tenant: name}, t)
	})
	return ok, err
}

// Token is what a tenant's programs show at the owners' door; of the secret only a code is kept.
type Token struct {
	Tenant  string    `json:"Tenant"`
	MAC     []byte    `json:"Code"`
	Expires time.Time `json:"Expires"`
}

const (
	tokenIDBytes     = 9  // bytes, 12 characters
	tokenSecretBytes = 24 // bytes, 32 characters
)

// IssueToken makes a token for a tenant. It is shown once: the store keeps no more than its code.
func (s *Store) IssueToken(now time.Time, actor, tenant string, lifetime time.Duration) (token string, err error) {
	b := make([]byte, tokenIDBytes+tokenSecretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	enc := base64.RawURLEncoding
	id, secret := enc.EncodeToString(b[:tokenIDBytes]), enc.EncodeToString(b[tokenIDBytes:])
	err = s.db.Update(func(tx *bbolt.Tx) error {
		registry, err := readTenants(tx, s.maxTenants)
		if err != nil {
			return err
		}
		t, ok := registry.Get(tenant)
		if !ok || t.State >= tenancy.Removing {
			return &tenancy.ChangeError{Field: "name", Kind: tenancy.NotFound, Text: fmt.Sprintf("no tenant %q that may have tokens", tenant)}
		}
		k := Token{Tenant: tenant, MAC: s.mac([]byte("token"), []byte(id), []byte(secret)), Expires: now.Add(lifetime)}
		text, err := json.Marshal(k)
		if err != nil {
			return err
		}
		if err := tx.Bucket(tokenBucket).Put([]byte(id), text); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: actor, Action: "issue", Tenant: tenant}, map[string]any{"id": id, "expires": k.Expires})
	})
	return id + "." + secret, err
}

// RevokeToken ends a token.
func (s *Store) RevokeToken(now time.Time, actor, id string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(tokenBucket)
		text := bucket.Get([]byte(id))
		if text == nil {
			return fmt.Errorf("%.40q: %w", id, ErrUnknownToken)
		}
		var k Token
		if err := json.Unmarshal(text, &k); err != nil {
			return err
		}
		if err := bucket.Delete([]byte(id)); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: actor, Action: "revoke", Tenant: k.Tenant}, map[string]any{"id": id})
	})
}

// TokenVerifier gives what tells whether a shown token is one of those that were read, and for whom. It takes as long for any id
// that is known, whatever the secret, and for one that is not.
func (s *Store) TokenVerifier(known map[string]Token) func(now time.Time, token string) (tenant string, ok bool) {
	key := &Store{key: append([]byte(nil), s.key...)}
	return func(now time.Time, token string) (string, bool) {
		id, secret, ok := splitToken(token)
		if !ok {
			return "", false
		}
		k, exists := known[id]
		code := key.mac([]byte("token"), []byte(id), []byte(secret))
		if !exists {
			k.MAC = make([]byte, sha256.Size)
		}
		if same := hmac.Equal(code, k.MAC); !same || !exists || !now.Before(k.Expires) {
			return "", false
		}
		return k.Tenant, true
	}
}

// splitToken takes a shown token apart.
func splitToken(token string) (id, secret string, ok bool) {
	if len(token) != 12+1+32 || token[12] != '.' {
		return "", "", false
	}
	return token[:12], token[13:], true
}
