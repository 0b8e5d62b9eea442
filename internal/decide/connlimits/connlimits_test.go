package connlimits

import "testing"

func TestIsPlausibleWait(t *testing.T) {
	for left, want := range map[float64]bool{-1: false, 0: false, 1: true, 5000: true, 100000: true, 100001: false} {
		if got := IsPlausibleWait(left, 5000); got != want {
			t.Errorf("%g ms left: got plausible %v, want the opposite", left, got)
		}
	}
}

func TestIsReusable(t *testing.T) {
	if !IsReusable(0, 30000) || !IsReusable(15000, 30000) || IsReusable(25000, 30000) || IsReusable(30000, 30000) {
		t.Error("got a fresh connection not reusable, or one reusable shortly before its node closes it; want reuse only up to 60% of the node's time-out")
	}
}

func TestMayCarryNotification(t *testing.T) {
	for _, c := range []struct {
		name                        string
		verified, requested, active bool
		age                         float64
		want                        bool
	}{
		{"a request was served on it", true, true, true, 0, true},
		{"a request was received on it", false, true, true, 0, true},
		{"a test, just now", false, false, true, 100, false},
		{"a test, and kept open", false, false, true, 1000, true},
		{"nothing valid", false, false, false, 9000, false},
	} {
		if got := MayCarryNotification(c.verified, c.requested, c.active, c.age); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
