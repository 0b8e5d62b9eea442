package connadmission

import (
	"math/rand/v2"
	"testing"
)

// TestUnauthenticated fills the listener with connections that show no token: one that shows its token at once is accepted all the same.
func TestUnauthenticated(t *testing.T) {
	d := New(40)
	for slot := range 4 {
		d.SetLimits(slot, Limits{Share: 1})
	}
	oldest := uint32(1)
	for id := uint32(1); id <= 1000; id++ {
		in, out := d.Accept(float64(id), id)
		if !in {
			t.Fatalf("%d not let in", id)
		}
		if out > 0 {
			for oldest%100 == 0 { // authenticated
				oldest++
			}
			if out != oldest {
				t.Fatalf("%d made way for %d, not %d, who waited longest", out, id, oldest)
			}
			oldest++
		}
		if id%100 == 0 && !d.Authenticate(id, int(id/100)%4) {
			t.Fatalf("%d was not let in with its token", id)
		}
	}
	if d.Unauthenticated() != 9 || d.Conns(0)+d.Conns(1)+d.Conns(2)+d.Conns(3) != 10 {
		t.Errorf("%d unauthenticated, %d %d %d %d", d.Unauthenticated(), d.Conns(0), d.Conns(1), d.Conns(2), d.Conns(3))
	}
	if d.Authenticate(1, 0) {
		t.Error("one that is gone is let in")
	}
	if late := d.AuthenticationExpired(1000 + authenticationTimeout); len(late) != 9 || late[0] != 991 {
		t.Errorf("%v are late", late)
	}
}

// TestConns checks the limits of connections.
func TestConns(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit Limits
		other int // connections of another tenant of the same share
		want  int
	}{
		{"its own limit", Limits{Share: 1, MaxConns: 3}, 0, 3},
		{"alone: half of all", Limits{Share: 1}, 0, 15},
		{"crowded: twice its share", Limits{Share: 1}, 15, 10},
		{"a small share: two at least", Limits{Share: 0.001}, 15, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &connector{controller: New(40)}
			x.controller.SetLimits(0, c.limit)
			for slot := 1; slot < 6; slot++ {
				x.controller.SetLimits(slot, Limits{Share: 1, MaxConns: c.other})
			}
			if got := x.connectAll(1, c.other); got != c.other {
				t.Fatalf("%d connections of the other, want %d", got, c.other)
			}
			got := x.connectAll(0, 60)
			if got != c.want || x.controller.Conns(0) != c.want || x.controller.Unauthenticated() != 0 {
				t.Errorf("%d connections, %d unauthenticated; want %d", got, x.controller.Unauthenticated(), c.want)
			}
			x.controller.OnClose(x.lastID)
			x.controller.OnClose(uint32(c.other + 1))
			if !x.connect(0) {
				t.Error("not accepted after one was closed")
			}
		})
	}
}

// connector opens connections that show their token at once.
type connector struct {
	controller *Controller
	lastID     uint32
}

// connect reports whether a connection of a tenant is accepted.
func (x *connector) connect(slot int) bool {
	x.lastID++
	accepted, _ := x.controller.Accept(0, x.lastID)
	ok := accepted && x.controller.Authenticate(x.lastID, slot)
	if !ok {
		x.controller.OnClose(x.lastID)
	}
	return ok
}

// connectAll returns how many of a number of connections are accepted.
func (x *connector) connectAll(slot, conns int) (accepted int) {
	for range conns {
		if x.connect(slot) {
			accepted++
		}
	}
	return accepted
}

// TestListenerFull checks that no connection is accepted when all are authenticated.
func TestListenerFull(t *testing.T) {
	d := New(4)
	for id := uint32(1); id <= 4; id++ {
		d.SetLimits(int(id), Limits{Share: 1, MaxConns: 4})
		if in, _ := d.Accept(0, id); !in || !d.Authenticate(id, int(id)) {
			t.Fatal("not let in")
		}
	}
	if in, _ := d.Accept(0, 5); in {
		t.Error("one more than there may be")
	}
	d.OnClose(2)
	if in, out := d.Accept(0, 5); !in || out != 0 {
		t.Error("not let in where there is room")
	}
	if in, out := d.Accept(0, 6); !in || out != 5 {
		t.Error("the stranger does not make way")
	}
}

