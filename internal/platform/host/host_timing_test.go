package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestStep lets the module decide no more often than the step allows, on all news of a moment.
func TestStep(t *testing.T) {
	s := begin(t, 4)
	s.ask(restartable)
	s.h.Round(s.now)
	s.want("too soon", "")
	s.now = s.h.NextRound()
	s.h.Round(s.now)
	s.want("at the step", "offer 1.0")
}

// TestStoodStill reads what came in before it acts on timers, after the process stood still.
func TestStoodStill(t *testing.T) {
	s := begin(t, 4)
	id := s.ask(runOnce)
	s.pass(10)
	s.look()
	s.now += 2400
	s.h.Round(s.now)
	if !s.h.OnStarted(s.now, id, 0) {
		t.Error("what came meanwhile did not count")
	}
	s.pass(500)
	s.want("after", "")
}

// TestPatience has time-outs wait for answers that may lie unread, once; an expiry waits for nothing.
func TestPatience(t *testing.T) {
	s := begin(t, 4)
	id := s.ask(restartable)
	s.pass(10)
	s.look()
	s.h.SetTimeoutGrace(500)
	s.pass(1700)
	s.want("its time is up, and an answer may lie unread", "")
	if !s.h.OnStarted(s.now, id, 0) {
		t.Error("the answer that lay unread did not count")
	}
	s = begin(t, 4)
	s.ask(restartable)
	s.pass(10)
	s.look()
	s.h.SetTimeoutGrace(300)
	s.pass(2100)
	if got := s.look(); !strings.HasPrefix(got, "give up 1.0, offer 1.1") {
		t.Errorf("no answer lay unread: %q", got)
	}
	s.h.SetTimeoutGrace(1e6)
	s.pass(3000)
	if got := s.look(); strings.Count(got, "answer 1") != 1 {
		t.Errorf("at its expiry: %q", got)
	}
}

// TestProbeWaits has a probe wait for a connection that may take long: it times out no sooner, and its answer is heard until then.
func TestProbeWaits(t *testing.T) {
	for _, c := range []struct{ connects, after, want float64 }{{250, 490, 1}, {250, 520, 0}, {1000, 1900, 1}, {1000, 2020, 0}} {
		s := begin(t, 1)
		s.h.SetConnectTimeout(c.connects)
		moduleEffects{s.h}.Probe(100)
		s.pass(c.after)
		if n := float64(len(s.h.probes)); n != c.want {
			t.Errorf("%+v: %g wait", c, n)
		}
	}
}

// TestCrossings has what a node or a client says come in the very moment in which a try's time-out or the expiry falls due, before the turn
// that meets it and after it. The client hears once or not at all if it is gone, a start that counts is never given up, one that does not is
// no start, and nothing is kept.
func TestCrossings(t *testing.T) {
	says := map[string]func(s *script, id uint32) bool{
		"started": func(s *script, id uint32) bool { return s.h.OnStarted(s.now, id, s.offer.try) },
		"refused": func(s *script, id uint32) bool {
			s.h.OnOutcome(s.now, id, s.offer.try, logic.Rejected, 0, nil)
			return false
		},
		"broken": func(s *script, id uint32) bool {
			s.h.OnOutcome(s.now, id, s.offer.try, logic.ConnectionLost, 0, nil)
			return false
		},
		"withdrawn": func(s *script, id uint32) bool { s.h.OnWithdrawn(s.now, id); return false },
	}
	for what, say := range says {
		for _, due := range []string{"time-out", "expiry"} {
			for _, first := range []bool{true, false} {
				for job := range 3 {
					t.Run(fmt.Sprintf("%s at the %s, before it %v, job %d", what, due, first, job), func(t *testing.T) {
						s := begin(t, 4)
						id := s.ask(job)
						expiry := s.now + 2500
						s.pass(10)
						if s.look() != "offer 1.0" {
							t.Fatal("not offered")
						}
						at := s.offer.until
						if due == "expiry" {
							for at = expiry; s.offer.until < expiry; { // tries until one lasts to the expiry, or none is left
								until := s.offer.until
								if s.pass(until - s.now + 5); s.offer.until == until {
									break
								}
							}
							s.look()
						}
						s.now = max(s.now, at)
						stands := false
						if first {
							stands = say(s, id)
							s.h.Round(s.now)
						} else {
							s.h.Round(s.now)
							stands = say(s, id)
						}
						s.pass(4000)
						said := s.look()
						answers := strings.Count(said, "answer")
						switch {
						case stands && (answers > 0 || strings.Contains(said, "give up")):
							t.Errorf("it stands, and then %q", said)
						case !stands && what == "withdrawn" && answers > 1, !stands && what != "withdrawn" && due == "time-out" && answers != 1:
							t.Errorf("%d answers: %q", answers, said)
						case due == "expiry" && answers > 1:
							t.Errorf("%d answers: %q", answers, said)
						case due == "expiry" && what == "started" && stands:
							t.Errorf("started at its expiry: %q", said)
						}
						if stands {
							s.h.OnOutcome(s.now, id, s.offer.try, logic.Completed, 0, nil)
							s.pass(100)
						}
						if len(s.h.allocations) > 0 || s.h.OpenRequests() != 0 || s.h.RunningTasks() != 0 {
							t.Errorf("%d are kept, %d open, %d stand", len(s.h.allocations), s.h.OpenRequests(), s.h.RunningTasks())
						}
					})
				}
			}
		}
	}
}
