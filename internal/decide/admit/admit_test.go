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

func TestGate(t *testing.T) {
	for _, c := range []struct {
		name  string
		wait  func(now float64) float64
		most  int // times it may turn from open to shut in a second
		least int // asks of a thousand that must come in
		top   int // and may
	}{
		{"well", func(float64) float64 { return 2 }, 0, 1000, 1000},
		{"a hiccup", func(now float64) float64 {
			if now > 500 && now < 522 {
				return now - 500
			}
			return 1
		}, 0, 1000, 1000},
		{"overload without end", func(now float64) float64 { return now }, 1, 20, 30},
		{"around the threshold", func(now float64) float64 { return 8 + 6*float64(int(now)%2) }, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Gate
			in, turns := 0, 0
			for now := 1.0; now <= 1000; now++ {
				was := g.Shut()
				if g.Enter(now, c.wait(now)) {
					in++
				}
				if g.Shut() && !was {
					turns++
				}
			}
			if turns > c.most || in < c.least || in > c.top {
				t.Errorf("%d came in, shut %d times", in, turns)
			}
		})
	}
}

func TestLag(t *testing.T) {
	for _, skew := range []float64{0, -5000, 5000} {
		var l Lag
		for now := 1000.0; now < 60000; now += 100 {
			queue := 0.0
			if now > 20000 && now < 25000 {
				queue = 300
			}
			sent := now - queue - 2 + skew + now/1e5 // a clock that drifts by 10 us a second
			if got := l.Waited(now, sent); got < queue-0.5 || got > queue+0.5 {
				t.Fatalf("skew %g at %g: waited %g, want %g", skew, now, got, queue)
			}
		}
	}
}
