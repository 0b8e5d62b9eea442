package besteffort

import (
	"strings"
	"sync"
	"testing"
)

// TestDo has a diagnostic panic: it is reported once and switched off, others are not affected.
func TestDo(t *testing.T) {
	var reports []string
	f := Guard{Report: func(what, why string) { reports = append(reports, what+": "+why) }}
	ran := 0
	for range 3 {
		f.Do("counts", func() { ran++; var none []int; _ = none[ran-1] })
		if !f.Do("beliefs", func() { ran += 10 }) {
			t.Error("one of another name is switched off too")
		}
	}
	if ran != 31 || len(reports) != 1 || !strings.HasPrefix(reports[0], "counts: panic: ") || !strings.Contains(reports[0], "besteffort_test.go") {
		t.Errorf("ran %d, reported %q", ran, reports)
	}
}

// TestConcurrentPanics has several goroutines panic in the same diagnostic: it is reported once.
func TestConcurrentPanics(t *testing.T) {
	var mu sync.Mutex
	reports := 0
	f := Guard{Report: func(string, string) { mu.Lock(); reports++; mu.Unlock() }}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() { f.Do("x", func() { panic("x") }) })
	}
	all.Wait()
	if reports != 1 || f.Do("x", func() {}) {
		t.Errorf("reported %d times", reports)
	}
	var silent Guard
	silent.Do("x", func() { panic("nobody is told") })
}
