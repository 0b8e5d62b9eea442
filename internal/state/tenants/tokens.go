package tenants

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/tenancy"
)

// Sizes of the parts of a token, in bytes and in base64 characters. A token consists of its ID, a dot and its secret.
const (
	tokenIDBytes     = 9
	tokenSecretBytes = 24

	tokenIDChars     = tokenIDBytes * 4 / 3
	tokenSecretChars = tokenSecretBytes * 4 / 3
)

// Token is the stored form of a token, with which the programs of a tenant authenticate at the client listener. The secret is stored only as a
// MAC.
type Token struct {
	Tenant  string    `json:"Tenant"`
	MAC     []byte    `json:"Code"`
	Expires time.Time `json:"Expires"`
}

func (s *Store) tokenMAC(id, secret string) []byte {
	return s.mac(macToken, []byte(id), []byte(secret))
}

// IssueToken creates a token for a tenant and returns it. The token can't be read from the store later, as its secret is not stored. The error
// is a *tenancy.ChangeError if the tenant does not exist, is being removed or was removed.
func (s *Store) IssueToken(now time.Time, actor, tenant string, lifetime time.Duration) (token string, err error) {
	b := make([]byte, tokenIDBytes+tokenSecretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	encoding := base64.RawURLEncoding
	id, secret := encoding.EncodeToString(b[:tokenIDBytes]), encoding.EncodeToString(b[tokenIDBytes:])
	err = s.db.Update(func(tx *bbolt.Tx) error {
		registry, err := readTenants(tx, s.maxTenants)
		if err != nil {
			return err
		}
		t, ok := registry.Get(tenant)
		if !ok || t.State >= tenancy.Removing {
			return &tenancy.ChangeError{Field: "name", Kind: tenancy.NotFound, Text: fmt.Sprintf("no tenant %q that may have tokens", tenant)}
		}
		stored := Token{Tenant: tenant, MAC: s.tokenMAC(id, secret), Expires: now.Add(lifetime)}
		text, err := json.Marshal(stored)
		if err != nil {
			return err
		}
		if err := tx.Bucket(tokenBucket).Put([]byte(id), text); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: actor, Action: "issue", Tenant: tenant}, map[string]any{"id": id, "expires": stored.Expires})
	})
	return id + "." + secret, err
}

// RevokeToken deletes the token with an ID. The error wraps ErrUnknownToken if there is none.
func (s *Store) RevokeToken(now time.Time, actor, id string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(tokenBucket)
		text := bucket.Get([]byte(id))
		if text == nil {
			return fmt.Errorf("token ID %.40q: %w", id, ErrUnknownToken)
		}
		var token Token
		if err := json.Unmarshal(text, &token); err != nil {
			return err
		}
		if err := bucket.Delete([]byte(id)); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: actor, Action: "revoke", Tenant: token.Tenant}, map[string]any{"id": id})
	})
}

// deleteTokens deletes all tokens of a tenant.
func deleteTokens(tx *bbolt.Tx, tenant string) error {
	return deleteMatching(tx.Bucket(tokenBucket), math.MaxInt, func(_, v []byte) (bool, error) {
		var token Token
		err := json.Unmarshal(v, &token)
		return token.Tenant == tenant, err
	})
}

// TokenVerifier returns a function that verifies a token against the tokens that Read returned, and returns the tenant of a valid one. It takes
// the same time for an unknown ID as for a wrong secret. The function remains valid after the store is closed.
func (s *Store) TokenVerifier(known map[string]Token) func(now time.Time, token string) (tenant string, ok bool) {
	verifier := &Store{key: append([]byte(nil), s.key...)}
	return func(now time.Time, token string) (string, bool) {
		id, secret, ok := splitToken(token)
		if !ok {
			return "", false
		}
		stored, exists := known[id]
		mac := verifier.tokenMAC(id, secret)
		if !exists {
			stored.MAC = make([]byte, sha256.Size)
		}
		if same := hmac.Equal(mac, stored.MAC); !same || !exists || !now.Before(stored.Expires) {
			return "", false
		}
		return stored.Tenant, true
	}
}

// splitToken splits a token into its ID and its secret. ok is false if its length or its separator is wrong.
func splitToken(token string) (id, secret string, ok bool) {
	if len(token) != tokenIDChars+1+tokenSecretChars || token[tokenIDChars] != '.' {
		return "", "", false
	}
	return token[:tokenIDChars], token[tokenIDChars+1:], true
}
