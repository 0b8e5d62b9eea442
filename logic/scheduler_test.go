package logic

import (
	"reflect"
	"testing"
)

// TestUnusualEvents checks that unusual but valid events do not stop the scheduler, and that a request is placed once a node is available.
func TestUnusualEvents(t *testing.T) {
	for _, c := range []struct {
		name  string
		cl    func(*Cluster)
		setUp func(*harness)
	}{
		{"full list without nodes", func(*Cluster) {}, func(x *harness) { x.scheduler.OnListBegin(x.now, ListFull); x.scheduler.OnListEnd(x.now) }},
		{"no load reports", func(cl *Cluster) { cl.ReportFields, cl.ReportsPiggybacked = nil, false }, func(*harness) {}},
		{"one scheduler", func(cl *Cluster) { cl.Schedulers = 1 }, func(*harness) {}},
		{"index not below the number of schedulers", func(cl *Cluster) { cl.Schedulers, cl.Index, cl.SlowStartLimit = 9, 60000, 3 }, func(*harness) {}},
		{"events for unknown allocations and nodes", func(*Cluster) {}, func(x *harness) {
			x.scheduler.OnOutcome(x.now, AttemptResult{
				Allocation: 7, Node: 10, Attempt: 3, Duration: 5, Answered: true,
				Outcome: Completed, Report: []float64{1},
			})
			x.scheduler.OnStarted(x.now, 7, 0, 5)
			x.scheduler.OnExpired(x.now, 7)
			x.scheduler.OnTaskMetric(x.now, TaskSample{Allocation: 7, Node: 99, Metric: MemoryUsed, Value: 3})
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 99, Outcome: Completed, Duration: 1})
			x.scheduler.OnTimer(x.now, timerDeadline+7)
		}},
		{"node kind without sizes", func(*Cluster) {}, func(x *harness) {
			x.scheduler.OnListBegin(x.now, ListChanges)
			x.scheduler.OnListNode(x.now, ListEntry{Node: 50, Availability: Ready, FreeCores: 0, FreeMemory: 0, Zone: 9, Cell: 99, Kind: 7})
			x.scheduler.OnListEnd(x.now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			c.cl(cl)
			x := newHarness(t, cl, 1)
			c.setUp(x)
			x.request(1, 0, 5)
			x.advance(200)
			x.updateNode(10, Unavailable, 0)
			x.updateNode(10, Ready, x.now) // restarted with the same id, in slow start
			x.advance(cl.SlowStartDuration + 1000)
			x.scheduler.OnOutcome(x.now, AttemptResult{Allocation: 1, Node: 10, Duration: 5, Answered: true, Outcome: ConnectionLost})
			x.request(2, 0, 5)
			x.advance(200)
			x.expect("attempt 2 ", 1)
		})
	}
}

// TestDeterminism checks that the same events and seed give the same decisions.
func TestDeterminism(t *testing.T) {
	var runs [2][]string
	for r := range runs {
		x := newHarness(t, testCluster(), 12)
		for id := range uint32(200) {
			x.request(id, int(id)%3, uint64(id%7))
			if id%3 == 0 {
				x.complete(id, 0, TimedOut, ReasonUnknown)
			}
			x.advance(10)
		}
		runs[r] = x.effects.lines
	}
	if !reflect.DeepEqual(runs[0], runs[1]) {
		t.Error("got different effects in two runs with the same events and seed, want the same")
	}
}
