package sim

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Summary is what came of many seeds.
type Summary struct {
	Seeds, Requests, Served int
	Steps                   uint64
	VirtualHours            float64 // of virtual time
	Elapsed                 time.Duration
	Trace                   uint64   // of all their traces, in order of the seeds
	Failures                []Result // in order of the seeds
}

// RunSeeds plays the scripts of the seeds from a to b, the latter left out, on so many cores; it stops after so many that
// broke, if that is not 0.
func RunSeeds(ctx context.Context, a, b uint64, workers int, plant *ProgramFault, most int, progress io.Writer) Summary {
	return RunSeedsWith(ctx, a, b, workers, plant, most, progress, func(s Script) Script { return s })
}

// RunSeedsWith plays the scripts of the seeds after a change that is the same for all.
func RunSeedsWith(ctx context.Context, a, b uint64, workers int, plant *ProgramFault, most int, progress io.Writer,
	change func(Script) Script,
) Summary {
	var mu sync.Mutex
	next, done := a, map[uint64]Result{}
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
				v := Run(change(Draw(seed)), plant, nil)
				mu.Lock()
				done[seed] = v
				if v.Failure != "" {
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
	sum := Summary{Elapsed: time.Since(began)}
	for seed := a; seed < b; seed++ {
		v, ok := done[seed]
		if !ok {
			continue
		}
		sum.Seeds++
		sum.Requests += v.Requests
		sum.Served += v.Served
		sum.Steps += v.Steps
		sum.VirtualHours += v.VirtualMs / 3600e3
		sum.Trace = sum.Trace*0x9e3779b97f4a7c15 + v.Trace
		if v.Failure != "" {
			sum.Failures = append(sum.Failures, v)
		}
	}
	return sum
}

// Print writes the sum; its last line counts the seeds that broke something.
func (s Summary) Print(out io.Writer) {
	for i, v := range s.Failures {
		if i == 20 {
			fmt.Fprintf(out, "and %d more\n", len(s.Failures)-i)
			break
		}
		fmt.Fprintf(out, "seed %d, %s: %.300s\n", v.Script.Seed, v.kind(), v.Failure)
	}
	seconds := s.Elapsed.Seconds()
	fmt.Fprintf(out, "%d seeds in %.1f s, %.1f a second, %.1f virtual hours a second; %d asks, %d served, %d steps\n", s.Seeds, seconds,
		float64(s.Seeds)/seconds, s.VirtualHours/seconds, s.Requests, s.Served, s.Steps)
	fmt.Fprintf(out, "trace %016x\nbroken: %d\n", s.Trace, len(s.Failures))
}

func (v Result) kind() string {
	if v.FailedRule == 0 {
		return "invariant"
	}
	return fmt.Sprint("rule ", v.FailedRule)
}
