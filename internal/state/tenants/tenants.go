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
	ErrCut     = errors.New("record of changes was cut or edited")
	ErrRequest = errors.New("request was made before with another content")
	ErrNone    = errors.New("no such token")
)

var (
	tenantBucket  = []byte("tenants")
	requestBucket = []byte("requests")
	tokenBucket   = []byte("tokens")
	recordBucket  = []byte("records")
	headBucket    = []byte("head")
	headKey       = []byte("head")
)

// keepRequests is how long the answer to a request is kept for who asks again.
const keepRequests = 24 * time.Hour

// Store is one process's, or shared by those of a folder one after the other.
type Store struct {
	db    *bbolt.DB
	key   []byte
	slots int
}

func file(folder string) string { return filepath.Join(folder, "tenants.db") }

// Any tells whether a folder has a store.
func Any(folder string) bool {
	_, err := os.Stat(file(folder))
	return err == nil
}

// Open opens the store in a folder, or makes it, for so many tenants at once.
func Open(folder string, slots int) (*Store, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, fmt.Errorf("tenants: %w", err)
	}
	db, err := bolt.Open(file(folder), bolt.Schema{
		Format:  Format,
		Buckets: [][]byte{tenantBucket, requestBucket, tokenBucket, recordBucket, headBucket},
		Check: func(tx *bbolt.Tx) error {
			_, err := bookOf(tx, slots)
			return err
		},
	})
	if err != nil {
		return nil, fmt.Errorf("tenants: %w", err)
	}
	key, err := secret(filepath.Join(folder, "tenants.key"))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("tenants: %w", err), db.Close())
	}
	return &Store{db, key, slots}, nil
}

// secret reads the key of the records and tokens, and makes it where there is none; under the lock of the store.
func secret(path string) ([]byte, error) {
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

func bookOf(tx *bbolt.Tx, slots int) (*tenancy.Book, error) {
	book := tenancy.New(slots)
	err := tx.Bucket(tenantBucket).ForEach(func(k, text []byte) error {
		var t tenancy.Tenant
		if err := json.Unmarshal(text, &t); err != nil {
			return fmt.Errorf("tenant %q: %w", k, err)
		}
		return book.Put(t)
	})
	return book, err
}

// Head names the last change: what was read at another head may be old.
type Head struct {
	Count uint64 `json:"Count"`
	Mac   []byte `json:"Mac"` // of the last record
	Sum   []byte `json:"Sum"` // of the two before, so that records can't be cut off unseen
}

func (s *Store) head(tx *bbolt.Tx) (h Head, err error) {
	text := tx.Bucket(headBucket).Get(headKey)
	if text == nil {
		return h, nil
	}
	err = json.Unmarshal(text, &h)
	return h, err
}

// State is what a process needs to know.
type State struct {
	Book   *tenancy.Book
	Tokens map[string]Token // by their ids
	Count  uint64           // of changes
}

// Read gives all of it.
func (s *Store) Read() (st State, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if st.Book, err = bookOf(tx, s.slots); err != nil {
			return err
		}
		h, err := s.head(tx)
		if err != nil {
			return err
		}
		st.Count, st.Tokens = h.Count, map[string]Token{}
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

// Stamp tells one state of the store from another, also where it was put in the place of one with as many changes.
func (s *Store) Stamp() (stamp uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.head(tx)
		if len(h.Mac) >= 8 {
			stamp = binary.BigEndian.Uint64(h.Mac)
		}
		return err
	})
	return stamp, err
}

// Count is the number of changes so far: cheaper to ask than to read all.
func (s *Store) Count() (n uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.head(tx)
		n = h.Count
		return err
	})
	return n, err
}

// Record is one change, as it is kept.
type Record struct {
	At     time.Time       `json:"At"`
	By     string          `json:"By"`
	What   string          `json:"What"` // add, limit, pause, resume, remove, finish, issue, revoke
	Whom   string          `json:"Whom"` // the tenant
	Now    json.RawMessage `json:"Now"`
	Before []byte          `json:"Before"` // the code of the record before it
}

