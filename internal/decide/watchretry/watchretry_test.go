package watchretry

import "testing"

func TestWatch(t *testing.T) {
	var w Retrier
	if !w.Ask(10) || w.Ask(11) {
		t.Fatal("asks at once, and once")
	}
	if !w.Failing(5000) || w.Live(5000) {
		t.Error("a service that was never heard")
	}
	w.Linked(20)
	w.Heard(30)
	if w.Silent(1900) || !w.Live(1900) || !w.Silent(2000) || w.Live(2000) {
		t.Error("silence")
	}
	w.Broke(2000)
	if w.Ask(2010) || !w.Ask(2100) {
		t.Error("asked again too soon, or not soon")
	}
	last, gap, asks := 2100.0, 0.0, 0
	w.Broke(2100)
	for now := 2100.0; now < 12100; now += 10 {
		if w.Ask(now) {
			gap, last = now-last, now
			asks++
			w.Broke(now)
		}
	}
	if gap < 300 || gap > 700 || asks > 40 {
		t.Errorf("%d asks in 10 s of a service that is not there, the last after %g ms", asks, gap)
	}
	w.Moved(12100)
	if !w.Ask(12100) {
		t.Error("a new address is asked at once")
	}
}

// TestSilentAnew has a service take connections and say nothing: no call is answered as if there were no news, however often it is
// connected anew.
func TestSilentAnew(t *testing.T) {
	var w Retrier
	w.Ask(0)
	w.Linked(10)
	w.Heard(20)
	w.Broke(30)
	failed := false
	for now := 40.0; now < 20000; now += 10 {
		switch {
		case w.Ask(now):
			w.Linked(now)
		case w.Silent(now):
			w.Broke(now)
		}
		if w.Live(now) {
			t.Fatalf("live at %g ms, on a connection that has told nothing", now)
		}
		failed = failed || w.Failing(now)
	}
	if !failed {
		t.Error("calls for news wait for ever")
	}
	w.Ask(30000)
	w.Linked(30000)
	w.Heard(30001)
	if !w.Live(30002) || w.Failing(30002) {
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
		w.Ask(0)
		w.Linked(0)
		next, silent := 0.0, false
		for now := 0.0; now < 5000 && now < c.line && !silent; now += 10 {
			if now >= next {
				w.Came(now)
				next = now + c.bytes
			}
			silent = w.Silent(now)
		}
		if silent != c.silent {
			t.Errorf("%s: given up %v", c.name, silent)
		}
	}
}
