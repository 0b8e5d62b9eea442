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
