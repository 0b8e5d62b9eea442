package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestExpiry has a request expire behind a more urgent one that does not.
func TestExpiry(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10})
	if a, _ := q.Submit(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000}); a != Admitted {
		t.Fatal(a)
	}
	q.Submit(0, Request{ID: 2, Cores: 1, Memory: 1, Deadline: 1000})
	q.Submit(0, Request{ID: 3, Urgency: 5, Cores: 1, Memory: 1, Deadline: 9000})
	if at := q.Due(0); at != 1000 {
		t.Errorf("due at %g", at)
	}
	var lapsed []uint64
	note := func(id uint64) { lapsed = append(lapsed, id) }
	if q.Expire(999, note); len(lapsed) > 0 {
		t.Error("too early")
	}
	if _, ok := q.Next(1000, note); ok || len(lapsed) != 1 || lapsed[0] != 2 { // all that may be open is open
		t.Errorf("%t, %v", ok, lapsed)
	}
	if q.Waiting(0) != 1 || q.TotalWaiting() != 1 {
		t.Errorf("%d wait, of %d", q.Waiting(0), q.TotalWaiting())
	}
}

// TestReserve checks that capacity is reserved for a tenant below its share while it submits requests.
func TestReserve(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1) // tenant 0 holds nine tenths
	q.SetFree(0.05, 0.1, 0)
	ask := func(now float64, tenant int, id uint64) Verdict {
		a, _ := q.Submit(now, Request{Tenant: tenant, ID: id, Cores: 1, Memory: 1, Deadline: now + 60000})
		return a
	}
	if a := ask(0, 0, 1); a != Admitted {
		t.Errorf("while nobody else submits: %d", a)
	}
	if a := ask(1, 1, 2); a != Admitted {
		t.Errorf("one that holds nothing: %d", a)
	}
	if a := ask(2, 0, 3); a != Queued {
		t.Errorf("one that holds nine tenths, a moment later: %d", a)
	}
	if _, ok := q.Next(3, nil); ok {
		t.Error("it went on all the same")
	}
	if a := ask(4, 1, 4); a != Admitted {
		t.Errorf("one that holds nothing, past the other queue: %d", a)
	}
	if id, ok := q.Next(4+reserveDuration+1, nil); !ok || id != 3 {
		t.Error("the reserve is kept for nobody")
	}
	q.SetFree(0, 0, 2)
	q.AddHeld(0, 90, 90, -1)
	for range 4 {
		q.Release(0)
	}
	if a := ask(20000, 0, 9); a != Admitted {
		t.Errorf("with nothing open, whatever is said to be free: %d", a)
	}
}

// TestTrickle checks that few requests pass where nothing is free, however soon they are answered: minOpen alone would let hundreds per
// second pass.
func TestTrickle(t *testing.T) {
	q := New(100, 100, 1000)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 1000})
	q.AddHeld(0, 90, 90, 1)
	q.SetFree(-0.1, 0, 4)
	passed := 0
	for now := 0.0; now < 1000; now++ {
		if a, _ := q.Submit(now, Request{ID: uint64(now) + 1, Cores: 0.001, Memory: 0.001, Deadline: now + 60000}); a == Admitted {
			passed++
			q.Release(0)
		} else if _, ok := q.Next(now, nil); ok {
			passed++
			q.Release(0)
		}
	}
	if passed < 1000/trickleInterval-1 || passed > 1000/trickleInterval+1 {
		t.Errorf("%d passed within a second", passed)
	}
}

// TestAvailableBelowShare checks that a tenant below its share gets available capacity while the fill level holds others back.
func TestAvailableBelowShare(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1)
	q.SetFree(-0.2, 0.015, 0)
	want := []Verdict{Queued, Admitted, Admitted, Queued} // the last: nothing is available any more
	for i, tenant := range []int{0, 1, 1, 1} {
		if a, _ := q.Submit(1000+float64(i), Request{Tenant: tenant, ID: uint64(i + 1), Cores: 1, Memory: 1, Deadline: 60000}); a != want[i] {
			t.Errorf("request %d of tenant %d: %d, want %d", i, tenant, a, want[i])
		}
	}
}

// TestReturn returns an admitted request: it goes first again, and costs its tenant nothing.
func TestReturn(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10, Rate: 1, Burst: 2})
	q.Submit(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000})
	q.Submit(0, Request{ID: 2, Cores: 1, Memory: 1, Deadline: 9000})
	clock, tokens := q.tenants[0].clock, q.tenants[0].tokens
	q.Return(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000})
	if q.Open(0) != 0 || q.tenants[0].clock >= clock || q.tenants[0].tokens != tokens+1 {
		t.Errorf("%+v", q.tenants[0])
	}
	if id, ok := q.Next(0, nil); !ok || id != 1 {
		t.Errorf("%d goes on", id)
	}
}

// TestFillController simulates machines that are slow beyond a utilization: the level finds it from above and from below, and a node that
// hangs does not lower it.
func TestFillController(t *testing.T) {
	for _, c := range []struct {
		name        string
		knee        float64 // utilization beyond which answers are slow
		hangs       float64 // fraction of the answers that are slow for another reason
		least, most float64
	}{
		{"all can be taken", 2, 0, maxLevel, maxLevel},
		{"seven tenths can be taken", 0.7, 0, 0.6, 0.76},
		{"a tenth of the answers hang", 2, 0.1, maxLevel, maxLevel},
		{"slow whatever is taken, as the way there is", 0, 0, maxLevel, maxLevel}, // the floor is measured anew
	} {
		t.Run(c.name, func(t *testing.T) {
			f, rng := NewFillController(), rand.New(rand.NewPCG(1, 2))
			for i := range 200 {
				f.OnAnswer(float64(i), 3+rng.Float64(), false)
			}
			now := 200.0
			for range 8000 {
				now += 3
				took := 3 + rng.Float64()
				if f.Level() > c.knee || rng.Float64() < c.hangs {
					took += 300 * rng.Float64()
				}
				f.OnAnswer(now, took, true)
			}
			if p := f.Level(); p < c.least || p > c.most {
				t.Errorf("%g of the room, want %g to %g", p, c.least, c.most)
			}
		})
	}
}

// BenchmarkTenants measures a request that is queued and admitted, and compares it with a plain channel.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{20, 200, 20000} {
		b.Run(fmt.Sprint(n, " tenants"), func(b *testing.B) {
			q := New(1000, 1000, 1)
			for i := range n {
				q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
			}
			q.Submit(0, Request{ID: 0, Cores: 1, Memory: 1, Deadline: 1e12})
			id := uint64(0)
			for i := range n { // all tenants have waiting requests
				id++
				q.Submit(0, Request{Tenant: i, ID: id, Cores: 1, Memory: 1, Deadline: 1e12})
			}
			last := 0
			b.ResetTimer()
			for i := range b.N {
				now := float64(i)
				id++
				q.Submit(now, Request{Tenant: i % n, ID: id, Cores: 1, Memory: 1, Deadline: 1e12})
				q.Release(last)
				if _, ok := q.Next(now, nil); !ok {
					b.Fatal("nothing goes on")
				}
				last = (i + 1) % n
			}
		})
	}
	b.Run("one plain line", func(b *testing.B) {
		line := make(chan uint64, 1000)
		for i := range b.N {
			line <- uint64(i)
			<-line
		}
	})
}
