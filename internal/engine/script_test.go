package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// script is an engine on a virtual clock; its effects are lines, taken by look.
type script struct {
	t     *testing.T
	e     *Engine
	now   float64
	lines []string
	seen  map[uint32]int // offers by node
	last  struct {
		nd     uint32
		ticket uint64
		try    uint8
	}
}

func (s *script) say(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func (s *script) Dial(nd uint32, _ string) { s.say("dial %d", nd) }

func (s *script) Disconnect(nd uint32, why string) { s.say("hang %d", nd) }

func (s *script) WatchList(bool) {}

func (s *script) ReloadList() {}

func (s *script) Log(line string) { s.say("mode %s", line) }

func (s *script) Probe(nd uint32, seq uint64) {}

func (s *script) Offer(nd uint32, ticket uint64, try uint8, _ uint32, _ float64, _, _ int, _, _ uint64, _, _ float64) {
	s.last.nd, s.last.ticket, s.last.try = nd, ticket, try
	s.seen[nd]++
	s.say("offer %d.%d", uint32(ticket), try)
}

func (s *script) Recall(nd uint32, ticket uint64, try uint8) {
	s.say("recall %d.%d", uint32(ticket), try)
}

func (s *script) Stop(nd uint32, ticket uint64, try uint8) { s.say("stop %d.%d", uint32(ticket), try) }

func (s *script) Claim(nd uint32, ticket uint64, try uint8) {
	s.say("claim %d.%d", uint32(ticket), try)
}

func (s *script) Answer(owner uint32, ref uint64, answer Answer, _ uint32, why string, _ float64) {
	s.say("answer %d %s", ref, answer)
}

func (s *script) NotifyEnd(owner uint32, ref uint64, verdict logic.Outcome, _ logic.Reason) {
	s.say("over %d %d", ref, verdict)
}

func (s *script) PermitAttempt(int, uint64, uint32, uint32, uint64, uint8) bool { return true }

func (s *script) ExpireRequest(uint32, uint64) {}

func (s *script) SetClient(int, uint64, uint32, uint32, uint64) {}

func (s *script) RecordOutcome(int, uint64, uint32, bool) {}

func (s *script) ReleaseTask(int, uint64, uint64, uint32) {}

func (s *script) PermitAnswer(int, uint64, uint32, bool) bool { return true }

func (s *script) RecoverTask(int, uint64, int, uint64, float64, float64, uint32, uint64, uint8) (uint32, uint32, uint64, bool) {
	return 1, noClient, 0, true
}

// begin starts an engine with four nodes, two to a zone, all connected unless dark.
func begin(t *testing.T, dark bool) *script {
	s := &script{t: t, seen: map[uint32]int{}, now: 1000}
	cl := &logic.Cluster{
		Schedulers: 1, ListMaxSilence: 10000, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{16}, KindMemory: []float64{32}, CoresOvercommit: 2, MemoryOvercommit: 1.5, ListsReportLoad: true,
		ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 20, SlowStartDuration: 8000, SlowStartWindow: 2000,
		MeanCores: 1, MeanMemory: 2, JobClasses: []logic.JobClass{
			{Semantics: logic.Restartable, LatencyObjective: 700, PriorityWeight: 1, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 8000, LatencyObjective: 700, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll, IdempotencyWindow: 8000, LatencyObjective: 700, PriorityWeight: 2, NodeKind: -1},
			{Semantics: logic.AtMostOnce, LatencyObjective: 2000, PriorityWeight: 3, NodeKind: -1},
		},
	}
	s.e = New(s, s.now, Config{Cluster: cl, Shares: []float64{0.5, 0.5}, MaxOpen: 100, AnswerMargin: 100, SettleTime: 3000, Incarnation: 1, Seed: 5})
	s.e.BeginList(s.now, logic.ListCached)
	for i := range uint32(4) {
		s.e.AddListNode(i+1, "a", logic.Ready, 0, 16, 32, int(i/2), int(i/2), 0)
	}
	s.e.EndList()
	s.e.Round(s.now)
	for i := range uint32(4) {
		if !dark {
			s.link(i+1, 1)
		}
	}
	s.look()
	return s
}

func (s *script) link(nd uint32, life uint64) {
	s.e.OnConnected(s.now, nd, life, 0)
	s.e.OnHeldAll(s.now, nd)
}

// pass lets time pass in steps of 10 ms.
func (s *script) pass(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.now = min(end, s.now+10)
		s.e.Round(s.now)
	}
}

// ask asks and gives the module a round.
func (s *script) ask(ref uint64, job int, within float64) {
	if err := s.e.Allocate(s.now, 7, ref, job, 0, 99, 1000+ref, 1, 2, within, 1); err != nil {
		s.t.Fatal(err)
	}
	s.pass(10)
}

// look returns the effects since the last look but dials and modes.
func (s *script) look() string {
	var kept []string
	for _, l := range s.lines {
		if !strings.HasPrefix(l, "dial") && !strings.HasPrefix(l, "mode") {
			kept = append(kept, l)
		}
	}
	s.lines = nil
	return strings.Join(kept, ", ")
}

func (s *script) want(what, got, want string) {
	s.t.Helper()
	if got != want {
		s.t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func (s *script) settled(v logic.Outcome) error {
	return s.e.OnOutcome(s.now, s.last.nd, s.last.ticket, s.last.try, v, logic.ReasonUnknown, []float64{16, 32})
}

// broken breaks the connection of the last offer; left tells whether the offer may have got through.
func (s *script) broken(left bool) {
	if !left {
		s.e.OnUnsent(s.now, s.last.nd, s.last.ticket, s.last.try)
	}
	s.e.OnDisconnected(s.now, s.last.nd, "test")
}
