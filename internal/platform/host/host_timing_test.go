package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestRoundInterval checks that the module decides no more often than the round interval allows, and then on all events up to that round.
func TestRoundInterval(t *testing.T) {
	s := newHarness(t, 4)
	s.request(restartable)
	s.host.Round(s.now)
	s.expectEffects("before the interval has passed", "")
	s.now = s.host.NextRound()
	s.host.Round(s.now)
	s.expectEffects("after the interval", "offer 1.0")
}

// TestReadsAfterPause checks that after a pause of the process, messages received in the meantime are read before timers fire.
func TestReadsAfterPause(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(atMostOnce)
	s.advance(10)
	s.takeEffects()
	s.now += 2400
	s.host.Round(s.now)
	if !s.host.OnStarted(s.now, id, 0) {
		t.Error("the start received during the pause was not accepted")
	}
	s.advance(500)
	s.expectEffects("after the start", "")
}

// TestTimeoutGrace checks that time-outs are postponed once for answers that may be unread, and that deadlines are never postponed.
func TestTimeoutGrace(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.host.SetTimeoutGrace(500)
	s.advance(1700)
	s.expectEffects("the time-out is due, but within the grace", "")
	if !s.host.OnStarted(s.now, id, 0) {
		t.Error("the answer received within the grace was not accepted")
	}
	s = newHarness(t, 4)
	s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.host.SetTimeoutGrace(300)
	s.advance(2100)
	if got := s.takeEffects(); !strings.HasPrefix(got, "cancel 1.0, offer 1.1") {
		t.Errorf("after a grace without an answer: effects %q, want the attempt cancelled and a second one offered", got)
	}
	s.host.SetTimeoutGrace(1e6)
	s.advance(3000)
	if got := s.takeEffects(); strings.Count(got, "answer 1") != 1 {
		t.Errorf("at the deadline: effects %q, want one answer", got)
	}
}

// TestAnswerLead checks that a host whose answers leave late answers each request that much before its deadline, once, and makes no attempt for it
// later. It guards against answers that arrive after the deadline because the process lags behind its timers.
func TestAnswerLead(t *testing.T) {
	const lead = 120
	for _, c := range []struct {
		name  string
		class int
		nodes int
		want  string
	}{
		{"no node, never attempted", atMostOnce, 0, "answer 1 shed, forget 1"},
		{"attempt in flight", atMostOnce, 4, "answer 1 failed, cancel 1.0, forget 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, c.nodes)
			s.request(c.class)
			s.host.SetAnswerLead(lead)
			s.advance(2500 - lead - 10)
			if got := s.takeEffects(); strings.Contains(got, "answer") {
				t.Errorf("before the lead: effects %q, want no answer", got)
			}
			s.advance(20)
			s.expectEffects("at the lead", c.want)
			s.advance(200)
			s.expectEffects("after the answer", "")
		})
	}
}

// TestProbeTimeout checks that the time-out of a health check allows for a connection that takes long, and that the check stays pending until
// then.
func TestProbeTimeout(t *testing.T) {
	for _, c := range []struct{ connects, after, want float64 }{{250, 490, 1}, {250, 520, 0}, {1000, 1900, 1}, {1000, 2020, 0}} {
		s := newHarness(t, 1)
		s.host.SetConnectTimeout(c.connects)
		moduleEffects{s.host}.Probe(100)
		s.advance(c.after)
		if n := float64(len(s.host.probes)); n != c.want {
			t.Errorf("%+v: %g health checks are pending", c, n)
		}
	}
}

// race is a case of TestRacesWithTimers: an event that is reported at the time at which a timer is due.
type race struct {
	event      string
	report     func(s *harness, id uint32) bool // reports the event; returns whether the task runs after it
	atDeadline bool                             // the client's deadline is due, else the attempt's time-out
	before     bool                             // the event comes before the round that fires the timer, else after it
	class      int
}

// start requests a task and advances the clock until the timer is due.
func (c race) start(t *testing.T) (s *harness, id uint32) {
	t.Helper()
	s = newHarness(t, 4)
	id = s.request(c.class)
	deadline := s.now + 2500
	s.advance(10)
	if s.takeEffects() != "offer 1.0" {
		t.Fatal("the request was not offered to a node")
	}
	at := s.lastAttempt.until
	if c.atDeadline {
		for at = deadline; s.lastAttempt.until < deadline; { // until an attempt lasts to the deadline, or no attempt is left
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

// check runs the case and checks the answers and what the host still holds at the end.
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
		t.Errorf("%d allocations, %d open requests and %d running tasks are left, want none",
			len(s.host.allocations), s.host.OpenRequests(), s.host.RunningTasks())
	}
}

// checkAnswers checks the effects after the event: at most one answer, and neither an answer nor a cancellation if the task runs.
func (c race) checkAnswers(t *testing.T, runs bool, effects string) {
	t.Helper()
	answers := strings.Count(effects, "answer")
	switch {
	case runs && (answers > 0 || strings.Contains(effects, "cancel")):
		t.Errorf("the task runs: effects %q, want neither an answer nor a cancellation", effects)
	case !runs && c.event == "withdrawn" && answers > 1, !runs && c.event != "withdrawn" && !c.atDeadline && answers != 1:
		t.Errorf("%d answers, want one (at most one if withdrawn): effects %q", answers, effects)
	case c.atDeadline && answers > 1:
		t.Errorf("%d answers at the deadline, want at most one: effects %q", answers, effects)
	case c.atDeadline && c.event == "started" && runs:
		t.Errorf("a start at the deadline was accepted: effects %q", effects)
	}
}

// TestRacesWithTimers reports an event of a node or a client at the time at which an attempt's time-out or the deadline is due, before and after
// the round that fires the timer. The client gets one answer, or none if it has withdrawn its request; a start that is accepted is never
// cancelled, one that is not accepted has no effect, and no allocation is left.
func TestRacesWithTimers(t *testing.T) {
	reports := map[string]func(s *harness, id uint32) bool{
		"started": func(s *harness, id uint32) bool { return s.host.OnStarted(s.now, id, s.lastAttempt.number) },
		"rejected": func(s *harness, id uint32) bool {
			s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.Rejected, 0, nil)
			return false
		},
		"connection lost": func(s *harness, id uint32) bool {
			s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.ConnectionLost, 0, nil)
			return false
		},
		"withdrawn": func(s *harness, id uint32) bool { s.host.OnWithdrawn(s.now, id); return false },
	}
	for event, report := range reports {
		for _, due := range []string{"time-out", "deadline"} {
			for _, before := range []bool{true, false} {
				for class := range 3 {
					t.Run(fmt.Sprintf("%s at the %s, before its round %v, class %d", event, due, before, class), func(t *testing.T) {
						c := race{event: event, report: report, atDeadline: due == "deadline", before: before, class: class}
						c.check(t)
					})
				}
			}
		}
	}
}
