package watchretry

import "testing"

func TestWatch(t *testing.T) {
	var w Retrier
	if !w.BeginConnect(10) || w.BeginConnect(11) {
		t.Fatal("asks at once, and once")
	}
	if !w.IsFailing(5000) || w.IsLive(5000) {
		t.Error("a service that was never heard")
	}
	w.OnConnected(20)
	w.OnEvent(30)
	if w.IsSilent(1900) || !w.IsLive(1900) || !w.IsSilent(2000) || w.IsLive(2000) {
		t.Error("silence")
	}
	w.OnDisconnected(2000)
	if w.BeginConnect(2010) || !w.BeginConnect(2100) {
		t.Error("asked again too soon, or not soon")
	}
	last, gap, asks := 2100.0, 0.0, 0
	w.OnDisconnected(2100)
	for now := 2100.0; now < 12100; now += 10 {
		if w.BeginConnect(now) {
			gap, last = now-last, now
			asks++
			w.OnDisconnected(now)
		}
	}
	if gap < 300 || gap > 700 || asks > 40 {
		t.Errorf("%d asks in 10 s of a service that is not there, the last after %g ms", asks, gap)
	}
	w.OnAddressChanged(12100)
	if !w.BeginConnect(12100) {
		t.Error("a new address is asked at once")
	}
}

// TestSilentAnew has a service take connections and say nothing: no call is answered as if there were no news, however often it is
// connected anew.
func TestSilentAnew(t *testing.T) {
	var w Retrier
	w.BeginConnect(0)
	w.OnConnected(10)
	w.OnEvent(20)
	w.OnDisconnected(30)
	failed := false
	for now := 40.0; now < 20000; now += 10 {
		switch {
		case w.BeginConnect(now):
			w.OnConnected(now)
		case w.IsSilent(now):
			w.OnDisconnected(now)
		}
		if w.IsLive(now) {
			t.Fatalf("live at %g ms, on a connection that has told nothing", now)
		}
		failed = failed || w.IsFailing(now)
	}
	if !failed {
		t.Error("calls for news wait for ever")
	}
	w.BeginConnect(30000)
	w.OnConnected(30000)
	w.OnEvent(30001)
	if !w.IsLive(30002) || w.IsFailing(30002) {
		t.Error("not live after its first line")
	}
}

// TestTrickle tells a line that comes slowly from one that never ends, and from silence in its midst.
func TestTrickle(t *testing.T) {
	for _, c := range []struct {
		name        string
		bytes, line float64 // ms between bytes, and from the first to the line's end
		silent      bool
	}{
		{"a long line comes slowly", 100, 3000, false},
		{"slower than its service's count", 1000, 3000, false},
		{"it never ends", 100, 1e9, true},
		{"silence in its midst", 2500, 3000, true},
	} {
		var w Retrier
		w.BeginConnect(0)
		w.OnConnected(0)
		next, silent := 0.0, false
		for now := 0.0; now < 5000 && now < c.line && !silent; now += 10 {
			if now >= next {
				w.OnBytes(now)
				next = now + c.bytes
			}
			silent = w.IsSilent(now)
		}
		if silent != c.silent {
			t.Errorf("%s: given up %v", c.name, silent)
		}
	}
}
