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
		{"disconnected before the last byte was sent", AfterDisconnect(false), NeverRan},
		{"disconnected after the last byte may have been sent", AfterDisconnect(true), MustClaim},
		{"reconnected in the same incarnation, reported", AfterReconnect(true, true), InProgress},
		{"reconnected in another incarnation, reported", AfterReconnect(false, true), InProgress},
		{"reconnected in the same incarnation, not reported", AfterReconnect(true, false), MustClaim},
		{"reconnected in another incarnation, not reported", AfterReconnect(false, false), MayHaveRun},
		{"node removed from the list, still connected", AfterNodeRemoved(true, true), InProgress},
		{"node removed, not connected, may have been sent", AfterNodeRemoved(false, true), MayHaveRun},
		{"node removed, not connected, never sent", AfterNodeRemoved(false, false), NeverRan},
	} {
		if c.got != c.want {
			t.Errorf("%s: got state %d, want %d", c.name, c.got, c.want)
		}
	}
}

func TestOnLateStart(t *testing.T) {
	for _, semantics := range []logic.RetrySemantics{logic.Restartable, logic.Idempotent, logic.AtMostOnce} {
		wantIfAnswered := Keep
		if semantics == logic.Restartable {
			wantIfAnswered = Stop
		}
		for _, c := range []struct {
			waiting, attemptOpen bool
			want                 LateAction
		}{{true, false, Serve}, {true, true, Await}, {false, false, wantIfAnswered}, {false, true, wantIfAnswered}} {
			if got := OnLateStart(semantics, c.waiting, c.attemptOpen); got != c.want {
				t.Errorf("semantics %d, case %+v: got action %d", semantics, c, got)
			}
		}
	}
	if LateStartRetention(3000) <= 2*3000 || float64(MaxClaims())*ClaimInterval(3000) >= 3000 {
		t.Error("a late start is not kept for over two settle times, or not all claims are made within one")
	}
}

func TestIsRetrySafe(t *testing.T) {
	for _, c := range []struct {
		name                    string
		semantics               logic.RetrySemantics
		scope                   logic.IdempotencyScope
		attemptOpen, mayHaveRun bool
		want                    bool
	}{
		{"restartable, open and may have run", logic.Restartable, logic.ScopeAll, true, true, true},
		{"at most once, nothing sent", logic.AtMostOnce, logic.ScopeAll, false, false, true},
		{"at most once, open", logic.AtMostOnce, logic.ScopeAll, true, false, false},
		{"at most once, may have run", logic.AtMostOnce, logic.ScopeAll, false, true, false},
		{"idempotent everywhere, may have run", logic.Idempotent, logic.ScopeAll, false, true, true},
		{"idempotent everywhere, open", logic.Idempotent, logic.ScopeAll, true, false, false},
		{"idempotent in a zone, may have run", logic.Idempotent, logic.ScopeZone, false, true, false},
	} {
		if got := IsRetrySafe(c.semantics, c.scope, c.attemptOpen, c.mayHaveRun); got != c.want {
			t.Errorf("%s: got %t, want the opposite", c.name, got)
		}
	}
}

// TestProbeTimeoutFor checks that a probe's time-out is at least twice the time that making a connection may take.
func TestProbeTimeoutFor(t *testing.T) {
	for connect, want := range map[float64]float64{0: 500, 150: 500, 250: 500, 400: 800, 1000: 2000} {
		if got := ProbeTimeoutFor(connect); got != want {
			t.Errorf("connections made in %g ms: got a time-out of %g ms, want %g ms", connect, got, want)
		}
	}
}
