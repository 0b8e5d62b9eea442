package admit

import "testing"

func TestDoor(t *testing.T) {
	d := New(100, []float64{0.5, 0.3, 0.2})
	enter := func(tenant, n int) (taken int, last Why) {
		for range n {
			if last = d.Enter(tenant, 5000, 100, true); last == Taken {
				taken++
			}
		}
		return
	}
	if n, why := enter(0, 200); n != 75 || why != Flood {
		t.Errorf("a flood of one tenant: %d taken, then %s; want 75, tenant-flood", n, why)
	}
	if n, why := enter(2, 50); n != 25 || why != Full {
		t.Errorf("beside it: %d taken, then %s; want 25, full", n, why)
	}
	d.Leave(0)
	if why := d.Enter(1, 50, 100, true); why != TooLate {
		t.Errorf("without time: %s", why)
	}
	if why := d.Enter(1, 500, 100, false); why != Large {
		t.Errorf("without a machine: %s", why)
	}
	if why := d.Enter(1, 500, 100, true); why != Taken || d.Open() != 100 {
		t.Errorf("after one left: %s, %d open", why, d.Open())
	}
}
