package engine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestBrokenConnection breaks the connection to a node while an attempt is in flight. A second attempt may follow only if the first provably
// never ran or if the job class allows a second run; a task that is idempotent in a zone gets its second attempt in the same zone.
func TestBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name      string
		sent      bool
		reconnect func(h *harness) // how the node reconnects; nil: it does not
		want      [4]string        // effects within two seconds, by job class
	}{
		{"offer not sent", false, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "offer 1.1"}},
		{"offer may have been sent, node does not reconnect", true, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"}},
		{"offer may have been sent, node rejects the claim", true, func(h *harness) {
			h.connect(h.lastOffer.node, 1)
			h.engine.OnClaimOutcome(h.now, h.lastOffer.node, Outcome{Attempt: h.lastOffer.attempt, Result: logic.Rejected, Reason: logic.ReasonUnknown})
		}, [4]string{"claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1"}},
		{
			"offer may have been sent, node reconnects in another incarnation", true, func(h *harness) { h.connect(h.lastOffer.node, 2) },
			[4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"},
		},
		{"offer may have been sent, node reports the task as running", true, func(h *harness) {
			h.engine.OnConnected(h.now, h.lastOffer.node, 1, 0)
			err := h.engine.OnHeld(h.now, h.lastOffer.node, HeldTask{
				Attempt: h.lastOffer.attempt,
				Running: true,
				Task:    Task{Service: 99, Token: 1001, Cores: 1, Memory: 2},
			})
			if err != nil {
				h.t.Fatal(err)
			}
			h.engine.OnHeldAll(h.now, h.lastOffer.node)
		}, [4]string{"answer 1 served", "answer 1 served", "answer 1 served", "answer 1 served"}},
	} {
		for jobClass, want := range c.want {
			t.Run(fmt.Sprintf("%s/%d", c.name, jobClass), func(t *testing.T) {
				h := newHarness(t, true)
				h.request(1, jobClass, 5000)
				h.expect("effects of the request", h.takeEffects(), "offer 1.0")
				first := h.lastOffer.node
				h.breakConnection(c.sent)
				h.advance(50)
				if c.reconnect != nil {
					c.reconnect(h)
				}
				h.advance(1900)
				got := h.takeEffects()
				if i := strings.Index(got, ", recall"); i >= 0 {
					got = got[:i] // ignore the effects from the first recall on
				}
				h.expect("effects after the connection broke", got, want)
				if jobClass == idempotentInZone && c.sent && strings.Contains(got, "offer 1.1") && c.reconnect == nil &&
					(first-1)/2 != (h.lastOffer.node-1)/2 {
					t.Errorf("second attempt at node %d, want one in the zone of node %d", h.lastOffer.node, first)
				}
			})
		}
	}
}

// TestLateStart has a node report the start of an attempt after the attempt has been abandoned. While the client waits, the start serves its
// request unless a later attempt starts first. Afterwards a restartable task is stopped, and any other task is kept for a retry by the client.
func TestLateStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobClass int
		wait     float64 // ms after which the start of the first attempt is reported
		want     string
	}{
		{"restartable, another attempt in flight", restartable, 2500, "recall 1.1"},
		{"idempotent, after the answer: kept for a retry", idempotentInZone, 6000, "answer 2 served"},
		{"at most once, after the answer: kept for a retry", atMostOnce, 6000, "answer 2 served"},
		{"restartable, after the answer: stopped", restartable, 6000, "stop 1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, true)
			h.request(1, c.jobClass, 5000)
			first := h.lastOffer
			h.advance(c.wait)
			h.takeEffects()
			if err := h.engine.OnStarted(h.now, first.node, first.attempt, c.wait); err != nil {
				t.Fatal(err)
			}
			if c.want == "answer 2 served" {
				h.allocate(newRequest(7, 2, Task{JobClass: c.jobClass, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
			}
			h.expect("effects of the late start", h.takeEffects(), c.want)
			if c.want == "recall 1.1" { // once the second attempt is returned, the late start serves the request
				if err := h.reportEnd(logic.Rejected); err != nil {
					t.Fatal(err)
				}
				h.expect("effects of the returned attempt", h.takeEffects(), "answer 1 served")
			}
		})
	}
	t.Run("kept for a retry that is not made", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 5000)
		h.advance(6000)
		h.takeEffects()
		if err := h.reportStart(6000); err != nil {
			t.Fatal(err)
		}
		h.advance(9000)
		h.expect("effects after the retention", h.takeEffects(), "stop 1.0")
	})
}

