package outcome

import (
	"testing"

	"ravenpond/logic"
)

// TestEarlyEnd goes through each cause that a node may give for an attempt that it has not answered, with each reason, with and without
// notes before it.
func TestEarlyEnd(t *testing.T) {
	removed := map[logic.Reason]bool{logic.Evicted: true, logic.PushedOut: true, logic.SentAway: true}
	for _, cause := range []struct {
		name               string
		unstarted, started logic.Verdict
		neverRan, ran      bool // what the cause alone proves
	}{
		{"full", logic.Refused, logic.Broken, true, false},
		{"never left", logic.Unsent, logic.Broken, true, false},
		{"error", logic.Errored, logic.Broken, false, false},
		{"reset", logic.Broken, logic.Broken, false, false},
		{"normal end", logic.Broken, logic.Ended, false, true},
		{"cancelled", logic.Broken, logic.CalledOff, false, true},
	} {
		for reason := logic.NotTold; reason <= logic.SentAway; reason++ {
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

// TestDeclinedAfterRun has a client hear that a retry is harmless only where a second effect can't come of it.
func TestDeclinedAfterRun(t *testing.T) {
	for _, c := range []struct {
		effect logic.Effect
		group  logic.Group
		want   bool
	}{
		{logic.Restartable, logic.GroupAll, true},
		{logic.Restartable, logic.GroupZone, true},
		{logic.Tokened, logic.GroupAll, true},
		{logic.Tokened, logic.GroupZone, false},
		{logic.RunOnce, logic.GroupAll, false},
	} {
		if got := DeclinedAfterRun(c.effect, c.group); got != c.want {
			t.Errorf("effect %d, group %d: %t", c.effect, c.group, got)
		}
	}
}
