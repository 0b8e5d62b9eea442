package fairqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulate has each tenant submit requests at its rate per second, for a duration in ms. Each admitted request runs for 100 ms. It returns
// for each tenant how many requests were completed, how many ms one waited at most, and how many were shed or expired.
func simulate(q *Queue, rates []float64, costs [][2]float64, duration float64) (done []int, maxWaits []float64, shed []int) {
	rng := rand.New(rand.NewPCG(1, 2))
	done, maxWaits, shed = make([]int, len(rates)), make([]float64, len(rates)), make([]int, len(rates))
	next := make([]float64, len(rates))
	type running struct {
		endsAt float64
		tenant int
	}
	var active []running
	submittedAt := map[uint64]float64{}
	tenantOf := map[uint64]int{}
	id := uint64(0)
	start := func(now float64, id uint64) {
		tenant := tenantOf[id]
		maxWaits[tenant] = max(maxWaits[tenant], now-submittedAt[id])
		active = append(active, running{now + 100, tenant})
	}
	for now := 0.0; now < duration; now++ {
		for len(active) > 0 && active[0].endsAt <= now {
			q.Release(active[0].tenant)
			done[active[0].tenant]++
			active = active[1:]
		}
		for tenant, r := range rates {
			for r > 0 && next[tenant] <= now {
				next[tenant] += rng.ExpFloat64() * 1000 / r
				id++
				submittedAt[id], tenantOf[id] = now, tenant
				switch verdict, retryAfter := q.Submit(now, Request{Tenant: tenant, ID: id, Cores: costs[tenant][0], Memory: costs[tenant][1], Deadline: now + 5000}); verdict {
				case Admitted:
					start(now, id)
				case Shed:
					if retryAfter < minRetryAfter || retryAfter > maxRetryAfter {
						panic(retryAfter)
					}
					shed[tenant]++
				}
			}
		}
		for {
			id, ok := q.Next(now, func(id uint64) { shed[tenantOf[id]]++ })
			if !ok {
				break
			}
			start(now, id)
		}
	}
	return done, maxWaits, shed
}

func newQueue(maxOpen int, limits ...Limits) *Queue {
	q := New(100, 100, maxOpen)
	for i, l := range limits {
		q.SetLimits(0, i, l)
	}
	return q
}

var unitCost = [2]float64{1, 1}

