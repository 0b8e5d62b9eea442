package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestExpiry lets an ask expire behind a more urgent one that does not: it is given all the same, when its time is up.
func TestExpiry(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10})
	if a, _ := q.Submit(0, 0, 1, 0, 1, 1, 9000); a != Admitted {
		t.Fatal(a)
	}
	q.Submit(0, 0, 2, 0, 1, 1, 1000)
	q.Submit(0, 0, 3, 5, 1, 1, 9000)
	if at := q.Due(0); at != 1000 {
		t.Errorf("due at %g", at)
	}
	var lapsed []uint64
	note := func(id uint64) { lapsed = append(lapsed, id) }
	if q.Expire(999, note); len(lapsed) > 0 {
		t.Error("too early")
	}
	if _, ok := q.Next(1000, note); ok || len(lapsed) != 1 || lapsed[0] != 2 { // the window is full all the while
		t.Errorf("%t, %v", ok, lapsed)
	}
	if q.Waiting(0) != 1 || q.TotalWaiting() != 1 {
		t.Errorf("%d wait, of %d", q.Waiting(0), q.TotalWaiting())
	}
}

// TestReserve holds a tenant that has more than its share to what leaves room for one that has less, while that asks.
func TestReserve(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1) // the first holds nine tenths
	q.SetFree(0.05, 0.1, 0)
	ask := func(now float64, tenant int, id uint64) Verdict {
		a, _ := q.Submit(now, tenant, id, 0, 1, 1, now+60000)
		return a
	}
	if a := ask(0, 0, 1); a != Admitted {
		t.Errorf("while nobody else asks: %d", a)
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
		t.Errorf("one that holds nothing, past the other's line: %d", a)
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
		t.Errorf("with nothing open, whatever the room is said to be: %d", a)
	}
}

// TestTrickle lets few pass where nothing is left, slowly, however soon they are answered: by their number alone hundreds a
// second would, as answers take some ms.
func TestTrickle(t *testing.T) {
	q := New(100, 100, 1000)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 1000})
	q.AddHeld(0, 90, 90, 1)
	q.SetFree(-0.1, 0, 4)
	passed := 0
	for now := 0.0; now < 1000; now++ {
		if a, _ := q.Submit(now, 0, uint64(now)+1, 0, 0.001, 0.001, now+60000); a == Admitted {
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

// TestThere lets a calm tenant have what is there, though others are held back as answers are slow.
func TestThere(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1)
	q.SetFree(-0.2, 0.015, 0)
	want := []Verdict{Queued, Admitted, Admitted, Queued} // the last: nothing is there any more
	for i, tenant := range []int{0, 1, 1, 1} {
		if a, _ := q.Submit(1000+float64(i), tenant, uint64(i+1), 0, 1, 1, 60000); a != want[i] {
			t.Errorf("ask %d of tenant %d: %d, want %d", i, tenant, a, want[i])
		}
	}
}

// TestReturn gives back what passed: it goes first again, and has cost its tenant nothing.
func TestReturn(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10, Rate: 1, Burst: 2})
	q.Submit(0, 0, 1, 0, 1, 1, 9000)
	q.Submit(0, 0, 2, 0, 1, 1, 9000)
	clock, tokens := q.tenants[0].clock, q.tenants[0].tokens
	q.Return(0, 0, 1, 0, 1, 1, 9000)
	if q.Open(0) != 0 || q.tenants[0].clock >= clock || q.tenants[0].tokens != tokens+1 {
		t.Errorf("%+v", q.tenants[0])
	}
	if id, ok := q.Next(0, nil); !ok || id != 1 {
		t.Errorf("%d goes on", id)
	}
}

// TestFill plays machines that take longer the fuller they are: the part that may be taken finds where that begins, from
// above and from below, and a node that hangs does not lower it.
func TestFill(t *testing.T) {
	for _, c := range []struct {
		name        string
		knee        float64 // part of the room beyond which answers are slow
		hangs       float64 // part of the answers that are slow for another reason
		least, most float64
	}{
		{"all can be taken", 2, 0, maxLevel, maxLevel},
		{"seven tenths can be taken", 0.7, 0, 0.6, 0.76},
		{"a tenth of the answers hang", 2, 0.1, maxLevel, maxLevel},
		{"slow whatever is taken, as the way there is", 0, 0, maxLevel, maxLevel}, // the floor is found anew
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

// BenchmarkTenants is what an ask costs that waits and goes on, beside the same through one plain line for all.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{20, 200, 20000} {
		b.Run(fmt.Sprint(n, " tenants"), func(b *testing.B) {
			q := New(1000, 1000, 1)
			for i := range n {
				q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
			}
			q.Submit(0, 0, 0, 0, 1, 1, 1e12)
			id := uint64(0)
			for i := range n { // all have something in their lines
				id++
				q.Submit(0, i, id, 0, 1, 1, 1e12)
			}
			last := 0
			b.ResetTimer()
			for i := range b.N {
				now := float64(i)
				id++
				q.Submit(now, i%n, id, 0, 1, 1, 1e12)
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
