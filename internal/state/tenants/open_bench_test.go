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
			s, err := Open(dir, n)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				if _, fault, err := s.Apply(time.Now(), "b", "", tenancy.Change{
					Kind: tenancy.Add, Name: fmt.Sprint("t", i),
					Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1}},
				}); fault != nil || err != nil {
					b.Fatal(fault, err)
				}
			}
			s.Close()
			files, _ := filepath.Glob(filepath.Join(dir, "*.db"))
			for _, f := range files {
				at := time.Now().Add(-time.Minute)
				if err := os.Chtimes(f, at, at); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				s, err := Open(dir, n)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := s.ChangeCount(); err != nil {
					b.Fatal(err)
				}
				s.Close()
			}
		})
	}
}
