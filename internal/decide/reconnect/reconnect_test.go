package reconnect

import "testing"

func TestMaxActiveDials(t *testing.T) {
	p := New(1)
	for index := range 2000 {
		p.SetEnabled(0, index, true)
	}
	active, connected := []int{}, 0
	for now := 0.0; now < 20000 && connected < 2000; now += 10 {
		for index, ok := p.Next(now); ok; index, ok = p.Next(now) {
			active = append(active, index)
		}
		if len(active) > maxActiveDials {
			t.Fatalf("got %d dials at once, want at most 64", len(active))
		}
		for _, index := range active {
			if index%7 == 0 && now < 3000 {
				p.OnDialFailed(now, index)
			} else {
				p.OnConnected(now, index)
				connected++
			}
		}
		active = active[:0]
	}
	if connected != 2000 || p.activeDials != 0 {
		t.Errorf("got %d nodes connected and %d dials active, want 2000 and none", connected, p.activeDials)
	}
}

func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		name        string
		wanted      bool
		least, most int // expected number of dials in 60 s to a node that refuses connections
	}{{"node refuses connections", false, 12, 40}, {"node refuses connections, and something waits for it", true, 200, 420}} {
		t.Run(c.name, func(t *testing.T) {
			p, dials := New(3), 0
			p.SetEnabled(0, 0, true)
			for now := 0.0; now < 60000; now += 10 {
				if c.wanted {
					p.Prioritize(now, 0)
				}
				if index, ok := p.Next(now); ok {
					dials++
					p.OnDialFailed(now+5, index)
				}
			}
			if dials < c.least || dials > c.most {
				t.Errorf("got %d dials in 60 s, want %d to %d", dials, c.least, c.most)
			}
		})
	}
	t.Run("node closes every connection", func(t *testing.T) {
		p, dials := New(3), 0
		p.SetEnabled(0, 0, true)
		for now := 0.0; now < 60000; now += 10 {
			if index, ok := p.Next(now); ok {
				dials++
				p.OnConnected(now, index)
				p.OnDisconnected(now+5, index)
			}
		}
		if dials > 40 {
			t.Errorf("got %d connections in 60 s, want at most 40", dials)
		}
	})
	t.Run("node disabled before its dial", func(t *testing.T) {
		p := New(3)
		p.SetEnabled(0, 4, true)
		p.SetEnabled(0, 4, false)
		if _, ok := p.Next(100); ok {
			t.Error("a disabled node is dialed")
		}
	})
}

// TestConnectedByNode checks that a node that connects by itself is not dialed until that connection breaks.
func TestConnectedByNode(t *testing.T) {
	p := New(1)
	p.SetEnabled(0, 3, true)
	p.OnConnected(1, 3)
	if index, ok := p.Next(2); ok {
		t.Fatalf("node %d is dialed while it is connected", index)
	}
	p.OnDisconnected(5000, 3)
	if index, ok := p.Next(5000 + maxBackoff); !ok || index != 3 {
		t.Errorf("after the connection broke, Next returned %d, %t, want 3, true", index, ok)
	}
}
