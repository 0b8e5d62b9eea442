package fairqueue

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// plays lets tenants ask at rates and machines work off so many at once, each for 100 ms; it returns what each got done
// and how long its asks waited at most.
func plays(q *Queue, rates []float64, cost [][2]float64, lasts float64) (done []int, waited []float64, declined []int) {
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
				switch a, back := q.Submit(now, t, id, 0, cost[t][0], cost[t][1], now+5000); a {
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

func queue(window int, limits ...Limits) *Queue {
	q := New(100, 100, window)
	for i, l := range limits {
		q.SetLimits(0, i, l)
	}
	return q
}

var one = [2]float64{1, 1}

// TestShares: ten places of 100 ms each are 100 a second.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits []Limits
		rates  []float64
		cost   [][2]float64
		want   []float64 // done a second
	}{
		{"by share", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{75, 25}},
		{"what one leaves is lent", []Limits{{Share: 3, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{20, 300}, [][2]float64{one, one}, []float64{20, 80}},
		{"larger ones cost more", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, {3, 1}}, []float64{75, 25}},
		{"by memory as well", []Limits{{Share: 1, MaxWaiting: 500}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{{1, 4}, one}, []float64{20, 80}},
		{"a rate", []Limits{{Share: 1, MaxWaiting: 500, Rate: 10, Burst: 5}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{10, 90}},
		{"a number open", []Limits{{Share: 9, MaxWaiting: 500, MaxOpen: 2}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{20, 80}},
		{"stopped", []Limits{{Share: 9, MaxWaiting: 500, Blocked: true}, {Share: 1, MaxWaiting: 500}}, []float64{300, 300}, [][2]float64{one, one}, []float64{0, 100}},
	} {
		t.Run(c.name, func(t *testing.T) {
			done, _, _ := plays(queue(10, c.limits...), c.rates, c.cost, 20000)
			for i, want := range c.want {
				if got := float64(done[i]) / 20; math.Abs(got-want) > 0.07*want+1 {
					t.Errorf("tenant %d: %g a second, want %g", i, got, want)
				}
			}
		})
	}
}

// TestCalm floods with one tenant: a calm one with an equal share waits for one place at most, not behind the flood.
func TestCalm(t *testing.T) {
	for _, window := range []int{1, 10, 50} {
		flood := 40 * float64(window)
		done, waited, declined := plays(queue(window, Limits{Share: 1, MaxWaiting: 1000}, Limits{Share: 1, MaxWaiting: 100}),
			[]float64{flood, 3}, [][2]float64{one, one}, 20000)
		if waited[1] > 120+300/float64(window) || declined[1] > 0 || done[1] < 45 {
			t.Errorf("window %d: the calm one waited %g ms at most, %d declined, %d done", window, waited[1], declined[1], done[1])
		}
		if declined[0] == 0 || float64(done[0]+done[1]) < 0.97*200*float64(window)-20 {
			t.Errorf("window %d: %d declined of the flood, %d done: places stood idle", window, declined[0], done[0])
		}
	}
}

// TestIdleIsNotSaved lets a tenant return after a long calm: it must not hold up the other for as long.
func TestIdleIsNotSaved(t *testing.T) {
	q := queue(10, Limits{Share: 1, MaxWaiting: 2000}, Limits{Share: 1, MaxWaiting: 2000})
	plays(q, []float64{300, 0}, [][2]float64{one, one}, 20000)
	for i := range q.tenants {
		q.tenants[i].open = 0
	}
	q.open = 0
	for i := range q.tenants {
		q.RemoveAll(i, func(uint64) {})
	}
	done, _, _ := plays(q, []float64{300, 300}, [][2]float64{one, one}, 4000)
	if float64(done[0]) < 0.4*float64(done[0]+done[1]) {
		t.Errorf("after its calm one got %d, the other %d", done[1], done[0])
	}
}

func TestLine(t *testing.T) {
	q := queue(1, Limits{Share: 1, MaxWaiting: 3})
	var lapsed []uint64
	if a, _ := q.Submit(0, 0, 1, 0, 1, 1, 5000); a != Admitted {
		t.Fatal(a)
	}
	for _, c := range []struct {
		id      uint64
		urgency int
		expiry  float64
		want    Verdict
	}{{2, 0, 5000, Queued}, {3, 2, 5000, Queued}, {4, 1, 200, Queued}, {5, 9, 5000, Shed}} {
		if a, back := q.Submit(10, 0, c.id, c.urgency, 1, 1, c.expiry); a != c.want || a == Shed && back < minRetryAfter {
			t.Errorf("ask %d: %d, back in %g", c.id, a, back)
		}
	}
	if _, ok := q.Next(20, nil); ok {
		t.Error("passed without room")
	}
	q.Release(0)
	if id, ok := q.Next(30, nil); !ok || id != 3 {
		t.Errorf("%d, want the most urgent", id)
	}
	q.Release(0)
	if due := q.Due(40); due != 200 {
		t.Errorf("due at %g, want the expiry of the first", due)
	}
	if id, ok := q.Next(250, func(id uint64) { lapsed = append(lapsed, id) }); !ok || id != 2 || len(lapsed) != 1 || lapsed[0] != 4 {
		t.Errorf("%d, lapsed %v", id, lapsed)
	}
	if a, _ := q.Submit(260, 0, 6, 0, 1, 1, 9000); a != Queued || !q.Remove(6) || q.Remove(6) || q.Waiting(0) != 0 {
		t.Error("not dropped once")
	}
	if a, back := q.Submit(0, 7, 9, 0, 1, 1, 5000); a != Shed || back != maxRetryAfter {
		t.Error("an unknown tenant's ask was taken")
	}
}

// TestPart: parts of a limit sum up to it, whatever the number of processes.
func TestPart(t *testing.T) {
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

// TestNeverOver draws any calls: limits hold at each passing, nothing is counted twice or lost.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 8).Draw(t, "window")
		q := New(10, 10, window)
		limits := make([]Limits, 3)
		set := func(now float64, i int) {
			limits[i] = Limits{
				Share: rapid.Float64Range(0.1, 5).Draw(t, "share"), Rate: float64(rapid.IntRange(0, 50).Draw(t, "rate")),
				Burst: float64(rapid.IntRange(0, 4).Draw(t, "burst")), MaxOpen: rapid.IntRange(0, 4).Draw(t, "open"),
				MaxWaiting: rapid.IntRange(0, 5).Draw(t, "wait"), Blocked: rapid.IntRange(0, 9).Draw(t, "stop") == 0,
			}
			q.SetLimits(now, i, limits[i])
		}
		for i := range limits {
			set(0, i)
		}
		type what struct {
			t     int
			waits bool
		}
		held := map[uint64]what{}
		open := [3]int{}
		now, id := 0.0, uint64(0)
		passes := func(x uint64, i int) {
			open[i]++
			if l := limits[i]; l.MaxOpen > 0 && open[i] > l.MaxOpen || l.Blocked || open[0]+open[1]+open[2] > window {
				t.Fatalf("passed over a limit: %v open, %+v, window %d", open, l, window)
			}
			held[x] = what{i, false}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 100).Draw(t, "ms"))
			i := rapid.IntRange(0, 2).Draw(t, "tenant")
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				id++
				switch a, back := q.Submit(now, i, id, rapid.IntRange(0, 2).Draw(t, "urgency"), 1, 1, now+float64(rapid.IntRange(1, 500).Draw(t, "left"))); a {
				case Admitted:
					passes(id, i)
				case Queued:
					held[id] = what{i, true}
				case Shed:
					if !(back >= minRetryAfter && back <= maxRetryAfter) {
						t.Fatalf("come back in %g ms", back)
					}
				}
			case 2:
				if x, ok := q.Next(now, func(x uint64) {
					if !held[x].waits {
						t.Fatal("one lapsed that did not wait")
					}
					delete(held, x)
				}); ok {
					if !held[x].waits {
						t.Fatal("one passed that did not wait")
					}
					passes(x, held[x].t)
				}
			case 3:
				if open[i] > 0 {
					open[i]--
					q.Release(i)
				}
			case 4:
				for x, h := range held {
					if h.waits != q.Remove(x) {
						t.Fatal("dropped what did not wait, or not what did")
					}
					if h.waits {
						delete(held, x)
					}
					break
				}
			case 5:
				set(now, i)
			}
			for i := range limits {
				n := 0
				for _, h := range held {
					if h.waits && h.t == i {
						n++
					}
				}
				if q.Waiting(i) != n || q.Open(i) != open[i] {
					t.Fatalf("tenant %d: %d wait, counted %d; %d open, counted %d", i, n, q.Waiting(i), open[i], q.Open(i))
				}
			}
		}
	})
}
