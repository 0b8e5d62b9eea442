package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestExpiry checks that a request expires although it waits behind a more urgent one that does not.
func TestExpiry(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10})
	if verdict, _ := q.Submit(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000}); verdict != Admitted {
		t.Fatal(verdict)
	}
	q.Submit(0, Request{ID: 2, Cores: 1, Memory: 1, Deadline: 1000})
	q.Submit(0, Request{ID: 3, Urgency: 5, Cores: 1, Memory: 1, Deadline: 9000})
	if due := q.Due(0); due != 1000 {
		t.Errorf("got due at %g ms, want 1000", due)
	}
	var expired []uint64
	onExpired := func(id uint64) { expired = append(expired, id) }
	if q.Expire(999, onExpired); len(expired) > 0 {
		t.Error("got a request expired before its deadline, want none")
	}
	if _, ok := q.Next(1000, onExpired); ok || len(expired) != 1 || expired[0] != 2 { // the limit of open requests is reached
		t.Errorf("got admission %t and %v expired, want none and [2]", ok, expired)
	}
	if q.Waiting(0) != 1 || q.TotalWaiting() != 1 {
		t.Errorf("got %d waiting requests of the tenant and %d in all, want 1 and 1", q.Waiting(0), q.TotalWaiting())
	}
}

// TestReserve checks that capacity is reserved for a tenant below its share for as long as it submits requests.
func TestReserve(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1) // tenant 0 holds 90% of the capacity
	q.SetFreeCapacity(0.05, 0.1, 0)
	submit := func(now float64, tenant int, id uint64) Verdict {
		verdict, _ := q.Submit(now, Request{Tenant: tenant, ID: id, Cores: 1, Memory: 1, Deadline: now + 60000})
		return verdict
	}
	if verdict := submit(0, 0, 1); verdict != Admitted {
		t.Errorf("tenant above its share while no other submits: got verdict %d, want admitted", verdict)
	}
	if verdict := submit(1, 1, 2); verdict != Admitted {
		t.Errorf("tenant that holds nothing: got verdict %d, want admitted", verdict)
	}
	if verdict := submit(2, 0, 3); verdict != Queued {
		t.Errorf("tenant that holds 90%% of the capacity, after a request of one below its share: got verdict %d, want queued", verdict)
	}
	if _, ok := q.Next(3, nil); ok {
		t.Error("got the waiting request admitted from the reserve, want it to wait")
	}
	if verdict := submit(4, 1, 4); verdict != Admitted {
		t.Errorf("tenant that holds nothing, while the other has a waiting request: got verdict %d, want admitted", verdict)
	}
	if id, ok := q.Next(4+reserveDuration+1, nil); !ok || id != 3 {
		t.Error("waiting request not admitted after the reserve has lapsed, want request 3 admitted")
	}
	q.SetFreeCapacity(0, 0, 2)
	q.AddHeld(0, 90, 90, -1)
	for range 4 {
		q.Release(0)
	}
	if verdict := submit(20000, 0, 9); verdict != Admitted {
		t.Errorf("nothing open and no free capacity: got verdict %d, want admitted", verdict)
	}
}

// TestTrickle checks that few requests are admitted while no capacity is free, even if they are answered at once. With minOpen as the only
// limit, hundreds per second would be admitted.
func TestTrickle(t *testing.T) {
	q := New(100, 100, 1000)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 1000})
	q.AddHeld(0, 90, 90, 1)
	q.SetFreeCapacity(-0.1, 0, 4)
	admitted := 0
	for now := 0.0; now < 1000; now++ {
		if verdict, _ := q.Submit(now, Request{ID: uint64(now) + 1, Cores: 0.001, Memory: 0.001, Deadline: now + 60000}); verdict == Admitted {
			admitted++
			q.Release(0)
		} else if _, ok := q.Next(now, nil); ok {
			admitted++
			q.Release(0)
		}
	}
	if admitted < 1000/trickleInterval-1 || admitted > 1000/trickleInterval+1 {
		t.Errorf("got %d requests admitted within a second, want one per trickleInterval, or 1 more or less", admitted)
	}
}

