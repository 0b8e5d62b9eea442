package besteffort

import (
	"strings"
	"sync"
	"testing"
)

// TestDo checks that a diagnostic that panics is reported once and switched off, and that others are not affected.
func TestDo(t *testing.T) {
	var reports []string
	guard := Guard{Report: func(what, why string) { reports = append(reports, what+": "+why) }}
	ran := 0
	for range 3 {
		guard.Do("counts", func() { ran++; var none []int; _ = none[ran-1] })
		if !guard.Do("beliefs", func() { ran += 10 }) {
			t.Error("a diagnostic of another name was switched off too")
		}
	}
	if ran != 31 || len(reports) != 1 || !strings.HasPrefix(reports[0], "counts: panic: ") || !strings.Contains(reports[0], "besteffort_test.go") {
		t.Errorf("ran %d, reported %q, want 31 and one report with the stack", ran, reports)
	}
}

// TestConcurrentPanics checks that a diagnostic that panics in several goroutines at once is reported once.
func TestConcurrentPanics(t *testing.T) {
	var mu sync.Mutex
	reports := 0
	guard := Guard{Report: func(string, string) { mu.Lock(); reports++; mu.Unlock() }}
	var goroutines sync.WaitGroup
	for range 8 {
		goroutines.Go(func() { guard.Do("x", func() { panic("x") }) })
	}
	goroutines.Wait()
	if reports != 1 || guard.Do("x", func() {}) {
		t.Errorf("%d reports, want 1, and the diagnostic switched off", reports)
	}
	var silent Guard
	silent.Do("x", func() { panic("not reported") })
}
