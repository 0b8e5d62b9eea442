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
	first, fault, err := s.Apply(now, "me", "r1", addChange("a"))
	if fault != nil || err != nil {
		t.Fatal(fault, err)
	}
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Pause, Name: "a"})
	noError(t, s.Close())
	s = open(t, dir) // as after a kill: Close writes nothing
	if again, fault, err := s.Apply(now, "me", "r1", addChange("a")); again != first || fault != nil || err != nil {
		t.Errorf("requested again: %+v, %v, %v", again, fault, err)
	}
	for name, call := range map[string]func() error{
		"another content": func() error { _, _, err := s.Apply(now, "me", "r1", addChange("b")); return err },
		"another person":  func() error { _, _, err := s.Apply(now, "you", "r1", addChange("a")); return err },
	} {
		if err := call(); !errors.Is(err, ErrRequestReused) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, fault, _ := s.Apply(now, "me", "r2", addChange("a")); fault == nil || fault.Kind != tenancy.Exists {
		t.Error(fault)
	}
	if n, _ := s.ChangeCount(); n != 2 {
		t.Errorf("%d changes, want 2", n)
	}
	if st, err := s.Read(); err != nil || len(st.Tenants.All()) != 1 || st.Tenants.All()[0].State != tenancy.Paused {
		t.Errorf("%+v, %v", st, err)
	}
}

func TestTokens(t *testing.T) {
	s := open(t, t.TempDir())
	if _, err := s.IssueToken(now, "me", "a", time.Hour); err == nil {
		t.Error("a token for an unknown tenant")
	}
	_, _, _ = s.Apply(now, "me", "", addChange("a"))
	_, _, _ = s.Apply(now, "me", "", addChange("b"))
	shown, err := s.IssueToken(now, "me", "a", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	other, _ := s.IssueToken(now, "me", "b", time.Hour)
	st, _ := s.Read()
	verify := s.TokenVerifier(st.Tokens)
	for _, c := range []struct {
		name, shown string
		at          time.Time
		want        string
	}{
		{"good", shown, now, "a"},
		{"expired", shown, now.Add(time.Hour), ""},
		{"another's secret", shown[:13] + other[13:], now, ""},
		{"one letter off", shown[:len(shown)-1] + string('A'+(shown[len(shown)-1]-'A'+1)%26), now, ""},
		{"unknown id", strings.Repeat("A", 12) + shown[12:], now, ""},
		{"short", shown[:20], now, ""},
		{"empty", "", now, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := verify(c.at, c.shown); got != c.want || ok != (c.want != "") {
				t.Errorf("%q, %t", got, ok)
			}
		})
	}
	for id := range st.Tokens {
		if strings.Contains(fmt.Sprintf("%s %+v", id, st.Tokens[id]), shown[13:]) {
			t.Error("the secret is stored")
		}
	}
	noError(t, s.RevokeToken(now, "me", shown[:12]))
	if err := s.RevokeToken(now, "me", shown[:12]); !errors.Is(err, ErrUnknownToken) {
		t.Error(err)
	}
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Remove, Name: "b"})
	if ok, err := s.FinishRemoval(now, "b"); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if st, _ := s.Read(); len(st.Tokens) != 0 {
		t.Errorf("%d tokens are left", len(st.Tokens))
	}
}

// TestRecords checks that records which were edited, removed or cut off are found.
func TestRecords(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(tx *bbolt.Tx) error
		bad    bool
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
		{"last cut off", func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(recordBucket).Cursor().Last()
			return tx.Bucket(recordBucket).Delete(k)
		}, true},
		{"head cut off", func(tx *bbolt.Tx) error { return tx.Bucket(headBucket).Delete(headKey) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := open(t, t.TempDir())
			for i := range 3 {
				if _, fault, err := s.Apply(now, "me", "", addChange(fmt.Sprint("a", i))); fault != nil || err != nil {
					t.Fatal(fault, err)
				}
			}
			noError(t, s.db.Update(c.damage))
			n := 0
			err := s.Records(2, func(uint64, Record) error { n++; return nil })
			if errors.Is(err, ErrTampered) != c.bad || !c.bad && (err != nil || n != 2) {
				t.Errorf("%v, %d records", err, n)
			}
		})
	}
}

func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(dir string) error
	}{
		{"a key of another length", func(dir string) error { return os.WriteFile(filepath.Join(dir, "tenants.key"), []byte("x"), 0o600) }},
		{"a malformed tenant", func(dir string) error {
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
				t.Error("opened")
			}
		})
	}
}

// noError ends the test if an error has occurred.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
