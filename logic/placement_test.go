package logic

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestSelectTop compares the result of selectTop with a stable sort of all candidates.
func TestSelectTop(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		all := make([]candidate, rng.IntN(12))
		for i := range all {
			all[i] = candidate{i, float64(rng.IntN(4))}
		}
		want := slices.Clone(all)
		slices.SortStableFunc(want, func(x, y candidate) int { return int(y.score - x.score) })
		selectTop(all, 3)
		if n := min(3, len(all)); !slices.Equal(all[:n], want[:n]) {
			t.Fatalf("got %v, want the order of the sorted candidates %v for the first three", all, want)
		}
	}
}
