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

// TestCopy copies a store: the copy has the same tenants, tokens and records, and a removal that was finished there is under way again.
func TestCopy(t *testing.T) {
	from, to := t.TempDir(), filepath.Join(t.TempDir(), "new")
	s := open(t, from)
	_, _, _ = s.Apply(now, "me", "", addChange("a"))
	shown, err := s.IssueToken(now, "me", "a", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	in := func(do func(c *Store)) {
		c, err := Open(to, 4)
		if err != nil {
			t.Fatal(err)
		}
		do(c)
		noError(t, c.Close())
	}
	same := func(c *Store) {
		t.Helper()
		st, err := c.Read()
		if err != nil {
			t.Fatal(err)
		}
		if who, ok := c.TokenVerifier(st.Tokens)(now, shown); !ok || who != "a" {
			t.Error("the copy does not have the token")
		}
		mine, _ := s.Fingerprint()
		if theirs, _ := c.Fingerprint(); theirs != mine {
			t.Errorf("fingerprints %x and %x", theirs, mine)
		}
		if err := c.Records(0, func(uint64, Record) error { return nil }); err != nil {
			t.Error(err)
		}
	}
	noError(t, s.CopyTo(to))
	in(same)
	_, _, _ = s.Apply(now, "me", "", tenancy.Change{Kind: tenancy.Remove, Name: "a"})
	noError(t, s.CopyTo(to))
	in(func(c *Store) { // its process finishes the removal, then a copy with another change replaces it: as many changes, another state
		if ok, err := c.FinishRemoval(now, "a"); !ok || err != nil {
			t.Error(ok, err)
		}
	})
	_, _, _ = s.Apply(now, "me", "", addChange("b"))
	var before uint64
	in(func(c *Store) { before, _ = c.Fingerprint() })
	noError(t, s.CopyTo(to))
	in(func(c *Store) {
		if after, _ := c.Fingerprint(); after == before {
			t.Error("the process of the copy would not see the change")
		}
		st, _ := c.Read()
		if a, _ := st.Tenants.Get("a"); a.State != tenancy.Removing {
			t.Errorf("%v", a.State)
		}
		if _, ok := st.Tenants.Get("b"); !ok {
			t.Error("the copy does not have b")
		}
	})
}

// TestCopyRefused checks that only a copy that nobody holds is replaced.
func TestCopyRefused(t *testing.T) {
	from := t.TempDir()
	s := open(t, from)
	foreign, held, keyless := t.TempDir(), t.TempDir(), t.TempDir()
	noError(t, open(t, foreign).Close())
	noError(t, s.CopyTo(held))
	open(t, held)
	noError(t, os.WriteFile(storePath(keyless), []byte("something"), 0o600))
	for _, c := range []struct {
		name, folder string
		want         error
	}{{"another store", foreign, ErrForeign}, {"held", held, bolt.ErrLocked}, {"no key", keyless, ErrForeign}, {"its own", from, nil}} {
		if err := s.CopyTo(c.folder); err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
