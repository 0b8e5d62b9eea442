package load

import (
	"context"
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenpond/internal/audit"
)

// TestFindCapacity checks the capacity that is found for a simulated scheduler. Every fifth trial is slow, as if the machine had stalled. The result
// must be at most the true capacity and at least 90% of it.
func TestFindCapacity(t *testing.T) {
	objective := Objective{StartP99: 50 * time.Millisecond, ServedFraction: 0.99}
	for _, capacity := range []float64{130, 999, 5000, 7777} {
		trials := 0
		got, err := FindCapacity(context.Background(), 100, 0.05, objective, func(rate float64) (*Figures, error) {
			trials++
			f := &Figures{Requests: 1000, Served: 1000, StartLatency: hdrhistogram.New(1, 1e7, 3), OfferLatency: hdrhistogram.New(1, 1e7, 3)}
			latency := int64(20000)
			if rate > capacity || trials%5 == 0 {
				latency = 80000
			}
			return f, f.StartLatency.RecordValue(latency)
		}, io.Discard)
		if err != nil || got > capacity || got < capacity*0.9 || trials > 40 {
			t.Errorf("capacity %g: got %g after %d trials and error %v, want 90%% to 100%% of it in at most 40 trials", capacity, got, trials, err)
		}
	}
	if _, err := FindCapacity(context.Background(), 100, 0.05, objective, func(float64) (*Figures, error) {
		return &Figures{Requests: 10, Served: 5, Other: 5, StartLatency: hdrhistogram.New(1, 10, 1), OfferLatency: hdrhistogram.New(1, 10, 1)}, nil
	}, io.Discard); err == nil {
		t.Error("got a capacity although no load meets the objective, want an error")
	}
	broken := errors.New("broken")
	if _, err := FindCapacity(context.Background(), 100, 0.05, objective, func(float64) (*Figures, error) { return nil, broken }, io.Discard); !errors.Is(err, broken) {
		t.Error(err)
	}
}

// TestLatencyFromScheduledTime guards against latencies that count from when the load generator sent a request. If the generator is delayed, the
// time that the request waited in it is part of the latency.
func TestLatencyFromScheduledTime(t *testing.T) {
	f := &Figures{OfferLatency: hdrhistogram.New(1, 1e7, 3), StartLatency: hdrhistogram.New(1, 1e7, 3)}
	f.addRecords([]audit.Record{
		{At: 1500, Kind: audit.RequestSent, Token: 7, Client: 1, RequestRef: 1},
		{At: 1510, Kind: audit.PlacementReceived, Token: 7},
		{At: 1520, Kind: audit.ResponseReceived, Client: 1, RequestRef: 1, Detail: "served"},
		{At: 1600, Kind: audit.ResponseReceived, Client: 1, RequestRef: 2, Detail: "served"}, // requested before the measurement
	}, map[uint64]float64{7: 1100}, 1000, 2000)
	if got := float64(f.StartLatency.Max()) / 1000; f.Served != 1 || math.Abs(got-420) > 1 {
		t.Errorf("got %d served after %g ms, want 1 after 420 ms", f.Served, got)
	}
}
