package outcome

import (
	"testing"

	"ravenpond/logic"
)

func TestAttemptState(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want AttemptState
	}{
		{"disconnected before its last byte left", AfterDisconnect(false), NeverRan},
		{"disconnected after", AfterDisconnect(true), MustClaim},
		{"reconnected in the same incarnation, named", AfterReconnect(true, true), InProgress},
		{"reconnected in another incarnation, named", AfterReconnect(false, true), InProgress},
		{"reconnected in the same incarnation, not named", AfterReconnect(true, false), MustClaim},
		{"reconnected in another incarnation, not named", AfterReconnect(false, false), MayHaveRun},
		{"removed from the list, still connected", AfterNodeRemoved(true, true), InProgress},
		{"removed, and it may have arrived", AfterNodeRemoved(false, true), MayHaveRun},
		{"removed, and never sent", AfterNodeRemoved(false, false), NeverRan},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

func TestOnLateStart(t *testing.T) {
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
		t.Error("a late start must be kept longer than the client waits, and be claimed within that time")
	}
}

func TestIsRetrySafe(t *testing.T) {
	for _, c := range []struct {
		name         string
		effect       logic.RetrySemantics
		group        logic.IdempotencyScope
		out, mayHave bool
		want         bool
	}{
		{"restartable, open", logic.Restartable, logic.ScopeAll, true, true, true},
		{"at most once, nothing sent", logic.AtMostOnce, logic.ScopeAll, false, false, true},
		{"at most once, open", logic.AtMostOnce, logic.ScopeAll, true, false, false},
		{"at most once, may have run", logic.AtMostOnce, logic.ScopeAll, false, true, false},
		{"idempotent everywhere, may have run", logic.Idempotent, logic.ScopeAll, false, true, true},
		{"idempotent everywhere, open", logic.Idempotent, logic.ScopeAll, true, false, false},
		{"idempotent in a zone, may have run", logic.Idempotent, logic.ScopeZone, false, true, false},
	} {
		if got := IsRetrySafe(c.effect, c.group, c.out, c.mayHave); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestProbeTimeoutFor checks that a probe gets the time of a connection, and as long again for its answer.
func TestProbeTimeoutFor(t *testing.T) {
	for connect, want := range map[float64]float64{0: 500, 150: 500, 250: 500, 400: 800, 1000: 2000} {
		if got := ProbeTimeoutFor(connect); got != want {
			t.Errorf("connections in %g ms: %g, want %g", connect, got, want)
		}
	}
}
