package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestLimiter(t *testing.T) {
	limiter := NewLimiter(100, []float64{0.5, 0.3, 0.2})
	admit := func(tenant, requests int) (admitted int, last Verdict) {
		for range requests {
			if last = limiter.Admit(tenant, 5000, 100, true); last == Admitted {
				admitted++
			}
		}
		return
	}
	if got, verdict := admit(0, 200); got != 75 || verdict != OverShare {
		t.Errorf("flood of one tenant: got %d admitted, then %s; want 75, then tenant-flood", got, verdict)
	}
	if got, verdict := admit(2, 50); got != 25 || verdict != Full {
		t.Errorf("another tenant during the flood: got %d admitted, then %s; want 25, then full", got, verdict)
	}
	limiter.Release(0)
	if verdict := limiter.Admit(1, 50, 100, true); verdict != TooLate {
		t.Errorf("request with too little time left: got %s, want too-late", verdict)
	}
	if verdict := limiter.Admit(1, 500, 100, false); verdict != TooLarge {
		t.Errorf("request that fits no machine: got %s, want too-large", verdict)
	}
	if verdict := limiter.Admit(1, 500, 100, true); verdict != Admitted || limiter.Open() != 100 {
		t.Errorf("request after a release: got %s, %d open; want taken, 100 open", verdict, limiter.Open())
	}
}

// TestGate simulates a shard behind the gate, at 80% and at 200% of its capacity, with and without stalls. It checks how long admitted requests
// wait and how many are shed.
func TestGate(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		normal := simulateGate(0.8/simulatedCost, stalls, 1)
		if normal.shed > 0.01 {
			t.Errorf("stalls %v: at 80%% load got %.1f%% shed, want at most 1%%", stalls, 100*normal.shed)
		}
		overload := simulateGate(2/simulatedCost, stalls, 2)
		if overload.p99 > 2*max(normal.p99, 10) || overload.shed < 0.45 || overload.shed > 0.6 {
			t.Errorf("stalls %v: got p99 %.1f ms at 200%% load and %.1f ms at 80%%, %.0f%% shed; want p99 at most double that at 80%% or 20 ms, and 45%% to 60%% shed", stalls, overload.p99, normal.p99, 100*overload.shed)
		}
	}
}

// simulatedCost is the mean time in ms that a request takes in the simulation.
const simulatedCost = 0.25

// gateResult holds the 99th percentile of the waits in ms and the fraction of requests that were shed.
type gateResult struct{ p99, shed float64 }

// simulateGate simulates for 20 s a shard that handles requests, which arrive at a rate per ms, in batches. With stalls, it occasionally stalls
// for 15 ms.
func simulateGate(rate float64, stalls bool, seed uint64) gateResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	var gate Gate
	var waits, queue, batch []float64
	next, endsAt, total, shed := 1.0, 0.0, 0, 0
	for now := 1.0; now < 20000; {
		if len(batch) == 0 && len(queue) > 0 && now >= endsAt {
			batch, queue = queue, nil
			endsAt = now + simulatedCost*float64(len(batch))*(0.5+rng.Float64())
			if stalls && rng.IntN(300) == 0 {
				endsAt += 15
			}
		}
		if len(batch) > 0 && endsAt <= next {
			now = endsAt
			for _, at := range batch {
				waits = append(waits, now-at)
			}
			gate.OnRound(simulatedCost*float64(len(batch)), len(batch))
			batch = nil
			continue
		}
		now = next
		next += rng.ExpFloat64() / rate
		total++
		if gate.Admit(now, 0, len(queue)+len(batch)) {
			queue = append(queue, now)
		} else {
			shed++
		}
	}
	slices.Sort(waits)
	return gateResult{waits[len(waits)*99/100], float64(shed) / float64(total)}
}

func TestGateRecovers(t *testing.T) {
	var gate Gate
	gate.OnRound(1, 1)
	if gate.Admit(1, 0, defaultBurstDelay+1) || !gate.IsOverloaded() || gate.Admit(2, 0, defaultStandingDelay+1) {
		t.Error("got a request admitted beyond the burst or the standing delay, or no overload; want both shed under overload")
	}
	if gate.Admit(3, 41, 0) {
		t.Error("got a request admitted that lay unread for 41 ms, want it shed")
	}
	for now := 4.0; now < 2.5*overloadWindow; now++ {
		gate.Admit(now, 0, 1)
	}
	if !gate.Admit(2.5*overloadWindow, 0, 20) || gate.IsOverloaded() {
		t.Error("got a request shed long after the queue has emptied, want it admitted")
	}
}

func TestDelayEstimator(t *testing.T) {
	for _, skew := range []float64{0, -5000, 5000} {
		var estimator DelayEstimator
		for now := 1000.0; now < 60000; now += 100 {
			queue := 0.0
			if now > 20000 && now < 25000 {
				queue = 300
			}
			sent := now - queue - 2 + skew + now/1e5 // the clock drifts by 10 us per second
			if got := estimator.OnRequest(now, sent, now, 0); got < queue-0.5 || got > queue+0.5 {
				t.Fatalf("skew %g ms at %g ms: got delay %g ms, want %g", skew, now, got, queue)
			}
		}
	}
	for _, c := range []struct {
		name                    string
		sent, wall, pause, want float64
	}{
		{"read at once", 5000, 5002, 0, 0},
		{"differing clocks without a pause", 1000, 5002, 0, 0},
		{"sent during a pause of the process", 2000, 5002, 3000, 3000},
		{"sent near the end of the pause", 4900, 5002, 3000, 102},
		{"client clock ahead", 9000, 5002, 3000, 0},
	} {
		var estimator DelayEstimator
		if got := estimator.OnRequest(1e6, c.sent, c.wall, c.pause); got != c.want {
			t.Errorf("%s: got delay %g ms, want %g", c.name, got, c.want)
		}
		if got := estimator.OnRequest(1e6+100, c.sent+100-50, c.wall, 0); got != 50+c.want {
			t.Errorf("%s: got delay %g ms of the next request, want %g", c.name, got, 50+c.want)
		}
	}
}

// TestNewGate checks that the limits of a gate follow its latency objective.
func TestNewGate(t *testing.T) {
	gate := NewGate(1000)
	gate.OnRound(10, 10)
	for _, c := range []struct {
		name   string
		unread float64
		ahead  int
		want   bool
	}{
		{"empty queue", 0, 0, true},
		{"burst within the limit", 100, 90, true},
		{"burst beyond the limit", 100, 110, false},
		{"beyond the standing delay under overload", 40, 20, false},
		{"within the standing delay under overload", 20, 20, true},
	} {
		if got := gate.Admit(0, c.unread, c.ahead); got != c.want {
			t.Errorf("%s: got admitted %v, want the opposite", c.name, got)
		}
	}
	if !gate.IsOverloaded() || gate.CostPerRequest() != 1 {
		t.Errorf("got overloaded %v and cost %g ms, want true and 1", gate.IsOverloaded(), gate.CostPerRequest())
	}
}
