package outcome

import (
	"testing"

	"ravenpond/logic"
)

// TestEarlyEnd tries each cause that a node may give for an attempt that it has not answered, with each reason, with and without notes
// before it.
func TestEarlyEnd(t *testing.T) {
	removed := map[logic.Reason]bool{logic.Evicted: true, logic.Preempted: true, logic.Displaced: true}
	for _, cause := range []struct {
		name               string
		unstarted, started logic.Outcome
		neverRan, ran      bool // what the cause alone proves
	}{
		{"full", logic.Rejected, logic.ConnectionLost, true, false},
		{"never left", logic.NotSent, logic.ConnectionLost, true, false},
		{"error", logic.Errored, logic.ConnectionLost, false, false},
		{"reset", logic.ConnectionLost, logic.ConnectionLost, false, false},
		{"normal end", logic.ConnectionLost, logic.Completed, false, true},
		{"cancelled", logic.ConnectionLost, logic.Cancelled, false, true},
	} {
		for reason := logic.ReasonUnknown; reason <= logic.Displaced; reason++ {
			for _, noted := range []bool{false, true} {
				end := EarlyEnd{Unstarted: cause.unstarted, Started: cause.started, Reason: reason, Noted: noted}
				want := noted || cause.ran || !cause.neverRan && removed[reason]
				if got := end.Ran(); got != want {
					t.Errorf("%s, reason %d, notes before it %t: ran %t, want %t", cause.name, reason, noted, got, want)
				}
			}
		}
	}
}

// TestIsRetrySafeAfterRun checks that a client is told that a retry is safe only where it cannot cause a second effect.
func TestIsRetrySafeAfterRun(t *testing.T) {
	for _, c := range []struct {
		effect logic.RetrySemantics
		group  logic.IdempotencyScope
		want   bool
	}{
		{logic.Restartable, logic.ScopeAll, true},
		{logic.Restartable, logic.ScopeZone, true},
		{logic.Idempotent, logic.ScopeAll, true},
		{logic.Idempotent, logic.ScopeZone, false},
		{logic.AtMostOnce, logic.ScopeAll, false},
	} {
		if got := IsRetrySafeAfterRun(c.effect, c.group); got != c.want {
			t.Errorf("effect %d, group %d: %t", c.effect, c.group, got)
		}
	}
}
