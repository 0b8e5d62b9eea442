package zones

import (
	"runtime"
	"testing"
)

// TestSeeds simulates zones that are lost, cut off, come and go, among kills and pauses: nothing breaks, a lost zone is evacuated in
// time, and one that comes and goes gets few verdicts.
func TestSeeds(t *testing.T) {
	all := Seeds(t.Context(), 1, 9, runtime.NumCPU(), Faults{})
	all = append(all, Seeds(t.Context(), 12, 19, runtime.NumCPU(), Faults{})...) // 11 and 19 last ten minutes, as 3 does
	all = append(all, Seeds(t.Context(), 24, 25, 1, Faults{})...)
	var undisturbed []Result
	for _, v := range all {
		if v.Failure != "" {
			t.Errorf("seed %d: %.800s", v.Seed, v.Failure)
		}
		if v.Closings > 8 {
			t.Errorf("seed %d, %s: closed %d times", v.Seed, v.Fault, v.Closings)
		}
		if v.Seed%8 == 0 {
			undisturbed = append(undisturbed, v)
		}
	}
	left, back := RecoveryTimes(undisturbed)
	t.Logf("a zone lost, undisturbed: left by all after %.0f ms, at most %.0f; as before %.0f ms after its return, at most %.0f", Quantile(left, 0.5), Quantile(left, 1), Quantile(back, 0.5), Quantile(back, 1))
	if len(left) < 3 || Quantile(left, 1) > 3000 || Quantile(back, 1) > 20000 {
		t.Errorf("left %v, back %v", left, back)
	}
	if one, two := Play(9, Faults{}), Play(9, Faults{}); one != two {
		t.Errorf("played twice: %+v and %+v", one, two)
	}
}

// TestInjectedFaults puts faults into the program: the seeds have to find each.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant Faults
	}{
		{"one other zone closes a zone", Faults{SingleWitness: true}},
		{"a verdict holds without a lease", Faults{StaleVerdicts: true}},
		{"shares of the plan are not kept", Faults{UncappedShares: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed < 80; seed++ {
				if seed%8 == 3 { // ten minutes each
					continue
				}
				if v := Play(seed, c.plant); v.Failure != "" {
					t.Logf("found by seed %d: %.200s", v.Seed, v.Failure)
					return
				}
			}
			t.Error("not found in 80 seeds")
		})
	}
}
