package sim

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Sum is what came of many seeds.
type Sum struct {
	Seeds, Asks, Served int
	Steps               uint64
	Hours               float64 // of virtual time
	Took                time.Duration
	Trace               uint64    // of all their traces, in order of the seeds
	Broken              []Verdict // in order of the seeds
}

// Seeds plays the scripts of the seeds from a to b, the latter left out, on so many cores; it stops after so many that
// broke, if that is not 0.
func Seeds(ctx context.Context, a, b uint64, workers int, plant *Plant, most int, progress io.Writer) Sum {
	return SeedsWith(ctx, a, b, workers, plant, most, progress, func(s Script) Script { return s })
}

// SeedsWith plays the scripts of the seeds after a change that is the same for all.
func SeedsWith(ctx context.Context, a, b uint64, workers int, plant *Plant, most int, progress io.Writer,
	change func(Script) Script,
) Sum {
	var mu sync.Mutex
	next, done := a, map[uint64]Verdict{}
	broken, began := 0, time.Now()
	var work sync.WaitGroup
	for range max(1, min(workers, runtime.NumCPU())) {
		work.Go(func() {
			for {
				mu.Lock()
				if next >= b || ctx.Err() != nil || most > 0 && broken >= most {
					mu.Unlock()
					return
				}
				seed := next
				next++
				mu.Unlock()
				v := Play(change(Draw(seed)), plant, nil)
				mu.Lock()
				done[seed] = v
				if v.Broken != "" {
					broken++
				}
				if n := len(done); progress != nil && n%100 == 0 {
					fmt.Fprintf(progress, "\r%d of %d seeds, %d broken, %.0f a second ", n, b-a, broken,
						float64(n)/time.Since(began).Seconds())
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	if progress != nil {
		fmt.Fprintln(progress)
	}
	sum := Sum{Took: time.Since(began)}
	for seed := a; seed < b; seed++ {
		v, ok := done[seed]
		if !ok {
			continue
		}
		sum.Seeds++
		sum.Asks += v.Asks
		sum.Served += v.Served
		sum.Steps += v.Steps
		sum.Hours += v.Ms / 3600e3
		sum.Trace = sum.Trace*0x9e3779b97f4a7c15 + v.Trace
		if v.Broken != "" {
			sum.Broken = append(sum.Broken, v)
		}
	}
	return sum
}

// Print writes the sum; its last line counts the seeds that broke something.
func (s Sum) Print(out io.Writer) {
	for i, v := range s.Broken {
		if i == 20 {
			fmt.Fprintf(out, "and %d more\n", len(s.Broken)-i)
			break
		}
		fmt.Fprintf(out, "seed %d, %s: %.300s\n", v.Script.Seed, v.what(), v.Broken)
	}
	seconds := s.Took.Seconds()
	fmt.Fprintf(out, "%d seeds in %.1f s, %.1f a second, %.1f virtual hours a second; %d asks, %d served, %d steps\n", s.Seeds, seconds,
		float64(s.Seeds)/seconds, s.Hours/seconds, s.Asks, s.Served, s.Steps)
	fmt.Fprintf(out, "trace %016x\nbroken: %d\n", s.Trace, len(s.Broken))
}

func (v Verdict) what() string {
	if v.Rule == 0 {
		return "invariant"
	}
	return fmt.Sprint("rule ", v.Rule)
}
