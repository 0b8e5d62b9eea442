package platform

import (
	"fmt"
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// earlyEnd is a way in which a node ends a task before its answer.
type earlyEnd struct {
	name  string
	cause byte
	word  string
	notes bool // before it
	ran   bool // it is the end of a run
}

// earlyEnds are ends that a node sends for a task before its answer.
var earlyEnds = []earlyEnd{
	{"cut, sent away, after notes", codec.CauseReset, "sent_away", true, true},
	{"cut, sent away", codec.CauseReset, "sent_away", false, true},
	{"cut, evicted", codec.CauseReset, "evicted", false, true},
	{"cut, pushed out", codec.CauseReset, "pushed_out", false, true},
	{"cut, after notes", codec.CauseReset, "", true, true},
	{"reset on its way", codec.CauseReset, "", false, false},
	{"normal, after notes", codec.CauseNormal, "", true, true},
	{"normal", codec.CauseNormal, "", false, true},
	{"cancelled", codec.CauseElsewhere, "", false, true},
	{"error", codec.CauseErrored, "", false, false},
	{"error, after notes", codec.CauseErrored, "", true, true},
	{"full", codec.CauseFull, "no_cores", false, false},
	{"full, sent away", codec.CauseFull, "sent_away", false, false},
}

// afterRun is the answer to a client whose task ran and ended without an answer, by job class. A retry of marked work is dropped wherever it is
// sent, so it is as harmless as one of restartable work.
var afterRun = map[string]string{"batch": "end 42", "marked": "end 42", "single": "end 41"}

// early returns what a node sends before its answer: notes if the task ran for a while, and its end.
func early(task uint64, cause byte, word string, notes bool) (b []byte) {
	if notes {
		b = append(b, message(codec.KindNote, task, codec.ParamReason, "cores", codec.ParamValue, "0.6")...)
	}
	if word == "" {
		return append(b, codec.AppendEnd(nil, task, cause)...)
	}
	return append(b, message(codec.KindEnd, task, codec.ParamCause, string(rune(cause)), codec.ParamReason, word)...)
}

// earlyEndRun is what happened to the request of TestEndBeforeAnswer.
type earlyEndRun struct {
	attempts int
	first    *fakeNode // that was tried first
	endedAt  float64   // when it sends the end
}

// arrange has the first node that is tried end the task after 500 ms, and answer it so many ms later: never if late is negative. Any other node
// answers as usual.
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
				b := early(task, c.cause, c.word, c.notes)
				if late == 0 { // in one piece
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

// checkEarlyEnd plays one case of TestEndBeforeAnswer.
func checkEarlyEnd(t *testing.T, c earlyEnd, job string, late float64) {
	t.Helper()
	r := startRig(t, "a", "b")
	x := r.dial()
	var run earlyEndRun
	run.arrange(r, c, late)
	x.request(7, job)
	r.pass(5000)
	if !c.ran {
		mayRetry := job != "single" || c.cause == codec.CauseFull
		if (run.attempts > 1) != mayRetry || len(x.received) == 0 {
			t.Errorf("%d attempts, heard %q", run.attempts, x.received)
		}
		return
	}
	x.want("the final answer", "7 "+afterRun[job])
	if run.attempts != 1 {
		t.Errorf("%d attempts after a run", run.attempts)
	}
	if len(x.receivedAt) > 0 && x.receivedAt[0] > run.endedAt+50 {
		t.Errorf("told %.0f ms after the end", x.receivedAt[0]-run.endedAt)
	}
	if told := slices.Contains(run.first.ended, 7); told != (late >= 0) {
		t.Errorf("the node of the late answer is told to end the task: %t", told)
	}
	if len(r.server.requests.byAlloc)+len(r.server.requests.byTask) > 0 || r.server.requests.admission.Open() != 0 {
		t.Errorf("%d requests, %d tasks, %d open are kept", len(r.server.requests.byAlloc), len(r.server.requests.byTask), r.server.requests.admission.Open())
	}
}

// TestEndBeforeAnswer has a node end a task before its answer, which follows late, never, or in the same moment. The end of a run gives the
// client its final answer at once, and no second attempt is made; the late answer reaches nobody, and the node is told to stop the task. An
// attempt that was not a run is followed by another, but for at-most-once work that may have run.
func TestEndBeforeAnswer(t *testing.T) {
	for _, c := range earlyEnds {
		for _, job := range []string{"batch", "marked", "single"} {
			for _, late := range []float64{0, 1, 1700, -1} {
				t.Run(fmt.Sprintf("%s, %s, answer after %g", c.name, job, late), func(t *testing.T) {
					checkEarlyEnd(t, c, job, late)
				})
			}
		}
	}
}

// TestNotesOfAnEarlierAttempt checks that notes count for the attempt in flight alone: a rejection of the second is no end of a run, though the first ran
// before it was cancelled.
func TestNotesOfAnEarlierAttempt(t *testing.T) {
	r := startRig(t, "a", "b")
	x := r.dial()
	attempts := 0
	for _, n := range r.nodes {
		n.onSetUp = func(e *testConn, task uint64) {
			switch attempts++; attempts {
			case 1: // it runs, and says so, but is never answered: it times out
				e.send(message(codec.KindNote, task, codec.ParamReason, "cores", codec.ParamValue, "0.6"))
			case 2:
				e.send(codec.AppendEnd(nil, task, codec.CauseFull))
			default:
				n.answer(e, task)
			}
		}
	}
	x.request(7, "batch")
	r.pass(5000)
	if attempts < 3 || len(x.received) != 1 || x.received[0] == "7 end 42" {
		t.Errorf("%d attempts, heard %q", attempts, x.received)
	}
}

// TestEndBeforeAnswerOnLoopback is the same on sockets: notes, the end and the answer come in this order, each read before the next is sent.
func TestEndBeforeAnswerOnLoopback(t *testing.T) {
	for _, job := range []string{"batch", "marked", "single"} {
		t.Run(job, func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, job)
			r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
			r.node.send(7, early(7, codec.CauseReset, "sent_away", true))
			x.expect("7 " + afterRun[job])
			r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
			r.until("the node is told to end it", func() bool { return r.node.ended(7) })
			r.waitIdle()
			attempts := 0
			for _, task := range r.node.received() {
				if task == 7 {
					attempts++
				}
			}
			if attempts != 1 {
				t.Errorf("%d attempts", attempts)
			}
			x.send(codec.AppendTest(nil, 9, false))
			x.expect("9 tested 1") // and nothing before it
		})
	}
}