// TestAvailableBelowShare checks that a tenant below its share gets available capacity while the fill level holds back the others.
func TestAvailableBelowShare(t *testing.T) {
	q := New(100, 100, 1000)
	for i := range 2 {
		q.SetLimits(0, i, Limits{Share: 1, MaxWaiting: 100})
	}
	q.AddHeld(0, 90, 90, 1)
	q.SetFreeCapacity(-0.2, 0.015, 0)
	want := []Verdict{Queued, Admitted, Admitted, Queued} // the last request waits because no capacity is available any more
	for i, tenant := range []int{0, 1, 1, 1} {
		if verdict, _ := q.Submit(1000+float64(i), Request{Tenant: tenant, ID: uint64(i + 1), Cores: 1, Memory: 1, Deadline: 60000}); verdict != want[i] {
			t.Errorf("request %d of tenant %d: got verdict %d, want %d", i, tenant, verdict, want[i])
		}
	}
}

// TestReturn checks that an admitted request that is returned is the first to be admitted again, and that its tenant is not charged for it.
func TestReturn(t *testing.T) {
	q := New(100, 100, 1)
	q.SetLimits(0, 0, Limits{Share: 1, MaxWaiting: 10, Rate: 1, Burst: 2})
	q.Submit(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000})
	q.Submit(0, Request{ID: 2, Cores: 1, Memory: 1, Deadline: 9000})
	clock, tokens := q.tenants[0].clock, q.tenants[0].tokens
	q.Requeue(0, Request{ID: 1, Cores: 1, Memory: 1, Deadline: 9000})
	if q.Open(0) != 0 || q.tenants[0].clock >= clock || q.tenants[0].tokens != tokens+1 {
		t.Errorf("got %+v after the return, want no open request and the cost and the token refunded", q.tenants[0])
	}
	if id, ok := q.Next(0, nil); !ok || id != 1 {
		t.Errorf("got request %d admitted, want request 1", id)
	}
}

// TestFillController simulates machines that become slow above a certain utilization. It checks that the level settles near this utilization
// from above and from below, and that a node that hangs does not lower it.
func TestFillController(t *testing.T) {
	for _, c := range []struct {
		name         string
		knee         float64 // utilization above which answers are slow
		hungFraction float64 // fraction of the answers that are slow for another reason
		low, high    float64
	}{
		{"machines that are never slow", 2, 0, maxLevel, maxLevel},
		{"machines that are slow above 70%", 0.7, 0, 0.6, 0.76},
		{"a tenth of the answers hang", 2, 0.1, maxLevel, maxLevel},
		{"latency that is high at any utilization", 0, 0, maxLevel, maxLevel}, // the floor is measured anew
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, rng := NewFillController(), rand.New(rand.NewPCG(1, 2))
			for i := range 200 {
				controller.OnAnswer(float64(i), 3+rng.Float64(), false)
			}
			now := 200.0
			for range 8000 {
				now += 3
				latency := 3 + rng.Float64()
				if controller.Level() > c.knee || rng.Float64() < c.hungFraction {
					latency += 300 * rng.Float64()
				}
				controller.OnAnswer(now, latency, true)
			}
			if level := controller.Level(); level < c.low || level > c.high {
				t.Errorf("got level %g, want %g to %g", level, c.low, c.high)
			}
		})
	}
}

// BenchmarkTenants measures the time to queue and admit a request, and compares it with that of a plain channel.
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
			lastTenant := 0
			b.ResetTimer()
			for i := range b.N {
				now := float64(i)
				id++
				q.Submit(now, Request{Tenant: i % n, ID: id, Cores: 1, Memory: 1, Deadline: 1e12})
				q.Release(lastTenant)
				if _, ok := q.Next(now, nil); !ok {
					b.Fatal("got no request admitted, want one")
				}
				lastTenant = (i + 1) % n
			}
		})
	}
	b.Run("plain channel", func(b *testing.B) {
		channel := make(chan uint64, 1000)
		for i := range b.N {
			channel <- uint64(i)
			<-channel
		}
	})
}
