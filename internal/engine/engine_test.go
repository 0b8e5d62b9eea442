package engine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

func TestBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		sent bool
		back func(h *harness) // how the node comes back
		want [4]string        // by jobClass class: what follows within two seconds
	}{
		{"never left", false, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "offer 1.1"}},
		{"left, node stays away", true, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"}},
		{"left, node says it never saw it", true, func(h *harness) {
			h.connect(h.lastOffer.node, 1)
			h.engine.OnClaimOutcome(h.now, h.lastOffer.node, Outcome{Attempt: h.lastOffer.attempt, Result: logic.Rejected, Reason: logic.ReasonUnknown})
		}, [4]string{"claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1"}},
		{
			"left, node comes back in another life", true, func(h *harness) { h.connect(h.lastOffer.node, 2) },
			[4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"},
		},
		{"left, node holds it and it runs", true, func(h *harness) {
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
				h.expect("offer", h.takeEffects(), "offer 1.0")
				first := h.lastOffer.node
				h.breakConnection(c.sent)
				h.advance(50)
				if c.back != nil {
					c.back(h)
				}
				h.advance(1900)
				got := h.takeEffects()
				if i := strings.Index(got, ", recall"); i >= 0 {
					got = got[:i] // what comes after the first effect does not matter here
				}
				h.expect("then", got, want)
				if jobClass == idempotentInZone && c.sent && strings.Contains(got, "offer 1.1") && c.back == nil &&
					(first-1)/2 != (h.lastOffer.node-1)/2 {
					t.Errorf("second try at node %d left the zone of node %d", h.lastOffer.node, first)
				}
			})
		}
	}
}

func TestLateStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobClass int
		wait     float64 // after which the start of the first attempt is reported
		want     string
	}{
		{"restartable, another try out", restartable, 2500, "recall 1.1"},
		{"tokened, after the answer: kept for the next ask", idempotentInZone, 6000, "answer 2 served"},
		{"run-once, after the answer: kept for the next ask", atMostOnce, 6000, "answer 2 served"},
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
			h.expect("then", h.takeEffects(), c.want)
			if c.want == "recall 1.1" { // handed back: the late start serves
				if err := h.reportEnd(logic.Rejected); err != nil {
					t.Fatal(err)
				}
				h.expect("then", h.takeEffects(), "answer 1 served")
			}
		})
	}
	t.Run("kept, but nobody asks", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 5000)
		h.advance(6000)
		h.takeEffects()
		if err := h.reportStart(6000); err != nil {
			t.Fatal(err)
		}
		h.advance(9000)
		h.expect("then", h.takeEffects(), "stop 1.0")
	})
}

func TestAnswers(t *testing.T) {
	t.Run("start that crosses the expiry", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 2000)
		h.takeEffects()
		h.now += 2500 // a pause beyond the deadline: the client has given up, nothing more is sent to it
		if err := h.reportStart(10); err != nil {
			t.Fatal(err)
		}
		h.advance(500)
		h.expect("after", h.takeEffects(), "")
	})
	t.Run("each once, before the expiry", func(t *testing.T) {
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
				t.Errorf("ask %d declined %d times in %q", number+1, n, got)
			}
		}
		if len(h.engine.byID) != 0 || h.engine.admission.Open() != 0 || len(h.engine.byKey) != 0 || len(h.engine.requests) != 0 {
			t.Errorf("left over: %+v", h.engine.Stats())
		}
	})
	t.Run("over the limit", func(t *testing.T) {
		h := newHarness(t, false)
		for number := range uint64(140) {
			_ = h.engine.Allocate(h.now, newRequest(7, number+1, Task{JobClass: restartable, Tenant: int(number % 2), Service: 99, Token: 1000 + number, Cores: 1, Memory: 2}, 5000))
		}
		if got := strings.Count(h.takeEffects(), "declined"); got != 40 {
			t.Errorf("%d declined at once, want 40", got)
		}
	})
	t.Run("too large for any machine", func(t *testing.T) {
		h := newHarness(t, true)
		_ = h.engine.Allocate(h.now, newRequest(7, 1, Task{JobClass: restartable, Service: 99, Token: 1, Cores: 33, Memory: 2}, 5000))
		h.expect("answer", h.takeEffects(), "answer 1 declined")
	})
	t.Run("the same key twice", func(t *testing.T) {
		h := newHarness(t, true)
		h.request(1, atMostOnce, 5000)
		h.takeEffects()
		_ = h.engine.Allocate(h.now, newRequest(8, 9, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
		h.expect("while open", h.takeEffects(), "answer 9 declined")
		_ = h.reportStart(10)
		h.expect("its start", h.takeEffects(), "answer 1 served")
		_ = h.engine.Allocate(h.now, newRequest(8, 10, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
		h.expect("while it runs", h.takeEffects(), "answer 10 served")
	})
}

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
			h.expect("out", h.takeEffects(), want)
			if err := h.reportEnd(logic.Rejected); err != nil {
				t.Fatal(err)
			}
			h.advance(100)
			h.expect("after", h.takeEffects(), "")
			if err := h.engine.Withdraw(h.now, RequestID{Client: 7, Number: 1}); err == nil {
				t.Error("withdrawn twice")
			}
		})
	}
}

