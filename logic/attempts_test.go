package logic

import "testing"

// TestRetryAfterOutcome checks whether an allocation of each retry semantics is attempted again or fails after each outcome of a first attempt
// that did not start it (rule 2).
func TestRetryAfterOutcome(t *testing.T) {
	retry, fail := "attempt 1 ", "fail 1"
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		want    string
	}{
		{"restartable error", 0, Errored, retry},
		{"restartable rejected", 0, Rejected, retry},
		{"restartable timeout", 0, TimedOut, retry},
		{"restartable unreachable", 0, Unreachable, retry},
		{"restartable connection lost", 0, ConnectionLost, retry},
		{"restartable cancelled", 0, Cancelled, retry},
		{"restartable not sent", 0, NotSent, retry},
		{"idempotent rejected", 1, Rejected, retry},
		{"idempotent timeout", 1, TimedOut, retry},
		{"idempotent connection lost", 1, ConnectionLost, retry},
		{"at most once completed", 2, Completed, fail},
		{"at most once error", 2, Errored, fail},
		{"at most once rejected", 2, Rejected, retry},
		{"at most once timeout", 2, TimedOut, fail},
		{"at most once unreachable", 2, Unreachable, retry},
		{"at most once connection lost", 2, ConnectionLost, fail},
		{"at most once cancelled", 2, Cancelled, fail},
		{"at most once not sent", 2, NotSent, retry},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 12)
			x.request(1, c.class, 5)
			first := x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]].zone
			x.expect("attempt", 1)
			x.complete(1, 0, c.outcome, InsufficientCores)
			if c.want == fail {
				x.expect(fail, 1)
				x.expect("attempt", 1)
				return
			}
			x.expect("attempt 1 ", 2)
			second := x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]].zone
			if c.class == 1 && c.outcome != Rejected && second != first {
				t.Errorf("an idempotent allocation that may have run was attempted again outside its scope: got zone %d, want %d", second, first)
			}
		})
	}
}

// TestIdempotencyWindow checks that an idempotent allocation that may have run is not attempted again after its idempotency window (rule 2).
func TestIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    float64
		attempts int
	}{{"within the window", 2900, 2}, {"after the window", 3000, 1}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 12)
			x.request(1, 1, 5)
			x.now += c.delay
			x.complete(1, 0, TimedOut, ReasonUnknown)
			x.expect("attempt", c.attempts)
			x.expect("fail", 2-c.attempts)
			x.expect("shed", 0)
		})
	}
}

// TestFinalAnswer checks that an allocation gets exactly one final answer before its deadline, whether it has an attempt in flight, waits in
// the queue or has used its last attempt (rule 1).
func TestFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		run   func(*harness)
		want  string
	}{
		{"deadline with an attempt in flight", 12, func(x *harness) { x.now += 4996 }, "fail 1"},
		{"deadline while waiting", 0, func(x *harness) { x.now += 4996 }, "shed 1"},
		{"no attempts left", 12, func(x *harness) {
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
			attempts := x.effects.count("attempt")
			x.expect(c.want, 1)
			if len(x.scheduler.allocations.all) > 0 && x.scheduler.allocations.all[0].inFlight {
				x.complete(1, 0, Cancelled, ReasonUnknown)
			}
			x.advance(1000)
			x.expect("attempt", attempts)
			if n := x.effects.count("fail") + x.effects.count("shed"); n != 1 {
				t.Errorf("got %d final answers, want 1", n)
			}
		})
	}
}
