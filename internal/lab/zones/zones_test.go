package zones

import (
	"runtime"
	"testing"
)

// TestSeeds simulates zones that are lost, cut off or flapping, through kills and pauses: no rule is violated, a lost zone is evacuated in
// time, a flapping one is closed only a few times, and a seed played twice has the same result.
func TestSeeds(t *testing.T) {
	all := Seeds(t.Context(), 1, 9, runtime.NumCPU(), Faults{})
	all = append(all, Seeds(t.Context(), 12, 19, runtime.NumCPU(), Faults{})...) // Seeds 11 and 19 flap for ten simulated minutes, as seed 3 does.
	all = append(all, Seeds(t.Context(), 24, 25, 1, Faults{})...)
	var undisturbed []Result
	for _, v := range all {
		if v.Failure != "" {
			t.Errorf("seed %d: %.800s", v.Seed, v.Failure)
		}
		if v.Closings > 8 {
			t.Errorf("seed %d, %s: got %d closings, want at most 8", v.Seed, v.Fault, v.Closings)
		}
		if v.Seed%8 == 0 {
			undisturbed = append(undisturbed, v)
		}
	}
	evacuations, recoveries := RecoveryTimes(undisturbed)
	t.Logf("a zone lost, no other faults: evacuated after %.0f ms in the median, at most %.0f; recovered %.0f ms after its return, at most %.0f", Quantile(evacuations, 0.5), Quantile(evacuations, 1), Quantile(recoveries, 0.5), Quantile(recoveries, 1))
	if len(evacuations) < 3 || Quantile(evacuations, 1) > 3000 || Quantile(recoveries, 1) > 20000 {
		t.Errorf("got evacuations %v and recoveries %v, want at least 3 evacuations within 3000 ms and recoveries within 20000 ms", evacuations, recoveries)
	}
	if one, two := Play(9, Faults{}), Play(9, Faults{}); one != two {
		t.Errorf("seed 9 played twice: got %+v and %+v, want the same", one, two)
	}
}

// TestInjectedFaults injects faults into the program, each of which has to be found by a seed below 80.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
	}{
		{"the report of one other zone closes a zone", Faults{SingleWitness: true}},
		{"a verdict holds without a valid lease", Faults{StaleVerdicts: true}},
		{"shares of the plan are exceeded", Faults{UncappedShares: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed < 80; seed++ {
				if seed%8 == 3 { // A flapping zone takes ten simulated minutes.
					continue
				}
				if v := Play(seed, c.faults); v.Failure != "" {
					t.Logf("found by seed %d: %.200s", v.Seed, v.Failure)
					return
				}
			}
			t.Error("no violation in seeds 1 to 79, want the injected fault to be found")
		})
	}
}