// TestAnswers checks the answers to requests: at most one for each, none after the deadline, and a decline of what exceeds the limit of
// open allocations, fits on no machine or repeats an open request.
func TestAnswers(t *testing.T) {
	t.Run("start after the deadline", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 2000)
		h.takeEffects()
		h.now += 2500 // the process is paused beyond the deadline: the client has given up, and nothing is sent to it
		if err := h.reportStart(10); err != nil {
			t.Fatal(err)
		}
		h.advance(500)
		h.expect("effects after the deadline", h.takeEffects(), "")
	})
	t.Run("one answer for each request before its deadline", func(t *testing.T) {
		h := newHarness(t, false) // every node refuses connections
		for number := range uint64(4) {
			h.request(number+1, int(number), 1500)
		}
		for range 150 {
			h.advance(10)
			for node := range uint32(4) {
				if h.engine.pacer.IsDialing(int(node)) {
					h.engine.OnDialFailed(h.now, node+1)
				}
			}
		}
		got := h.takeEffects()
		for number := range 4 {
			if n := strings.Count(got, fmt.Sprintf("answer %d declined", number+1)); n != 1 {
				t.Errorf("request %d declined %d times, want once, in %q", number+1, n, got)
			}
		}
		if len(h.engine.byID) != 0 || h.engine.admission.Open() != 0 || len(h.engine.byKey) != 0 || len(h.engine.requests) != 0 {
			t.Errorf("allocations are left after all answers: %+v", h.engine.Stats())
		}
	})
	t.Run("over the limit of open allocations", func(t *testing.T) {
		h := newHarness(t, false)
		for number := range uint64(140) {
			_ = h.engine.Allocate(h.now, newRequest(7, number+1, Task{JobClass: restartable, Tenant: int(number % 2), Service: 99, Token: 1000 + number, Cores: 1, Memory: 2}, 5000))
		}
		if got := strings.Count(h.takeEffects(), "declined"); got != 40 {
			t.Errorf("%d requests declined at once, want 40", got)
		}
	})
	t.Run("too large for any machine", func(t *testing.T) {
		h := newHarness(t, true)
		_ = h.engine.Allocate(h.now, newRequest(7, 1, Task{JobClass: restartable, Service: 99, Token: 1, Cores: 33, Memory: 2}, 5000))
		h.expect("effects of the request", h.takeEffects(), "answer 1 declined")
	})
	t.Run("same idempotency key twice", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 5000)
		h.takeEffects()
		_ = h.engine.Allocate(h.now, newRequest(8, 9, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
		h.expect("effects of the second request while the first is open", h.takeEffects(), "answer 9 declined")
		_ = h.reportStart(10)
		h.expect("effects of the start", h.takeEffects(), "answer 1 served")
		_ = h.engine.Allocate(h.now, newRequest(8, 10, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
		h.expect("effects of a request while the task runs", h.takeEffects(), "answer 10 served")
	})
}

// TestWithdraw withdraws a request whose attempt is in flight. The client is answered at once, and the attempt is recalled. Only a restartable
// task is declined; any other may have run.
func TestWithdraw(t *testing.T) {
	for jobClass, want := range [4]string{
		"answer 1 declined, recall 1.0", "answer 1 failed, recall 1.0",
		"answer 1 failed, recall 1.0", "answer 1 failed, recall 1.0",
	} {
		t.Run(fmt.Sprint(jobClass), func(t *testing.T) {
			h := newHarness(t, true)
			h.request(1, jobClass, 5000)
			h.takeEffects()
			if err := h.engine.Withdraw(h.now, RequestID{Client: 7, Number: 1}); err != nil {
				t.Fatal(err)
			}
			h.expect("effects of the withdrawal", h.takeEffects(), want)
			if err := h.reportEnd(logic.Rejected); err != nil {
				t.Fatal(err)
			}
			h.advance(100)
			h.expect("effects after the attempt was returned", h.takeEffects(), "")
			if err := h.engine.Withdraw(h.now, RequestID{Client: 7, Number: 1}); err == nil {
				t.Error("second withdrawal of a request: got no error")
			}
		})
	}
}

// isUnknownAttempt reports whether an error is an UnknownAttemptError.
func isUnknownAttempt(err error) bool {
	var unknown *UnknownAttemptError
	return errors.As(err, &unknown)
}

// TestPeerFaults has a node violate the protocol in several ways. The engine must return the matching error.
func TestPeerFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		act     func(h *harness) error
		matches func(err error) bool
	}{
		{"unknown attempt", func(h *harness) error {
			return h.engine.OnStarted(h.now, h.lastOffer.node, AttemptID{Ticket: h.lastOffer.attempt.Ticket, Number: 9}, 1)
		}, isUnknownAttempt},
		{"attempt at another node", func(h *harness) error {
			return h.engine.OnStarted(h.now, h.lastOffer.node%4+1, AttemptID{Ticket: h.lastOffer.attempt.Ticket}, 1)
		}, isUnknownAttempt},
		{"second start", func(h *harness) error {
			_ = h.reportStart(1)
			return h.reportStart(1)
		}, func(err error) bool { return errors.Is(err, ErrDuplicateAnswer) }},
		{"second outcome", func(h *harness) error {
			_ = h.reportStart(1)
			_ = h.reportEnd(logic.Completed)
			return h.reportEnd(logic.Completed)
		}, isUnknownAttempt},
		{"rejection after the start", func(h *harness) error {
			_ = h.reportStart(1)
			return h.reportEnd(logic.Rejected)
		}, func(err error) bool { return errors.Is(err, ErrRejectedAfterStart) }},
		{"report for a probe that was not sent", func(h *harness) error { return h.engine.OnProbeReport(h.now, 1, 1<<40, nil) }, func(err error) bool { return err != nil }},
		{"held task of an unknown job class", func(h *harness) error {
			return h.engine.OnHeld(h.now, 1, HeldTask{
				Attempt: AttemptID{Ticket: 5},
				Running: true,
				Task:    Task{JobClass: 17, Service: 1, Token: 1, Cores: 1, Memory: 1},
			})
		}, func(err error) bool { var held *HeldTaskError; return errors.As(err, &held) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, true)
			h.request(1, atMostOnce, 5000)
			if err := c.act(h); !c.matches(err) {
				t.Errorf("got the unexpected error %v", err)
			}
		})
	}
}

