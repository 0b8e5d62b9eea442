package connadmission

import (
	"math/rand/v2"
	"testing"
)

// TestUnauthenticated fills the listener with connections that present no token, and checks that one that presents its token at once is still
// accepted.
func TestUnauthenticated(t *testing.T) {
	controller := New(40)
	for slot := range 4 {
		controller.SetLimits(slot, Limits{Share: 1})
	}
	oldest := uint32(1)
	for id := uint32(1); id <= 1000; id++ {
		accepted, closed := controller.Accept(float64(id), id)
		if !accepted {
			t.Fatalf("got connection %d rejected, want it accepted", id)
		}
		if closed > 0 {
			for oldest%100 == 0 { // these were authenticated
				oldest++
			}
			if closed != oldest {
				t.Fatalf("got connection %d closed for connection %d, want the oldest, %d", closed, id, oldest)
			}
			oldest++
		}
		if id%100 == 0 && !controller.Authenticate(id, int(id/100)%4) {
			t.Fatalf("got connection %d with a token rejected, want it authenticated", id)
		}
	}
	if controller.Unauthenticated() != 9 || controller.Conns(0)+controller.Conns(1)+controller.Conns(2)+controller.Conns(3) != 10 {
		t.Errorf("got %d connections unauthenticated and %d, %d, %d and %d of the tenants, want 9 and 10 in all", controller.Unauthenticated(), controller.Conns(0), controller.Conns(1), controller.Conns(2), controller.Conns(3))
	}
	if controller.Authenticate(1, 0) {
		t.Error("got a closed connection authenticated, want it rejected")
	}
	if expired := controller.AuthenticationExpired(1000 + authenticationTimeout); len(expired) != 9 || expired[0] != 991 {
		t.Errorf("got connections %v expired, want 9 from 991 on", expired)
	}
}

// TestConns checks the limits of a tenant's connections.
func TestConns(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit Limits
		other int // connections of another tenant of the same share
		want  int
	}{
		{"own limit", Limits{Share: 1, MaxConns: 3}, 0, 3},
		{"not crowded: half of the tenants' connections", Limits{Share: 1}, 0, 15},
		{"crowded: twice the share", Limits{Share: 1}, 15, 10},
		{"crowded, small share: the minimum of two", Limits{Share: 0.001}, 15, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			opener := &connectionOpener{controller: New(40)}
			opener.controller.SetLimits(0, c.limit)
			for slot := 1; slot < 6; slot++ {
				opener.controller.SetLimits(slot, Limits{Share: 1, MaxConns: c.other})
			}
			if got := opener.connectAll(1, c.other); got != c.other {
				t.Fatalf("got %d connections of the other tenant, want %d", got, c.other)
			}
			got := opener.connectAll(0, 60)
			if got != c.want || opener.controller.Conns(0) != c.want || opener.controller.Unauthenticated() != 0 {
				t.Errorf("got %d connections and %d unauthenticated, want %d and 0", got, opener.controller.Unauthenticated(), c.want)
			}
			opener.controller.OnClose(opener.lastID)
			opener.controller.OnClose(uint32(c.other + 1))
			if !opener.connect(0) {
				t.Error("got a connection rejected after one was closed, want it accepted")
			}
		})
	}
}

// connectionOpener opens connections that present their token at once.
type connectionOpener struct {
	controller *Controller
	lastID     uint32
}

// connect opens a connection of a tenant and reports whether it is accepted.
func (x *connectionOpener) connect(slot int) bool {
	x.lastID++
	accepted, _ := x.controller.Accept(0, x.lastID)
	ok := accepted && x.controller.Authenticate(x.lastID, slot)
	if !ok {
		x.controller.OnClose(x.lastID)
	}
	return ok
}

// connectAll opens a number of connections of a tenant and returns how many are accepted.
func (x *connectionOpener) connectAll(slot, conns int) (accepted int) {
	for range conns {
		if x.connect(slot) {
			accepted++
		}
	}
	return accepted
}