// note adds a record, in the transaction of the change.
func (s *Store) note(tx *bbolt.Tx, r Record, now any) error {
	h, err := s.head(tx)
	if err != nil {
		return err
	}
	if r.Now, err = json.Marshal(now); err != nil {
		return err
	}
	r.Before = h.Mac
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	h.Count++
	h.Mac = s.mac([]byte("record"), text)
	number := binary.BigEndian.AppendUint64(nil, h.Count)
	h.Sum = s.mac([]byte("head"), number, h.Mac)
	if err := tx.Bucket(recordBucket).Put(number, append(h.Mac[:len(h.Mac):len(h.Mac)], text...)); err != nil {
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
func (s *Store) Records(from uint64, each func(n uint64, r Record) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		h, err := s.head(tx)
		if err != nil {
			return err
		}
		if h.Count > 0 && !hmac.Equal(h.Sum, s.mac([]byte("head"), binary.BigEndian.AppendUint64(nil, h.Count), h.Mac)) {
			return fmt.Errorf("head: %w", ErrCut)
		}
		var before []byte
		n := uint64(0)
		err = tx.Bucket(recordBucket).ForEach(func(k, v []byte) error {
			n++
			bad := fmt.Errorf("record %d: %w", n, ErrCut)
			if len(k) != 8 || binary.BigEndian.Uint64(k) != n || len(v) < sha256.Size {
				return bad
			}
			mac, text := v[:sha256.Size], v[sha256.Size:]
			var r Record
			if !hmac.Equal(mac, s.mac([]byte("record"), text)) || json.Unmarshal(text, &r) != nil || !hmac.Equal(r.Before, before) {
				return bad
			}
			before = append([]byte(nil), mac...)
			if n < from {
				return nil
			}
			return each(n, r)
		})
		if err == nil && (n != h.Count || !hmac.Equal(before, h.Mac)) {
			err = fmt.Errorf("%d records of %d: %w", n, h.Count, ErrCut)
		}
		return err
	})
}

// answer is what was said to a request.
type answer struct {
	At      time.Time      `json:"At"`
	Content []byte         `json:"Content"`
	Tenant  tenancy.Tenant `json:"Tenant"`
	Fault   *tenancy.Fault `json:"Fault"`
}

// Do carries a change out, on the disk before it returns. A request that was made before, by its id, changes nothing and has
// the answer that it had then; with another content it is refused. Without an id each is a new one.
func (s *Store) Do(now time.Time, by, request string, c tenancy.Change) (t tenancy.Tenant, fault *tenancy.Fault, err error) {
	text, err := json.Marshal(c)
	if err != nil {
		return t, nil, err
	}
	content := s.mac([]byte("request"), []byte(by), text)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		requests := tx.Bucket(requestBucket)
		if old := requests.Get([]byte(request)); request != "" && old != nil {
			var a answer
			if err := json.Unmarshal(old, &a); err != nil {
				return err
			}
			if !hmac.Equal(a.Content, content) {
				return fmt.Errorf("%.60q: %w", request, ErrRequest)
			}
			t, fault = a.Tenant, a.Fault
			return nil
		}
		book, err := bookOf(tx, s.slots)
		if err != nil {
			return err
		}
		before, _ := book.Get(c.Name)
		if t, fault = book.Apply(ms(now), c); fault == nil && t != before {
			if err := s.keep(tx, book); err != nil {
				return err
			}
			if err := s.note(tx, Record{At: now, By: by, What: c.Kind.String(), Whom: c.Name}, t); err != nil {
				return err
			}
		}
		if request == "" {
			return nil
		}
		if err := forget(requests, now); err != nil {
			return err
		}
		if text, err = json.Marshal(answer{now, content, t, fault}); err != nil {
			return err
		}
		return requests.Put([]byte(request), text)
	})
	return t, fault, err
}

