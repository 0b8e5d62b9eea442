package tenants

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
)

// format1Token is a token of tenant alpha that the store in testdata issued. It is valid for 24 hours.
const format1Token = "0Db1MvxqCXXo.e8N-hyRYU9FOOLmdpYdZv4WZ5aL21o6T"

// openFormat1Store opens a copy of a store in format 1 that commit 9c27d6c wrote.
func openFormat1Store(t *testing.T) *Store {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/format1")); err != nil {
		t.Fatal(err)
	}
	return open(t, dir)
}

func TestFormat1Tenants(t *testing.T) {
	s := openFormat1Store(t)
	st, err := s.Read()
	if err != nil {
		t.Fatal(err)
	}
	limits := tenancy.Limits{Limits: fairqueue.Limits{Share: 2, MaxWaiting: 9}}
	atMS := float64(now.UnixMilli())
	want := []tenancy.Tenant{
		{Name: "alpha", Slot: 0, State: tenancy.Active, Limits: limits, Version: 1, StateChangedAt: atMS},
		{Name: "beta", Slot: 1, State: tenancy.Paused, Limits: limits, Version: 2, StateChangedAt: atMS},
		{Name: "gamma", Slot: 2, State: tenancy.Removed, Limits: limits, Version: 3, StateChangedAt: atMS + 60e3},
	}
	if got := st.Tenants.All(); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("got tenants %+v, want %+v", got, want)
	}
	if fingerprint, err := s.Fingerprint(); st.Changes != 9 || fingerprint != 0xe3fbb024a4e4cb7e || err != nil {
		t.Errorf("got %d changes, fingerprint %#x, error %v, want 9 changes, fingerprint 0xe3fbb024a4e4cb7e", st.Changes, fingerprint, err)
	}
}

func TestFormat1Tokens(t *testing.T) {
	s := openFormat1Store(t)
	st, err := s.Read()
	if err != nil {
		t.Fatal(err)
	}
	if len(st.Tokens) != 1 || !st.Tokens[format1Token[:12]].Expires.Equal(now.Add(24*time.Hour)) {
		t.Errorf("got tokens %+v, want one that expires after 24 h", st.Tokens)
	}
	verify := s.TokenVerifier(st.Tokens)
	if tenant, ok := verify(now.Add(23*time.Hour), format1Token); tenant != "alpha" || !ok {
		t.Errorf("got tenant %q, valid %t after 23 h, want a valid token of alpha", tenant, ok)
	}
	if tenant, ok := verify(now.Add(24*time.Hour), format1Token); ok {
		t.Errorf("expired token was accepted for tenant %q", tenant)
	}
}

func TestFormat1Records(t *testing.T) {
	var got []string
	err := openFormat1Store(t).Records(0, func(n uint64, r Record) error {
		got = append(got, fmt.Sprintln(n, r.Actor, r.Action, r.Tenant))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"1 operator add alpha\n", "2 operator add beta\n", "3 operator add gamma\n", "4 operator pause beta\n", "5 operator remove gamma\n",
		"6 operator issue alpha\n", "7 operator issue beta\n", "8 operator revoke beta\n", "9 scheduler finish gamma\n",
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got records %q, want %q", got, want)
	}
}

// TestFormat1Requests checks that repeating requests whose responses are in the store returns the same responses and changes nothing.
func TestFormat1Requests(t *testing.T) {
	s := openFormat1Store(t)
	limits := tenancy.Limits{Limits: fairqueue.Limits{Share: 2, MaxWaiting: 9}}
	add := tenancy.Change{Kind: tenancy.Add, Name: "alpha", Limits: limits}
	if tenant, rejected, err := s.Apply(now, "operator", "request-1", add); tenant.Name != "alpha" || tenant.Version != 1 || rejected != nil || err != nil {
		t.Errorf("got tenant %+v, rejection %v, error %v, want alpha in version 1", tenant, rejected, err)
	}
	if _, rejected, err := s.Apply(now, "operator", "request-2", add); rejected == nil || rejected.Kind != tenancy.Exists || err != nil {
		t.Errorf("got rejection %v, error %v, want a rejection of kind Exists", rejected, err)
	}
	if changes, err := s.ChangeCount(); changes != 9 || err != nil {
		t.Errorf("got %d changes, error %v, want 9", changes, err)
	}
}

// TestFormat1JSON checks that each value of the store is encoded to the same bytes after it is decoded.
func TestFormat1JSON(t *testing.T) {
	s := openFormat1Store(t)
	for _, c := range []struct {
		bucket []byte
		record func() any
		skip   int // bytes before the JSON
	}{
		{tenantBucket, func() any { return &tenancy.Tenant{} }, 0},
		{requestBucket, func() any { return &response{} }, 0},
		{tokenBucket, func() any { return &Token{} }, 0},
		{recordBucket, func() any { return &Record{} }, 32},
		{headBucket, func() any { return &ChainHead{} }, 0},
	} {
		t.Run(string(c.bucket), func(t *testing.T) {
			records := 0
			err := s.db.View(func(tx *bbolt.Tx) error {
				return tx.Bucket(c.bucket).ForEach(func(_, value []byte) error {
					records++
					text, record := value[c.skip:], c.record()
					if err := json.Unmarshal(text, record); err != nil {
						return err
					}
					if again, err := json.Marshal(record); err != nil || !bytes.Equal(again, text) {
						t.Errorf("value is encoded as %s, error %v, want %s", again, err, text)
					}
					return nil
				})
			})
			if err != nil || records == 0 {
				t.Errorf("got %d values, error %v, want at least one", records, err)
			}
		})
	}
}
