package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestEndBeforeStart has a node report the end of an attempt whose start was not reported, as happens when a message is lost. A client
// that has no answer yet cannot be notified of the end. Therefore a restartable task gets another attempt, an idempotent one gets
// another attempt within its scope only, and an at-most-once task fails. If the start of the first attempt is reported afterwards, it
// must serve no request and is a protocol violation by the node.
func TestEndBeforeStart(t *testing.T) {
	for _, result := range []logic.Outcome{logic.Completed, logic.Errored, logic.ConnectionLost, logic.Cancelled} {
		for jobClass, retried := range []bool{restartable: true, idempotentInZone: true, idempotentEverywhere: true, atMostOnce: false} {
			t.Run(fmt.Sprintf("outcome %d, job class %d", result, jobClass), func(t *testing.T) {
				testEndBeforeStart(t, jobClass, result, retried)
			})
		}
	}
}

// testEndBeforeStart reports the end of the first attempt before its start. retried says whether another attempt must follow.
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
			t.Fatalf("got effects %q, want one failed answer and no other attempt", got)
		}
		return
	}
	if h.lastOffer.attempt.Number != 1 || strings.Contains(got, "answer") {
		t.Fatalf("got effects %q, want a second attempt and no answer", got)
	}
	if jobClass == idempotentInZone && (h.lastOffer.node-1)/2 != (first.node-1)/2 {
		t.Errorf("first attempt at node %d, second at node %d, want both in the same zone", first.node, h.lastOffer.node)
	}
	if err := h.engine.OnStarted(h.now, first.node, first.attempt, 10); err == nil {
		t.Error("start after the end of the same attempt: got no error")
	}
	if got := h.takeEffects(); strings.Contains(got, "answer") {
		t.Errorf("got effects %q of the late start, want no answer", got)
	}
	if err := h.reportStart(10); err != nil {
		t.Error(err)
	}
	h.advance(4000)
	if got := h.takeEffects(); strings.Count(got, "answer 1 served") != 1 || strings.Count(got, "answer") != 1 {
		t.Errorf("got effects %q, want one answer, which is served", got)
	}
}
