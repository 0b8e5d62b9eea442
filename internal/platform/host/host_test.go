package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// harness runs a host on a virtual clock and records its effects as lines of text.
type harness struct {
	t           *testing.T
	host        *Host
	now         float64
	effectLines []string
	lastAttempt struct {
		number uint8
		node   uint32
		until  float64
	}
	probe uint32
}

func (s *harness) record(format string, args ...any) {
	s.effectLines = append(s.effectLines, fmt.Sprintf(format, args...))
}

func (s *harness) RequestPlacement(id uint32, attempt uint8, node uint32, left float64) {
	s.lastAttempt.number, s.lastAttempt.node, s.lastAttempt.until = attempt, node, s.now+left
	s.record("offer %d.%d", id, attempt)
}

func (s *harness) CancelAttempt(id uint32, attempt uint8, _ uint32) {
	s.record("cancel %d.%d", id, attempt)
}
func (s *harness) MayHaveReachedOtherNode(uint32) bool  { return false }
func (s *harness) StopTask(id, _ uint32)                { s.record("stop %d", id) }
func (s *harness) NotifyMigration(id uint32)            { s.record("migrate %d", id) }
func (s *harness) NotifyEnd(id uint32, v logic.Outcome) { s.record("end %d %d", id, v) }
func (s *harness) Forget(id uint32, _ bool)             { s.record("forget %d", id) }
func (s *harness) Probe(_, seq uint32)                  { s.probe = seq }
func (s *harness) PollNodeList()                        {}
func (s *harness) LogLine(string)                       {}
func (s *harness) AnswerRequest(id uint32, shed bool) {
	s.record("answer %d %s", id, map[bool]string{true: "shed", false: "failed"}[shed])
}

// Indexes of the job classes of a harness.
const (
	restartable = iota
	idempotent
	atMostOnce
)

// newHarness starts a host with a number of nodes, which alternate between two zones.
func newHarness(t *testing.T, nodes int) *harness {
	t.Helper()
	s := &harness{t: t, now: 1e6}
	cl := &logic.Cluster{
		Schedulers: 1, MinRoundInterval: 2, MaxAttempts: 4, CanCancel: true, CanProbe: true, KindCores: []float64{32},
		KindMemory: []float64{64}, CoresOvercommit: 2, MemoryOvercommit: 1.5, ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 20,
		SlowStartDuration: 9000, SlowStartWindow: 2000, MeanCores: 1, MeanMemory: 2,
	}
	for _, e := range []logic.RetrySemantics{logic.Restartable, logic.Idempotent, logic.AtMostOnce} {
		cl.JobClasses = append(cl.JobClasses, logic.JobClass{
			Semantics: e, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 8000, LatencyObjective: 700, PriorityWeight: 1,
			NodeKind: -1, MaxPerScope: 1,
		})
	}
	cl.JobClasses[idempotent].Spread = logic.PerNode
	s.host = New(s, s.now, 5, cl)
	s.host.ListBegin(s.now, logic.ListCached)
	for i := range nodes {
		s.host.ListNode(logic.ListEntry{
			Node: uint32(100 + i), Availability: logic.Ready, FreeCores: 32, FreeMemory: 64, Zone: i % 2, Cell: i,
		})
	}
	s.host.ListEnd()
	s.advance(20)
	return s
}

// advance moves the clock forward and runs each round that becomes due.
func (s *harness) advance(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.now = min(end, max(s.now+0.1, s.host.NextRound()))
		s.host.Round(s.now)
	}
}

func (s *harness) takeEffects() string {
	got := strings.Join(s.effectLines, ", ")
	s.effectLines = nil
	return got
}

