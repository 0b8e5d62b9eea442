package gossip

import (
	"fmt"
	"testing"
)

// entry is a node in a node list.
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

func expectUnready(t *testing.T, name string, s *Store, now float64, want ...uint32) {
	t.Helper()
	if got := s.Unready(now); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got unready nodes %v, want %v", name, got, want)
	}
}

// TestUnready checks that updates of other schedulers make nodes unready until this scheduler's list has the same version, and never make a
// node ready.
func TestUnready(t *testing.T) {
	var s Store
	onList(&s, 0, 10, entry{1, true, false}, entry{2, false, false})
	expectUnready(t, "only this scheduler's list", &s, 0)
	if s.OnUpdate(1, 1, 9, false) || s.OnUpdate(1, 1, 10, false) {
		t.Error("an update not newer than the list was accepted")
	}
	if !s.OnUpdate(1, 1, 12, false) || s.OnUpdate(1, 1, 12, false) || s.OnUpdate(1, 1, 11, true) {
		t.Error("a newer update was not accepted exactly once, or an older one was accepted after it")
	}
	expectUnready(t, "draining in a later version of the list", &s, 1, 1)
	onList(&s, 2, 11, entry{1, true, false})
	expectUnready(t, "this scheduler's list is older than the update and has the node ready", &s, 2, 1)
	onList(&s, 3, 13)
	expectUnready(t, "this scheduler's list is newer and does not contain the node", &s, 3)
	s.OnUpdate(4, 3, 20, true)
	expectUnready(t, "removed in a later version of the list", &s, 4, 3)
	expectUnready(t, "update expired because this scheduler's list did not reach its version", &s, 4+updateLifetime, []uint32{}...)
	onList(&s, 5, 20, entry{3, true, false})
	expectUnready(t, "this scheduler's list has the node ready in the update's version", &s, 5)
}

// TestPiggyback checks that each update is sent maxTransmissions times, those sent least often first, and no longer once its node is ready.
func TestPiggyback(t *testing.T) {
	var s Store
	onList(&s, 0, 5, entry{1, false, false}, entry{2, false, true}, entry{3, false, false})
	counts := map[uint32]int{}
	piggyback := func(remaining int) {
		s.Piggyback(3, func(node uint32, _ uint64, _ bool) bool {
			if remaining--; remaining < 0 {
				return false
			}
			counts[node]++
			return true
		})
	}
	piggyback(2)
	piggyback(1)
	if counts[1] != 1 || counts[2] != 1 || counts[3] != 1 {
		t.Errorf("got transmissions by node %v, want 1 each: the update sent least often goes first", counts)
	}
	onList(&s, 1, 6, entry{2, true, false})
	for range 5 {
		piggyback(5)
	}
	if counts[1] != 3 || counts[2] != 1 || counts[3] != 3 {
		t.Errorf("got transmissions by node %v, want 3 of nodes 1 and 3, and 1 of node 2, which is ready now", counts)
	}
	onList(&s, 2, 7, entry{1, false, false})
	piggyback(5)
	if counts[1] != 3 {
		t.Error("an update was sent again though the node's state did not change")
	}
}

// TestBounded guards against unbounded memory: a scheduler that sends any number of false updates fills no more than maxUpdates.
func TestBounded(t *testing.T) {
	var s Store
	for i := range uint32(3 * maxUpdates) {
		s.OnUpdate(0, i, 9, false)
	}
	if len(s.updates) > maxUpdates || len(s.queue) > maxUpdates {
		t.Errorf("got %d stored and %d queued updates, want at most maxUpdates of each", len(s.updates), len(s.queue))
	}
}
