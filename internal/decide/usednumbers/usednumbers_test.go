package usednumbers

import (
	"testing"

	"ravenpond/logic"
)

// TestMemory checks which numbers are remembered, and for how long.
func TestMemory(t *testing.T) {
	m := NewMemory()
	m.Add(1000, 1, &logic.JobClass{Semantics: logic.AtMostOnce})
	m.Add(1000, 2, &logic.JobClass{})
	m.Add(1000, 3, &logic.JobClass{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone})
	m.Add(1000, 4, &logic.JobClass{Semantics: logic.Idempotent})
	for number, want := range map[uint64]bool{1: true, 2: false, 3: true, 4: false, 5: false} {
		if got := m.Contains(1000+retention-1, number); got != want {
			t.Errorf("number %d: got remembered %t, want %t", number, got, want)
		}
	}
	if m.Contains(1000+retention, 1) {
		t.Error("got a number remembered after the time of retention")
	}
}

// TestMemoryIsBounded checks that numbers are dropped when there are too many or their time is over.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory()
	class := &logic.JobClass{Semantics: logic.AtMostOnce}
	for number := range uint64(3 * maxNumbers) {
		m.Add(1000, number, class)
	}
	if got := m.Len(); got != maxNumbers || m.Contains(1000, 0) {
		t.Errorf("got %d numbers, or the oldest; want the last %d", got, maxNumbers)
	}
	m.Add(1000+retention, 1, class)
	if got := m.Len(); got != 1 {
		t.Errorf("got %d numbers after the time of retention, want 1", got)
	}
}
