package workingset

import "testing"

// startVisits returns visits of nodes 0 to 99 without 5, and the nodes that are visited at once.
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
		t.Fatalf("%d at once, %v, %d pending", len(active), active, visits.Pending())
	}
	return visits, active
}

func TestVisits(t *testing.T) {
	visits, active := startVisits(t)
	visits.OnFailed(0, active[0])
	for _, id := range active[1:] {
		visits.Remove(id)
	}
	made := map[uint32]int{}
	for now := 0.0; now < 3*visitRetryInterval; now += 100 {
		for id, ok := visits.Next(now); ok; id, ok = visits.Next(now) {
			made[id]++
			if id == active[0] && now < visitRetryInterval {
				t.Errorf("visited again after %.0f ms", now)
			}
			visits.Remove(id)
		}
	}
	if made[active[0]] != 1 || made[99] != 1 || made[5] != 0 {
		t.Errorf("%v", made)
	}
	if visits.Pending() != 0 || visits.active != 0 {
		t.Errorf("%d pending, %d active", visits.Pending(), visits.active)
	}
	visits.OnFailed(0, 3) // late failure of a visit that was removed
	visits.Add(3)
	if id, ok := visits.Next(0); !ok || id != 3 {
		t.Errorf("%d %t", id, ok)
	}
}
