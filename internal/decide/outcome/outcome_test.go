package outcome

import (
	"testing"

	"ravenpond/logic"
)

func TestFates(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want AttemptState
	}{
		{"broke before its last byte left", AfterDisconnect(false), NeverRan},
		{"broke after", AfterDisconnect(true), MustClaim},
		{"back, in the same life, and named", AfterReconnect(true, true), InProgress},
		{"back in another life, and named", AfterReconnect(false, true), InProgress},
		{"back in the same life, not named", AfterReconnect(true, false), MustClaim},
		{"back in another life, not named", AfterReconnect(false, false), MayHaveRun},
		{"gone from the list, still connected", AfterNodeRemoved(true, true), InProgress},
		{"gone, and it may have got there", AfterNodeRemoved(false, true), MayHaveRun},
		{"gone, and never sent", AfterNodeRemoved(false, false), NeverRan},
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
			want      LateAction
		}{{true, false, Serve}, {true, true, Await}, {false, false, answered}, {false, true, answered}} {
			if got := OnLateStart(effect, c.open, c.out); got != c.want {
				t.Errorf("effect %d, %+v: %d", effect, c, got)
			}
		}
	}
	if LateStartRetention(3000) <= 2*3000 || float64(MaxClaims())*ClaimInterval(3000) >= 3000 {
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
		if got := IsRetrySafe(c.effect, c.group, c.out, c.mayHave); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestProbeWithin gives a probe the time that a connection may take to be made, and as long again for its answer.
func TestProbeWithin(t *testing.T) {
	for connect, want := range map[float64]float64{0: 500, 150: 500, 250: 500, 400: 800, 1000: 2000} {
		if got := ProbeTimeoutFor(connect); got != want {
			t.Errorf("connections in %g ms: %g, want %g", connect, got, want)
		}
	}
}
