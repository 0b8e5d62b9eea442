package members

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
)

// recorder records the last state of each member that a runner reports.
type recorder struct {
	mu     sync.Mutex
	states map[string]membership.State
}

func (r *recorder) OnMemberChanged(_ float64, m membership.Member, _ membership.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[m.Name] = m.State
}

func (r *recorder) OnNameConflict(float64, string) {}

func (r *recorder) LastNodeContact(uint32) (incarnation uint64, at float64, ok bool) {
	return 0, 0, false
}

// TestRunnersOverSockets checks that three runners discover each other over sockets from one seed, that they learn that one of them leaves, and
// that a process with another key neither learns of them nor is accepted.
func TestRunnersOverSockets(t *testing.T) {
	environment := env.NewReal()
	defer environment.Close(time.Second)
	var runners []*Runner
	var recorders []*recorder
	for i := range 4 {
		recorder := &recorder{states: map[string]membership.State{}}
		config := membership.Config{Site: "s", Name: fmt.Sprint("m", i), Incarnation: 1, Key: []byte("key"), Seed: uint64(i)}
		if i > 0 {
			config.Seeds = []string{runners[0].Address()}
		}
		if i == 3 {
			config.Key = []byte("another")
		}
		r, err := Start(environment, "127.0.0.1:0", config, recorder)
		if err != nil {
			t.Fatal(err)
		}
		runners, recorders = append(runners, r), append(recorders, recorder)
	}
	eventually := func(what string, is func() bool) {
		t.Helper()
		for range 200 {
			if is() {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatal(what)
	}
	hasState := func(i int, name string, s membership.State) bool {
		recorders[i].mu.Lock()
		defer recorders[i].mu.Unlock()
		return recorders[i].states[name] == s
	}
	eventually("the members did not discover each other", func() bool {
		for i := range 3 {
			for j := range 3 {
				if i != j && !hasState(i, fmt.Sprint("m", j), membership.Alive) {
					return false
				}
			}
		}
		return true
	})
	runners[1].Stop()
	eventually("the other members did not learn that m1 left", func() bool { return hasState(0, "m1", membership.Left) && hasState(2, "m1", membership.Left) })
	foreign := uint64(0)
	runners[0].WithDetector(func(d *membership.Detector) { foreign = d.Stats.Foreign })
	if len(recorders[3].states) > 0 || foreign == 0 {
		t.Errorf("the process with another key knows %v and %d of its datagrams were rejected, want none and at least 1", recorders[3].states, foreign)
	}
	runners[0].Stop()
	runners[2].Stop()
	runners[3].Stop()
}
