package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestLimiter(t *testing.T) {
	d := NewLimiter(100, []float64{0.5, 0.3, 0.2})
	admit := func(tenant, n int) (taken int, last Verdict) {
		for range n {
			if last = d.Admit(tenant, 5000, 100, true); last == Admitted {
				taken++
			}
		}
		return
	}
	if n, why := admit(0, 200); n != 75 || why != OverShare {
		t.Errorf("a flood of one tenant: %d taken, then %s; want 75, tenant-flood", n, why)
	}
	if n, why := admit(2, 50); n != 25 || why != Full {
		t.Errorf("beside it: %d taken, then %s; want 25, full", n, why)
	}
	d.Release(0)
	if why := d.Admit(1, 50, 100, true); why != TooLate {
		t.Errorf("without time: %s", why)
	}
	if why := d.Admit(1, 500, 100, false); why != TooLarge {
		t.Errorf("without a machine: %s", why)
	}
	if why := d.Admit(1, 500, 100, true); why != Admitted || d.Open() != 100 {
		t.Errorf("after one was released: %s, %d open", why, d.Open())
	}
}

// TestGate simulates a shard behind the gate: how long admitted requests waited, and how many were shed.
func TestGate(t *testing.T) {
	for _, hiccups := range []bool{false, true} {
		calm := simulateGate(0.8/simulatedCost, hiccups, 1)
		if calm.shed > 0.01 {
			t.Errorf("hiccups %v: at 80%% load %.1f%% were shed", hiccups, 100*calm.shed)
		}
		flood := simulateGate(2/simulatedCost, hiccups, 2)
		if flood.p99 > 2*max(calm.p99, 10) || flood.shed < 0.45 || flood.shed > 0.6 {
			t.Errorf("hiccups %v: p99 %.1f ms at twice the load, %.1f at 80%%; %.0f%% shed", hiccups, flood.p99, calm.p99, 100*flood.shed)
		}
	}
}

// simulatedCost is the mean time in ms that a request takes in the simulation.
const simulatedCost = 0.25

// gateResult is the 99th percentile of the waits in ms, and the fraction of the requests that were shed.
type gateResult struct{ p99, shed float64 }

// simulateGate has a shard handle requests of a rate per ms for 20 s, in batches, as fast as it can.
func simulateGate(rate float64, hiccups bool, seed uint64) gateResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	var g Gate
	var waits, queue, batch []float64
	next, ends, all, shed := 1.0, 0.0, 0, 0
	for now := 1.0; now < 20000; {
		if len(batch) == 0 && len(queue) > 0 && now >= ends {
			batch, queue = queue, nil
			ends = now + simulatedCost*float64(len(batch))*(0.5+rng.Float64())
			if hiccups && rng.IntN(300) == 0 {
				ends += 15
			}
		}
		if len(batch) > 0 && ends <= next {
			now = ends
			for _, at := range batch {
				waits = append(waits, now-at)
			}
			g.OnRound(simulatedCost*float64(len(batch)), len(batch))
			batch = nil
			continue
		}
		now = next
		next += rng.ExpFloat64() / rate
		all++
		if g.Admit(now, 0, len(queue)+len(batch)) {
			queue = append(queue, now)
		} else {
			shed++
		}
	}
	slices.Sort(waits)
	return gateResult{waits[len(waits)*99/100], float64(shed) / float64(all)}
}

func TestGateOpensAgain(t *testing.T) {
	var g Gate
	g.OnRound(1, 1)
	if g.Admit(1, 0, defaultBurstDelay+1) || !g.IsOverloaded() || g.Admit(2, 0, defaultStandingDelay+1) {
		t.Error("a queue is not shed")
	}
	if g.Admit(3, 41, 0) {
		t.Error("what lay unread for long was admitted")
	}
	for now := 4.0; now < 2.5*overloadSpan; now++ {
		g.Admit(now, 0, 1)
	}
	if !g.Admit(2.5*overloadSpan, 0, 20) || g.IsOverloaded() {
		t.Error("not open long after the queue was gone")
	}
}

func TestDelayEstimator(t *testing.T) {
	for _, skew := range []float64{0, -5000, 5000} {
		var l DelayEstimator
		for now := 1000.0; now < 60000; now += 100 {
			queue := 0.0
			if now > 20000 && now < 25000 {
				queue = 300
			}
			sent := now - queue - 2 + skew + now/1e5 // a clock that drifts by 10 us per second
			if got := l.OnRequest(now, sent, now, 0); got < queue-0.5 || got > queue+0.5 {
				t.Fatalf("skew %g at %g: waited %g, want %g", skew, now, got, queue)
			}
		}
	}
	for _, c := range []struct {
		name                    string
		sent, wall, pause, want float64
	}{
		{"read at once", 5000, 5002, 0, 0},
		{"clocks that differ", 1000, 5002, 0, 0},
		{"the process was paused", 2000, 5002, 3000, 3000},
		{"and the request came after", 4900, 5002, 3000, 102},
		{"by a clock that is ahead", 9000, 5002, 3000, 0},
	} {
		var l DelayEstimator
		if got := l.OnRequest(1e6, c.sent, c.wall, c.pause); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
		if got := l.OnRequest(1e6+100, c.sent+100-50, c.wall, 0); got != 50+c.want {
			t.Errorf("%s: the next waited %g, want %g", c.name, got, 50+c.want)
		}
	}
}

// TestNewGate has a gate follow a latency objective.
func TestNewGate(t *testing.T) {
	g := NewGate(1000)
	g.OnRound(10, 10)
	for _, c := range []struct {
		name   string
		unread float64
		ahead  int
		want   bool
	}{
		{"usual", 0, 0, true},
		{"a burst", 100, 90, true},
		{"more than that", 100, 110, false},
		{"shed once it is overloaded", 40, 20, false},
		{"what is short goes in", 20, 20, true},
	} {
		if got := g.Admit(0, c.unread, c.ahead); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if !g.IsOverloaded() || g.CostPerRequest() != 1 {
		t.Errorf("overloaded %v, cost %g", g.IsOverloaded(), g.CostPerRequest())
	}
}
