package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// Job classes of the harness, as indices into Cluster.JobClasses.
const (
	restartable = iota
	idempotentInZone
	idempotentEverywhere
	atMostOnce
)

const harnessNodes = 4

// harness runs an engine on a virtual clock and records its effects as lines of text.
type harness struct {
	t         *testing.T
	engine    *Engine
	now       float64
	lines     []string
	offers    map[uint32]int // number of offers by node
	lastOffer sentOffer
}

// sentOffer is an attempt and the node that its offer was sent to.
type sentOffer struct {
	node    uint32
	attempt AttemptID
}

func (h *harness) record(format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf(format, args...))
}

// attemptLabel returns the text for an attempt in a recorded line: the allocation's number and the attempt's number.
func attemptLabel(id AttemptID) string { return fmt.Sprintf("%d.%d", uint32(id.Ticket), id.Number) }

func (h *harness) Dial(node uint32, _ string) { h.record("dial %d", node) }

func (h *harness) Disconnect(node uint32, _ string) { h.record("disconnect %d", node) }

func (h *harness) WatchList(bool) {}

func (h *harness) ReloadList() {}

func (h *harness) Log(line string) { h.record("log %s", line) }

func (h *harness) Probe(uint32, uint64) {}

func (h *harness) Offer(node uint32, offer Offer) {
	h.lastOffer = sentOffer{node, offer.Attempt}
	h.offers[node]++
	h.record("offer %s", attemptLabel(offer.Attempt))
}

func (h *harness) Recall(_ uint32, id AttemptID) { h.record("recall %s", attemptLabel(id)) }

func (h *harness) Stop(_ uint32, id AttemptID) { h.record("stop %s", attemptLabel(id)) }

func (h *harness) Claim(_ uint32, id AttemptID) { h.record("claim %s", attemptLabel(id)) }

func (h *harness) Answer(request RequestID, answer Answer) {
	h.record("answer %d %s", request.Number, answer.Kind)
}

func (h *harness) NotifyEnd(request RequestID, result logic.Outcome, _ logic.Reason) {
	h.record("end %d %d", request.Number, result)
}

func (h *harness) PermitAttempt(OwnedTask, uint32, AttemptID) bool { return true }

func (h *harness) ExpireRequest(RequestID) {}

func (h *harness) SetClient(OwnedTask, RequestID) {}

func (h *harness) RecordOutcome(OwnedTask, bool) {}

func (h *harness) ReleaseTask(OwnedTask, uint64) {}

func (h *harness) PermitAnswer(OwnedTask, bool) bool { return true }

func (h *harness) RecoverTask(RunningTask) (RecoveredTask, bool) {
	return RecoveredTask{Epoch: 1}, true
}

// newHarness starts an engine with four ready nodes, two in each zone. If connected is set, all nodes are connected and hold nothing.
func newHarness(t *testing.T, connected bool) *harness {
	t.Helper()
	return newHarnessAt(t, 1000, connected)
}

// newHarnessAt does the same at a time in ms.
func newHarnessAt(t *testing.T, start float64, connected bool) *harness {
	t.Helper()
	h := &harness{t: t, offers: map[uint32]int{}, now: start}
	cluster := &logic.Cluster{
		Schedulers: 1, ListMaxSilence: 10000, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{16}, KindMemory: []float64{32}, CoresOvercommit: 2, MemoryOvercommit: 1.5, ListsReportLoad: true,
		ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true,
		SlowStartLimit: 20, SlowStartDuration: 8000, SlowStartWindow: 2000, MeanCores: 1, MeanMemory: 2,
		JobClasses: []logic.JobClass{
			{Semantics: logic.Restartable, LatencyObjective: 700, PriorityWeight: 1, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 8000, LatencyObjective: 700, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 8000, LatencyObjective: 700, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.AtMostOnce, LatencyObjective: 2000, PriorityWeight: 3, NodeKind: -1},
		},
	}
	h.engine = New(h, h.now, Config{
		Cluster: cluster, Shares: []float64{0.5, 0.5}, MaxOpen: 100, AnswerMargin: 100, SettleTime: 3000,
		Incarnation: 1, Seed: 5,
	})
	h.engine.BeginList(h.now, logic.ListCached)
	for i := range uint32(harnessNodes) {
		h.engine.AddListEntry(ListEntry{
			Node: i + 1, Address: "a", Availability: logic.Ready, FreeCores: 16, FreeMemory: 32,
			Zone: int(i / 2), Cell: int(i / 2),
		})
	}
	h.engine.EndList()
	h.engine.Round(h.now)
	for i := range uint32(harnessNodes) {
		if connected {
			h.connect(i+1, 1)
		}
	}
	h.takeEffects()
	return h
}

// connect reports that a node has connected and holds no tasks.
func (h *harness) connect(node uint32, incarnation uint64) {
	h.engine.OnConnected(h.now, node, incarnation, 0)
	h.engine.OnHeldAll(h.now, node)
}

// advance advances the time in steps of 10 ms and runs a round after each.
func (h *harness) advance(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.now = min(end, h.now+10)
		h.engine.Round(h.now)
	}
}

// newRequest returns a request with epoch 1.
func newRequest(client uint32, number uint64, task Task, timeLeft float64) Request {
	return Request{ID: RequestID{Client: client, Number: number}, Task: task, TimeLeft: timeLeft, Epoch: 1}
}

// request reports a request for a task with the token 1000 + number, and lets the policy decide.
func (h *harness) request(number uint64, jobClass int, timeLeft float64) {
	h.t.Helper()
	h.allocate(newRequest(7, number, Task{JobClass: jobClass, Service: 99, Token: 1000 + number, Cores: 1, Memory: 2}, timeLeft))
	h.advance(10)
}

// allocate reports a request and fails the test if it violates the protocol.
func (h *harness) allocate(r Request) {
	h.t.Helper()
	if err := h.engine.Allocate(h.now, r); err != nil {
		h.t.Fatal(err)
	}
}

// takeEffects returns the effects since the last call, without dials and log lines.
func (h *harness) takeEffects() string {
	var effects []string
	for _, line := range h.lines {
		if !strings.HasPrefix(line, "dial") && !strings.HasPrefix(line, "log") {
			effects = append(effects, line)
		}
	}
	h.lines = nil
	return strings.Join(effects, ", ")
}

func (h *harness) expect(what, got, want string) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// reportStart reports that the task of the last offer has started.
func (h *harness) reportStart(startDuration float64) error {
	return h.engine.OnStarted(h.now, h.lastOffer.node, h.lastOffer.attempt, startDuration)
}

// reportEnd reports that the attempt of the last offer has ended.
func (h *harness) reportEnd(result logic.Outcome) error {
	return h.engine.OnOutcome(h.now, h.lastOffer.node, Outcome{
		Attempt: h.lastOffer.attempt, Result: result, Reason: logic.ReasonUnknown, Report: []float64{16, 32},
	})
}

// breakConnection ends the connection to the node of the last offer. If mayHaveBeenSent is not set, the offer provably was not sent.
func (h *harness) breakConnection(mayHaveBeenSent bool) {
	if !mayHaveBeenSent {
		h.engine.OnUnsent(h.now, h.lastOffer.attempt)
	}
	h.engine.OnDisconnected(h.now, h.lastOffer.node)
}
