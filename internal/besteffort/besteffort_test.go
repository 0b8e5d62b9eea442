package besteffort

import (
	"strings"
	"sync"
	"testing"
)

func TestDo(t *testing.T) {
	var told []string
	f := Guard{Report: func(what, why string) { told = append(told, what+": "+why) }}
	ran := 0
	for range 3 {
		f.Do("counts", func() { ran++; var none []int; _ = none[ran-1] })
		if !f.Do("beliefs", func() { ran += 10 }) {
			t.Error("one of another name is switched off too")
		}
	}
	if ran != 31 || len(told) != 1 || !strings.HasPrefix(told[0], "counts: panic: ") || !strings.Contains(told[0], "besteffort_test.go") {
		t.Errorf("ran %d, told %q", ran, told)
	}
}

// TestMany has several goroutines meet the same panic: it is told once.
func TestMany(t *testing.T) {
	var mu sync.Mutex
	told := 0
	f := Guard{Report: func(string, string) { mu.Lock(); told++; mu.Unlock() }}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() { f.Do("x", func() { panic("x") }) })
	}
	all.Wait()
	if told != 1 || f.Do("x", func() {}) {
		t.Errorf("told %d times", told)
	}
	var silent Guard
	silent.Do("x", func() { panic("nobody is told") })
}
