package workingset

import "testing"

func TestVisits(t *testing.T) {
	var v Visits
	for id := range uint32(100) {
		v.Add(id)
		v.Add(id)
	}
	v.Remove(5)
	var out []uint32
	for id, ok := v.Next(0); ok; id, ok = v.Next(0) {
		out = append(out, id)
	}
	if len(out) != maxActiveVisits || out[5] != 6 || v.Pending() != 99 {
		t.Fatalf("%d at once, %v, %d left", len(out), out, v.Pending())
	}
	v.OnFailed(0, out[0])
	for _, id := range out[1:] {
		v.Remove(id)
	}
	made := map[uint32]int{}
	for now := 0.0; now < 3*visitRetryInterval; now += 100 {
		for id, ok := v.Next(now); ok; id, ok = v.Next(now) {
			made[id]++
			if id == out[0] && now < visitRetryInterval {
				t.Errorf("visited again after %.0f ms", now)
			}
			v.Remove(id)
		}
	}
	if made[out[0]] != 1 || made[99] != 1 || made[5] != 0 || v.Pending() != 0 || v.active != 0 {
		t.Errorf("%v, %d left, %d active", made, v.Pending(), v.active)
	}
	v.OnFailed(0, 3) // late word of one that was dropped
	v.Add(3)
	if id, ok := v.Next(0); !ok || id != 3 {
		t.Errorf("%d %t", id, ok)
	}
}
