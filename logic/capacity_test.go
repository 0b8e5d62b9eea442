package logic

import "testing"

// TestChangesSinceMeasurement checks that own changes count beside a report since it was measured, not since it arrived.
func TestChangesSinceMeasurement(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  float64 // from the attempt to the report's arrival
		want float64
	}{{"attempt not in the report", reportDelay / 2, 11}, {"attempt in the report", reportDelay * 2, 10}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			x.request(1, 0, 5)
			x.now += c.gap
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 70}})
			if cores := x.scheduler.nodes.all[0].capacity.allocated().cores; cores != c.want {
				t.Errorf("%v cores allocated, want %v", cores, c.want)
			}
		})
	}
}
