package engine

import (
	"strings"
	"testing"
)

// TestLateRoundsAnswerInTime has rounds come late, or a pause end shortly before a request's deadline: the request has to be answered before its
// deadline, once. It guards against requests that get no answer because no round that may act comes between the time at which the answer is
// due and the deadline.
func TestLateRoundsAnswerInTime(t *testing.T) {
	const timeLeft = 1500 // ms; answers are due 100 ms before
	for _, c := range []struct {
		name       string
		roundEvery float64 // ms between two rounds
		until      float64 // ms after the request until which rounds are on time
	}{
		{"rounds late by 100 ms", 110, 0},
		{"rounds late by 200 ms", 210, 0},
		{"a pause of 400 ms ends 60 ms before the deadline", 400, 1040},
		{"a pause of 300 ms ends 20 ms before the deadline", 300, 1180},
		{"rounds on time", 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, true)
			h.request(1, atMostOnce, timeLeft)
			requestedAt := h.now - 10
			h.takeEffects()
			h.advance(c.until)
			for h.now+c.roundEvery < requestedAt+timeLeft {
				h.now += c.roundEvery
				h.engine.Round(h.now)
			}
			if got := h.takeEffects(); strings.Count(got, "answer 1 failed") != 1 || strings.Count(got, "answer") != 1 {
				t.Errorf("got effects %q until the last round before the deadline, want one answer", got)
			}
			h.advance(500)
			if got := h.takeEffects(); strings.Contains(got, "answer") {
				t.Errorf("got effects %q after the deadline, want no answer", got)
			}
		})
	}
}

// TestAnswersAreNotEarly checks that an engine whose rounds are on time answers no request before it is due, also right after its start, whatever
// its clock shows then.
func TestAnswersAreNotEarly(t *testing.T) {
	for _, start := range []float64{1000, 1e9} {
		h := newHarnessAt(t, start, true)
		h.request(1, atMostOnce, 450)
		h.takeEffects()
		h.advance(320)
		h.expect("20 ms before the answer is due", h.takeEffects(), "")
		h.advance(30)
		h.expect("when it is due", h.takeEffects(), "recall 1.0, answer 1 failed")
	}
}
