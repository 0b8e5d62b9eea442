package host

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// harness is a host on a virtual clock that records its effects as lines.
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
	s.record("give up %d.%d", id, attempt)
}
func (s *harness) StopTask(id, _ uint32)                { s.record("cut %d", id) }
func (s *harness) NotifyMove(id uint32)                 { s.record("move %d", id) }
func (s *harness) NotifyEnd(id uint32, v logic.Outcome) { s.record("over %d %d", id, v) }
func (s *harness) Forget(id uint32)                     { s.record("forget %d", id) }
func (s *harness) Probe(_, seq uint32)                  { s.probe = seq }
func (s *harness) PollEndpoints()                       {}
func (s *harness) LogLine(string)                       {}
func (s *harness) AnswerRequest(id uint32, declined bool) {
	s.record("answer %d %s", id, map[bool]string{true: "declined", false: "failed"}[declined])
}

// Job classes of the script, by their indexes.
const (
	restartable = iota
	idempotent
	atMostOnce
)

// newHarness starts a host with some nodes, alternately in two zones.
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

// advance lets time go by, with a round each time one is due.
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

func (s *harness) request(job int) uint32 {
	return s.host.Allocate(s.now, logic.Request{Class: job, Deadline: s.now + 2500, Service: 9, Cores: 1, Memory: 2})
}

func (s *harness) complete(id uint32, v logic.Outcome, why logic.Reason) {
	s.now += 5
	s.host.OnOutcome(s.now, id, s.lastAttempt.number, v, why, nil)
	s.advance(20)
}

// TestOutcomes gives each outcome to a first attempt of each job class, and checks what becomes of the allocation: another attempt, or an answer.
func TestOutcomes(t *testing.T) {
	const again, failed = "offer 1.1", "answer 1 failed, forget 1"
	for _, c := range []struct {
		verdict logic.Outcome
		nodes   int
		want    [3]string // by job type
	}{
		{logic.Rejected, 4, [3]string{again, again, again}},
		{logic.Unreachable, 4, [3]string{again, again, again}},
		{logic.NotSent, 4, [3]string{again, again, again}},
		{logic.ConnectionLost, 4, [3]string{again, again, failed}},
		{logic.Errored, 4, [3]string{again, again, failed}},
		{logic.TimedOut, 4, [3]string{again, again, failed}},
	} {
		for job, want := range c.want {
			t.Run(fmt.Sprint(c.verdict, " ", job), func(t *testing.T) {
				s := newHarness(t, c.nodes)
				id := s.request(job)
				s.advance(10)
				s.expectEffects("first", "offer 1.0")
				s.complete(id, c.verdict, logic.InsufficientCores)
				s.expectEffects("then", want)
			})
		}
	}
}

// TestDeadlineAnswer checks that at its deadline a request is shed if it provably never ran, and else failed.
func TestDeadlineAnswer(t *testing.T) {
	for _, c := range []struct {
		verdict logic.Outcome
		job     int
		want    string
	}{{logic.Unreachable, atMostOnce, "declined"}, {logic.ConnectionLost, idempotent, "failed"}, {logic.ConnectionLost, restartable, "declined"}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := newHarness(t, 1)
			id := s.request(c.job)
			s.advance(10)
			s.takeEffects()
			s.complete(id, c.verdict, logic.ReasonUnknown)
			s.advance(2600)
			if got := s.takeEffects(); !strings.Contains(got, "answer 1 "+c.want) || strings.Count(got, "answer") != 1 ||
				!strings.HasSuffix(got, "forget 1") {
				t.Errorf("%q, want one answer: %s", got, c.want)
			}
		})
	}
}

// TestStaleOutcomes checks that nothing counts that is reported twice, late, or of another attempt.
func TestStaleOutcomes(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.expectEffects("first", "offer 1.0")
	s.complete(id, logic.Errored, logic.ReasonUnknown)
	s.expectEffects("second", "offer 1.1")
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("the first try started after its outcome")
	}
	s.host.OnOutcome(s.now, id, 0, logic.Rejected, logic.ReasonUnknown, nil)
	s.advance(20)
	s.expectEffects("an outcome told twice", "")
	if !s.host.OnStarted(s.now, id, 1) || s.host.OnStarted(s.now, id, 1) {
		t.Error("the second try starts, once")
	}
	s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
	s.host.OnTaskLost(s.now, id)
	s.advance(3000)
	s.expectEffects("its end", "over 1 0, forget 1")
	if s.host.OpenRequests() != 0 || s.host.RunningTasks() != 0 {
		t.Errorf("%d open, %d stand", s.host.OpenRequests(), s.host.RunningTasks())
	}
}

// TestLateStart has an attempt time out and start after that: it is cancelled, and the start does not count.
func TestLateStart(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(restartable)
	s.advance(10)
	s.takeEffects()
	s.advance(1700)
	if got := s.takeEffects(); !strings.HasPrefix(got, "give up 1.0, offer 1.1") {
		t.Errorf("%q", got)
	}
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("started after its time was up")
	}
	s.advance(3000)
	if got := s.takeEffects(); strings.Count(got, "answer") != 1 || !strings.HasSuffix(got, "forget 1") {
		t.Errorf("%q", got)
	}
}

// TestDeadlineCancels answers at-most-once work before its deadline, cancels its attempt and ignores the rest.
func TestDeadlineCancels(t *testing.T) {
	s := newHarness(t, 4)
	id := s.request(atMostOnce)
	s.advance(2480)
	s.expectEffects("first", "offer 1.0")
	s.advance(19)
	s.expectEffects("at its expiry", "give up 1.0, answer 1 failed, forget 1")
	if s.host.OnStarted(s.now, id, 0) {
		t.Error("started after its answer")
	}
}

