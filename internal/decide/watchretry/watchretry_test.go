package watchretry

import "testing"

func TestSilence(t *testing.T) {
	var r Retrier
	if !r.BeginConnect(10) || r.BeginConnect(11) {
		t.Fatal("got no first connection at once, or a second one, want exactly one")
	}
	if !r.IsFailing(5000) || r.IsLive(5000) {
		t.Error("a service that has never sent an event is live or not failing, want failing")
	}
	r.OnConnected(20)
	r.OnEvent(30)
	if r.IsSilent(1900) || !r.IsLive(1900) {
		t.Error("the connection is silent or not live 1870 ms after an event, want live")
	}
	if !r.IsSilent(2000) || r.IsLive(2000) {
		t.Error("the connection is live or not silent 1970 ms after an event, want silent")
	}
	r.OnDisconnected(2000)
	if r.BeginConnect(2010) || !r.BeginConnect(2100) {
		t.Error("reconnected within 10 ms, or not within 100 ms, want a backoff of 30 ms")
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
		t.Errorf("unreachable service: got %d attempts in 10 s, the last one after %g ms; want at most 40, the last one after 300 to 700 ms", attempts, gap)
	}
	r.OnAddressChanged(12100)
	if !r.BeginConnect(12100) {
		t.Error("got no connection at once to a new address")
	}
}

// TestSilentAfterReconnect simulates a service that accepts connections and delivers nothing. However often the scheduler reconnects, requests
// for events fail instead of reporting that there are no events.
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
			t.Fatalf("live at %g ms on a connection that has delivered nothing, want not live", now)
		}
		failed = failed || r.IsFailing(now)
	}
	if !failed {
		t.Error("requests for events never fail, want a failure")
	}
	r.BeginConnect(30000)
	r.OnConnected(30000)
	r.OnEvent(30001)
	if !r.IsLive(30002) || r.IsFailing(30002) {
		t.Error("not live or failing after the first event of a connection, want live")
	}
}

// TestTrickle distinguishes an event that arrives slowly from one that never ends, and from silence within an event.
func TestTrickle(t *testing.T) {
	for _, c := range []struct {
		name                        string
		byteInterval, eventDuration float64 // ms between bytes, and from the first byte to the end of the event
		wantSilent                  bool
	}{
		{"a long event arrives slowly", 100, 3000, false},
		{"bytes arrive once per heartbeat interval", 1000, 3000, false},
		{"an event that never ends", 100, 1e9, true},
		{"silence within an event", 2500, 3000, true},
	} {
		var r Retrier
		r.BeginConnect(0)
		r.OnConnected(0)
		next, silent := 0.0, false
		for now := 0.0; now < 5000 && now < c.eventDuration && !silent; now += 10 {
			if now >= next {
				r.OnBytes(now)
				next = now + c.byteInterval
			}
			silent = r.IsSilent(now)
		}
		if silent != c.wantSilent {
			t.Errorf("%s: got silent %v, want the opposite", c.name, silent)
		}
	}
}
