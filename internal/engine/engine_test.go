package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

const (
	restartable = iota
	zoned       // tokened, group zone
	everywhere  // tokened, group all
	once
)

func TestBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		left bool
		back func(s *script) // how the node comes back
		want [4]string       // by job type: what follows within two seconds
	}{
		{"never left", false, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "offer 1.1"}},
		{"left, node stays away", true, nil, [4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"}},
		{"left, node says it never saw it", true, func(s *script) {
			s.link(s.last.nd, 1)
			s.e.OnClaimOutcome(s.now, s.last.nd, s.last.ticket, s.last.try, logic.Rejected, logic.ReasonUnknown)
		}, [4]string{"claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1", "claim 1.0, offer 1.1"}},
		{
			"left, node comes back in another life", true, func(s *script) { s.link(s.last.nd, 2) },
			[4]string{"offer 1.1", "offer 1.1", "offer 1.1", "answer 1 failed"},
		},
		{"left, node holds it and it runs", true, func(s *script) {
			s.e.OnConnected(s.now, s.last.nd, 1, 0)
			if err := s.e.OnHeld(s.now, s.last.nd, s.last.ticket, s.last.try, true, 0, 0, 99, 1001, 1, 2); err != nil {
				s.t.Fatal(err)
			}
			s.e.OnHeldAll(s.now, s.last.nd)
		}, [4]string{"answer 1 served", "answer 1 served", "answer 1 served", "answer 1 served"}},
	} {
		for job, want := range c.want {
			t.Run(fmt.Sprintf("%s/%d", c.name, job), func(t *testing.T) {
				s := begin(t, false)
				s.ask(1, job, 5000)
				s.want("offer", s.look(), "offer 1.0")
				first := s.last.nd
				s.broken(c.left)
				s.pass(50)
				if c.back != nil {
					c.back(s)
				}
				s.pass(1900)
				got := s.look()
				if i := strings.Index(got, ", recall"); i >= 0 {
					got = got[:i] // what comes after the first effect does not matter here
				}
				s.want("then", got, want)
				if job == zoned && c.left && strings.Contains(got, "offer 1.1") && c.back == nil &&
					(first-1)/2 != (s.last.nd-1)/2 {
					t.Errorf("second try at node %d left the zone of node %d", s.last.nd, first)
				}
			})
		}
	}
}

func TestLateStart(t *testing.T) {
	for _, c := range []struct {
		name string
		job  int
		wait float64 // after which the start of the first try is told
		want string
	}{
		{"restartable, another try out", restartable, 2500, "recall 1.1"},
		{"tokened, after the answer: kept for the next ask", zoned, 6000, "answer 2 served"},
		{"run-once, after the answer: kept for the next ask", once, 6000, "answer 2 served"},
		{"restartable, after the answer: stopped", restartable, 6000, "stop 1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := begin(t, false)
			s.ask(1, c.job, 5000)
			nd, ticket := s.last.nd, s.last.ticket
			s.pass(c.wait)
			s.look()
			if err := s.e.OnStarted(s.now, nd, ticket, 0, c.wait); err != nil {
				t.Fatal(err)
			}
			if c.want == "answer 2 served" {
				if err := s.e.Allocate(s.now, 7, 2, c.job, 0, 99, 1001, 1, 2, 5000, 1); err != nil {
					t.Fatal(err)
				}
			}
			s.want("then", s.look(), c.want)
			if c.want == "recall 1.1" { // handed back: the late one serves
				if err := s.settled(logic.Rejected); err != nil {
					t.Fatal(err)
				}
				s.want("then", s.look(), "answer 1 served")
			}
		})
	}
	t.Run("kept, but nobody asks", func(t *testing.T) {
		s := begin(t, false)
		s.ask(1, once, 5000)
		s.pass(6000)
		s.look()
		if err := s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 6000); err != nil {
			t.Fatal(err)
		}
		s.pass(9000)
		s.want("then", s.look(), "stop 1.0")
	})
}

