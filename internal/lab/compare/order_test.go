package compare

import (
	"context"
	"slices"
	"testing"
)

// TestRank checks on made-up figures that policies are ranked by score, that differences within the noise are not reported as distinct, and
// that a day with a rule violation counts as 0.
func TestRank(t *testing.T) {
	day := func(inTime, violations int) *Figures {
		return &Figures{Requests: 100, InTime: inTime, Violations: violations}
	}
	figures := [][]*Figures{
		{day(90, 0), day(80, 0), day(85, 0)},
		{day(99, 3), day(99, 1), day(99, 2)},
		{day(91, 0), day(79, 0), day(85, 0)},
		{day(50, 0), day(40, 0), day(45, 0)},
		{day(10, 0), day(10, 0), day(9, 0)},
	}
	o := rank("made-up figures", figures)
	want := []string{Policies[0], Policies[2], Policies[3], Policies[4], Policies[1]}
	if !slices.Equal(o.Names, want) {
		t.Errorf("got order %v, want %v", o.Names, want)
	}
	if o.Distinct[1] || !o.Distinct[2] || !o.Distinct[3] || !o.Distinct[4] {
		t.Errorf("got distinct places %v, want 2, 3 and 4 distinct and 1 not", o.Distinct)
	}
	if o.Compliance[1] != 0 || o.InTime[1] < 0.98 {
		t.Errorf("policy 1 kept the rules on %.2f of the days and was in time for %.2f of the requests, want 0 and 0.98 at least", o.Compliance[1], o.InTime[1])
	}
}

// TestCarefulKeepsRules checks that the careful baseline violates no rule on days with cold nodes and spread constraints, and that Rank ends with an
// error when its context is cancelled.
func TestCarefulKeepsRules(t *testing.T) {
	careful, err := newPolicy("careful")
	if err != nil {
		t.Fatal(err)
	}
	for _, kinds := range [][]string{nil, {"restart"}} {
		for seed := uint64(1); seed <= 3; seed++ {
			if f, err := run(scenarioWithFaults(seed, kinds, 6, 0.6), careful); err != nil || f.Violations > 0 || f.Served == 0 {
				t.Errorf("seed %d, faults %v: got %+v, %v, want no violation and requests served", seed, kinds, f, err)
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Rank(ctx, 2, 4, 0.5, 1); err == nil {
		t.Error("got no error for a cancelled context")
	}
}
