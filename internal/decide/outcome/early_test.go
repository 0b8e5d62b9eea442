package outcome

import (
	"testing"

	"ravenpond/logic"
)

// TestEarlyEnd tries each cause of an end that a node may send for an attempt that it has not answered, with each reason, with and without
// notes sent before.
func TestEarlyEnd(t *testing.T) {
	removed := map[logic.Reason]bool{logic.Evicted: true, logic.Preempted: true, logic.Displaced: true}
	for _, cause := range []struct {
		name               string
		unstarted, started logic.Outcome
		neverRan, ran      bool // what the cause proves by itself
	}{
		{"node full", logic.Rejected, logic.ConnectionLost, true, false},
		{"never sent", logic.NotSent, logic.ConnectionLost, true, false},
		{"error", logic.Errored, logic.ConnectionLost, false, false},
		{"connection reset", logic.ConnectionLost, logic.ConnectionLost, false, false},
		{"completed", logic.ConnectionLost, logic.Completed, false, true},
		{"cancelled", logic.ConnectionLost, logic.Cancelled, false, true},
	} {
		for reason := logic.ReasonUnknown; reason <= logic.Displaced; reason++ {
			for _, noted := range []bool{false, true} {
				end := EarlyEnd{Unstarted: cause.unstarted, Started: cause.started, Reason: reason, NoteReceived: noted}
				want := noted || cause.ran || !cause.neverRan && removed[reason]
				if got := end.Ran(); got != want {
					t.Errorf("%s, reason %d, notes before %t: got ran %t, want %t", cause.name, reason, noted, got, want)
				}
			}
		}
	}
}

// TestIsRetrySafeAfterRun checks that a client is told that a retry is safe only if it cannot take effect a second time.
func TestIsRetrySafeAfterRun(t *testing.T) {
	for _, c := range []struct {
		semantics logic.RetrySemantics
		scope     logic.IdempotencyScope
		want      bool
	}{
		{logic.Restartable, logic.ScopeAll, true},
		{logic.Restartable, logic.ScopeZone, true},
		{logic.Idempotent, logic.ScopeAll, true},
		{logic.Idempotent, logic.ScopeZone, false},
		{logic.AtMostOnce, logic.ScopeAll, false},
	} {
		if got := IsRetrySafeAfterRun(c.semantics, c.scope); got != c.want {
			t.Errorf("semantics %d, scope %d: got %t, want the opposite", c.semantics, c.scope, got)
		}
	}
}
