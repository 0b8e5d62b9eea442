package shutdown

import "testing"

// TestNewPlan tries expiries from none to long ones: the process ends before it can be killed, requests that arrive as the protocol's page
// allows are accepted and answered, and no two steps are due at once.
func TestNewPlan(t *testing.T) {
	const at = 1000
	for longest := 0.0; longest <= 20000; longest += 10 {
		p := NewPlan(at, longest)
		kill := at + min(longest, 3000) + 700
		switch {
		case p.ExitAt > kill-50:
			t.Errorf("longest %g: ends at %g, may be killed at %g", longest, p.ExitAt, kill)
		case p.CloseAt < at+600 || p.CloseAt >= p.ExitAt:
			t.Errorf("longest %g: %+v: the last requests are not accepted", longest, p)
		case p.RejectAt < at+500 || p.RejectAt > p.AnswerAt || p.AnswerAt >= p.CloseAt:
			t.Errorf("longest %g: %+v: out of order", longest, p)
		case longest >= 500 && p.RejectAt < at+700:
			t.Errorf("longest %g: %+v: rejects too soon", longest, p)
		case longest >= 500 && p.AnswerAt < at+min(longest, 3000)+300:
			t.Errorf("longest %g: %+v: what is open is answered too soon", longest, p)
		}
	}
}
