package workingset

import "testing"

// startVisits returns visits of nodes 0 to 99 except 5, which is removed, and the nodes that are visited at once.
func startVisits(t *testing.T) (visits *Visits, active []uint32) {
	t.Helper()
	visits = &Visits{}
	for id := range uint32(100) {
		visits.Add(id)
		visits.Add(id)
	}
	visits.Remove(5)
	for id, ok := visits.Next(0); ok; id, ok = visits.Next(0) {
		active = append(active, id)
	}
	if len(active) != maxActiveVisits || active[5] != 6 || visits.Pending() != 99 {
		t.Fatalf("got %d active visits, %v, and %d pending, want 64 active, node 6 as the sixth, and 99 pending",
			len(active), active, visits.Pending())
	}
	return visits, active
}

func TestVisits(t *testing.T) {
	visits, active := startVisits(t)
	visits.OnFailed(0, active[0])
	for _, id := range active[1:] {
		visits.Remove(id)
	}
	visitCounts := map[uint32]int{}
	for now := 0.0; now < 3*visitRetryInterval; now += 100 {
		for id, ok := visits.Next(now); ok; id, ok = visits.Next(now) {
			visitCounts[id]++
			if id == active[0] && now < visitRetryInterval {
				t.Errorf("failed visit made again after %.0f ms, want 2000 ms at least", now)
			}
			visits.Remove(id)
		}
	}
	if visitCounts[active[0]] != 1 || visitCounts[99] != 1 || visitCounts[5] != 0 {
		t.Errorf("visits by node: %v, want one for node 99 and for the node whose visit failed, none for the removed node 5", visitCounts)
	}
	if visits.Pending() != 0 || visits.active != 0 {
		t.Errorf("got %d visits pending and %d active at the end, want none", visits.Pending(), visits.active)
	}
	visits.OnFailed(0, 3) // late failure of a visit that was removed
	visits.Add(3)
	if id, ok := visits.Next(0); !ok || id != 3 {
		t.Errorf("node added again: Next returned %d, %t, want 3, true", id, ok)
	}
}
