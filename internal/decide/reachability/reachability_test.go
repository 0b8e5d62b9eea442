package reachability

import (
	"fmt"
	"testing"
)

func TestOnAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(b *Tracker)
		now   float64
		lives bool
		ended string
	}{
		{"nobody says anything", func(*Tracker) {}, 2000, false, ""},
		{"another heard it since", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 100) }, 2000, true, ""},
		{"before it fell silent", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 900) }, 2000, false, ""},
		{"just as it fell silent", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 650) }, 2000, false, ""},
		{"long ago", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 100) }, 5000, false, ""},
		{"older answer after newer", func(b *Tracker) { b.OnAnswer(4000, 7, 5, 0); b.OnAnswer(4500, 7, 5, 3000) }, 5000, true, ""},
		{"of another node", func(b *Tracker) { b.OnAnswer(1800, 8, 5, 100) }, 2000, false, ""},
		{"in another life", func(b *Tracker) { b.OnAnswer(1800, 7, 6, 100) }, 2000, false, "7:5 "},
		{"in another life, before it fell silent", func(b *Tracker) { b.OnAnswer(1800, 7, 6, 900) }, 2000, false, ""},
		{"both", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 100); b.OnAnswer(1900, 7, 6, 100) }, 2000, false, "7:5 "},
		{"of no life", func(b *Tracker) { b.OnAnswer(1800, 7, 0, 100) }, 2000, false, ""},
		{"from the time to come", func(b *Tracker) { b.OnAnswer(1800, 7, 5, -1e9) }, 2000, false, ""},
		{"it is back", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 100); b.OnReachable(7) }, 2000, false, ""},
		{"lost again", func(b *Tracker) { b.OnAnswer(1800, 7, 5, 100); b.OnUnreachable(1900, 7, 5) }, 2000, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &Tracker{}
			b.OnUnreachable(1000, 7, 5)
			c.do(b)
			if got := b.IsReachable(c.now, 7, 5); got != c.lives {
				t.Errorf("lives %t", got)
			}
			if b.IsReachable(c.now, 7, 4) {
				t.Error("it lives in a life in which it was not lost")
			}
			ended := ""
			for range 2 { // it is yielded once
				b.Ended(func(node uint32, life uint64) { ended += fmt.Sprintf("%d:%d ", node, life) })
			}
			if ended != c.ended {
				t.Errorf("ended %q, want %q", ended, c.ended)
			}
		})
	}
}

// TestQuestions checks that all nodes are asked for in turn, MaxQuestions at a time, and none that was lost too long ago.
func TestQuestions(t *testing.T) {
	b := &Tracker{}
	for i := range 5000 {
		b.OnUnreachable(float64(i), uint32(i), 1)
	}
	if b.Unreachable() != maxNodes {
		t.Errorf("%d are asked for", b.Unreachable())
	}
	seen := map[uint32]int{}
	for range maxNodes / MaxQuestions {
		n := 0
		b.Questions(5000, func(node uint32) bool { seen[node]++; n++; return true })
		if n != MaxQuestions {
			t.Fatalf("%d in one datagram", n)
		}
	}
	if len(seen) != maxNodes {
		t.Errorf("%d of %d were asked for in their turns", len(seen), maxNodes)
	}
	b.Questions(queryDuration+float64(maxNodes)/2, func(uint32) bool { return false })
	if b.Unreachable() != maxNodes/2-1 {
		t.Errorf("%d are asked for after a minute", b.Unreachable())
	}
}