// TestListenerFull checks that no further connection is accepted at the limit if all are authenticated.
func TestListenerFull(t *testing.T) {
	controller := New(4)
	for id := uint32(1); id <= 4; id++ {
		controller.SetLimits(int(id), Limits{Share: 1, MaxConns: 4})
		if accepted, _ := controller.Accept(0, id); !accepted || !controller.Authenticate(id, int(id)) {
			t.Fatal("got a connection rejected below the limit, want it authenticated")
		}
	}
	if accepted, _ := controller.Accept(0, 5); accepted {
		t.Error("got a connection accepted beyond the limit, want it rejected")
	}
	controller.OnClose(2)
	if accepted, closed := controller.Accept(0, 5); !accepted || closed != 0 {
		t.Error("got a connection rejected or another one closed below the limit, want it accepted")
	}
	if accepted, closed := controller.Accept(0, 6); !accepted || closed != 5 {
		t.Error("got the unauthenticated connection not closed for a new one, want it closed")
	}
}

// TestBytes checks that a tenant may send a burst and then its rate, that it is throttled beyond them, and that its connection is closed if it
// continues.
func TestBytes(t *testing.T) {
	controller := New(8)
	controller.SetLimits(0, Limits{Share: 1, BytesPerSecond: 10000})
	controller.SetLimits(1, Limits{Share: 1, BytesPerSecond: 10000})
	for id, slot := range []int{0, 0, 1} {
		controller.Accept(0, uint32(id+1))
		controller.Authenticate(uint32(id+1), slot)
	}
	for _, c := range []struct {
		name       string
		now        float64
		id         uint32
		bytes      int
		want       Verdict
		retryAfter float64
	}{
		{"burst", 0, 1, 20000, Accept, 0},
		{"more on another connection of the tenant", 0, 2, 1000, Throttle, 100},
		{"another tenant", 0, 3, 20000, Accept, 0},
		{"before the excess has drained", 100, 1, 500, Throttle, 50},
		{"after the excess has drained", 1000, 1, 500, Accept, 0},
		{"far beyond the burst", 1000, 1, 90000, Close, 0},
		{"again, with the level capped", 1000, 2, 10, Close, 0},
		{"after the level has drained", 5001, 2, 10, Accept, 0},
		{"clock set back", 4000, 2, 10, Throttle, 1},
		{"unknown connection", 5001, 9, 1, Close, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if verdict, retryAfter := controller.OnBytes(c.now, c.id, c.bytes); verdict != c.want || retryAfter != c.retryAfter {
				t.Errorf("got verdict %d and retry after %g ms, want %d and %g", verdict, retryAfter, c.want, c.retryAfter)
			}
		})
	}
	controller.Accept(0, 7)
	if verdict, _ := controller.OnBytes(0, 7, maxUnauthenticatedBytes); verdict != Accept {
		t.Error("got bytes of an unauthenticated connection rejected, want them accepted up to the limit")
	}
	if verdict, _ := controller.OnBytes(0, 7, 1); verdict != Close {
		t.Error("got more bytes of an unauthenticated connection accepted, want it closed")
	}
}

// TestCounts makes random calls and checks that no connection is counted twice or lost, and that the limits are never exceeded.
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

// connModel is a controller under test and the connections that it is expected to have.
type connModel struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	controller *Controller
	slots      map[uint32]int // slot of each connection, or unauthenticated
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
		m.t.Fatalf("seed %d: got authenticated %t for a connection of slot %d and a tenant with %d connections, want the opposite", m.seed, got, current, conns)
	}
	if got {
		m.slots[id] = slot
	}
}

func (m *connModel) check() {
	var want [4]int // numbers of unauthenticated connections and of those of each tenant
	for _, slot := range m.slots {
		want[slot+1]++
	}
	c := m.controller
	got := [4]int{c.Unauthenticated(), c.Conns(0), c.Conns(1), c.Conns(2)}
	if want != got || len(m.slots) > 20 || got[0] > 5 {
		m.t.Fatalf("seed %d: want %v connections, got %v, within the limits of 20 in all and 5 unauthenticated", m.seed, want, got)
	}
}
