package reconnect

import "testing"

func TestMaxActiveDials(t *testing.T) {
	p := New(1)
	for nd := range 2000 {
		p.SetEnabled(0, nd, true)
	}
	under, linked := []int{}, 0
	for now := 0.0; now < 20000 && linked < 2000; now += 10 {
		for nd, ok := p.Next(now); ok; nd, ok = p.Next(now) {
			under = append(under, nd)
		}
		if len(under) > maxActiveDials {
			t.Fatalf("%d dials at once", len(under))
		}
		for _, nd := range under {
			if nd%7 == 0 && now < 3000 {
				p.OnDialFailed(now, nd)
			} else {
				p.OnConnected(now, nd)
				linked++
			}
		}
		under = under[:0]
	}
	if linked != 2000 || p.activeDials != 0 {
		t.Errorf("%d connected, %d dials active", linked, p.activeDials)
	}
}

func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		name        string
		wanted      bool
		least, most int // dials to a node that refuses, in 60 s
	}{{"refuses", false, 12, 40}, {"refuses and is wanted", true, 200, 420}} {
		t.Run(c.name, func(t *testing.T) {
			p, dials := New(3), 0
			p.SetEnabled(0, 0, true)
			for now := 0.0; now < 60000; now += 10 {
				if c.wanted {
					p.Prioritize(now, 0)
				}
				if nd, ok := p.Next(now); ok {
					dials++
					p.OnDialFailed(now+5, nd)
				}
			}
			if dials < c.least || dials > c.most {
				t.Errorf("%d dials, want %d to %d", dials, c.least, c.most)
			}
		})
	}
	t.Run("cuts every connection", func(t *testing.T) {
		p, dials := New(3), 0
		p.SetEnabled(0, 0, true)
		for now := 0.0; now < 60000; now += 10 {
			if nd, ok := p.Next(now); ok {
				dials++
				p.OnConnected(now, nd)
				p.OnDisconnected(now+5, nd)
			}
		}
		if dials > 40 {
			t.Errorf("%d connections in 60 s", dials)
		}
	})
	t.Run("no longer kept", func(t *testing.T) {
		p := New(3)
		p.SetEnabled(0, 4, true)
		p.SetEnabled(0, 4, false)
		if _, ok := p.Next(100); ok {
			t.Error("dialed")
		}
	})
}

// TestConnectedByNode has a node connect by itself: it is not dialed until that connection breaks.
func TestConnectedByNode(t *testing.T) {
	p := New(1)
	p.SetEnabled(0, 3, true)
	p.OnConnected(1, 3)
	if nd, ok := p.Next(2); ok {
		t.Fatalf("node %d is dialed, and is connected", nd)
	}
	p.OnDisconnected(5000, 3)
	if nd, ok := p.Next(5000 + maxBackoff); !ok || nd != 3 {
		t.Errorf("node %d, %t after its connection broke", nd, ok)
	}
}