func TestAnswers(t *testing.T) {
	t.Run("start that crosses the expiry", func(t *testing.T) {
		s := begin(t, false)
		s.ask(1, once, 2000)
		s.look()
		s.now += 2500 // stood still beyond the expiry: the owner has given up, nothing more is sent to it
		if err := s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 10); err != nil {
			t.Fatal(err)
		}
		s.pass(500)
		s.want("after", s.look(), "")
	})
	t.Run("each once, before the expiry", func(t *testing.T) {
		s := begin(t, true) // every node refuses connections
		for ref := range uint64(4) {
			s.ask(ref+1, int(ref), 1500)
		}
		for range 150 {
			s.pass(10)
			for nd := range uint32(4) {
				if s.e.pacer.IsDialing(int(nd)) {
					s.e.OnDialFailed(s.now, nd+1, "refused")
				}
			}
		}
		got := s.look()
		for ref := range 4 {
			if n := strings.Count(got, fmt.Sprintf("answer %d declined", ref+1)); n != 1 {
				t.Errorf("ask %d declined %d times in %q", ref+1, n, got)
			}
		}
		if len(s.e.byID) != 0 || s.e.admission.Open() != 0 || len(s.e.byKey) != 0 || len(s.e.requests) != 0 {
			t.Errorf("left over: %+v", s.e.Stats())
		}
	})
	t.Run("over the limit", func(t *testing.T) {
		s := begin(t, true)
		for ref := range uint64(140) {
			_ = s.e.Allocate(s.now, 7, ref+1, restartable, int(ref%2), 99, 1000+ref, 1, 2, 5000, 1)
		}
		if got := strings.Count(s.look(), "declined"); got != 40 {
			t.Errorf("%d declined at once, want 40", got)
		}
	})
	t.Run("too large for any machine", func(t *testing.T) {
		s := begin(t, false)
		_ = s.e.Allocate(s.now, 7, 1, restartable, 0, 99, 1, 33, 2, 5000, 1)
		s.want("answer", s.look(), "answer 1 declined")
	})
	t.Run("the same key twice", func(t *testing.T) {
		s := begin(t, false)
		s.ask(1, once, 5000)
		s.look()
		_ = s.e.Allocate(s.now, 8, 9, once, 0, 99, 1001, 1, 2, 5000, 1)
		s.want("while open", s.look(), "answer 9 declined")
		_ = s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 10)
		s.want("its start", s.look(), "answer 1 served")
		_ = s.e.Allocate(s.now, 8, 10, once, 0, 99, 1001, 1, 2, 5000, 1)
		s.want("while it runs", s.look(), "answer 10 served")
	})
}

func TestWithdraw(t *testing.T) {
	for job, want := range [4]string{
		"answer 1 declined, recall 1.0", "answer 1 failed, recall 1.0",
		"answer 1 failed, recall 1.0", "answer 1 failed, recall 1.0",
	} {
		t.Run(fmt.Sprint(job), func(t *testing.T) {
			s := begin(t, false)
			s.ask(1, job, 5000)
			s.look()
			if err := s.e.Withdraw(s.now, 7, 1); err != nil {
				t.Fatal(err)
			}
			s.want("out", s.look(), want)
			if err := s.settled(logic.Rejected); err != nil {
				t.Fatal(err)
			}
			s.pass(100)
			s.want("after", s.look(), "")
			if err := s.e.Withdraw(s.now, 7, 1); err == nil {
				t.Error("withdrawn twice")
			}
		})
	}
}

func TestPeerFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *script) error
	}{
		{"unknown try", func(s *script) error { return s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 9, 1) }},
		{"another node's try", func(s *script) error { return s.e.OnStarted(s.now, s.last.nd%4+1, s.last.ticket, 0, 1) }},
		{"second start", func(s *script) error {
			_ = s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 1)
			return s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 1)
		}},
		{"second outcome", func(s *script) error {
			_ = s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 1)
			_ = s.settled(logic.Completed)
			return s.settled(logic.Completed)
		}},
		{"refused after its start", func(s *script) error {
			_ = s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 1)
			return s.settled(logic.Rejected)
		}},
		{"report never asked for", func(s *script) error { return s.e.OnProbeReport(s.now, 1, 1<<40, nil) }},
		{"held, of an unknown job type", func(s *script) error {
			return s.e.OnHeld(s.now, 1, 5, 0, true, 17, 0, 1, 1, 1, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := begin(t, false)
			s.ask(1, once, 5000)
			if c.do(s) == nil {
				t.Error("not noticed")
			}
		})
	}
}

func TestRestart(t *testing.T) {
	s := begin(t, true)
	s.e.OnConnected(s.now, 2, 1, 0)
	for i, runs := range []bool{true, false} { // of an earlier life of this scheduler
		if err := s.e.OnHeld(s.now, 2, uint64(77+i), 1, runs, once, 0, 99, uint64(1001+i), 1, 2); err != nil {
			t.Fatal(err)
		}
	}
	s.e.OnHeldAll(s.now, 2)
	s.want("what waits is recalled", s.look(), "recall 78.1")
	_ = s.e.Allocate(s.now, 7, 1, once, 0, 99, 1001, 1, 2, 5000, 1)
	s.want("what runs is found", s.look(), "answer 1 served")
	if err := s.e.OnOutcome(s.now, 2, 77, 1, logic.Completed, logic.ReasonUnknown, nil); err != nil {
		t.Fatal(err)
	}
	s.want("its end", s.look(), fmt.Sprintf("over 1 %d", logic.Completed))
}

func TestStandStill(t *testing.T) {
	s := begin(t, false)
	s.ask(1, restartable, 8000)
	s.look()
	nd := s.last.nd
	s.now += 3000
	s.e.Round(s.now) // the try's time is up, but first what came in meanwhile is heard
	s.want("at once", s.look(), "")
	if err := s.e.OnStarted(s.now, nd, s.last.ticket, 0, 30); err != nil {
		t.Fatal(err)
	}
	s.pass(200)
	s.want("after", s.look(), "answer 1 served")
}