// keep writes the book: tenants whose slots were given away are gone from it.
func (s *Store) keep(tx *bbolt.Tx, book *tenancy.Book) error {
	bucket := tx.Bucket(tenantBucket)
	here := map[string]bool{}
	for _, t := range book.All() {
		here[t.Name] = true
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
	return sweep(bucket, math.MaxInt, func(k, _ []byte) (bool, error) { return !here[string(k)], nil })
}

// sweep deletes what is to go from a bucket, so many at most.
func sweep(bucket *bbolt.Bucket, most int, goes func(k, v []byte) (bool, error)) error {
	var gone [][]byte
	c := bucket.Cursor()
	for k, v := c.First(); k != nil && len(gone) < most; k, v = c.Next() {
		if ok, err := goes(k, v); err != nil {
			return err
		} else if ok {
			gone = append(gone, append([]byte(nil), k...))
		}
	}
	for _, k := range gone {
		if err := bucket.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// forget drops some answers that are old enough, a few at a time.
func forget(requests *bbolt.Bucket, now time.Time) error {
	return sweep(requests, 16, func(_, v []byte) (bool, error) {
		var a answer
		return json.Unmarshal(v, &a) != nil || now.Sub(a.At) > keepRequests, nil
	})
}

func ms(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// Finish ends a removal of which nothing is left at any process; false if none is under way. Its tokens are gone with it.
func (s *Store) Finish(now time.Time, name string) (ok bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		book, err := bookOf(tx, s.slots)
		if err != nil {
			return err
		}
		t, done := book.Finish(ms(now), name)
		if ok = done; !ok {
			return nil
		}
		if err := s.keep(tx, book); err != nil {
			return err
		}
		if err := sweep(tx.Bucket(tokenBucket), math.MaxInt, func(_, v []byte) (bool, error) {
			var tk Token
			err := json.Unmarshal(v, &tk)
			return tk.Tenant == name, err
		}); err != nil {
			return err
		}
		return s.note(tx, Record{At: now, By: "scheduler", What: "finish", Whom: name}, t)
	})
	return ok, err
}

// Token is what a tenant's programs show at the owners' door; of the secret only a code is kept.
type Token struct {
	Tenant  string    `json:"Tenant"`
	Code    []byte    `json:"Code"`
	Expires time.Time `json:"Expires"`
}

const (
	tokenID     = 9  // bytes, 12 characters
	tokenSecret = 24 // bytes, 32 characters
)

// Issue makes a token for a tenant. It is shown once: the store keeps no more than its code.
func (s *Store) Issue(now time.Time, by, tenant string, lasts time.Duration) (shown string, err error) {
	b := make([]byte, tokenID+tokenSecret)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	enc := base64.RawURLEncoding
	id, word := enc.EncodeToString(b[:tokenID]), enc.EncodeToString(b[tokenID:])
	err = s.db.Update(func(tx *bbolt.Tx) error {
		book, err := bookOf(tx, s.slots)
		if err != nil {
			return err
		}
		t, ok := book.Get(tenant)
		if !ok || t.State >= tenancy.Removing {
			return &tenancy.Fault{Field: "name", Sort: tenancy.Unknown, Text: fmt.Sprintf("no tenant %q that may have tokens", tenant)}
		}
		k := Token{Tenant: tenant, Code: s.mac([]byte("token"), []byte(id), []byte(word)), Expires: now.Add(lasts)}
		text, err := json.Marshal(k)
		if err != nil {
			return err
		}
		if err := tx.Bucket(tokenBucket).Put([]byte(id), text); err != nil {
			return err
		}
		return s.note(tx, Record{At: now, By: by, What: "issue", Whom: tenant}, map[string]any{"id": id, "expires": k.Expires})
	})
	return id + "." + word, err
}

// Revoke ends a token.
func (s *Store) Revoke(now time.Time, by, id string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(tokenBucket)
		text := bucket.Get([]byte(id))
		if text == nil {
			return fmt.Errorf("%.40q: %w", id, ErrNone)
		}
		var k Token
		if err := json.Unmarshal(text, &k); err != nil {
			return err
		}
		if err := bucket.Delete([]byte(id)); err != nil {
			return err
		}
		return s.note(tx, Record{At: now, By: by, What: "revoke", Whom: k.Tenant}, map[string]any{"id": id})
	})
}

// Verifier gives what tells whether a shown token is one of those that were read, and for whom. It takes as long for any id
// that is known, whatever the secret, and for one that is not.
func (s *Store) Verifier(known map[string]Token) func(now time.Time, shown string) (tenant string, ok bool) {
	key := &Store{key: append([]byte(nil), s.key...)}
	return func(now time.Time, shown string) (string, bool) {
		id, word, ok := cut(shown)
		if !ok {
			return "", false
		}
		k, there := known[id]
		code := key.mac([]byte("token"), []byte(id), []byte(word))
		if !there {
			k.Code = make([]byte, sha256.Size)
		}
		if same := hmac.Equal(code, k.Code); !same || !there || !now.Before(k.Expires) {
			return "", false
		}
		return k.Tenant, true
	}
}

// cut takes a shown token apart.
func cut(shown string) (id, word string, ok bool) {
	if len(shown) != 12+1+32 || shown[12] != '.' {
		return "", "", false
	}
	return shown[:12], shown[13:], true
}