func (s *harness) expectEffects(what, want string) {
	s.t.Helper()
	if got := s.takeEffects(); got != want {
		s.t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func (s *harness) request(class int) uint32 {
	return s.host.Allocate(s.now, logic.Request{Class: class, Deadline: s.now + 2500, Service: 9, Cores: 1, Memory: 2})
}

func (s *harness) complete(id uint32, v logic.Outcome, why logic.Reason) {
	s.now += 5
	s.host.OnOutcome(s.now, id, s.lastAttempt.number, v, why, nil)
	s.advance(20)
}

// TestOutcomes ends the first attempt of each job class with each outcome, and checks whether another attempt or an answer follows.
func TestOutcomes(t *testing.T) {
	const again, failed = "offer 1.1", "answer 1 failed, forget 1"
	for _, c := range []struct {
		verdict logic.Outcome
		nodes   int
		want    [3]string // by job class
	}{
		{logic.Rejected, 4, [3]string{again, again, again}},
		{logic.Unreachable, 4, [3]string{again, again, again}},
		{logic.NotSent, 4, [3]string{again, again, again}},
		{logic.ConnectionLost, 4, [3]string{again, again, failed}},
		{logic.Errored, 4, [3]string{again, again, failed}},
		{logic.TimedOut, 4, [3]string{again, again, failed}},
	} {
		for class, want := range c.want {
			t.Run(fmt.Sprint(c.verdict, ", class ", class), func(t *testing.T) {
				s := newHarness(t, c.nodes)
				id := s.request(class)
				s.advance(10)
				s.expectEffects("first attempt", "offer 1.0")
				s.complete(id, c.verdict, logic.InsufficientCores)
				s.expectEffects("after its outcome", want)
			})
		}
	}
}

// TestDeadlineAnswer checks that at its deadline a request is shed if its task provably never ran or may safely run again, and else failed.
func TestDeadlineAnswer(t *testing.T) {
	for _, c := range []struct {
		verdict logic.Outcome
		class   int
		want    string
	}{{logic.Unreachable, atMostOnce, "shed"}, {logic.ConnectionLost, idempotent, "failed"}, {logic.ConnectionLost, restartable, "shed"}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := newHarness(t, 1)
			id := s.request(c.class)
			s.advance(10)
			s.takeEffects()
			s.complete(id, c.verdict, logic.ReasonUnknown)
			s.advance(2600)
			if got := s.takeEffects(); !strings.Contains(got, "answer 1 "+c.want) || strings.Count(got, "answer") != 1 ||
				!strings.HasSuffix(got, "forget 1") {
				t.Errorf("effects %q, want one answer: %s", got, c.want)
			}
		})
	}
}

// TestStaleOutcomes checks that reports that come twice, late, or for another attempt are ignored.
func TestStaleOutcomes(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.expectEffects("first attempt", "offer 1.0")
	s.complete(id, logic.Errored, logic.ReasonUnknown)
	s.expectEffects("second attempt", "offer 1.1")
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("a start of the first attempt was accepted after its outcome")
	}
	s.host.OnOutcome(s.now, id, 0, logic.Rejected, logic.ReasonUnknown, nil)
	s.advance(20)
	s.expectEffects("second outcome of the first attempt", "")
	if !s.host.OnStarted(s.now, id, 1) || s.host.OnStarted(s.now, id, 1) {
		t.Error("the start of the second attempt was not accepted exactly once")
	}
	s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	s.host.OnTaskLost(s.now, id)
	s.advance(3000)
	s.expectEffects("end of the task, reported three times", "end 1 0, forget 1")
	if s.host.OpenRequests() != 0 || s.host.RunningTasks() != 0 {
		t.Errorf("%d open requests and %d running tasks, want none", s.host.OpenRequests(), s.host.RunningTasks())
	}
}

// TestLateStart checks that an attempt that times out is cancelled, and that its start is not accepted after that.
func TestLateStart(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.advance(1700)
	if got := s.takeEffects(); !strings.HasPrefix(got, "cancel 1.0, offer 1.1") {
		t.Errorf("after the time-out: effects %q, want the attempt cancelled and a second one offered", got)
	}
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("a start was accepted after the time-out")
	}
	s.advance(3000)
	if got := s.takeEffects(); strings.Count(got, "answer") != 1 || !strings.HasSuffix(got, "forget 1") {
		t.Errorf("after the deadline: effects %q, want one answer and the allocation dropped", got)
	}
}

// TestDeadlineCancels checks that an at-most-once request is answered before its deadline, that its attempt is cancelled, and that a later start
// is not accepted.
func TestDeadlineCancels(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(atMostOnce)
	s.advance(2480)
	s.expectEffects("first attempt", "offer 1.0")
	s.advance(19)
	s.expectEffects("just before the deadline", "cancel 1.0, answer 1 failed, forget 1")
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("a start was accepted after the answer")
	}
}

// TestWithdrawn has clients withdraw allocations that wait for a node, have an attempt in flight, or run.
func TestWithdrawn(t *testing.T) {
	t.Run("waiting", func(t *testing.T) {
		s := newHarness(t, 0)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnWithdrawn(s.now, id)
		s.advance(3000)
		s.expectEffects("no answer", "forget 1")
	})
	t.Run("attempt in flight", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnWithdrawn(s.now, id)
		s.host.OnWithdrawn(s.now, id)
		s.advance(3000)
		s.expectEffects("attempt is cancelled", "offer 1.0, cancel 1.0, forget 1")
	})
	t.Run("running", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.host.OnWithdrawn(s.now, id)
		s.advance(500)
		s.expectEffects("node is asked to stop the task", "offer 1.0, stop 1")
		s.advance(1000)
		s.expectEffects("node has not confirmed within 1 s; no notification", "forget 1")
	})
	t.Run("running, and the node confirms the stop", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.host.OnWithdrawn(s.now, id)
		s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		s.advance(3000)
		s.expectEffects("task is stopped once", "offer 1.0, stop 1, forget 1")
	})
}

