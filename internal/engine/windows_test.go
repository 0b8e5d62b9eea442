package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestWindowOpens takes a node out while a try is out to it, for each effect: the try is called back, and another goes
// elsewhere only once it is.
func TestWindowOpens(t *testing.T) {
	for job := range 4 {
		for _, c := range []struct {
			name  string
			comes func(s *script) error
			want  string
		}{
			{"handed back", func(s *script) error { return s.settled(logic.Rejected) }, "offer 1.1"},
			{
				"runs after all", func(s *script) error { return s.e.OnStarted(s.now, s.last.nd, s.last.ticket, s.last.try, 9) },
				"answer 1 served",
			},
		} {
			t.Run(fmt.Sprintf("%s/%d", c.name, job), func(t *testing.T) {
				s := begin(t, false)
				s.ask(1, job, 5000)
				s.look()
				gone := s.last.nd
				s.e.SetMaintenance(s.now, []uint32{gone}, true)
				s.pass(300)
				s.want("at the opening", s.look(), "recall 1.0")
				if err := c.comes(s); err != nil {
					t.Fatal(err)
				}
				s.pass(100)
				s.want("after", s.look(), c.want)
				if c.want == "offer 1.1" && s.last.nd == gone {
					t.Error("offered again to the node that is out")
				}
				for ref := range uint64(20) {
					s.ask(10+ref, restartable, 5000)
					if s.last.nd == gone && c.want == "offer 1.1" {
						t.Fatal("offered to the node that is out")
					}
				}
				s.e.BeginList(s.now, logic.ListChanges) // news that it is ready changes nothing
				s.e.AddListNode(gone, "a", logic.Ready, 0, 16, 32, 0, 0, 0)
				s.e.EndList()
				before := s.seen[gone]
				for ref := range uint64(20) {
					s.ask(40+ref, restartable, 5000)
				}
				if s.seen[gone] != before {
					t.Error("offered to the node that is out, once the list had it ready")
				}
				s.e.SetMaintenance(s.now, []uint32{gone}, false)
				for ref := range uint64(60) {
					s.ask(70+ref, restartable, 5000)
					_ = s.e.OnStarted(s.now, s.last.nd, s.last.ticket, s.last.try, 5)
				}
				if s.seen[gone] == before {
					t.Error("not offered to again once it is back")
				}
			})
		}
	}
	t.Run("work is moved off, run-once is not", func(t *testing.T) {
		s := begin(t, false)
		for ref, job := range []int{restartable, zoned, once} {
			s.ask(uint64(ref+1), job, 5000)
			if err := s.e.OnStarted(s.now, s.last.nd, s.last.ticket, 0, 5); err != nil {
				t.Fatal(err)
			}
		}
		s.look()
		stopped := 0
		for nd := range uint32(4) {
			stopped += s.e.MigrateFrom(s.now, nd+1, []bool{true, true, true, false}, 9)
			stopped += s.e.MigrateFrom(s.now, nd+1, []bool{true, true, true, false}, 9) // each once
		}
		if stopped != 2 || strings.Contains(s.look(), "stop 3.0") {
			t.Errorf("%d stopped", stopped)
		}
	})
}

// TestCalendarIsNoList guards against a calendar's word counting as one of the list, which then is asked for late.
func TestCalendarIsNoList(t *testing.T) {
	asked := map[bool]float64{}
	for _, calendar := range []bool{false, true} {
		s := begin(t, false)
		s.e.config.Cluster.PollsList = true
		follow := &follows{script: s}
		s.e.effects = follow
		if calendar {
			s.e.SetMaintenance(s.now, []uint32{1}, true)
		}
		for s.now < 30000 && follow.at == 0 {
			s.pass(10)
		}
		asked[calendar] = follow.at
	}
	if asked[false] != asked[true] || asked[true] == 0 {
		t.Errorf("first asked for the list at %g, with a calendar at %g", asked[false], asked[true])
	}
}

type follows struct {
	*script
	at float64
}

func (f *follows) WatchList(bool) { f.at = f.now }
