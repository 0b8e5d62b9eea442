package connlimits

import "testing"

func TestMeans(t *testing.T) {
	for left, want := range map[float64]bool{-1: false, 0: false, 1: true, 5000: true, 100000: true, 100001: false} {
		if got := IsPlausibleWait(left, 5000); got != want {
			t.Errorf("%g: %v", left, got)
		}
	}
}

func TestFresh(t *testing.T) {
	if !IsReusable(0, 30000) || !IsReusable(15000, 30000) || IsReusable(25000, 30000) || IsReusable(30000, 30000) {
		t.Error("a connection is used for a while, and well before its node closes it no more")
	}
}
