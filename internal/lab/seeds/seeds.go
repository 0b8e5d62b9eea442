// Package seeds plays seeds on several cores.
package seeds

import (
	"context"
	"sync"
	"sync/atomic"
)

// Run plays the seeds from a to b, the latter left out, so many at a time, until the context ends. What came of them is in
// their order; of those that were not played it is the zero value.
func Run[T any](ctx context.Context, a, b uint64, workers int, play func(seed uint64) T) []T {
	all := make([]T, b-a)
	var next atomic.Uint64
	var work sync.WaitGroup
	for range max(1, workers) {
		work.Go(func() {
			for i := next.Add(1) - 1; i < b-a && ctx.Err() == nil; i = next.Add(1) - 1 {
				all[i] = play(a + i)
			}
		})
	}
	work.Wait()
	return all
}