// isUnknownAttempt tells whether an error is about an attempt that is not known.
func isUnknownAttempt(err error) bool {
	var unknown *UnknownAttemptError
	return errors.As(err, &unknown)
}

func TestPeerFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		do      func(h *harness) error
		matches func(err error) bool
	}{
		{"unknown try", func(h *harness) error {
			return h.engine.OnStarted(h.now, h.lastOffer.node, AttemptID{Ticket: h.lastOffer.attempt.Ticket, Number: 9}, 1)
		}, isUnknownAttempt},
		{"another node's try", func(h *harness) error {
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
		{"refused after its start", func(h *harness) error {
			_ = h.reportStart(1)
			return h.reportEnd(logic.Rejected)
		}, func(err error) bool { return errors.Is(err, ErrRefusedAfterStart) }},
		{"report never asked for", func(h *harness) error { return h.engine.OnProbeReport(h.now, 1, 1<<40, nil) }, func(err error) bool { return err != nil }},
		{"held, of an unknown jobClass type", func(h *harness) error {
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
			if err := c.do(h); !c.matches(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestRestart(t *testing.T) {
	h := newHarness(t, false)
	h.engine.OnConnected(h.now, 2, 1, 0)
	for i, running := range []bool{true, false} { // of an earlier incarnation of this scheduler
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
	h.expect("what waits is recalled", h.takeEffects(), "recall 78.1")
	_ = h.engine.Allocate(h.now, newRequest(7, 1, Task{JobClass: atMostOnce, Service: 99, Token: 1001, Cores: 1, Memory: 2}, 5000))
	h.expect("what runs is found", h.takeEffects(), "answer 1 served")
	if err := h.engine.OnOutcome(h.now, 2, Outcome{Attempt: AttemptID{Ticket: 77, Number: 1}, Result: logic.Completed, Reason: logic.ReasonUnknown}); err != nil {
		t.Fatal(err)
	}
	h.expect("its end", h.takeEffects(), fmt.Sprintf("over 1 %d", logic.Completed))
}

// TestPause has the process stand still while an attempt is in flight.
func TestPause(t *testing.T) {
	h := newHarness(t, true)
	h.request(1, restartable, 8000)
	h.takeEffects()
	h.now += 3000
	h.engine.Round(h.now) // the attempt has timed out, but messages that came in meanwhile are taken first
	h.expect("at once", h.takeEffects(), "")
	if err := h.reportStart(30); err != nil {
		t.Fatal(err)
	}
	h.advance(200)
	h.expect("after", h.takeEffects(), "answer 1 served")
}

// TestTransfer hands allocations in each phase over to a second engine: what is in flight stays, what waits or runs goes, and
// the second one answers for it.
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
	h.allocate(newRequest(1, 3, Task{JobClass: restartable, Service: 9, Token: 3, Cores: 1, Memory: 2}, 3000)) // it waits for a round
	transfers := transferAll(t, h)
	for _, x := range transfers {
		if !x.Running {
			receiver.allocate(Request{ID: x.Request, Task: x.Task, TimeLeft: x.Deadline - receiver.now, Epoch: 2})
		} else if !receiver.engine.TransferIn(receiver.now, x) || x.Attempt != running.attempt || x.Node != running.node {
			t.Errorf("not taken: %+v", x)
		}
	}
	h.takeEffects()
	h.advance(50)
	receiver.advance(50)
	checkTransferred(t, h, receiver, running, inFlight)
	if receiver.engine.TransferIn(receiver.now, Transfer{Running: true, Node: 77}) {
		t.Error("taken at a node that is not known")
	}
	if err := receiver.engine.Withdraw(receiver.now, RequestID{Client: 1, Number: 3}); err != nil {
		t.Error("the receiver does not know whose it is:", err)
	}
}

// transferAll takes what can be handed over of service 9 out of an engine that holds a waiting, a running and an in-flight allocation.
func transferAll(t *testing.T, h *harness) (transfers []Transfer) {
	t.Helper()
	counts := h.engine.CountByService(nil, true, func(uint64, int) bool { return true })
	if len(counts) != 1 || counts[0].Waiting != 1 || counts[0].Running != 1 || counts[0].Unresolved != 1 || !counts[0].BelongsElsewhere {
		t.Fatalf("%+v", counts)
	}
	h.engine.TransferOut(h.now, 9, true, func(transfer Transfer) { transfers = append(transfers, transfer) })
	if len(transfers) != 2 {
		t.Fatalf("%+v", transfers)
	}
	return transfers
}

// checkTransferred checks that the giver holds the attempt in flight alone, and the receiver the other two allocations.
func checkTransferred(t *testing.T, h, receiver *harness, running, inFlight sentOffer) {
	t.Helper()
	if got := h.engine.Stats(); got.Open != 1 || got.Held != 1 || h.engine.IsIdle() {
		t.Errorf("the giver holds %+v", got)
	}
	if got := receiver.engine.Stats(); got.Open != 1 || got.Held != 2 {
		t.Errorf("the receiver holds %+v", got)
	}
	if err := h.engine.OnOutcome(h.now, inFlight.node, Outcome{Attempt: inFlight.attempt, Result: logic.Rejected, Reason: logic.ReasonUnknown}); err != nil {
		t.Error(err)
	}
	if err := h.engine.OnOutcome(h.now, running.node, Outcome{Attempt: running.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown}); err == nil {
		t.Error("the giver still knows what it gave")
	}
	if err := receiver.engine.OnOutcome(receiver.now, running.node, Outcome{Attempt: running.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown}); err != nil {
		t.Error(err)
	}
}

// TestNoticeBeforeSend has a notice of maintenance or of a drain arrive between a decision and its send, and between a request
// and its decision: nothing is sent to that node.
func TestNoticeBeforeSend(t *testing.T) {
	notices := map[string]func(h *harness, node uint32){
		"calendar": func(h *harness, node uint32) { h.engine.SetMaintenance(h.now, []uint32{node}, true) },
		"list": func(h *harness, node uint32) {
			h.engine.BeginList(h.now, logic.ListChanges)
			h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Draining, FreeCores: 16, FreeMemory: 32})
			h.engine.EndList()
		},
		"list, gone": func(h *harness, node uint32) {
			h.engine.BeginList(h.now, logic.ListChanges)
			h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Unavailable, FreeCores: 16, FreeMemory: 32})
			h.engine.EndList()
		},
	}
	for name, notice := range notices {
		for jobClass := range 4 {
			t.Run(fmt.Sprintf("%s, a try waits for its connection/%d", name, jobClass), func(t *testing.T) {
				// After a notice of the list the policy goes by the drain grace.
				testNoticeBeforeConnection(t, jobClass, notice, name == "calendar")
			})
			t.Run(fmt.Sprintf("%s, an ask in the same round/%d", name, jobClass), func(t *testing.T) {
				testNoticeBeforeDecision(t, jobClass, notice)
			})
		}
	}
}

// testNoticeBeforeConnection gives notice of a node while an attempt waits for its connection. If connects is set, the node
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
		t.Fatal("no try waits")
	}
	notice(h, node)
	if connects {
		h.connect(node, 1)
	}
	h.advance(50)
	if h.offers[node] > 0 {
		t.Error("sent after the notice")
	}
}

// testNoticeBeforeDecision gives notice of a node between requests and the decision on them.
func testNoticeBeforeDecision(t *testing.T, jobClass int, notice func(h *harness, node uint32)) {
	t.Helper()
	h := newHarness(t, true)
	for number := range uint64(12) {
		h.allocate(newRequest(1, number+1, Task{JobClass: jobClass, Service: 9, Token: number + 1, Cores: 1, Memory: 2}, 5000))
	}
	notice(h, 2)
	h.advance(300)
	if h.offers[2] > 0 {
		t.Errorf("%d sent after the notice", h.offers[2])
	}
	if h.offers[1]+h.offers[3]+h.offers[4] == 0 {
		t.Error("nothing was sent at all")
	}
}
