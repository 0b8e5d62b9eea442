package compare

import (
	"context"
	"slices"
	"testing"
)

// TestOrder puts made up days in order: worth counts, chance differences are not told, a broken rule costs its day.
func TestOrder(t *testing.T) {
	day := func(inTime, rules int) *Figures { return &Figures{Requests: 100, InTime: inTime, Violations: rules} }
	got := [][]*Figures{
		{day(90, 0), day(80, 0), day(85, 0)},
		{day(99, 3), day(99, 1), day(99, 2)},
		{day(91, 0), day(79, 0), day(85, 0)},
		{day(50, 0), day(40, 0), day(45, 0)},
		{day(10, 0), day(10, 0), day(9, 0)},
	}
	o := rank("made up", got)
	want := []string{Policies[0], Policies[2], Policies[3], Policies[4], Policies[1]}
	if !slices.Equal(o.Names, want) {
		t.Errorf("%v, want %v", o.Names, want)
	}
	if o.Distinct[1] || !o.Distinct[2] || !o.Distinct[3] || !o.Distinct[4] {
		t.Errorf("told apart: %v", o.Distinct)
	}
	if o.Compliance[1] != 0 || o.InTime[1] < 0.98 {
		t.Errorf("rules kept on %.2f of the days, in time %.2f", o.Compliance[1], o.InTime[1])
	}
}

// TestCareful holds the baseline that keeps the rules to them, on days with cold nodes and spread.
func TestCareful(t *testing.T) {
	careful, err := newPolicy("careful")
	if err != nil {
		t.Fatal(err)
	}
	for _, kinds := range [][]string{nil, {"restart"}} {
		for seed := uint64(1); seed <= 3; seed++ {
			if f, err := run(scenarioWithFaults(seed, kinds, 6, 0.6), careful); err != nil || f.Violations > 0 || f.Served == 0 {
				t.Errorf("seed %d, %v: %+v, %v", seed, kinds, f, err)
			}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Rank(ctx, 2, 4, 0.5, 1); err == nil {
		t.Error("went on though it was to stop")
	}
}