// TestRestart has a node report tasks that it holds for an earlier incarnation of the scheduler. The one that waits for its start is recalled;
// the one that runs is kept, and serves the client's next request for it.
func TestRestart(t *testing.T) {
	h := newHarness(t, false)
	h.engine.OnConnected(h.now, 2, 1, 0)
	for i, running := range []bool{true, false} { // held for an earlier incarnation of this scheduler
		err := h.engine.OnHeld(h.now, 2, HeldTask{
			Attempt: AttemptID{Ticket: uint64(77 + i), Number: 1},
			Running: running,
			Task:    Task{JobClass: atMostOnce, Service: 99, Token: uint64(1001 + i), Cores: 1, Memory: 2},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	h.engine.OnHeldAll(h.now, 2)
	h.expect("effects of the held tasks", h.takeEffects(), "recall 78.1")
	_ = h.engine.Allocate(h.now, newRequest(7, 1, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
	h.expect("effects of a request for the running task", h.takeEffects(), "answer 1 served")
	if err := h.engine.OnOutcome(h.now, 2, Outcome{Attempt: AttemptID{Ticket: 77, Number: 1}, Result: logic.Completed, Reason: logic.ReasonUnknown}); err != nil {
		t.Fatal(err)
	}
	h.expect("effects of the task's end", h.takeEffects(), fmt.Sprintf("end 1 %d", logic.Completed))
}

// TestRunningTaskAfterReconnect guards against tasks that are held for good after their node lost its connection and came back: as another
// incarnation, which the greeting tells, or without the task among those that it reports to hold. A task that it reports goes on.
func TestRunningTaskAfterReconnect(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint64
		held        bool
		want        string
	}{
		{"another incarnation", 2, false, fmt.Sprintf("end 1 %d", logic.ConnectionLost)},
		{"the same incarnation, without the task", 1, false, "claim 1.0"},
		{"the same incarnation, with the task", 1, true, ""},
	} {
		for jobClass := range 4 {
			t.Run(fmt.Sprintf("%s/%d", c.name, jobClass), func(t *testing.T) {
				h := newHarness(t, true)
				h.request(1, jobClass, 5000)
				h.takeEffects()
				node, attempt := h.lastOffer.node, h.lastOffer.attempt
				if err := h.reportStart(20); err != nil {
					t.Fatal(err)
				}
				h.expect("effects of the start", h.takeEffects(), "answer 1 served")
				h.breakConnection(true)
				h.advance(5000)
				h.takeEffects()
				h.engine.OnConnected(h.now, node, c.incarnation, 0)
				if c.held {
					held := HeldTask{Attempt: attempt, Running: true, Task: Task{JobClass: jobClass, Service: 99, Token: 1001, Cores: 1, Memory: 2}}
					if err := h.engine.OnHeld(h.now, node, held); err != nil {
						t.Fatal(err)
					}
				}
				h.engine.OnHeldAll(h.now, node)
				h.advance(100)
				h.expect("effects of the reconnect", h.takeEffects(), c.want)
			})
		}
	}
}

// TestPause pauses the process for longer than the time-out of an attempt in flight. A start that was received during the pause must be
// processed before the time-out.
func TestPause(t *testing.T) {
	h := newHarness(t, true)
	h.request(1, restartable, 8000)
	h.takeEffects()
	h.now += 3000
	h.engine.Round(h.now) // the attempt has timed out, but messages received during the pause are processed first
	h.expect("effects of the first round after the pause", h.takeEffects(), "")
	if err := h.reportStart(30); err != nil {
		t.Fatal(err)
	}
	h.advance(200)
	h.expect("effects of the start", h.takeEffects(), "answer 1 served")
}

// TestTransfer hands over a service to a second engine. Attempts in flight stay with the first engine; waiting and running allocations are
// handed over, and the second engine answers and ends them.
func TestTransfer(t *testing.T) {
	h, receiver := newHarness(t, true), newHarness(t, true)
	receiver.now = h.now
	place := func(number uint64, jobClass int) sentOffer {
		h.t.Helper()
		h.allocate(newRequest(1, number, Task{JobClass: jobClass, Service: 9, Token: number, Cores: 1, Memory: 2}, 3000))
		h.advance(20)
		return h.lastOffer
	}
	running := place(1, atMostOnce)
	if err := h.engine.OnStarted(h.now, running.node, running.attempt, 1); err != nil {
		t.Fatal(err)
	}
	inFlight := place(2, atMostOnce)
	h.allocate(newRequest(1, 3, Task{JobClass: restartable, Service: 9, Token: 3, Cores: 1, Memory: 2}, 3000)) // it waits for the next round
	transfers := transferAll(t, h)
	for _, transfer := range transfers {
		if !transfer.Running {
			receiver.allocate(Request{ID: transfer.Request, Task: transfer.Task, TimeLeft: transfer.Deadline - receiver.now, Epoch: 2})
		} else if !receiver.engine.TransferIn(receiver.now, transfer) || transfer.Attempt != running.attempt || transfer.Node != running.node {
			t.Errorf("running task not taken over, or handed over with another node or attempt: %+v", transfer)
		}
	}
	h.takeEffects()
	h.advance(50)
	receiver.advance(50)
	checkTransferred(t, h, receiver, running, inFlight)
	if receiver.engine.TransferIn(receiver.now, Transfer{Running: true, Node: 77}) {
		t.Error("task at an unknown node: taken over, want it refused")
	}
	if err := receiver.engine.Withdraw(receiver.now, RequestID{Client: 1, Number: 3}); err != nil {
		t.Error("withdrawal of a request that was handed over:", err)
	}
}

// transferAll hands over service 9 from an engine that has a waiting allocation, a running one and one with an attempt in flight.
func transferAll(t *testing.T, h *harness) (transfers []Transfer) {
	t.Helper()
	counts := h.engine.CountByService(nil, true, func(uint64, int) bool { return true })
	if len(counts) != 1 || counts[0].Waiting != 1 || counts[0].Running != 1 || counts[0].Unresolved != 1 || !counts[0].BelongsElsewhere {
		t.Fatalf("got counts %+v, want one waiting, one running and one unresolved allocation that belong elsewhere", counts)
	}
	h.engine.TransferOut(h.now, 9, true, func(transfer Transfer) { transfers = append(transfers, transfer) })
	if len(transfers) != 2 {
		t.Fatalf("got transfers %+v, want 2", transfers)
	}
	return transfers
}

// checkTransferred checks that the sending engine h has only the attempt in flight, and the receiver the other two allocations.
func checkTransferred(t *testing.T, h, receiver *harness, running, inFlight sentOffer) {
	t.Helper()
	if got := h.engine.Stats(); got.Open != 1 || got.Allocations != 1 || h.engine.IsIdle() {
		t.Errorf("the sending engine has %+v, want one open allocation", got)
	}
	if got := receiver.engine.Stats(); got.Open != 1 || got.Allocations != 2 {
		t.Errorf("the receiving engine has %+v, want one open and two in total", got)
	}
	if err := h.engine.OnOutcome(h.now, inFlight.node, Outcome{Attempt: inFlight.attempt, Result: logic.Rejected, Reason: logic.ReasonUnknown}); err != nil {
		t.Error(err)
	}
	if err := h.engine.OnOutcome(h.now, running.node, Outcome{Attempt: running.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown}); err == nil {
		t.Error("outcome of a task that was handed over: got no error from the sending engine")
	}
	if err := receiver.engine.OnOutcome(receiver.now, running.node, Outcome{Attempt: running.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown}); err != nil {
		t.Error(err)
	}
}

// TestNoticeBeforeSend has a node enter maintenance, start draining or leave the list between a decision and its offer, and between a
// request and the decision. Nothing may be sent to that node.
func TestNoticeBeforeSend(t *testing.T) {
	notices := map[string]func(h *harness, node uint32){
		"maintenance": func(h *harness, node uint32) { h.engine.SetMaintenance(h.now, []uint32{node}, true) },
		"draining": func(h *harness, node uint32) {
			h.engine.BeginList(h.now, logic.ListChanges)
			h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Draining, FreeCores: 16, FreeMemory: 32})
			h.engine.EndList()
		},
		"unavailable": func(h *harness, node uint32) {
			h.engine.BeginList(h.now, logic.ListChanges)
			h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Unavailable, FreeCores: 16, FreeMemory: 32})
			h.engine.EndList()
		},
	}
	for name, notice := range notices {
		for jobClass := range 4 {
			t.Run(fmt.Sprintf("%s, attempt waits for its connection/%d", name, jobClass), func(t *testing.T) {
				// After a notice in the list, the policy applies the drain grace period.
				testNoticeBeforeConnection(t, jobClass, notice, name == "maintenance")
			})
			t.Run(fmt.Sprintf("%s, request in the same round/%d", name, jobClass), func(t *testing.T) {
				testNoticeBeforeDecision(t, jobClass, notice)
			})
		}
	}
}

