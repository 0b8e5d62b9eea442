package gossip

import (
	"fmt"
	"testing"
)

// entry is a node of a list's answer.
type entry struct {
	node        uint32
	ready, gone bool
}

func own(b *Store, now float64, version uint64, all ...entry) {
	b.OnList(now, version, func(yield func(uint32, bool, bool)) {
		for _, e := range all {
			yield(e.node, e.ready, e.gone)
		}
	})
}

func held(t *testing.T, what string, b *Store, now float64, want ...uint32) {
	t.Helper()
	if got := b.Unready(now); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v are held, want %v", what, got, want)
	}
}

// TestCareful holds that others' words hold nodes back until the own list has come as far, and never set one free.
func TestCareful(t *testing.T) {
	var b Store
	own(&b, 0, 10, entry{1, true, false}, entry{2, false, false})
	held(t, "own list alone", &b, 0)
	if b.OnUpdate(1, 1, 9, false) || b.OnUpdate(1, 1, 10, false) {
		t.Error("older news are taken")
	}
	if !b.OnUpdate(1, 1, 12, false) || b.OnUpdate(1, 1, 12, false) || b.OnUpdate(1, 1, 11, true) {
		t.Error("newer news count once, and older ones after them not")
	}
	held(t, "one drains by a later version", &b, 1, 1)
	own(&b, 2, 11, entry{1, true, false})
	held(t, "the own list is behind still, and has it ready", &b, 2, 1)
	own(&b, 3, 13)
	held(t, "it has come further, and says nothing of it", &b, 3)
	b.OnUpdate(4, 3, 20, true)
	held(t, "gone", &b, 4, 3)
	held(t, "a version that never comes", &b, 4+updateLifetime, []uint32{}...)
	own(&b, 5, 20, entry{3, true, false})
	held(t, "it is back by the version of that word", &b, 5)
}

// TestRide holds that each word is told as often as it is to be, least told first, and no more once it is lifted.
func TestRide(t *testing.T) {
	var b Store
	own(&b, 0, 5, entry{1, false, false}, entry{2, false, true}, entry{3, false, false})
	counts := map[uint32]int{}
	ride := func(room int) {
		b.Piggyback(3, func(node uint32, _ uint64, _ bool) bool {
			if room--; room < 0 {
				return false
			}
			counts[node]++
			return true
		})
	}
	ride(2)
	ride(1)
	if counts[1] != 1 || counts[2] != 1 || counts[3] != 1 {
		t.Errorf("%v: the least told goes first", counts)
	}
	own(&b, 1, 6, entry{2, true, false})
	for range 5 {
		ride(5)
	}
	if counts[1] != 3 || counts[2] != 1 || counts[3] != 3 {
		t.Errorf("%v", counts)
	}
	own(&b, 2, 7, entry{1, false, false})
	ride(5)
	if counts[1] != 3 {
		t.Error("what is no news is told anew")
	}
}

// TestBounded holds that a liar fills no more than its bound.
func TestBounded(t *testing.T) {
	var b Store
	for i := range uint32(3 * maxUpdates) {
		b.OnUpdate(0, i, 9, false)
	}
	if len(b.updates) > maxUpdates || len(b.queue) > maxUpdates {
		t.Errorf("%d words, %d told", len(b.updates), len(b.queue))
	}
}
