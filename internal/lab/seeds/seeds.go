// Package seeds runs a simulation for a range of seeds on several cores.
package seeds

import (
	"context"
	"sync"
	"sync/atomic"
)

// Run calls run for each seed in [from, to) on the given number of workers until the context ends. The results are in the order of the
// seeds; a seed that was not run has the zero value.
func Run[T any](ctx context.Context, from, to uint64, workers int, run func(seed uint64) T) []T {
	results := make([]T, to-from)
	var next atomic.Uint64
	var running sync.WaitGroup
	for range max(1, workers) {
		running.Go(func() {
			for i := next.Add(1) - 1; i < to-from && ctx.Err() == nil; i = next.Add(1) - 1 {
				results[i] = run(from + i)
			}
		})
	}
	running.Wait()
	return results
}