// testNoticeBeforeConnection calls notice for a node while an attempt waits for the connection to it. If connects is set, the node
// connects afterwards.
func testNoticeBeforeConnection(t *testing.T, jobClass int, notice func(h *harness, node uint32), connects bool) {
	t.Helper()
	h := newHarness(t, false)
	h.request(1, jobClass, 5000)
	var node uint32
	for i := range h.engine.nodes {
		if len(h.engine.nodes[i].allocations) > 0 {
			node = h.engine.nodes[i].id
		}
	}
	if node == 0 {
		t.Fatal("no attempt waits for a connection")
	}
	notice(h, node)
	if connects {
		h.connect(node, 1)
	}
	h.advance(50)
	if h.offers[node] > 0 {
		t.Error("an offer was sent to the node after the notice")
	}
}

// testNoticeBeforeDecision calls notice for a node between requests and the decision on them.
func testNoticeBeforeDecision(t *testing.T, jobClass int, notice func(h *harness, node uint32)) {
	t.Helper()
	h := newHarness(t, true)
	for number := range uint64(12) {
		h.allocate(newRequest(1, number+1, Task{JobClass: jobClass, Service: 9, Token: number + 1, Cores: 1, Memory: 2}, 5000))
	}
	notice(h, 2)
	h.advance(300)
	if h.offers[2] > 0 {
		t.Errorf("%d offers sent to node 2 after the notice, want 0", h.offers[2])
	}
	if h.offers[1]+h.offers[3]+h.offers[4] == 0 {
		t.Error("no offers were sent to the other nodes")
	}
}
