package logic

import "testing"

// TestRetryAfterOutcome checks rule 2: what each job class allows after each outcome of its first attempt, before it started.
func TestRetryAfterOutcome(t *testing.T) {
	again, fail := "attempt 1 ", "fail 1"
	for _, c := range []struct {
		name  string
		class int
		v     Outcome
		want  string
	}{
		{"restartable error", 0, Errored, again},
		{"restartable rejected", 0, Rejected, again},
		{"restartable timeout", 0, TimedOut, again},
		{"restartable unreachable", 0, Unreachable, again},
		{"restartable connection lost", 0, ConnectionLost, again},
		{"restartable cancelled", 0, Cancelled, again},
		{"restartable not sent", 0, NotSent, again},
		{"idempotent rejected", 1, Rejected, again},
		{"idempotent timeout", 1, TimedOut, again},
		{"idempotent connection lost", 1, ConnectionLost, again},
		{"at most once completed", 2, Completed, fail},
		{"at most once error", 2, Errored, fail},
		{"at most once rejected", 2, Rejected, again},
		{"at most once timeout", 2, TimedOut, fail},
		{"at most once unreachable", 2, Unreachable, again},
		{"at most once connection lost", 2, ConnectionLost, fail},
		{"at most once cancelled", 2, Cancelled, fail},
		{"at most once not sent", 2, NotSent, again},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 12)
			x.request(1, c.class, 5)
			first := x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]].zone
			x.expect("attempt", 1)
			x.complete(1, 0, c.v, InsufficientCores)
			if c.want == fail {
				x.expect(fail, 1)
				x.expect("attempt", 1)
				return
			}
			x.expect("attempt 1 ", 2)
			second := x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]].zone
			if c.class == 1 && c.v != Rejected && second != first {
				t.Errorf("an idempotent attempt that may have run left its scope: zone %d after %d", second, first)
			}
		})
	}
}

// TestIdempotencyWindow checks rule 2: an idempotent allocation that may have run is not attempted again after its window.
func TestIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  float64
		offers int
	}{{"inside", 2900, 2}, {"past", 3000, 1}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 12)
			x.request(1, 1, 5)
			x.now += c.after
			x.complete(1, 0, TimedOut, ReasonUnknown)
			x.expect("attempt", c.offers)
			x.expect("fail", 2-c.offers)
			x.expect("shed", 0)
		})
	}
}

// TestFinalAnswer checks rule 1: one final answer, before the deadline, with an attempt in flight, in the queue, or after the last attempt.
func TestFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		run   func(*harness)
		want  string
	}{
		{"deadline with an attempt in flight", 12, func(x *harness) { x.now += 4996 }, "fail 1"},
		{"deadline while waiting", 0, func(x *harness) { x.now += 4996 }, "shed 1"},
		{"attempts used up", 12, func(x *harness) {
			for attempt := range uint8(4) {
				x.complete(1, attempt, Rejected, QueueFull)
			}
		}, "shed 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), c.nodes)
			x.request(1, 2, 5)
			c.run(x)
			x.scheduler.OnTimer(x.now, timerDeadline+1)
			x.scheduler.Decide(x.now)
			offers := x.effects.count("attempt")
			x.expect(c.want, 1)
			if len(x.scheduler.allocations.all) > 0 && x.scheduler.allocations.all[0].inFlight {
				x.complete(1, 0, Cancelled, ReasonUnknown)
			}
			x.advance(1000)
			x.expect("attempt", offers)
			if n := x.effects.count("fail") + x.effects.count("shed"); n != 1 {
				t.Errorf("%d final answers", n)
			}
		})
	}
}
