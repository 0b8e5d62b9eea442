package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestEndBeforeStart has a node report the end of an attempt whose start was never reported, as after a lost message. A client that
// was not answered is not notified of an end, so a restartable task gets another attempt, an idempotent one inside its
// scope alone, and an at-most-once task fails. The first attempt's start may still be reported: it serves nobody, and is an
// error of the node.
func TestEndBeforeStart(t *testing.T) {
	for _, result := range []logic.Outcome{logic.Completed, logic.Errored, logic.ConnectionLost, logic.Cancelled} {
		for jobClass, retried := range []bool{restartable: true, idempotentInZone: true, idempotentEverywhere: true, atMostOnce: false} {
			t.Run(fmt.Sprintf("verdict %d, jobClass %d", result, jobClass), func(t *testing.T) {
				testEndBeforeStart(t, jobClass, result, retried)
			})
		}
	}
}

// testEndBeforeStart has the first attempt end before its start. retried tells whether another attempt follows.
func testEndBeforeStart(t *testing.T, jobClass int, result logic.Outcome, retried bool) {
	t.Helper()
	h := newHarness(t, true)
	h.request(1, jobClass, 3000)
	h.advance(20)
	first := h.lastOffer
	if err := h.reportEnd(result); err != nil {
		t.Fatal(err)
	}
	h.advance(100)
	got := h.takeEffects()
	if !retried {
		if strings.Count(got, "answer 1 failed") != 1 || h.lastOffer != first {
			t.Fatalf("run-once work after its end: %q", got)
		}
		return
	}
	if h.lastOffer.attempt.Number != 1 || strings.Contains(got, "answer") {
		t.Fatalf("no second attempt: %q", got)
	}
	if jobClass == idempotentInZone && (h.lastOffer.node-1)/2 != (first.node-1)/2 {
		t.Errorf("keyed work went on from node %d to node %d in another zone", first.node, h.lastOffer.node)
	}
	if err := h.engine.OnStarted(h.now, first.node, first.attempt, 10); err == nil {
		t.Error("a start after the end of the same attempt is no fault of its node")
	}
	if got := h.takeEffects(); strings.Contains(got, "answer") {
		t.Errorf("the late start answers: %q", got)
	}
	if err := h.reportStart(10); err != nil {
		t.Error(err)
	}
	h.advance(4000)
	if got := h.takeEffects(); strings.Count(got, "answer 1 served") != 1 || strings.Count(got, "answer") != 1 {
		t.Errorf("the answer: %q", got)
	}
}