// TestBytes checks that a tenant may send a burst and a rate, is throttled beyond it, and is closed if it goes on.
func TestBytes(t *testing.T) {
	d := New(8)
	d.SetLimits(0, Limits{Share: 1, BytesPerSecond: 10000})
	d.SetLimits(1, Limits{Share: 1, BytesPerSecond: 10000})
	for id, slot := range []int{0, 0, 1} {
		d.Accept(0, uint32(id+1))
		d.Authenticate(uint32(id+1), slot)
	}
	for _, c := range []struct {
		name  string
		now   float64
		id    uint32
		bytes int
		want  Verdict
		back  float64
	}{
		{"at once", 0, 1, 20000, Accept, 0},
		{"more, on its other connection", 0, 2, 1000, Throttle, 100},
		{"another tenant", 0, 3, 20000, Accept, 0},
		{"some time later", 100, 1, 500, Throttle, 50},
		{"in time", 1000, 1, 500, Accept, 0},
		{"far more", 1000, 1, 90000, Close, 0},
		{"and again: no deeper", 1000, 2, 10, Close, 0},
		{"later it is let in", 5001, 2, 10, Accept, 0},
		{"the clock goes back", 4000, 2, 10, Throttle, 1},
		{"nobody", 5001, 9, 1, Close, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if v, back := d.OnBytes(c.now, c.id, c.bytes); v != c.want || back != c.back {
				t.Errorf("%d, back in %g; want %d, %g", v, back, c.want, c.back)
			}
		})
	}
	d.Accept(0, 7)
	if v, _ := d.OnBytes(0, 7, maxUnauthenticatedBytes); v != Accept {
		t.Error("a stranger's token is not read")
	}
	if v, _ := d.OnBytes(0, 7, 1); v != Close {
		t.Error("a stranger goes on")
	}
}

// TestCounts makes random calls: no connection is counted twice or lost, and there are never too many.
func TestCounts(t *testing.T) {
	for seed := range uint64(200) {
		m := &connModel{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), controller: New(20), slots: map[uint32]int{}}
		for slot := range 3 {
			m.controller.SetLimits(slot, Limits{Share: 1, MaxConns: m.rng.IntN(12)})
		}
		for range 400 {
			m.step()
			m.check()
		}
	}
}

// connModel is a controller and its connections.
type connModel struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	controller *Controller
	slots      map[uint32]int // of connections; unauthenticated: no token was shown
	lastID     uint32
}

// step makes a random call for a random connection.
func (m *connModel) step() {
	id := uint32(m.rng.IntN(int(m.lastID)+1)) + 1
	switch m.rng.IntN(4) {
	case 0, 1:
		m.lastID++
		accepted, closed := m.controller.Accept(0, m.lastID)
		delete(m.slots, closed)
		if accepted {
			m.slots[m.lastID] = unauthenticated
		}
	case 2:
		m.authenticate(id, m.rng.IntN(3))
	case 3:
		m.controller.OnClose(id)
		delete(m.slots, id)
	}
}

func (m *connModel) authenticate(id uint32, slot int) {
	conns := 0
	for _, s := range m.slots {
		if s == slot {
			conns++
		}
	}
	current, ok := m.slots[id]
	mayAdd := current < 0 && conns < m.controller.maxConnsOf(m.controller.tenant(slot))
	got := m.controller.Authenticate(id, slot)
	if got != (ok && (current == slot || mayAdd)) {
		m.t.Fatalf("seed %d: authenticated %t, was %d, has %d", m.seed, got, current, conns)
	}
	if got {
		m.slots[id] = slot
	}
}

func (m *connModel) check() {
	var want [4]int // unauthenticated, and of each tenant
	for _, slot := range m.slots {
		want[slot+1]++
	}
	c := m.controller
	got := [4]int{c.Unauthenticated(), c.Conns(0), c.Conns(1), c.Conns(2)}
	if want != got || len(m.slots) > 20 || got[0] > 5 {
		m.t.Fatalf("seed %d: %v, counted %v", m.seed, want, got)
	}
}