// TestWithdrawn has clients withdraw requests that wait, are in flight, and run.
func TestWithdrawn(t *testing.T) {
	t.Run("waits", func(t *testing.T) {
		s := newHarness(t, 0)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnWithdrawn(s.now, id)
		s.advance(3000)
		s.expectEffects("nothing is answered", "forget 1")
	})
	t.Run("out", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnWithdrawn(s.now, id)
		s.host.OnWithdrawn(s.now, id)
		s.advance(3000)
		s.expectEffects("its try is given up", "offer 1.0, give up 1.0, forget 1")
	})
	t.Run("stands", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.host.OnWithdrawn(s.now, id)
		s.advance(500)
		s.expectEffects("its node is told", "offer 1.0, cut 1")
		s.advance(1000)
		s.expectEffects("and has a second to confirm it; nobody is told", "forget 1")
	})
	t.Run("stands, and the node confirms", func(t *testing.T) {
		s := newHarness(t, 4)
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.host.OnWithdrawn(s.now, id)
		s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		s.advance(3000)
		s.expectEffects("once", "offer 1.0, cut 1, forget 1")
	})
}

// TestMigrate has a client stop its running task to request it anew. Only a node that does not confirm the stop is told by the scheduler too.
func TestMigrate(t *testing.T) {
	for _, c := range []struct {
		name  string
		words func(s *harness, id uint32)
		want  string
	}{
		{"the node confirms", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "move 1, forget 1"},
		{"it ended meanwhile", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, nil)
		}, "move 1, forget 1"},
		{"the node says nothing", func(*harness, uint32) {}, "move 1, cut 1, forget 1"},
		{"asked twice", func(s *harness, id uint32) {
			moduleEffects{s.host}.Migrate(id)
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "move 1, forget 1"},
		{"the client ends it too", func(s *harness, id uint32) {
			s.host.OnWithdrawn(s.now, id)
			s.host.OnOutcome(s.now, id, 0, logic.Cancelled, logic.ReasonUnknown, nil)
		}, "move 1, forget 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, 4)
			id := s.request(restartable)
			s.advance(10)
			moduleEffects{s.host}.Migrate(id)
			s.expectEffects("not before it stands", "offer 1.0")
			s.host.OnStarted(s.now, id, 0)
			s.advance(10)
			moduleEffects{s.host}.Migrate(id)
			c.words(s, id)
			s.advance(3000)
			s.expectEffects("moved", c.want)
		})
	}
}

// TestRecoverTask takes over a running task: no answer is given, its end is notified.
func TestRecoverTask(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *harness, id uint32)
		want string
	}{
		{"it ends", func(s *harness, id uint32) { s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, nil) }, "over 1 0, forget 1"},
		{"its node is lost", func(s *harness, id uint32) { s.host.OnTaskLost(s.now, id) }, "over 1 5, forget 1"},
		{"it starts, which it can't", func(s *harness, id uint32) { s.host.OnStarted(s.now, id, 0) }, ""},
		{"it is told as of another try", func(s *harness, id uint32) {
			s.host.OnOutcome(s.now, id, 1, logic.Completed, logic.ReasonUnknown, nil)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, 2)
			id := s.host.RecoverTask(s.now, logic.Recovered{
				Request: logic.Request{Class: atMostOnce, Service: 9, Cores: 1, Memory: 2}, Node: 100,
			})
			s.advance(3000)
			s.expectEffects("nothing", "")
			c.end(s, id)
			s.advance(3000)
			s.expectEffects("end", c.want)
		})
	}
}

// TestClose fails all open requests and leaves running tasks.
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
	s.expectEffects("close", fmt.Sprintf("answer %d failed, give up %d.0, forget %d", b, b, b))
	if s.host.RunningTasks() != 1 {
		t.Error("what stood was ended")
	}
}

// TestMaxAttempts checks that no more attempts are made than are allowed.
func TestMaxAttempts(t *testing.T) {
	s := newHarness(t, 8)
	id := s.request(restartable)
	for range 6 {
		s.advance(20)
		s.host.OnOutcome(s.now, id, s.lastAttempt.number, logic.Errored, logic.ReasonUnknown, nil)
	}
	s.advance(20)
	s.expectEffects("four tries", "offer 1.0, offer 1.1, offer 1.2, offer 1.3, answer 1 declined, forget 1")
}

// TestBeliefError checks the mean error of belief, in either direction, against the reports; each report counts once.
func TestBeliefError(t *testing.T) {
	s := newHarness(t, 1)
	for _, free := range []float64{20, 17, 24} {
		id := s.request(restartable)
		s.advance(10)
		s.host.OnStarted(s.now, id, 0)
		s.advance(1000)
		s.host.OnOutcome(s.now, id, 0, logic.Completed, logic.ReasonUnknown, []float64{free, 50})
		s.advance(1000)
	}
	if got, want := s.host.TakeBeliefError(), (BeliefError{Reports: 2, Cores: 5}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got, want := s.host.TakeBeliefError(), (BeliefError{}); got != want {
		t.Errorf("again: %+v, want %+v", got, want)
	}
	if b, ok := s.host.Belief(100); !ok || b.Cores != 25 { // the last report does not know of the end that brought it
		t.Errorf("%+v", b)
	}
}
