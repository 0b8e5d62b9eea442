package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestEndBeforeStart has a node tell the end of an attempt whose start was never heard, as a lost answer leaves it. In this protocol a client
// that was not answered is owed no end, so work that may be repeated gets another attempt, keyed work inside its zone alone; run-once work
// fails. The first attempt's start may still come: it serves nobody, and the connection on which it came is ended.
func TestEndBeforeStart(t *testing.T) {
	for _, verdict := range []logic.Outcome{logic.Completed, logic.Errored, logic.ConnectionLost, logic.Cancelled} {
		for job, retried := range []bool{restartable: true, zoned: true, everywhere: true, once: false} {
			t.Run(fmt.Sprintf("verdict %d, job %d", verdict, job), func(t *testing.T) {
				s := begin(t, false)
				s.ask(1, job, 3000)
				s.pass(20)
				first := s.last
				if err := s.settled(verdict); err != nil {
					t.Fatal(err)
				}
				s.pass(100)
				got := s.look()
				if !retried {
					if strings.Count(got, "answer 1 failed") != 1 || s.last != first {
						t.Fatalf("run-once work after its end: %q", got)
					}
					return
				}
				if s.last.try != 1 || strings.Contains(got, "answer") {
					t.Fatalf("no second attempt: %q", got)
				}
				if job == zoned && (s.last.nd-1)/2 != (first.nd-1)/2 {
					t.Errorf("keyed work went on from node %d to node %d in another zone", first.nd, s.last.nd)
				}
				if err := s.e.OnStarted(s.now, first.nd, first.ticket, first.try, 10); err == nil {
					t.Error("a start after the end of the same attempt is no fault of its node")
				}
				if got := s.look(); strings.Contains(got, "answer") {
					t.Errorf("the late start answers: %q", got)
				}
				if err := s.e.OnStarted(s.now, s.last.nd, s.last.ticket, s.last.try, 10); err != nil {
					t.Error(err)
				}
				s.pass(4000)
				if got := s.look(); strings.Count(got, "answer 1 served") != 1 || strings.Count(got, "answer") != 1 {
					t.Errorf("the answer: %q", got)
				}
			})
		}
	}
}
