package budget

import "testing"

func TestDivide(t *testing.T) {
	for _, c := range []struct{ sockets, memory int }{{256, 32}, {384, 64}, {1024, 192}, {4096, 2048}, {16, 8}} {
		p := Divide(c.sockets, c.memory)
		if c.sockets > 100 && (p.Clients+p.Nodes+p.Lingers+p.Provisional > c.sockets-kept || p.Lingers < 3 || p.Provisional < 3 || p.Clients < c.sockets/3 || p.Nodes < c.sockets/4) {
			t.Errorf("%d sockets: %+v", c.sockets, p)
		}
		if p.Clients < 1 || p.Nodes < 1 || p.Open < 64 || p.OnOne > p.Open || p.SoftCap >= c.memory<<20 {
			t.Errorf("%+v: %+v", c, p)
		}
	}
}

// TestNode walks all that a connection may be wanted for: what is held never passes what may be.
func TestNode(t *testing.T) {
	p := Parts{Nodes: 10}
	for _, c := range []struct {
		name string
		w    Wants
		want Does
	}{
		{"below the bound", Wants{For: Look, Held: 9}, Make},
		{"an offer takes a spare one", Wants{For: Offer, Held: 10, Idle: 3, Spare: 1}, Trade},
		{"an offer takes any that is idle", Wants{For: Offer, Held: 10, Idle: 1}, Trade},
		{"an offer where all are at work", Wants{For: Offer, Held: 10}, Forego},
		{"a probe takes a spare one", Wants{For: Probe, Held: 11, Idle: 1, Spare: 1}, Trade},
		{"a look takes a spare one", Wants{For: Look, Held: 10, Idle: 2, Spare: 1}, Trade},
		{"a look leaves another's alone", Wants{For: Look, Held: 10, Idle: 2, Looked: 500}, Forego},
		{"but not for ever", Wants{For: Look, Held: 10, Idle: 2, Looked: 3000}, Trade},
		{"a look where all are at work", Wants{For: Look, Held: 10, Looked: 9000}, Forego},
	} {
		if got := p.Node(c.w); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	for held := range 30 {
		for idle := range 3 {
			for _, f := range []Purpose{Offer, Probe, Look} {
				if d := p.Node(Wants{For: f, Held: held, Idle: idle, Looked: 1e9}); d == Make && held >= p.Nodes || d == Trade && idle == 0 {
					t.Errorf("%d for %d held, %d idle", d, held, idle)
				}
			}
		}
	}
}
