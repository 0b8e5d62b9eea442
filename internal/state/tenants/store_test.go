package tenants

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
)

var now = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { noError(t, s.Close()) })
	return s
}

func addChange(name string) tenancy.Change {
	return tenancy.Change{Kind: tenancy.Add, Name: name, Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 9}}}
}

func TestRequests(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	first, rejected, err := s.Apply(now, "me", "r1", addChange("a"))
	if rejected != nil || err != nil {
		t.Fatal(rejected, err)
	}
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Pause, Name: "a"})
	noError(t, s.Close())
	s = open(t, dir) // The state is the same as after a killed process, as Close writes nothing.
	if again, rejected, err := s.Apply(now, "me", "r1", addChange("a")); again != first || rejected != nil || err != nil {
		t.Errorf("repeated request: got tenant %+v, rejection %v, error %v, want the first response", again, rejected, err)
	}
	for name, call := range map[string]func() error{
		"different change": func() error { _, _, err := s.Apply(now, "me", "r1", addChange("b")); return err },
		"different actor":  func() error { _, _, err := s.Apply(now, "you", "r1", addChange("a")); return err },
	} {
		if err := call(); !errors.Is(err, ErrRequestReused) {
			t.Errorf("%s: got error %v, want ErrRequestReused", name, err)
		}
	}
	if _, rejected, _ := s.Apply(now, "me", "r2", addChange("a")); rejected == nil || rejected.Kind != tenancy.Exists {
		t.Error(rejected)
	}
	if n, _ := s.ChangeCount(); n != 2 {
		t.Errorf("got %d changes, want 2", n)
	}
	if st, err := s.Read(); err != nil || len(st.Tenants.All()) != 1 || st.Tenants.All()[0].State != tenancy.Paused {
		t.Errorf("got state %+v, error %v, want one paused tenant", st, err)
	}
}

func TestTokens(t *testing.T) {
	s := open(t, t.TempDir())
	if _, err := s.IssueToken(now, "me", "a", time.Hour); err == nil {
		t.Error("IssueToken for an unknown tenant returned no error")
	}
	_, _, _ = s.Apply(now, "me", "", addChange("a"))
	_, _, _ = s.Apply(now, "me", "", addChange("b"))
	token, err := s.IssueToken(now, "me", "a", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	other, _ := s.IssueToken(now, "me", "b", time.Hour)
	st, _ := s.Read()
	verify := s.TokenVerifier(st.Tokens)
	for _, c := range []struct {
		name, token string
		at          time.Time
		want        string
	}{
		{"valid", token, now, "a"},
		{"expired", token, now.Add(time.Hour), ""},
		{"secret of another token", token[:13] + other[13:], now, ""},
		{"one wrong character", token[:len(token)-1] + string('A'+(token[len(token)-1]-'A'+1)%26), now, ""},
		{"unknown ID", strings.Repeat("A", 12) + token[12:], now, ""},
		{"truncated", token[:20], now, ""},
		{"empty", "", now, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := verify(c.at, c.token); got != c.want || ok != (c.want != "") {
				t.Errorf("got tenant %q, valid %t, want the tenant of the case", got, ok)
			}
		})
	}
	for id := range st.Tokens {
		if strings.Contains(fmt.Sprintf("%s %+v", id, st.Tokens[id]), token[13:]) {
			t.Error("the store has the secret of the token")
		}
	}
	noError(t, s.RevokeToken(now, "me", token[:12]))
	if err := s.RevokeToken(now, "me", token[:12]); !errors.Is(err, ErrUnknownToken) {
		t.Error(err)
	}
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Remove, Name: "b"})
	if ok, err := s.FinishRemoval(now, "b"); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if st, _ := s.Read(); len(st.Tokens) != 0 {
		t.Errorf("got %d tokens after the removal of their tenant, want 0", len(st.Tokens))
	}
}

// TestRecords checks that edited, removed and truncated audit records are detected.
func TestRecords(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(tx *bbolt.Tx) error
		want   bool // whether the damage is detected
	}{
		{"unchanged", func(*bbolt.Tx) error { return nil }, false},
		{"edited", func(tx *bbolt.Tx) error {
			k, v := tx.Bucket(recordBucket).Cursor().First()
			return tx.Bucket(recordBucket).Put(k, []byte(strings.Replace(string(v), `"By":"me"`, `"By":"no"`, 1)))
		}, true},
		{"first removed", func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(recordBucket).Cursor().First()
			return tx.Bucket(recordBucket).Delete(k)
		}, true},
		{"last removed", func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(recordBucket).Cursor().Last()
			return tx.Bucket(recordBucket).Delete(k)
		}, true},
		{"head removed", func(tx *bbolt.Tx) error { return tx.Bucket(headBucket).Delete(headKey) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := open(t, t.TempDir())
			for i := range 3 {
				if _, rejected, err := s.Apply(now, "me", "", addChange(fmt.Sprint("a", i))); rejected != nil || err != nil {
					t.Fatal(rejected, err)
				}
			}
			noError(t, s.db.Update(c.damage))
			n := 0
			err := s.Records(2, func(uint64, Record) error { n++; return nil })
			if errors.Is(err, ErrTampered) != c.want || !c.want && (err != nil || n != 2) {
				t.Errorf("got error %v, %d records, want 2 records or ErrTampered", err, n)
			}
		})
	}
}

func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(dir string) error
	}{
		{"key of wrong length", func(dir string) error { return os.WriteFile(filepath.Join(dir, "tenants.key"), []byte("x"), 0o600) }},
		{"malformed tenant", func(dir string) error {
			db, err := bbolt.Open(storePath(dir), 0o600, nil)
			if err != nil {
				return err
			}
			defer func() { noError(t, db.Close()) }()
			return db.Update(func(tx *bbolt.Tx) error {
				return tx.Bucket(tenantBucket).Put([]byte("z"), []byte(`{"Name":"z","Slot":99}`))
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s := open(t, dir)
			noError(t, s.Close())
			noError(t, c.damage(dir))
			if s, err := Open(dir, 4); err == nil {
				noError(t, s.Close())
				t.Error("Open of a damaged store returned no error")
			}
		})
	}
}

// noError ends the test if err is not nil.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
