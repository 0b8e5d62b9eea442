package platform

import (
	"fmt"
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// earlyEnd is an end that a node sends for a task before its answer.
type earlyEnd struct {
	name   string
	cause  byte
	reason string
	notes  bool // notes precede the end
	ran    bool // it means that the task was running
}

// earlyEnds are the cases of TestEndBeforeAnswer.
var earlyEnds = []earlyEnd{
	{"reset, sent away, after notes", codec.CauseReset, "sent_away", true, true},
	{"reset, sent away", codec.CauseReset, "sent_away", false, true},
	{"reset, evicted", codec.CauseReset, "evicted", false, true},
	{"reset, pushed out", codec.CauseReset, "pushed_out", false, true},
	{"reset, after notes", codec.CauseReset, "", true, true},
	{"reset, without a reason", codec.CauseReset, "", false, false},
	{"normal, after notes", codec.CauseNormal, "", true, true},
	{"normal", codec.CauseNormal, "", false, true},
	{"cancelled", codec.CauseElsewhere, "", false, true},
	{"error", codec.CauseErrored, "", false, false},
	{"error, after notes", codec.CauseErrored, "", true, true},
	{"full", codec.CauseFull, "no_cores", false, false},
	{"full, sent away", codec.CauseFull, "sent_away", false, false},
}

// answerAfterRun is the answer to a client whose task ran and ended without an answer, by job class. Nodes drop a retry of
// idempotent work (marked), so it is as harmless as a retry of restartable work.
var answerAfterRun = map[string]string{"batch": "end 42", "marked": "end 42", "single": "end 41"}

// earlyEndMessages returns the messages that a node sends before its answer: a note if notes is set, and the end.
func earlyEndMessages(task uint64, cause byte, reason string, notes bool) (b []byte) {
	if notes {
		b = append(b, message(codec.KindNote, task, codec.ParamReason, "cores", codec.ParamValue, "0.6")...)
	}
	if reason == "" {
		return append(b, codec.AppendEnd(nil, task, cause)...)
	}
	return append(b, message(codec.KindEnd, task, codec.ParamCause, string(rune(cause)), codec.ParamReason, reason)...)
}

// earlyEndRun records what happened to the request of TestEndBeforeAnswer.
type earlyEndRun struct {
	attempts int
	first    *fakeNode // the node of the first attempt
	endedAt  float64   // the time at which it sends the end
}

// arrange makes the node of the first attempt end the task after 500 ms, and answer it late ms after that, or never if late is negative. Further
// attempts are answered at once.
func (run *earlyEndRun) arrange(r *simRig, c earlyEnd, late float64) {
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			if run.attempts++; run.attempts > 1 {
				n.answer(e, task)
				return
			}
			run.first, run.endedAt = n, r.clock.TrueTime()+500
			answer := codec.AppendAnswer(nil, task, []byte(n.description(task)))
			n.process.After(500, func() {
				b := earlyEndMessages(task, c.cause, c.reason, c.notes)
				if late == 0 { // both are sent in one write
					b = append(b, answer...)
				}
				e.send(b)
			})
			if late > 0 {
				n.process.After(500+late, func() { e.send(answer) })
			}
		}
	}
}

// checkEarlyEnd runs one case of TestEndBeforeAnswer.
func checkEarlyEnd(t *testing.T, c earlyEnd, jobClass string, late float64) {
	t.Helper()
	r := startRig(t, "a", "b")
	x := r.dial()
	var run earlyEndRun
	run.arrange(r, c, late)
	x.request(7, jobClass)
	r.advance(5000)
	if !c.ran {
		mayRetry := jobClass != "single" || c.cause == codec.CauseFull
		if (run.attempts > 1) != mayRetry || len(x.received) == 0 {
			t.Errorf("%d attempts, received %q; want more than one attempt only if a retry is allowed, and an answer", run.attempts, x.received)
		}
		return
	}
	x.want("the final answer", "7 "+answerAfterRun[jobClass])
	if run.attempts != 1 {
		t.Errorf("%d attempts for a task that ran, want 1", run.attempts)
	}
	if len(x.receivedAt) > 0 && x.receivedAt[0] > run.endedAt+50 {
		t.Errorf("answered %.0f ms after the end, want at most 50", x.receivedAt[0]-run.endedAt)
	}
	if told := slices.Contains(run.first.endsReceived, 7); told != (late >= 0) {
		t.Errorf("the node was told to end the task: %t, want true only if it sent a late answer", told)
	}
	if len(r.server.requests.byAlloc)+len(r.server.requests.byTask) > 0 || r.server.requests.admission.Open() != 0 {
		t.Errorf("%d requests by allocation, %d by task and %d open are left, want none", len(r.server.requests.byAlloc),
			len(r.server.requests.byTask), r.server.requests.admission.Open())
	}
}

// TestEndBeforeAnswer makes a node end a task before its answer, which follows in the same write, later, or never. If the end means that the task
// was running, the client has its final answer at once and no second attempt is made; a late answer is not forwarded, and the node is told to stop
// the task. Else another attempt follows, except for at-most-once work that may have run.
func TestEndBeforeAnswer(t *testing.T) {
	for _, c := range earlyEnds {
		for _, job := range []string{"batch", "marked", "single"} {
			for _, late := range []float64{0, 1, 1700, -1} {
				t.Run(fmt.Sprintf("%s, %s, answer after %g ms", c.name, job, late), func(t *testing.T) {
					checkEarlyEnd(t, c, job, late)
				})
			}
		}
	}
}

// TestNotesOfAnEarlierAttempt checks that notes count for their own attempt only. A rejection of the second attempt does not mean that its task was
// running, although the first attempt's task ran before it was cancelled.
func TestNotesOfAnEarlierAttempt(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	attempts := 0
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			switch attempts++; attempts {
			case 1: // the task runs and sends a note, but no answer, so that the attempt times out
				e.send(message(codec.KindNote, task, codec.ParamReason, "cores", codec.ParamValue, "0.6"))
			case 2:
				e.send(codec.AppendEnd(nil, task, codec.CauseFull))
			default:
				n.answer(e, task)
			}
		}
	}
	x.request(7, "batch")
	r.advance(5000)
	if attempts < 3 || len(x.received) != 1 || x.received[0] == "7 end 42" {
		t.Errorf("%d attempts, want 3 or more; received %q, want one message other than \"7 end 42\"", attempts, x.received)
	}
}

// TestEndBeforeAnswerOnLoopback makes a node end a task before its answer, on sockets: the end follows a note, and the answer is sent once the end was
// processed.
func TestEndBeforeAnswerOnLoopback(t *testing.T) {
	for _, job := range []string{"batch", "marked", "single"} {
		t.Run(job, func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, job)
			r.waitFor("the node receives the set-up", func() bool { return slices.Contains(r.node.receivedSetUps(), 7) })
			r.node.send(7, earlyEndMessages(7, codec.CauseReset, "sent_away", true))
			x.expect("7 " + answerAfterRun[job])
			r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
			r.waitFor("the node receives the end", func() bool { return r.node.receivedEnd(7) })
			r.waitIdle()
			attempts := 0
			for _, task := range r.node.receivedSetUps() {
				if task == 7 {
					attempts++
				}
			}
			if attempts != 1 {
				t.Errorf("%d attempts, want 1", attempts)
			}
			x.send(codec.AppendHealthCheck(nil, 9, false))
			x.expect("9 tested 1") // no other message comes before it
		})
	}
}