// TestGive gives allocations in each phase to a second engine: what is out stays, what waits or runs goes, and the
// second one answers for it.
func TestGive(t *testing.T) {
	s, to := begin(t, false), begin(t, false)
	to.now = s.now
	ask := func(ref uint64, job int) uint64 {
		if err := s.e.Allocate(s.now, 1, ref, job, 0, 9, ref, 1, 2, 3000, 1); err != nil {
			t.Fatal(err)
		}
		s.pass(20)
		return s.last.ticket
	}
	runs := ask(1, once)
	nd := s.last.nd
	if err := s.e.OnStarted(s.now, nd, runs, 0, 1); err != nil {
		t.Fatal(err)
	}
	out := ask(2, once)
	outAt := s.last.nd
	if err := s.e.Allocate(s.now, 1, 3, restartable, 0, 9, 3, 1, 2, 3000, 1); err != nil { // no round: it waits
		t.Fatal(err)
	}
	parts := s.e.CountByService(nil, true, func(uint64, int) bool { return true })
	if len(parts) != 1 || parts[0].Waiting != 1 || parts[0].Running != 1 || parts[0].Unresolved != 1 || !parts[0].BelongsElsewhere {
		t.Fatalf("%+v", parts)
	}
	var given []Transfer
	s.e.TransferOut(s.now, 9, true, func(g Transfer) { given = append(given, g) })
	if len(given) != 2 {
		t.Fatalf("%+v", given)
	}
	for _, g := range given {
		if !g.Running {
			if err := to.e.Allocate(to.now, g.Client, g.RequestID, g.JobClass, g.Tenant, g.Service, g.Token, g.Cores, g.Memory,
				g.Deadline-to.now, 2); err != nil {
				t.Fatal(err)
			}
		} else if !to.e.TransferIn(to.now, g) || g.Ticket != runs || g.Node != nd {
			t.Errorf("not taken: %+v", g)
		}
	}
	s.look()
	s.pass(50)
	to.pass(50)
	if got := s.e.Stats(); got.Open != 1 || got.Held != 1 || s.e.IsIdle() {
		t.Errorf("the giver holds %+v", got)
	}
	if got := to.e.Stats(); got.Open != 1 || got.Held != 2 {
		t.Errorf("the receiver holds %+v", got)
	}
	if err := s.e.OnOutcome(s.now, outAt, out, 0, logic.Rejected, logic.ReasonUnknown, nil); err != nil {
		t.Error(err)
	}
	if err := s.e.OnOutcome(s.now, nd, runs, 0, logic.Completed, logic.ReasonUnknown, nil); err == nil {
		t.Error("the giver still knows what it gave")
	}
	if err := to.e.OnOutcome(to.now, nd, runs, 0, logic.Completed, logic.ReasonUnknown, nil); err != nil {
		t.Error(err)
	}
	if to.e.TransferIn(to.now, Transfer{Running: true, Node: 77}) {
		t.Error("taken at a node that is not known")
	}
	if err := to.e.Withdraw(to.now, 1, 3); err != nil {
		t.Error("the receiver does not know whose it is:", err)
	}
}

// TestNoticeBeforeSend lets word of a window or a drain come between a decision and its send, and between an ask and
// its decision: nothing leaves for that node.
func TestNoticeBeforeSend(t *testing.T) {
	notices := map[string]func(s *script, nd uint32){
		"calendar": func(s *script, nd uint32) { s.e.SetMaintenance(s.now, []uint32{nd}, true) },
		"list": func(s *script, nd uint32) {
			s.e.BeginList(s.now, logic.ListChanges)
			s.e.AddListNode(nd, "a", logic.Draining, 0, 16, 32, 0, 0, 0)
			s.e.EndList()
		},
		"list, gone": func(s *script, nd uint32) {
			s.e.BeginList(s.now, logic.ListChanges)
			s.e.AddListNode(nd, "a", logic.Unavailable, 0, 16, 32, 0, 0, 0)
			s.e.EndList()
		},
	}
	for name, notice := range notices {
		for job := range 4 {
			t.Run(fmt.Sprintf("%s, a try waits for its connection/%d", name, job), func(t *testing.T) {
				s := begin(t, true)
				s.ask(1, job, 5000)
				var nd uint32
				for i := range s.e.nodes {
					if len(s.e.nodes[i].allocations) > 0 {
						nd = s.e.nodes[i].id
					}
				}
				if nd == 0 {
					t.Fatal("no try waits")
				}
				notice(s, nd)
				if name == "calendar" { // of the list's word the grace is what the module goes by
					s.link(nd, 1)
				}
				s.pass(50)
				if s.seen[nd] > 0 {
					t.Error("sent after the notice")
				}
			})
			t.Run(fmt.Sprintf("%s, an ask in the same round/%d", name, job), func(t *testing.T) {
				s := begin(t, false)
				for ref := range uint64(12) {
					if err := s.e.Allocate(s.now, 1, ref+1, job, 0, 9, ref+1, 1, 2, 5000, 1); err != nil {
						t.Fatal(err)
					}
				}
				notice(s, 2)
				s.pass(300)
				if s.seen[2] > 0 {
					t.Errorf("%d sent after the notice", s.seen[2])
				}
				if s.seen[1]+s.seen[3]+s.seen[4] == 0 {
					t.Error("nothing was sent at all")
				}
			})
		}
	}
}
