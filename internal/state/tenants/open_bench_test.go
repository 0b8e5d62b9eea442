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

// BenchmarkOpen opens an unchanged store and reads its number of changes, as a scheduler does twice a second.
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

// fillStore creates a store with n tenants whose file was last modified a minute ago.
func fillStore(b *testing.B, dir string, n int) {
	b.Helper()
	s, err := Open(dir, n)
	noError(b, err)
	for i := range n {
		if _, rejected, err := s.Apply(time.Now(), "b", "", tenancy.Change{
			Kind: tenancy.Add, Name: fmt.Sprint("t", i),
			Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1}},
		}); rejected != nil || err != nil {
			b.Fatal(rejected, err)
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
