package watchretry

import "testing"

func TestSilence(t *testing.T) {
	var r Retrier
	if !r.BeginConnect(10) || r.BeginConnect(11) {
		t.Fatal("not connected at once and once")
	}
	if !r.IsFailing(5000) || r.IsLive(5000) {
		t.Error("a service that was never heard from")
	}
	r.OnConnected(20)
	r.OnEvent(30)
	if r.IsSilent(1900) || !r.IsLive(1900) {
		t.Error("silent too early")
	}
	if !r.IsSilent(2000) || r.IsLive(2000) {
		t.Error("not silent")
	}
	r.OnDisconnected(2000)
	if r.BeginConnect(2010) || !r.BeginConnect(2100) {
		t.Error("connected again too soon, or not soon")
	}
}

func TestBackoff(t *testing.T) {
	var r Retrier
	r.BeginConnect(2000)
	r.OnDisconnected(2000)
	r.BeginConnect(2100)
	r.OnDisconnected(2100)
	last, gap, attempts := 2100.0, 0.0, 0
	for now := 2100.0; now < 12100; now += 10 {
		if r.BeginConnect(now) {
			gap, last = now-last, now
			attempts++
			r.OnDisconnected(now)
		}
	}
	if gap < 300 || gap > 700 || attempts > 40 {
		t.Errorf("%d attempts in 10 s to a service that is not there, the last after %g ms", attempts, gap)
	}
	r.OnAddressChanged(12100)
	if !r.BeginConnect(12100) {
		t.Error("not connected at once to a new address")
	}
}

// TestSilentAfterReconnect has a service accept connections and deliver nothing: no request for events is answered as if there were none,
// however often it is connected again.
func TestSilentAfterReconnect(t *testing.T) {
	var r Retrier
	r.BeginConnect(0)
	r.OnConnected(10)
	r.OnEvent(20)
	r.OnDisconnected(30)
	failed := false
	for now := 40.0; now < 20000; now += 10 {
		switch {
		case r.BeginConnect(now):
			r.OnConnected(now)
		case r.IsSilent(now):
			r.OnDisconnected(now)
		}
		if r.IsLive(now) {
			t.Fatalf("live at %g ms, on a connection that has delivered nothing", now)
		}
		failed = failed || r.IsFailing(now)
	}
	if !failed {
		t.Error("requests for events wait for ever")
	}
	r.BeginConnect(30000)
	r.OnConnected(30000)
	r.OnEvent(30001)
	if !r.IsLive(30002) || r.IsFailing(30002) {
		t.Error("not live after its first line")
	}
}

// TestTrickle distinguishes a line that arrives slowly from one that never ends, and from silence within it.
func TestTrickle(t *testing.T) {
	for _, c := range []struct {
		name        string
		bytes, line float64 // ms between bytes, and from the first to the line's end
		silent      bool
	}{
		{"a long line arrives slowly", 100, 3000, false},
		{"slower than the heartbeat", 1000, 3000, false},
		{"it never ends", 100, 1e9, true},
		{"silence within it", 2500, 3000, true},
	} {
		var r Retrier
		r.BeginConnect(0)
		r.OnConnected(0)
		next, silent := 0.0, false
		for now := 0.0; now < 5000 && now < c.line && !silent; now += 10 {
			if now >= next {
				r.OnBytes(now)
				next = now + c.bytes
			}
			silent = r.IsSilent(now)
		}
		if silent != c.silent {
			t.Errorf("%s: given up %v", c.name, silent)
		}
	}
}