// TestShares checks how many requests of each tenant are completed. At most ten are open at once for 100 ms each, which is 100 per second in
// all.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []Limits
		rates  []float64
		cost   [][2]float64
		want   []float64 // completed requests per second
	}{
		{"in proportion to the shares", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{unitCost, unitCost}, []float64{75, 25}},
		{"one tenant uses what the other leaves", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{20, 300}, [][2]float64{unitCost, unitCost}, []float64{20, 80}},
		{"larger requests cost more", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{unitCost, {3, 1}}, []float64{75, 25}},
		{"memory is the dominant resource", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{{1, 4}, unitCost}, []float64{20, 80}},
		{"limited rate", []Limits{{Share: 1, MaxWaiting: 500, Rate: 10, Burst: 5}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{unitCost, unitCost}, []float64{10, 90}},
		{"limited open requests", []Limits{{Share: 9, MaxWaiting: 500, MaxOpen: 2}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{unitCost, unitCost}, []float64{20, 80}},
		{"blocked tenant", []Limits{{Share: 9, MaxWaiting: 500, Blocked: true}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{unitCost, unitCost}, []float64{0, 100}},
	} {
		t.Run(c.name, func(t *testing.T) {
			done, _, _ := simulate(newQueue(10, c.limits...), c.rates, c.cost, 20000)
			for i, want := range c.want {
				if got := float64(done[i]) / 20; math.Abs(got-want) > 0.07*want+1 {
					t.Errorf("tenant %d: got %g completed requests per second, want %g", i, got, want)
				}
			}
		})
	}
}

// TestBelowShareIsNotStarved checks that a request of a tenant below its share waits for about one running request at most while another one
// of equal share floods the queue, and that the flood still uses the whole capacity.
func TestBelowShareIsNotStarved(t *testing.T) {
	for _, maxOpen := range []int{1, 10, 50} {
		floodRate := 40 * float64(maxOpen)
		done, maxWaits, shed := simulate(newQueue(maxOpen, Limits{Share: 1, MaxWaiting: 1000}, Limits{Share: 1, MaxWaiting: 100}),
			[]float64{floodRate, 3}, [][2]float64{unitCost, unitCost}, 20000)
		if maxWaits[1] > 120+300/float64(maxOpen) || shed[1] > 0 || done[1] < 45 {
			t.Errorf("%d open: the tenant below its share waited up to %g ms, %d requests shed, %d completed; want none shed, 45 or more completed", maxOpen, maxWaits[1], shed[1], done[1])
		}
		if shed[0] == 0 || float64(done[0]+done[1]) < 0.97*200*float64(maxOpen)-20 {
			t.Errorf("%d open: %d requests of the flood shed, %d completed; want some shed and no idle capacity", maxOpen, shed[0], done[0])
		}
	}
}

// TestIdleTimeIsNotSavedUp checks that a tenant that returns after a long idle time does not starve the other tenant for as long.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	q := newQueue(10, Limits{Share: 1, MaxWaiting: 2000}, Limits{Share: 1, MaxWaiting: 2000})
	simulate(q, []float64{300, 0}, [][2]float64{unitCost, unitCost}, 20000)
	for i := range q.tenants {
		q.tenants[i].open = 0
	}
	q.open = 0
	for i := range q.tenants {
		q.RemoveAll(i, func(uint64) {})
	}
	done, _, _ := simulate(q, []float64{300, 300}, [][2]float64{unitCost, unitCost}, 4000)
	if float64(done[0]) < 0.4*float64(done[0]+done[1]) {
		t.Errorf("got %d completed requests of the returning tenant and %d of the other, want at least 40%% of all for the other", done[1], done[0])
	}
}

// request returns a request of tenant 0 for one unit each of cores and memory.
func request(id uint64, urgency int, deadline float64) Request {
	return Request{ID: id, Urgency: urgency, Cores: 1, Memory: 1, Deadline: deadline}
}

// newBusyQueue returns a queue that allows one open request, which is request 1. Requests 2 to 4 wait, and request 5 was shed.
func newBusyQueue(t *testing.T) *Queue {
	t.Helper()
	q := newQueue(1, Limits{Share: 1, MaxWaiting: 3})
	if verdict, _ := q.Submit(0, request(1, 0, 5000)); verdict != Admitted {
		t.Fatal(verdict)
	}
	for _, c := range []struct {
		request Request
		want    Verdict
	}{{request(2, 0, 5000), Queued}, {request(3, 2, 5000), Queued}, {request(4, 1, 200), Queued}, {request(5, 9, 5000), Shed}} {
		if verdict, retryAfter := q.Submit(10, c.request); verdict != c.want || verdict == Shed && retryAfter < minRetryAfter {
			t.Errorf("request %d: got verdict %d and retry after %g ms, want the verdict of the table", c.request.ID, verdict, retryAfter)
		}
	}
	return q
}

func TestQueueOrder(t *testing.T) {
	q := newBusyQueue(t)
	if _, ok := q.Next(20, nil); ok {
		t.Error("got a request admitted without capacity, want none")
	}
	q.Release(0)
	if id, ok := q.Next(30, nil); !ok || id != 3 {
		t.Errorf("got request %d admitted, want request 3, which is the most urgent", id)
	}
	q.Release(0)
	if due := q.Due(40); due != 200 {
		t.Errorf("got due at %g ms, want 200, the earliest deadline", due)
	}
	var expired []uint64
	id, ok := q.Next(250, func(id uint64) { expired = append(expired, id) })
	if !ok || id != 2 || !slices.Equal(expired, []uint64{4}) {
		t.Errorf("got request %d admitted and %v expired, want request 2 and [4]", id, expired)
	}
	if verdict, _ := q.Submit(260, request(6, 0, 9000)); verdict != Queued || !q.Remove(6) || q.Remove(6) || q.Waiting(0) != 0 {
		t.Error("got a request that was not removed exactly once, want it removed by the first of two calls")
	}
}

func TestUnknownTenant(t *testing.T) {
	q := newBusyQueue(t)
	unknown := request(9, 0, 5000)
	unknown.Tenant = 7
	if verdict, retryAfter := q.Submit(0, unknown); verdict != Shed || retryAfter != maxRetryAfter {
		t.Error("got a request of an unknown tenant not shed with the longest retry time, want it shed")
	}
}

// TestDivideLimit checks that the parts of a limit add up to it for any number of processes.
func TestDivideLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, processes := rapid.IntRange(0, 1000).Draw(t, "limit"), rapid.IntRange(1, 40).Draw(t, "processes")
		sum := 0
		for i := range processes {
			part := DivideLimit(limit, processes, i)
			if part < limit/processes || part > limit/processes+1 {
				t.Fatalf("got part %d of limit %d for %d processes, want the quotient or 1 more", part, limit, processes)
			}
			sum += part
		}
		if sum != limit || DivideLimit(limit, processes, processes) != 0 {
			t.Fatalf("limit %d: got parts that add up to %d, want the limit, and 0 for an index out of range", limit, sum)
		}
	})
}
