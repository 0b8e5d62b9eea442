package fairqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulate has tenants submit requests at rates, each of which runs for 100 ms. It returns how many requests of each tenant were done,
// how long they waited at most, and how many were shed.
func simulate(q *Queue, rates []float64, cost [][2]float64, lasts float64) (done []int, waited []float64, declined []int) {
	rng := rand.New(rand.NewPCG(1, 2))
	done, waited, declined = make([]int, len(rates)), make([]float64, len(rates)), make([]int, len(rates))
	next := make([]float64, len(rates))
	type running struct {
		at     float64
		tenant int
	}
	var runs []running
	asked := map[uint64]float64{}
	of := map[uint64]int{}
	id := uint64(0)
	start := func(now float64, id uint64) {
		t := of[id]
		waited[t] = max(waited[t], now-asked[id])
		runs = append(runs, running{now + 100, t})
	}
	for now := 0.0; now < lasts; now++ {
		for len(runs) > 0 && runs[0].at <= now {
			q.Release(runs[0].tenant)
			done[runs[0].tenant]++
			runs = runs[1:]
		}
		for t, r := range rates {
			for r > 0 && next[t] <= now {
				next[t] += rng.ExpFloat64() * 1000 / r
				id++
				asked[id], of[id] = now, t
				switch a, back := q.Submit(now, Request{Tenant: t, ID: id, Cores: cost[t][0], Memory: cost[t][1], Deadline: now + 5000}); a {
				case Admitted:
					start(now, id)
				case Shed:
					if back < minRetryAfter || back > maxRetryAfter {
						panic(back)
					}
					declined[t]++
				}
			}
		}
		for {
			id, ok := q.Next(now, func(id uint64) { declined[of[id]]++ })
			if !ok {
				break
			}
			start(now, id)
		}
	}
	return done, waited, declined
}

func newQueue(window int, limits ...Limits) *Queue {
	q := New(100, 100, window)
	for i, l := range limits {
		q.SetLimits(0, i, l)
	}
	return q
}

var one = [2]float64{1, 1}

// TestShares checks who gets how many requests done: ten at a time for 100 ms each are 100 per second.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []Limits
		rates  []float64
		cost   [][2]float64
		want   []float64 // done per second
	}{
		{"by share", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{75, 25}},
		{"what one leaves is used by the other", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{20, 300}, [][2]float64{one, one}, []float64{20, 80}},
		{"larger ones cost more", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, {3, 1}}, []float64{75, 25}},
		{"by memory as well", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{{1, 4}, one}, []float64{20, 80}},
		{"a rate", []Limits{{Share: 1, MaxWaiting: 500, Rate: 10, Burst: 5}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{10, 90}},
		{"a number open", []Limits{{Share: 9, MaxWaiting: 500, MaxOpen: 2}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{20, 80}},
		{"stopped", []Limits{{Share: 9, MaxWaiting: 500, Blocked: true}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{0, 100}},
	} {
		t.Run(c.name, func(t *testing.T) {
			done, _, _ := simulate(newQueue(10, c.limits...), c.rates, c.cost, 20000)
			for i, want := range c.want {
				if got := float64(done[i]) / 20; math.Abs(got-want) > 0.07*want+1 {
					t.Errorf("tenant %d: %g a second, want %g", i, got, want)
				}
			}
		})
	}
}

// TestBelowShareIsNotStarved has one tenant flood: another one of an equal share waits for one running request at most.
func TestBelowShareIsNotStarved(t *testing.T) {
	for _, window := range []int{1, 10, 50} {
		flood := 40 * float64(window)
		done, waited, declined := simulate(newQueue(window, Limits{Share: 1, MaxWaiting: 1000}, Limits{Share: 1, MaxWaiting: 100}),
			[]float64{flood, 3}, [][2]float64{one, one}, 20000)
		if waited[1] > 120+300/float64(window) || declined[1] > 0 || done[1] < 45 {
			t.Errorf("window %d: the calm one waited %g ms at most, %d declined, %d done", window, waited[1], declined[1], done[1])
		}
		if declined[0] == 0 || float64(done[0]+done[1]) < 0.97*200*float64(window)-20 {
			t.Errorf("window %d: %d declined of the flood, %d done: places stood idle", window, declined[0], done[0])
		}
	}
}

// TestIdleTimeIsNotSavedUp has a tenant return after a long idle time: it must not starve the other for as long.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	q := newQueue(10, Limits{Share: 1, MaxWaiting: 2000}, Limits{Share: 1, MaxWaiting: 2000})
	simulate(q, []float64{300, 0}, [][2]float64{one, one}, 20000)
	for i := range q.tenants {
		q.tenants[i].open = 0
	}
	q.open = 0
	for i := range q.tenants {
		q.RemoveAll(i, func(uint64) {})
	}
	done, _, _ := simulate(q, []float64{300, 300}, [][2]float64{one, one}, 4000)
	if float64(done[0]) < 0.4*float64(done[0]+done[1]) {
		t.Errorf("after its calm one got %d, the other %d", done[1], done[0])
	}
}

// request returns a request of one core and one memory of tenant 0.
func request(id uint64, urgency int, deadline float64) Request {
	return Request{ID: id, Urgency: urgency, Cores: 1, Memory: 1, Deadline: deadline}
}

// newBusyQueue returns a queue of one open request, behind which requests 2 to 4 wait and 5 was shed.
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
			t.Errorf("request %d: %d, retry after %g", c.request.ID, verdict, retryAfter)
		}
	}
	return q
}

func TestQueueOrder(t *testing.T) {
	q := newBusyQueue(t)
	if _, ok := q.Next(20, nil); ok {
		t.Error("admitted without capacity")
	}
	q.Release(0)
	if id, ok := q.Next(30, nil); !ok || id != 3 {
		t.Errorf("%d, want the most urgent", id)
	}
	q.Release(0)
	if due := q.Due(40); due != 200 {
		t.Errorf("due at %g, want the deadline of the first", due)
	}
	var expired []uint64
	id, ok := q.Next(250, func(id uint64) { expired = append(expired, id) })
	if !ok || id != 2 || !slices.Equal(expired, []uint64{4}) {
		t.Errorf("%d, expired %v", id, expired)
	}
	if verdict, _ := q.Submit(260, request(6, 0, 9000)); verdict != Queued || !q.Remove(6) || q.Remove(6) || q.Waiting(0) != 0 {
		t.Error("not removed once")
	}
}

func TestUnknownTenant(t *testing.T) {
	q := newBusyQueue(t)
	unknown := request(9, 0, 5000)
	unknown.Tenant = 7
	if verdict, retryAfter := q.Submit(0, unknown); verdict != Shed || retryAfter != maxRetryAfter {
		t.Error("a request of an unknown tenant was taken")
	}
}

// TestDivideLimit checks that the parts of a limit sum up to it for any number of processes.
func TestDivideLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, processes := rapid.IntRange(0, 1000).Draw(t, "limit"), rapid.IntRange(1, 40).Draw(t, "processes")
		sum := 0
		for i := range processes {
			part := DivideLimit(limit, processes, i)
			if part < limit/processes || part > limit/processes+1 {
				t.Fatalf("part %d of %d by %d", part, limit, processes)
			}
			sum += part
		}
		if sum != limit || DivideLimit(limit, processes, processes) != 0 {
			t.Fatalf("parts of %d sum up to %d", limit, sum)
		}
	})
}