// TestMigrate has a client stop its running task to request it again. The scheduler sends a stop too only if the node does not confirm that the
// task has ended.
func TestMigrate(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(s *harness, id uint32)
		want   string
	}{
		{"the node confirms the stop", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "migrate 1, forget 1"},
		{"the task has completed meanwhile", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, nil)
		}, "migrate 1, forget 1"},
		{"the node does not confirm", func(*harness, uint32) {}, "migrate 1, stop 1, forget 1"},
		{"migrated twice", func(s *harness, id uint32) {
			moduleEffects{s.host}.Migrate(id)
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "migrate 1, forget 1"},
		{"the client withdraws it too", func(s *harness, id uint32) {
			s.host.OnWithdrawn(s.now, id)
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "migrate 1, forget 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, 4)
			id := s.request(restartable)
			s.advance(10)
			moduleEffects{s.host}.Migrate(id)
			s.expectEffects("no migration before the task runs", "offer 1.0")
			s.host.OnStarted(s.now, id, 0)
			s.advance(10)
			moduleEffects{s.host}.Migrate(id)
			c.events(s, id)
			s.advance(3000)
			s.expectEffects("migration", c.want)
		})
	}
}

// TestRecoverTask takes over a running task: the client gets no answer, only a notification of the end.
func TestRecoverTask(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *harness, id uint32)
		want string
	}{
		{"the task completes", func(s *harness, id uint32) { s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, nil) }, "end 1 0, forget 1"},
		{"the node is lost", func(s *harness, id uint32) { s.host.OnTaskLost(s.now, id) }, "end 1 5, forget 1"},
		{"a start of the running task is ignored", func(s *harness, id uint32) { s.host.OnStarted(s.now, id, 0) }, ""},
		{"an outcome of another attempt is ignored", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, 2)
			id := s.host.RecoverTask(s.now, logic.Recovered{
				Request: logic.Request{Class: atMostOnce, Service: 9, Cores: 1, Memory: 2}, Node: 100,
			})
			s.advance(3000)
			s.expectEffects("while the task runs", "")
			c.end(s, id)
			s.advance(3000)
			s.expectEffects("after the event", c.want)
		})
	}
}

// TestClose checks that Close answers all open requests as failed and leaves running tasks alone.
func TestClose(t *testing.T) {
	s := newHarness(t, 4)
	a := s.request(restartable)
	s.advance(10)
	s.host.OnStarted(s.now, a, 0)
	b := s.request(atMostOnce)
	s.advance(10)
	s.takeEffects()
	s.host.Close(s.now)
	s.advance(50)
	s.expectEffects("close", fmt.Sprintf("answer %d failed, cancel %d.0, forget %d", b, b, b))
	if s.host.RunningTasks() != 1 {
		t.Error("the running task was ended by Close")
	}
}

// TestMaxAttempts checks that no more than the configured number of attempts are made.
func TestMaxAttempts(t *testing.T) {
	s := newHarness(t, 8)
	id := s.request(restartable)
	for range 6 {
		s.advance(20)
		s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.Errored, logic.ReasonUnknown, nil)
	}
	s.advance(20)
	s.expectEffects("four attempts", "offer 1.0, offer 1.1, offer 1.2, offer 1.3, answer 1 shed, forget 1")
}

// TestEstimateError checks the mean absolute error of the module's estimates against the load reports, for errors in either direction, and that
// each report counts once.
func TestEstimateError(t *testing.T) {
	s := newHarness(t, 1)
	for _, free := range []float64{20, 17, 24} {
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.advance(1000)
		s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, []float64{free, 50})
		s.advance(1000)
	}
	if got, want := s.host.TakeEstimateError(), (EstimateError{Reports: 2, Cores: 5}); got != want {
		t.Errorf("error %+v, want %+v", got, want)
	}
	if got, want := s.host.TakeEstimateError(), (EstimateError{}); got != want {
		t.Errorf("second read: error %+v, want %+v", got, want)
	}
	if b, ok := s.host.NodeEstimate(100); !ok || b.Cores != 25 { // the last report was taken before the end of the task that it came with
		t.Errorf("estimate %+v, want a known node with 25 free cores", b)
	}
}
