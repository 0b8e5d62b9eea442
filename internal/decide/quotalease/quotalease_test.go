package quotalease

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestNeverAboveLimit draws lease holders that each count all holders or more. All processes together never exceed a limit, and use all of
// it when all hold a lease.
func TestNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 40).Draw(t, "places")
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		lends := rapid.Float64Range(0, 1).Draw(t, "lends")
		share := rapid.IntRange(0, places).Draw(t, "share")
		whole, rate := 0, 0.0
		for i := range places {
			p := Share{Places: places, Index: i, LeasedFraction: lends}
			if i < share {
				p.Sharers = rapid.IntRange(share, places).Draw(t, "reckons")
			}
			whole, rate = whole+p.Count(limit), rate+p.Rate(float64(limit))
		}
		if whole > limit || rate > float64(limit)*(1+1e-9) {
			t.Fatalf("%d of %d, %g a second", whole, limit, rate)
		}
		all, allRate := 0, 0.0
		for i := range places {
			p := Share{Places: places, Index: i, LeasedFraction: lends, Sharers: places}
			all, allRate = all+p.Count(limit), allRate+p.Rate(float64(limit))
		}
		if all != limit || math.Abs(allRate-float64(limit)) > 1e-6 {
			t.Fatalf("with all there %d of %d, %g a second", all, limit, allRate)
		}
	})
}

func TestShare(t *testing.T) {
	for _, c := range []struct {
		name   string
		p      Share
		limit  int
		whole  int
		second float64
	}{
		{"alone in the site", Share{Places: 1, LeasedFraction: 0.5, Sharers: 1}, 10, 10, 10},
		{"all are there", Share{Places: 4, LeasedFraction: 0.5, Sharers: 4}, 16, 4, 4},
		{"one is lost", Share{Places: 4, LeasedFraction: 0.5, Sharers: 3}, 24, 7, 7},
		{"no lease", Share{Places: 4, LeasedFraction: 0.5}, 24, 3, 3},
		{"nothing is leased", Share{Places: 4, Sharers: 2}, 24, 6, 6},
		{"all is leased, no lease here", Share{Places: 4, LeasedFraction: 1}, 24, 0, 0},
		{"too little to be leased", Share{Places: 4, Index: 3, LeasedFraction: 0.5, Sharers: 1}, 3, 0, 1.875},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.p.Count(c.limit); got != c.whole {
				t.Errorf("%d of %d, want %d", got, c.limit, c.whole)
			}
			if got := c.p.Rate(float64(c.limit)); math.Abs(got-c.second) > 1e-9 {
				t.Errorf("%g of %d a second, want %g", got, c.limit, c.second)
			}
		})
	}
}

// TestLease checks that a lease ends by time alone, and that each change is reported once.
func TestLease(t *testing.T) {
	var l Lease
	for _, c := range []struct {
		name    string
		do      func()
		now     float64
		sharers int
		turned  bool
	}{
		{"nothing was ever held", func() {}, 0, 0, false},
		{"a lease", func() { l.Set(3, 100) }, 10, 3, true},
		{"the same again", func() { l.Set(3, 200) }, 90, 3, false},
		{"fewer share", func() { l.Set(2, 300) }, 150, 2, true},
		{"nobody looked since", func() {}, 300, 0, true},
		{"and not yet", func() {}, 301, 0, false},
		{"another", func() { l.Set(2, 400) }, 310, 2, true},
		{"it is given up", func() { l.Set(0, 500) }, 320, 0, true},
	} {
		c.do()
		if n, turned := l.Current(c.now); n != c.sharers || turned != c.turned {
			t.Errorf("%s: %d share, turned %t; want %d, %t", c.name, n, turned, c.sharers, c.turned)
		}
	}
}
