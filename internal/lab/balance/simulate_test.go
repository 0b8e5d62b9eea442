package balance

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"ravenpond/internal/lab/sim"
)

// TestOrder plays a small scene: who sees the true state loads nodes most evenly, chance least, the module between them; and the same
// seed comes out the same.
func TestOrder(t *testing.T) {
	s := Scenario{Schedulers: 5, Nodes: 8, Load: 0.6, TaskRuntime: 3000, Duration: 10000, Services: 30, Faults: []sim.Fault{{At: 6000, Kind: "restart", Target: "n2", Duration: 400}}}
	var out bytes.Buffer
	rows, err := CompareTable(t.Context(), &out, s, []string{"true-state", "design", "random"}, 2, 4)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		a, b, c := rows[0].Runs[i], rows[1].Runs[i], rows[2].Runs[i]
		if !(a.Variation < b.Variation && b.Variation < c.Variation && a.FullestP99 < c.FullestP99 && a.Jain > c.Jain) {
			t.Errorf("seed %d: true state %+v, module %+v, chance %+v", i+1, a, b, c)
		}
		for _, f := range []Figures{a, b, c} {
			if math.Abs(f.MeanLoad-0.6) > 0.12 || f.Served < 0.9 || f.StartP99 < 12 {
				t.Errorf("seed %d: %+v", i+1, f)
			}
		}
	}
	if rows[1].TimesToBalance[0] > 4000 {
		t.Errorf("even again after %.0f ms", rows[1].TimesToBalance[0])
	}
	again, err := Simulate(s, "design", 1)
	if err != nil {
		t.Fatal(err)
	}
	if f := again.Summarize(s.TaskRuntime*1.5, s.Duration); f != rows[1].Runs[0] {
		t.Errorf("%+v, and before %+v", f, rows[1].Runs[0])
	}
	if strings.Count(out.String(), "\n") != 4 {
		t.Errorf("%s", &out)
	}
	if _, err := Simulate(s, "none", 1); err == nil {
		t.Error("a policy that is not there was played")
	}
}
