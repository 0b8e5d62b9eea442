package tenants

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/state/bolt"
)

// TestCopy checks that a copy has the same tenants, tokens and audit records, that the fingerprint changes with each copy, and that a removal
// which was finished only in the earlier copy is unfinished again.
func TestCopy(t *testing.T) {
	from, to := t.TempDir(), filepath.Join(t.TempDir(), "new")
	s := open(t, from)
	_, _, _ = s.Apply(now, "me", "", addChange("a"))
	token, err := s.IssueToken(now, "me", "a", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	withCopy := func(use func(c *Store)) {
		c, err := Open(to, 4)
		if err != nil {
			t.Fatal(err)
		}
		use(c)
		noError(t, c.Close())
	}
	expectSame := func(c *Store) {
		t.Helper()
		st, err := c.Read()
		if err != nil {
			t.Fatal(err)
		}
		if tenant, ok := c.TokenVerifier(st.Tokens)(now, token); !ok || tenant != "a" {
			t.Error("the copy does not accept the token")
		}
		want, _ := s.Fingerprint()
		if got, _ := c.Fingerprint(); got != want {
			t.Errorf("got fingerprint %x of the copy, want %x as in the store", got, want)
		}
		if err := c.Records(0, func(uint64, Record) error { return nil }); err != nil {
			t.Error(err)
		}
	}
	noError(t, s.CopyTo(to))
	withCopy(expectSame)
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Remove, Name: "a"})
	noError(t, s.CopyTo(to))
	// The process of the copy finishes the removal. Then a copy with the same number of changes but a different state replaces it.
	withCopy(func(c *Store) {
		if ok, err := c.FinishRemoval(now, "a"); !ok || err != nil {
			t.Error(ok, err)
		}
	})
	_, _, _ = s.Apply(now, "me", "", addChange("b"))
	var before uint64
	withCopy(func(c *Store) { before, _ = c.Fingerprint() })
	noError(t, s.CopyTo(to))
	withCopy(func(c *Store) {
		if after, _ := c.Fingerprint(); after == before {
			t.Error("fingerprint is unchanged after a new copy, so its process would not see the change")
		}
		st, _ := c.Read()
		if a, _ := st.Tenants.Get("a"); a.State != tenancy.Removing {
			t.Errorf("got tenant a in state %v, want removing", a.State)
		}
		if _, ok := st.Tenants.Get("b"); !ok {
			t.Error("the copy does not have tenant b")
		}
	})
}

// TestCopyRefused checks that CopyTo replaces neither a different store, nor a locked copy, nor a store without a key, nor the store itself.
func TestCopyRefused(t *testing.T) {
	from := t.TempDir()
	s := open(t, from)
	foreign, locked, withoutKey := t.TempDir(), t.TempDir(), t.TempDir()
	noError(t, open(t, foreign).Close())
	noError(t, s.CopyTo(locked))
	open(t, locked)
	noError(t, os.WriteFile(storePath(withoutKey), []byte("something"), 0o600))
	for _, c := range []struct {
		name, folder string
		want         error
	}{{"different store", foreign, ErrForeign}, {"locked copy", locked, bolt.ErrLocked}, {"store without a key", withoutKey, ErrForeign}, {"own folder", from, nil}} {
		if err := s.CopyTo(c.folder); err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want the error of the case, or any if it names none", c.name, err)
		}
	}
}
