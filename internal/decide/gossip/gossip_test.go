package gossip

import (
	"fmt"
	"testing"
)

// entry is a node in an answer of the list service.
type entry struct {
	node           uint32
	ready, removed bool
}

func onList(s *Store, now float64, version uint64, all ...entry) {
	s.OnList(now, version, func(yield func(uint32, bool, bool)) {
		for _, e := range all {
			yield(e.node, e.ready, e.removed)
		}
	})
}

func expectUnready(t *testing.T, what string, s *Store, now float64, want ...uint32) {
	t.Helper()
	if got := s.Unready(now); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v are unready, want %v", what, got, want)
	}
}

// TestUnready checks that updates of others make nodes unready until the own list has the same version, and never make one ready.
func TestUnready(t *testing.T) {
	var s Store
	onList(&s, 0, 10, entry{1, true, false}, entry{2, false, false})
	expectUnready(t, "by the own list alone", &s, 0)
	if s.OnUpdate(1, 1, 9, false) || s.OnUpdate(1, 1, 10, false) {
		t.Error("older updates are accepted")
	}
	if !s.OnUpdate(1, 1, 12, false) || s.OnUpdate(1, 1, 12, false) || s.OnUpdate(1, 1, 11, true) {
		t.Error("a newer update is not accepted once, or an older one is accepted after it")
	}
	expectUnready(t, "draining by a later version", &s, 1, 1)
	onList(&s, 2, 11, entry{1, true, false})
	expectUnready(t, "the own list is still behind, and has it ready", &s, 2, 1)
	onList(&s, 3, 13)
	expectUnready(t, "the own list is ahead, and does not have it", &s, 3)
	s.OnUpdate(4, 3, 20, true)
	expectUnready(t, "gone", &s, 4, 3)
	expectUnready(t, "a version that never comes", &s, 4+updateLifetime, []uint32{}...)
	onList(&s, 5, 20, entry{3, true, false})
	expectUnready(t, "the own list has it ready by that version", &s, 5)
}

// TestPiggyback checks that each update is sent maxTransmissions times, the least sent first, and no more once its node is ready.
func TestPiggyback(t *testing.T) {
	var s Store
	onList(&s, 0, 5, entry{1, false, false}, entry{2, false, true}, entry{3, false, false})
	counts := map[uint32]int{}
	piggyback := func(fit int) {
		s.Piggyback(3, func(node uint32, _ uint64, _ bool) bool {
			if fit--; fit < 0 {
				return false
			}
			counts[node]++
			return true
		})
	}
	piggyback(2)
	piggyback(1)
	if counts[1] != 1 || counts[2] != 1 || counts[3] != 1 {
		t.Errorf("%v: the least sent is not sent first", counts)
	}
	onList(&s, 1, 6, entry{2, true, false})
	for range 5 {
		piggyback(5)
	}
	if counts[1] != 3 || counts[2] != 1 || counts[3] != 3 {
		t.Errorf("%v", counts)
	}
	onList(&s, 2, 7, entry{1, false, false})
	piggyback(5)
	if counts[1] != 3 {
		t.Error("an update without a change is sent again")
	}
}

// TestBounded checks that a scheduler that sends false updates fills no more than the bound.
func TestBounded(t *testing.T) {
	var s Store
	for i := range uint32(3 * maxUpdates) {
		s.OnUpdate(0, i, 9, false)
	}
	if len(s.updates) > maxUpdates || len(s.queue) > maxUpdates {
		t.Errorf("%d updates, %d queued", len(s.updates), len(s.queue))
	}
}
