package quotalease

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestNeverAboveLimit draws lease holders, each of which counts at least all holders. All processes together never exceed a limit, and they
// use all of it when all of them hold a lease.
func TestNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 40).Draw(t, "processes")
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		leasedFraction := rapid.Float64Range(0, 1).Draw(t, "leased fraction")
		holders := rapid.IntRange(0, processes).Draw(t, "holders")
		count, rate := 0, 0.0
		for i := range processes {
			share := Share{Processes: processes, Index: i, LeasedFraction: leasedFraction}
			if i < holders {
				share.Sharers = rapid.IntRange(holders, processes).Draw(t, "sharers")
			}
			count, rate = count+share.Count(limit), rate+share.Rate(float64(limit))
		}
		if count > limit || rate > float64(limit)*(1+1e-9) {
			t.Fatalf("all parts add up to %d of the limit %d, and to a rate of %g, want no more than the limit", count, limit, rate)
		}
		fullCount, fullRate := 0, 0.0
		for i := range processes {
			share := Share{Processes: processes, Index: i, LeasedFraction: leasedFraction, Sharers: processes}
			fullCount, fullRate = fullCount+share.Count(limit), fullRate+share.Rate(float64(limit))
		}
		if fullCount != limit || math.Abs(fullRate-float64(limit)) > 1e-6 {
			t.Fatalf("with a lease for each process, all parts add up to %d of the limit %d, and to a rate of %g, want the limit", fullCount, limit, fullRate)
		}
	})
}

func TestShare(t *testing.T) {
	for _, c := range []struct {
		name      string
		p         Share
		limit     int
		wantCount int
		wantRate  float64
	}{
		{"a site of one process", Share{Processes: 1, LeasedFraction: 0.5, Sharers: 1}, 10, 10, 10},
		{"all processes share", Share{Processes: 4, LeasedFraction: 0.5, Sharers: 4}, 16, 4, 4},
		{"all processes but one share", Share{Processes: 4, LeasedFraction: 0.5, Sharers: 3}, 24, 7, 7},
		{"no lease", Share{Processes: 4, LeasedFraction: 0.5}, 24, 3, 3},
		{"no leased fraction", Share{Processes: 4, Sharers: 2}, 24, 6, 6},
		{"everything is leased, no lease", Share{Processes: 4, LeasedFraction: 1}, 24, 0, 0},
		{"a limit too small to be leased", Share{Processes: 4, Index: 3, LeasedFraction: 0.5, Sharers: 1}, 3, 0, 1.875},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.p.Count(c.limit); got != c.wantCount {
				t.Errorf("got %d of the limit %d, want %d", got, c.limit, c.wantCount)
			}
			if got := c.p.Rate(float64(c.limit)); math.Abs(got-c.wantRate) > 1e-9 {
				t.Errorf("got a rate of %g of the limit %d, want %g", got, c.limit, c.wantRate)
			}
		})
	}
}

// TestLease checks that a lease expires by time alone, and that each change of the number of sharers is reported once.
func TestLease(t *testing.T) {
	var l Lease
	for _, c := range []struct {
		name    string
		do      func()
		now     float64
		sharers int
		changed bool
	}{
		{"no lease was ever set", func() {}, 0, 0, false},
		{"a lease is set", func() { l.Set(3, 100) }, 10, 3, true},
		{"the lease is renewed", func() { l.Set(3, 200) }, 90, 3, false},
		{"fewer share", func() { l.Set(2, 300) }, 150, 2, true},
		{"the lease has expired", func() {}, 300, 0, true},
		{"the expiry was already reported", func() {}, 301, 0, false},
		{"another lease is set", func() { l.Set(2, 400) }, 310, 2, true},
		{"the lease is given up", func() { l.Set(0, 500) }, 320, 0, true},
	} {
		c.do()
		if sharers, changed := l.Current(c.now); sharers != c.sharers || changed != c.changed {
			t.Errorf("%s: got %d sharers, changed %t; want %d, %t", c.name, sharers, changed, c.sharers, c.changed)
		}
	}
}
