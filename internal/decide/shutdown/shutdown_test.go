package shutdown

import "testing"

// TestNewPlan tries expiries from 0 to 20 s: the process must exit before it may be killed, requests that arrive as late as the protocol
// allows must be accepted and answered, and the steps must be due in order.
func TestNewPlan(t *testing.T) {
	const startAt = 1000
	for longestExpiry := 0.0; longestExpiry <= 20000; longestExpiry += 10 {
		p := NewPlan(startAt, longestExpiry)
		killAt := startAt + min(longestExpiry, 3000) + 700
		switch {
		case p.ExitAt > killAt-50:
			t.Errorf("longest expiry %g ms: got exit at %g, want at least 50 ms before the kill at %g", longestExpiry, p.ExitAt, killAt)
		case p.CloseAt < startAt+600 || p.CloseAt >= p.ExitAt:
			t.Errorf("longest expiry %g ms: got plan %+v, want CloseAt from 1600 on and before ExitAt", longestExpiry, p)
		case p.RejectAt < startAt+500 || p.RejectAt > p.AnswerAt || p.AnswerAt >= p.CloseAt:
			t.Errorf("longest expiry %g ms: got plan %+v, want RejectAt from 1500 on, AnswerAt no earlier, and CloseAt later", longestExpiry, p)
		case longestExpiry >= 500 && p.RejectAt < startAt+700:
			t.Errorf("longest expiry %g ms: got plan %+v, want RejectAt from 1700 on", longestExpiry, p)
		case longestExpiry >= 500 && p.AnswerAt < startAt+min(longestExpiry, 3000)+300:
			t.Errorf("longest expiry %g ms: got plan %+v, want AnswerAt at least 300 ms after the expiry, which counts as at most 3 s",
				longestExpiry, p)
		}
	}
}
