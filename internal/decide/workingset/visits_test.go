package workingset

import "testing"

func TestVisits(t *testing.T) {
	var v Visits
	for id := range uint32(100) {
		v.Put(id)
		v.Put(id)
	}
	v.Drop(5)
	var out []uint32
	for id, ok := v.Next(0); ok; id, ok = v.Next(0) {
		out = append(out, id)
	}
	if len(out) != visitsAtOnce || out[5] != 6 || v.Left() != 99 {
		t.Fatalf("%d at once, %v, %d left", len(out), out, v.Left())
	}
	v.Failed(0, out[0])
	for _, id := range out[1:] {
		v.Drop(id)
	}
	made := map[uint32]int{}
	for now := 0.0; now < 3*visitAgain; now += 100 {
		for id, ok := v.Next(now); ok; id, ok = v.Next(now) {
			made[id]++
			if id == out[0] && now < visitAgain {
				t.Errorf("visited again after %.0f ms", now)
			}
			v.Drop(id)
		}
	}
	if made[out[0]] != 1 || made[99] != 1 || made[5] != 0 || v.Left() != 0 || v.active != 0 {
		t.Errorf("%v, %d left, %d active", made, v.Left(), v.active)
	}
	v.Failed(0, 3) // late word of one that was dropped
	v.Put(3)
	if id, ok := v.Next(0); !ok || id != 3 {
		t.Errorf("%d %t", id, ok)
	}
}
