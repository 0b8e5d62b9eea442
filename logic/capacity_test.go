package logic

import "testing"

// TestChangesSinceMeasurement checks that own changes are added to a report from the time at which it was measured, not from its arrival.
func TestChangesSinceMeasurement(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  float64 // time from the attempt to the arrival of the report
		want float64
	}{{"attempt after the measurement", reportDelay / 2, 11}, {"attempt before the measurement", reportDelay * 2, 10}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			x.request(1, 0, 5)
			x.now += c.gap
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{30, 70}})
			if cores := x.scheduler.nodes.all[0].capacity.allocated().cores; cores != c.want {
				t.Errorf("got %v cores allocated, want %v", cores, c.want)
			}
		})
	}
}
