package logic

import "testing"

// TestListPolling checks that a list that has to be polled is polled soon after the start, again after a failure, and well before
// ListMaxSilence has passed. A subscription that delivers changes is not renewed.
func TestListPolling(t *testing.T) {
	for _, c := range []struct {
		name  string
		polls bool
		kind  ListKind
		min   int
		max   int
	}{{"pushed changes", false, ListChanges, 0, 0}, {"subscription delivers changes", true, ListChanges, 1, 1}, {"polls fail", true, ListFailed, 2, 8}} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			cl.PollsList = c.polls
			x := newHarness(t, cl, 2)
			for polls := 0; x.now < testStart+9000; {
				x.advance(1000)
				if n := x.effects.count("watch"); c.kind == ListFailed && n == polls {
					continue // one failure is delivered for each poll
				}
				polls = x.effects.count("watch")
				x.scheduler.OnListBegin(x.now, c.kind)
				x.scheduler.OnListEnd(x.now)
			}
			if n := x.effects.count("watch"); n < c.min || n > c.max {
				t.Errorf("got %d polls, want %d to %d", n, c.min, c.max)
			}
		})
	}
}
