package tenants

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
)

// BenchmarkOpen opens a store that has not changed, as a scheduler does twice a second.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			fillStore(b, dir, n)
			for b.Loop() {
				s, err := Open(dir, n)
				noError(b, err)
				_, err = s.ChangeCount()
				noError(b, err)
				noError(b, s.Close())
			}
		})
	}
}

// fillStore makes a store of n tenants that was last written a minute ago.
func fillStore(b *testing.B, dir string, n int) {
	b.Helper()
	s, err := Open(dir, n)
	noError(b, err)
	for i := range n {
		if _, fault, err := s.Apply(time.Now(), "b", "", tenancy.Change{
			Kind: tenancy.Add, Name: fmt.Sprint("t", i),
			Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1}},
		}); fault != nil || err != nil {
			b.Fatal(fault, err)
		}
	}
	noError(b, s.Close())
	files, err := filepath.Glob(filepath.Join(dir, "*.db"))
	noError(b, err)
	at := time.Now().Add(-time.Minute)
	for _, f := range files {
		noError(b, os.Chtimes(f, at, at))
	}
}
