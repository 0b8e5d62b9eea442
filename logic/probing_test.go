package logic

import "testing"

// TestProbeBeforeDraw checks that, where reports arrive only with probe results, the best candidates with old reports are probed before the draw
// and the draw uses their answers. If no answers arrive, the attempt is sent after probeWait.
func TestProbeBeforeDraw(t *testing.T) {
	for _, c := range []struct {
		name               string
		piggybacked, fresh bool // whether reports arrive with outcomes; whether the last ones are recent
		answer             bool // whether the probes are answered
		probes             int  // expected number
	}{
		{"old reports", false, false, true, 2},
		{"old reports, no answer", false, false, false, 2},
		{"recent reports", false, true, true, 0},
		{"piggybacked reports", true, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			cl.ReportsPiggybacked, cl.ListsReportLoad = c.piggybacked, false
			x := newHarness(t, cl, 2)
			for id := uint32(10); id < 12; id++ {
				x.scheduler.OnProbeResult(x.now, ProbeResult{Node: id, Outcome: Completed, Duration: 1, Report: []float64{20, 40}})
			}
			x.scheduler.probeBudget, x.scheduler.queue.nextScanAt = 2, 0
			if !c.fresh {
				x.now += 20000
			}
			x.request(1, 0, 5)
			x.expect("probe", c.probes)
			x.expect("attempt", (2-c.probes)/2)
			if c.answer && c.probes > 0 { // node 10 reports that it is full
				x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1, Report: []float64{-40, 40}})
				x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 11, Outcome: Completed, Duration: 1, Report: []float64{20, 40}})
				x.scheduler.Decide(x.now)
				x.expect("attempt 1 11", 1)
			}
			x.now += probeWait
			x.scheduler.Decide(x.now)
			x.expect("attempt", 1)
		})
	}
}
