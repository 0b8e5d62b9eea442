package balance

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"ravenpond/internal/lab/sim"
)

// TestPolicyOrder simulates a small scenario: the policy that knows the true state loads nodes most evenly, random placement least evenly, and the
// module lies between them. The same seed gives the same figures.
func TestPolicyOrder(t *testing.T) {
	s := Scenario{Schedulers: 5, Nodes: 8, Load: 0.6, TaskRuntime: 3000, Duration: 10000, Services: 30, Faults: []sim.Fault{{At: 6000, Kind: "restart", Target: "n2", Duration: 400}}}
	var out bytes.Buffer
	rows, err := CompareTable(t.Context(), &out, s, []string{"true-state", "design", "random"}, 2, 4)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		a, b, c := rows[0].Runs[i], rows[1].Runs[i], rows[2].Runs[i]
		if !(a.Variation < b.Variation && b.Variation < c.Variation && a.FullestP99 < c.FullestP99 && a.Jain > c.Jain) {
			t.Errorf("seed %d: got true state %+v, module %+v, random %+v, want them in this order of evenness", i+1, a, b, c)
		}
		for _, f := range []Figures{a, b, c} {
			if math.Abs(f.MeanLoad-0.6) > 0.12 || f.Served < 0.9 || f.StartP99 < 12 {
				t.Errorf("seed %d: got %+v, want a mean load within 0.12 of 0.6, 0.9 served and a start p99 of 12 ms at least", i+1, f)
			}
		}
	}
	if rows[1].TimesToBalance[0] > 4000 {
		t.Errorf("got balanced %.0f ms after the fault, want 4000 at most", rows[1].TimesToBalance[0])
	}
	again, err := Simulate(s, "design", 1)
	if err != nil {
		t.Fatal(err)
	}
	if f := again.Summarize(s.TaskRuntime*1.5, s.Duration); f != rows[1].Runs[0] {
		t.Errorf("got %+v for the same seed, want %+v", f, rows[1].Runs[0])
	}
	if strings.Count(out.String(), "\n") != 4 {
		t.Errorf("got table %q, want 4 lines", &out)
	}
	if _, err := Simulate(s, "none", 1); err == nil {
		t.Error("got no error for an unknown policy")
	}
}
