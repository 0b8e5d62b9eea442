package connadmission

import (
	"math/rand/v2"
	"testing"
)

// TestStrangers has callers that show no token fill the door: one that shows its token at once is let in all the same.
func TestStrangers(t *testing.T) {
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
			for oldest%100 == 0 { // known
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
		t.Errorf("%d strangers, %d %d %d %d", d.Unauthenticated(), d.Conns(0), d.Conns(1), d.Conns(2), d.Conns(3))
	}
	if d.Authenticate(1, 0) {
		t.Error("one that is gone is let in")
	}
	if late := d.AuthenticationExpired(1000 + authenticationTimeout); len(late) != 9 || late[0] != 991 {
		t.Errorf("%v are late", late)
	}
}

// TestConns holds tenants to their connections.
func TestConns(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit Limits
		other int // connections of another tenant of the same share
		want  int
	}{
		{"its own limit", Limits{Share: 1, MaxConns: 3}, 0, 3},
		{"alone: half of the door", Limits{Share: 1}, 0, 15},
		{"a crowded door: twice its share", Limits{Share: 1}, 15, 10},
		{"a small share: two at least", Limits{Share: 0.001}, 15, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(40)
			id := uint32(0)
			come := func(slot int) bool {
				id++
				in, _ := d.Accept(0, id)
				ok := in && d.Authenticate(id, slot)
				if !ok {
					d.OnClose(id)
				}
				return ok
			}
			d.SetLimits(0, c.limit)
			for slot := 1; slot < 6; slot++ {
				d.SetLimits(slot, Limits{Share: 1, MaxConns: c.other})
			}
			for range c.other {
				if !come(1) {
					t.Fatal("the other was not let in")
				}
			}
			got := 0
			for range 60 {
				if come(0) {
					got++
				}
			}
			if got != c.want || d.Conns(0) != c.want || d.Unauthenticated() != 0 {
				t.Errorf("%d connections, %d strangers; want %d", got, d.Unauthenticated(), c.want)
			}
			d.OnClose(id)
			d.OnClose(uint32(c.other + 1))
			if !come(0) {
				t.Error("not let in after one went")
			}
		})
	}
}

// TestFull turns strangers away when the door is full of those who are known.
func TestFull(t *testing.T) {
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

// TestBytes lets a tenant send so much at once and so much a second, holds back what is beyond, and ends what goes on.
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

// TestCounts draws any order of calls: nothing is counted twice or lost, and the door never holds more than it may.
func TestCounts(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d, of := New(20), map[uint32]int{}
		for slot := range 3 {
			d.SetLimits(slot, Limits{Share: 1, MaxConns: rng.IntN(12)})
		}
		next := uint32(0)
		for range 400 {
			id := uint32(rng.IntN(int(next)+1)) + 1
			switch rng.IntN(4) {
			case 0, 1:
				next++
				in, out := d.Accept(0, next)
				delete(of, out)
				if in {
					of[next] = -1
				}
			case 2:
				slot, had := rng.IntN(3), 0
				for _, s := range of {
					if s == slot {
						had++
					}
				}
				was, ok := of[id]
				if got := d.Authenticate(id, slot); got != (ok && (was == slot || was < 0 && had < d.maxConnsOf(d.tenant(slot)))) {
					t.Fatalf("seed %d: known %t, was %d, has %d", seed, got, was, had)
				} else if got {
					of[id] = slot
				}
			case 3:
				d.OnClose(id)
				delete(of, id)
			}
			var by [4]int
			for _, s := range of {
				by[s+1]++
			}
			if by != [4]int{d.Unauthenticated(), d.Conns(0), d.Conns(1), d.Conns(2)} || len(of) > 20 || d.Unauthenticated() > 5 {
				t.Fatalf("seed %d: %v, counted %d %d %d %d", seed, by, d.Unauthenticated(), d.Conns(0), d.Conns(1), d.Conns(2))
			}
		}
	}
}
