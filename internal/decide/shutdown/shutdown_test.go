package shutdown

import "testing"

// TestTold walks deadlines from none to long ones: the process is gone before it can be killed, what comes as the page allows
// finds an open door and is answered, and no two steps fall into one instant.
func TestTold(t *testing.T) {
	const at = 1000
	for longest := 0.0; longest <= 20000; longest += 10 {
		p := NewPlan(at, longest)
		kill := at + min(longest, 3000) + 700
		switch {
		case p.ExitAt > kill-50:
			t.Errorf("longest %g: ends at %g, may be killed at %g", longest, p.ExitAt, kill)
		case p.CloseAt < at+600 || p.CloseAt >= p.ExitAt:
			t.Errorf("longest %g: %+v: the last that come find no door", longest, p)
		case p.RejectAt < at+500 || p.RejectAt > p.AnswerAt || p.AnswerAt >= p.CloseAt:
			t.Errorf("longest %g: %+v: out of order", longest, p)
		case longest >= 500 && p.RejectAt < at+700:
			t.Errorf("longest %g: %+v: shut too soon", longest, p)
		case longest >= 500 && p.AnswerAt < at+min(longest, 3000)+300:
			t.Errorf("longest %g: %+v: what is open is given up too soon", longest, p)
		}
	}
}
