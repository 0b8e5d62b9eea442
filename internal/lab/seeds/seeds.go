// Package seeds runs a simulation for a range of seeds on several cores.
package seeds

import (
	"context"
	"sync"
	"sync/atomic"
)

// Run calls play for each seed from a to b, b excluded, on the given number of workers until the context ends. The results are in the order
// of the seeds; a seed that was not run has the zero value.
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
