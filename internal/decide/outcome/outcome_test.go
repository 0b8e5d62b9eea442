package outcome

import (
	"testing"

	"ravenpond/logic"
)

func TestFates(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want Fate
	}{
		{"broke before its last byte left", Broke(false), Never},
		{"broke after", Broke(true), Ask},
		{"back, in the same life, and named", Returned(true, true), Goes},
		{"back in another life, and named", Returned(false, true), Goes},
		{"back in the same life, not named", Returned(true, false), Ask},
		{"back in another life, not named", Returned(false, false), MayHave},
		{"gone from the list, still connected", GoneFrom(true, true), Goes},
		{"gone, and it may have got there", GoneFrom(false, true), MayHave},
		{"gone, and never sent", GoneFrom(false, false), Never},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

func TestLate(t *testing.T) {
	for _, effect := range []logic.RetrySemantics{logic.Restartable, logic.Idempotent, logic.AtMostOnce} {
		answered := Keep
		if effect == logic.Restartable {
			answered = Stop
		}
		for _, c := range []struct {
			open, out bool
			want      Do
		}{{true, false, Serve}, {true, true, Await}, {false, false, answered}, {false, true, answered}} {
			if got := Late(effect, c.open, c.out); got != c.want {
				t.Errorf("effect %d, %+v: %d", effect, c, got)
			}
		}
	}
	if KeepFor(3000) <= 2*3000 || float64(Claims())*ClaimEvery(3000) >= 3000 {
		t.Error("a late start must outlast its owner's wait, and be claimed within it")
	}
}

func TestWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name         string
		effect       logic.RetrySemantics
		group        logic.IdempotencyScope
		out, mayHave bool
		want         bool
	}{
		{"restartable, out", logic.Restartable, logic.ScopeAll, true, true, true},
		{"run-once, nothing sent", logic.AtMostOnce, logic.ScopeAll, false, false, true},
		{"run-once, out", logic.AtMostOnce, logic.ScopeAll, true, false, false},
		{"run-once, may have run", logic.AtMostOnce, logic.ScopeAll, false, true, false},
		{"tokened everywhere, may have run", logic.Idempotent, logic.ScopeAll, false, true, true},
		{"tokened everywhere, out", logic.Idempotent, logic.ScopeAll, true, false, false},
		{"tokened in a zone, may have run", logic.Idempotent, logic.ScopeZone, false, true, false},
	} {
		if got := Withdrawn(c.effect, c.group, c.out, c.mayHave); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestProbeWithin gives a probe the time that a connection may take to be made, and as long again for its answer.
func TestProbeWithin(t *testing.T) {
	for connect, want := range map[float64]float64{0: 500, 150: 500, 250: 500, 400: 800, 1000: 2000} {
		if got := ProbeWithin(connect); got != want {
			t.Errorf("connections in %g ms: %g, want %g", connect, got, want)
		}
	}
}
