package members

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
)

// recorder writes down what a runner tells.
type recorder struct {
	mu     sync.Mutex
	states map[string]membership.State
}

func (b *recorder) OnChange(_ float64, m membership.Member, _ membership.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[m.Name] = m.State
}

func (b *recorder) OnNameTaken(float64, string) {}

func (b *recorder) LastHeard(uint32) (life uint64, heard float64, ok bool) { return 0, 0, false }

// TestSockets has three runners find each other over sockets, from one seed, beside a stranger with another key; one leaves.
func TestSockets(t *testing.T) {
	w := env.NewReal()
	defer w.Close(time.Second)
	var runs []*Runner
	var books []*recorder
	for i := range 4 {
		b := &recorder{states: map[string]membership.State{}}
		who := membership.Config{Site: "s", Name: fmt.Sprint("m", i), Incarnation: 1, Key: []byte("key"), Seed: uint64(i)}
		if i > 0 {
			who.Seeds = []string{runs[0].Address()}
		}
		if i == 3 {
			who.Key = []byte("another")
		}
		r, err := Start(w, "127.0.0.1:0", who, b)
		if err != nil {
			t.Fatal(err)
		}
		runs, books = append(runs, r), append(books, b)
	}
	soon := func(what string, is func() bool) {
		t.Helper()
		for range 200 {
			if is() {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatal(what)
	}
	holds := func(i int, name string, s membership.State) bool {
		books[i].mu.Lock()
		defer books[i].mu.Unlock()
		return books[i].states[name] == s
	}
	soon("they do not meet", func() bool {
		for i := range 3 {
			for j := range 3 {
				if i != j && !holds(i, fmt.Sprint("m", j), membership.Alive) {
					return false
				}
			}
		}
		return true
	})
	runs[1].Stop()
	soon("nobody hears that one leaves", func() bool { return holds(0, "m1", membership.Left) && holds(2, "m1", membership.Left) })
	foreign := uint64(0)
	runs[0].WithDetector(func(d *membership.Detector) { foreign = d.Stats.Foreign })
	if len(books[3].states) > 0 || foreign == 0 {
		t.Errorf("the stranger knows %v, %d of its datagrams were turned away", books[3].states, foreign)
	}
	runs[0].Stop()
	runs[2].Stop()
	runs[3].Stop()
}
