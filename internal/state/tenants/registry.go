package tenants

import (
	"crypto/hmac"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/tenancy"
)

const (
	// responseRetention is how long the response to a request is kept, so that a repeated request gets the same response.
	responseRetention = 24 * time.Hour
	// maxExpiredPerChange is the maximum number of expired responses that one change deletes.
	maxExpiredPerChange = 16
)

// readTenants reads all tenants into a registry for at most maxTenants.
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

// saveTenants writes the tenants that have changed, and deletes those that are no longer in the registry because their slots were reused.
func saveTenants(tx *bbolt.Tx, registry *tenancy.Registry) error {
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

// deleteMatching deletes at most limit entries of a bucket for which matches returns true.
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

// response is the stored response to a request.
type response struct {
	At         time.Time            `json:"At"`
	RequestMAC []byte               `json:"Content"`
	Tenant     tenancy.Tenant       `json:"Tenant"`
	Rejected   *tenancy.ChangeError `json:"Fault"`
}

// Apply applies a change that an actor requests. It returns the resulting tenant, or in rejected the reason why the change was rejected. A
// request whose ID was used before changes nothing and gets the same response, or ErrRequestReused if its change or its actor differs. A
// request without an ID is always a new one.
func (s *Store) Apply(now time.Time, actor, request string, c tenancy.Change) (t tenancy.Tenant, rejected *tenancy.ChangeError, err error) {
	text, err := json.Marshal(c)
	if err != nil {
		return t, nil, err
	}
	requestMAC := s.mac(macRequest, []byte(actor), text)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		earlier, err := findResponse(tx, request)
		if err != nil {
			return err
		}
		if earlier != nil {
			if !hmac.Equal(earlier.RequestMAC, requestMAC) {
				return fmt.Errorf("%.60q: %w", request, ErrRequestReused)
			}
			t, rejected = earlier.Tenant, earlier.Rejected
			return nil
		}
		if t, rejected, err = s.applyChange(tx, now, actor, c); err != nil {
			return err
		}
		return saveResponse(tx, request, response{now, requestMAC, t, rejected})
	})
	return t, rejected, err
}

// applyChange applies a change to the registry, and appends an audit record unless the change was rejected or had no effect.
func (s *Store) applyChange(tx *bbolt.Tx, now time.Time, actor string, c tenancy.Change) (tenancy.Tenant, *tenancy.ChangeError, error) {
	registry, err := readTenants(tx, s.maxTenants)
	if err != nil {
		return tenancy.Tenant{}, nil, err
	}
	before, _ := registry.Get(c.Name)
	t, rejected := registry.Apply(milliseconds(now), c)
	if rejected != nil || t == before {
		return t, rejected, nil
	}
	if err := saveTenants(tx, registry); err != nil {
		return t, nil, err
	}
	return t, nil, s.appendRecord(tx, Record{At: now, Actor: actor, Action: c.Kind.String(), Tenant: c.Name}, t)
}

// findResponse returns the stored response to a request, or nil if there is none.
func findResponse(tx *bbolt.Tx, request string) (*response, error) {
	text := tx.Bucket(requestBucket).Get([]byte(request))
	if request == "" || text == nil {
		return nil, nil
	}
	r := &response{}
	return r, json.Unmarshal(text, r)
}

// saveResponse stores the response to a request unless the request has no ID, and deletes some expired responses.
func saveResponse(tx *bbolt.Tx, request string, r response) error {
	if request == "" {
		return nil
	}
	requests := tx.Bucket(requestBucket)
	if err := expireResponses(requests, r.At); err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return requests.Put([]byte(request), text)
}

// expireResponses deletes at most maxExpiredPerChange expired or malformed responses.
func expireResponses(requests *bbolt.Bucket, now time.Time) error {
	return deleteMatching(requests, maxExpiredPerChange, func(_, text []byte) (bool, error) { return isExpired(text, now), nil })
}

// isExpired reports whether a stored response is older than responseRetention or malformed.
func isExpired(text []byte, now time.Time) bool {
	var r response
	return json.Unmarshal(text, &r) != nil || now.Sub(r.At) > responseRetention
}

// FinishRemoval completes the removal of a tenant that has no work left at any process, and deletes its tokens. It returns false if the tenant
// is not being removed.
func (s *Store) FinishRemoval(now time.Time, name string) (ok bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		registry, err := readTenants(tx, s.maxTenants)
		if err != nil {
			return err
		}
		t, done := registry.CompleteRemoval(milliseconds(now), name)
		if ok = done; !ok {
			return nil
		}
		if err := saveTenants(tx, registry); err != nil {
			return err
		}
		if err := deleteTokens(tx, name); err != nil {
			return err
		}
		return s.appendRecord(tx, Record{At: now, Actor: "scheduler", Action: "finish", Tenant: name}, t)
	})
	return ok, err
}
