package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// TestSlowStartShare checks that a node in slow start gets at most this scheduler's share of attempts, including rejected ones, and none directly
// after a restart of the scheduler, which does not know the attempts it sent before (rule 4).
func TestSlowStartShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		uptime  float64 // time from the start of the node to the list message
		delay   float64
		outcome Outcome
		want    int
	}{
		{"cold node rejects", 0, 5000, Rejected, 4},
		{"cold node", 0, 5000, Completed, 4},
		{"directly after a restart", 5000, 0, Completed, 0},
		{"later after a restart", 5000, 2600, Completed, 4},
		{"warm node", 20000, 0, Completed, maxUnanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 0)
			kind := ListCached
			if c.uptime == 0 {
				x.advance(c.delay)
				kind = ListChanges
			}
			x.scheduler.OnListBegin(x.now, kind)
			x.listNode(10, Ready, x.now-c.uptime)
			x.scheduler.OnListEnd(x.now)
			x.scheduler.nodes.all[0].health.lastAnswerAt = x.now
			if c.uptime > 0 {
				x.advance(c.delay)
			}
			for id := range uint32(9) {
				x.request(id, 0, 5)
				if c.outcome == Rejected {
					x.scheduler.OnOutcome(x.now, AttemptResult{
						Allocation: id, Node: 10, Duration: 5,
						Reason: NotAccepting, Outcome: Rejected,
					})
					x.scheduler.nodes.all[0].backoffUntil = 0
					x.scheduler.Decide(x.now)
				}
			}
			x.expect("attempt", c.want)
		})
	}
}

// turnTimes returns the times at which a scheduler may send attempts to a node that stays in slow start for a minute, checked every 500 ms.
func turnTimes(t *testing.T, cl *Cluster) (at []float64) {
	t.Helper()
	x := newHarness(t, cl, 0)
	x.updateNode(10, Ready, testStart)
	node := &x.scheduler.nodes.all[0]
	node.warmingUntil = math.Inf(1)
	for x.now = testStart; x.now < testStart+60000; x.now += 500 {
		if x.scheduler.now = x.now; x.scheduler.slowStartAllows(node) {
			node.attemptSentAt = append(node.attemptSentAt, x.now)
			at = append(at, x.now)
		}
	}
	return at
}

// TestSlowStartTurns checks shares of less than one attempt: the turns of all schedulers together keep within the limit in any window, and each
// scheduler has a turn within a minute where the limit is large enough for that (rule 4).
func TestSlowStartTurns(t *testing.T) {
	for _, c := range []struct {
		schedulers  int
		limit       float64
		allHaveTurn bool // whether each scheduler is expected to have a turn within a minute
	}{{300, 49, true}, {230, 90, true}, {1000, 3, false}, {5000, 2, false}, {40, 1, false}, {40, 0, false}} {
		t.Run(fmt.Sprint(c.schedulers, c.limit), func(t *testing.T) {
			cl := testCluster()
			cl.Schedulers, cl.SlowStartLimit, cl.SlowStartWindow = c.schedulers, c.limit, 2000
			var at []float64 // send times of the attempts of all schedulers
			for cl.Index = range c.schedulers {
				own := turnTimes(t, cl)
				if c.allHaveTurn && len(own) == 0 {
					t.Errorf("scheduler %d: got no turn within a minute, want at least one", cl.Index)
				}
				at = append(at, own...)
			}
			slices.Sort(at)
			for i, j := 0, 0; j < len(at); j++ {
				for at[j]-at[i] > cl.SlowStartWindow {
					i++
				}
				if n := j - i + 1; float64(n) > c.limit {
					t.Fatalf("got %d attempts within a window, want at most %v", n, c.limit)
				}
			}
		})
	}
}

// TestFirstAnswer checks that a node that started long ago but has not answered yet gets only one attempt until its first answer, regardless of
// the slow-start share.
func TestFirstAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  float64
		answer bool
		want   int
	}{{"no answer, no share", 0, false, 1}, {"no answer, large share", 100, false, 1}, {"answered, no share", 0, true, maxUnanswered + 1}} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			cl.SlowStartLimit = c.limit
			x := newHarness(t, cl, 1)
			x.scheduler.nodes.all[0].health.lastAnswerAt = -1
			x.request(0, 0, 5)
			if c.answer {
				x.scheduler.OnStarted(x.now, 0, 0, 100)
			}
			for id := uint32(1); id < 20; id++ {
				x.request(id, 0, 5)
			}
			x.expect("attempt", c.want)
		})
	}
}
