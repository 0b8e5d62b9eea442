package compare

import (
	"bytes"
	"encoding/xml"
	"math"
	"strings"
	"testing"
)

// TestRun compares the design with random placement: the design starts tasks faster, as it prefers nodes that hold their programs, and it
// violates no rule. A policy compared with itself must not differ at all.
func TestRun(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6}
	c, err := Run(t.Context(), Config{A: "random", B: "design", Seeds: seeds, Nodes: 6, Load: 0.7, Faults: true})
	if err != nil {
		t.Fatal(err)
	}
	better := false
	for _, r := range c.Rows {
		better = better || r.Name == "start p50, ms" && r.Verdict == "design is better"
		if r.Name == "rule violations" && (r.A == 0 || r.B > 0) {
			t.Errorf("got %g rule violations by random placement and %g by the design, want some and none", r.A, r.B)
		}
		if r.Low > r.Diff || r.High < r.Diff {
			t.Errorf("difference outside its interval: %+v", r)
		}
	}
	var table, page bytes.Buffer
	c.Print(&table)
	if !better {
		t.Errorf("the design does not have a better median start latency\n%s", table.String())
	}
	if err := c.Report(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if strings.Count(text, "<svg") != 4 || !strings.Contains(text, "design is better") {
		t.Errorf("got %d plots in the report, want 4 and the verdict \"design is better\"", strings.Count(text, "<svg"))
	}
	for part := range strings.SplitSeq(text, "<svg") {
		if svg, _, ok := strings.Cut(part, "</svg>"); ok {
			if err := xml.Unmarshal([]byte("<svg"+svg+"</svg>"), new(struct{})); err != nil {
				t.Error(err)
			}
		}
	}
	same, err := Run(t.Context(), Config{A: "design", B: "design", Seeds: seeds[:3], Nodes: 6, Load: 0.7, Faults: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range same.Rows {
		if r.Diff != 0 || r.Verdict != "no significant difference" {
			t.Errorf("got a difference of a policy from itself: %+v", r)
		}
	}
	if _, err := Run(t.Context(), Config{A: "design", B: "best", Seeds: seeds, Nodes: 6, Load: 0.7, Faults: true}); err == nil {
		t.Error("got no error for an unknown policy")
	}
}

func TestInterval(t *testing.T) {
	mean, low, high := interval([]float64{1, 2, 3, 4, 5})
	if mean != 3 || math.Abs(low-1.0368) > 1e-3 || math.Abs(high-4.9632) > 1e-3 { // t with 4 degrees of freedom: 2.7764, standard deviation 1.5811
		t.Errorf("got mean %g, interval %g to %g, want 3, 1.0368 to 4.9632", mean, low, high)
	}
	if _, low, high := interval([]float64{7}); !math.IsInf(low, -1) || !math.IsInf(high, 1) {
		t.Error("got a finite interval from one difference, want an infinite one")
	}
}
