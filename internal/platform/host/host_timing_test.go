package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestRoundInterval checks that the module decides no more often than the interval allows, on all events up to then.
func TestRoundInterval(t *testing.T) {
	s := newHarness(t, 4)
	s.request(restartable)
	s.host.Round(s.now)
	s.expectEffects("too soon", "")
	s.now = s.host.NextRound()
	s.host.Round(s.now)
	s.expectEffects("at the step", "offer 1.0")
}

// TestReadsAfterStall checks that after a pause of the process what was received is read before timers fire.
func TestReadsAfterStall(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(atMostOnce)
	s.advance(10)
	s.takeEffects()
	s.now += 2400
	s.host.Round(s.now)
	if !s.host.OnStarted(s.now, id, 0) {
		t.Error("what came meanwhile did not count")
	}
	s.advance(500)
	s.expectEffects("after", "")
}

// TestTimeoutGrace checks that time-outs are put off once for answers that may lie unread, and deadlines never.
func TestTimeoutGrace(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.host.SetTimeoutGrace(500)
	s.advance(1700)
	s.expectEffects("its time is up, and an answer may lie unread", "")
	if !s.host.OnStarted(s.now, id, 0) {
		t.Error("the answer that lay unread did not count")
	}
	s = newHarness(t, 4)
	s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.host.SetTimeoutGrace(300)
	s.advance(2100)
	if got := s.takeEffects(); !strings.HasPrefix(got, "give up 1.0, offer 1.1") {
		t.Errorf("no answer lay unread: %q", got)
	}
	s.host.SetTimeoutGrace(1e6)
	s.advance(3000)
	if got := s.takeEffects(); strings.Count(got, "answer 1") != 1 {
		t.Errorf("at its expiry: %q", got)
	}
}

// TestProbeTimeout has a probe wait for a connection that takes long: it times out no sooner, and its answer counts until then.
func TestProbeTimeout(t *testing.T) {
	for _, c := range []struct{ connects, after, want float64 }{{250, 490, 1}, {250, 520, 0}, {1000, 1900, 1}, {1000, 2020, 0}} {
		s := newHarness(t, 1)
		s.host.SetConnectTimeout(c.connects)
		moduleEffects{s.host}.Probe(100)
		s.advance(c.after)
		if n := float64(len(s.host.probes)); n != c.want {
			t.Errorf("%+v: %g wait", c, n)
		}
	}
}

// race is a case of TestRacesWithTimers.
type race struct {
	event      string
	report     func(s *harness, id uint32) bool // returns whether the task runs then
	atDeadline bool                             // at the client's deadline, else at the attempt's time-out
	before     bool                             // before the round that fires the timer, else after it
	class      int
}

// start requests a task and lets time go by until the timer is due.
func (c race) start(t *testing.T) (s *harness, id uint32) {
	t.Helper()
	s = newHarness(t, 4)
	id = s.request(c.class)
	deadline := s.now + 2500
	s.advance(10)
	if s.takeEffects() != "offer 1.0" {
		t.Fatal("not offered")
	}
	at := s.lastAttempt.until
	if c.atDeadline {
		for at = deadline; s.lastAttempt.until < deadline; { // attempts until one lasts to the deadline, or none is left
			until := s.lastAttempt.until
			if s.advance(until - s.now + 5); s.lastAttempt.until == until {
				break
			}
		}
		s.takeEffects()
	}
	s.now = max(s.now, at)
	return s, id
}

// check plays the race and checks what is sent.
func (c race) check(t *testing.T) {
	t.Helper()
	s, id := c.start(t)
	if !c.before {
		s.host.Round(s.now)
	}
	runs := c.report(s, id)
	if c.before {
		s.host.Round(s.now)
	}
	s.advance(4000)
	c.checkAnswers(t, runs, s.takeEffects())
	if runs {
		s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.Completed, 0, nil)
		s.advance(100)
	}
	if len(s.host.allocations) > 0 || s.host.OpenRequests() != 0 || s.host.RunningTasks() != 0 {
		t.Errorf("%d are kept, %d open, %d run", len(s.host.allocations), s.host.OpenRequests(), s.host.RunningTasks())
	}
}

// checkAnswers checks what the host has sent after the race: at most one answer, and none if the task runs.
func (c race) checkAnswers(t *testing.T, runs bool, said string) {
	t.Helper()
	answers := strings.Count(said, "answer")
	switch {
	case runs && (answers > 0 || strings.Contains(said, "give up")):
		t.Errorf("it runs, and then %q", said)
	case !runs && c.event == "withdrawn" && answers > 1, !runs && c.event != "withdrawn" && !c.atDeadline && answers != 1:
		t.Errorf("%d answers: %q", answers, said)
	case c.atDeadline && answers > 1:
		t.Errorf("%d answers: %q", answers, said)
	case c.atDeadline && c.event == "started" && runs:
		t.Errorf("started at its deadline: %q", said)
	}
}

// TestRacesWithTimers has an event of a node or a client come in the very moment in which an attempt's time-out or the deadline is due, before the round that
// fires the timer and after it. The client gets one answer, or none if it is gone; a start that counts is never cancelled, one that does not count is no
// start, and nothing is kept.
func TestRacesWithTimers(t *testing.T) {
	says := map[string]func(s *harness, id uint32) bool{
		"started": func(s *harness, id uint32) bool { return s.host.OnStarted(s.now, id, s.lastAttempt.number) },
		"refused": func(s *harness, id uint32) bool {
			s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.Rejected, 0, nil)
			return false
		},
		"broken": func(s *harness, id uint32) bool {
			s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.ConnectionLost, 0, nil)
			return false
		},
		"withdrawn": func(s *harness, id uint32) bool { s.host.OnWithdrawn(s.now, id); return false },
	}
	for what, say := range says {
		for _, due := range []string{"time-out", "expiry"} {
			for _, first := range []bool{true, false} {
				for job := range 3 {
					t.Run(fmt.Sprintf("%s at the %s, before it %v, job %d", what, due, first, job), func(t *testing.T) {
						c := race{event: what, report: say, atDeadline: due == "expiry", before: first, class: job}
						c.check(t)
					})
				}
			}
		}
	}
}
