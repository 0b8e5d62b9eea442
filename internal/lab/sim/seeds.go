package sim

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"time"
)

const (
	progressInterval = 100 // seeds between two updates of the progress line
	maxPrinted       = 20  // most failures that Summary.Print prints
	traceFactor      = 0x9e3779b97f4a7c15
	msPerHour        = 3600e3
)

// Batch is a range of seeds whose scripts are run.
type Batch struct {
	From, To    uint64              // To is excluded
	Workers     int                 // number of runs at a time, limited to the number of cores
	Fault       *ProgramFault       // fault in the program, nil: none
	MaxFailures int                 // the batch stops after this number of failures, 0: it runs all seeds
	Progress    io.Writer           // receives a progress line, unless it is nil
	Change      func(Script) Script // changes each script, unless it is nil
}

// Summary is the result of a batch.
type Summary struct {
	Seeds, Requests, Served int
	Steps                   uint64
	VirtualHours            float64
	Elapsed                 time.Duration
	Trace                   uint64   // hash over the traces of all runs, in order of the seeds
	Failures                []Result // in order of the seeds
}

// batchRun is the state of a running batch.
type batchRun struct {
	Batch
	startedAt time.Time

	mu       sync.Mutex // guards the fields below and writes to Progress
	next     uint64
	results  map[uint64]Result
	failures int
}

// Run runs a batch until all seeds are done, MaxFailures runs have failed, or the context ends. Seeds that were not run are not in the
// summary.
func (b Batch) Run(ctx context.Context) Summary {
	r := &batchRun{Batch: b, startedAt: time.Now(), next: b.From, results: map[uint64]Result{}}
	var workers sync.WaitGroup
	for range max(1, min(b.Workers, runtime.NumCPU())) {
		workers.Go(func() {
			for seed, ok := r.take(ctx); ok; seed, ok = r.take(ctx) {
				r.done(seed, Run(r.script(seed), b.Fault, nil)) //nolint:contextcheck // a run on the virtual clock is not interrupted
			}
		})
	}
	workers.Wait()
	if b.Progress != nil {
		_, _ = fmt.Fprintln(b.Progress)
	}
	return r.summary()
}

func (r *batchRun) script(seed uint64) Script {
	s := Draw(seed)
	if r.Change != nil {
		s = r.Change(s)
	}
	return s
}

// take returns the next seed to run, or false if there is none.
func (r *batchRun) take(ctx context.Context) (seed uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next >= r.To || ctx.Err() != nil || r.MaxFailures > 0 && r.failures >= r.MaxFailures {
		return 0, false
	}
	seed = r.next
	r.next++
	return seed, true
}

func (r *batchRun) done(seed uint64, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[seed] = result
	if result.Failure != "" {
		r.failures++
	}
	if n := len(r.results); r.Progress != nil && n%progressInterval == 0 {
		_, _ = fmt.Fprintf(r.Progress, "\r%d of %d seeds, %d broken, %.0f a second ", n, r.To-r.From, r.failures,
			float64(n)/time.Since(r.startedAt).Seconds())
	}
}

func (r *batchRun) summary() Summary {
	s := Summary{Elapsed: time.Since(r.startedAt)}
	for seed := r.From; seed < r.To; seed++ {
		result, ok := r.results[seed]
		if !ok {
			continue
		}
		s.Seeds++
		s.Requests += result.Requests
		s.Served += result.Served
		s.Steps += result.Steps
		s.VirtualHours += result.VirtualMs / msPerHour
		s.Trace = s.Trace*traceFactor + result.Trace
		if result.Failure != "" {
			s.Failures = append(s.Failures, result)
		}
	}
	return s
}

// Print writes the summary; its last line counts the seeds that failed. It returns the writer's error.
func (s Summary) Print(out io.Writer) error {
	var b strings.Builder
	for i, r := range s.Failures {
		if i == maxPrinted {
			fmt.Fprintf(&b, "and %d more\n", len(s.Failures)-i)
			break
		}
		fmt.Fprintf(&b, "seed %d, %s: %.300s\n", r.Script.Seed, r.failureKind(), r.Failure)
	}
	seconds := s.Elapsed.Seconds()
	fmt.Fprintf(&b, "%d seeds in %.1f s, %.1f a second, %.1f virtual hours a second; %d asks, %d served, %d steps\n", s.Seeds, seconds,
		float64(s.Seeds)/seconds, s.VirtualHours/seconds, s.Requests, s.Served, s.Steps)
	fmt.Fprintf(&b, "trace %016x\nbroken: %d\n", s.Trace, len(s.Failures))
	_, err := io.WriteString(out, b.String())
	return err
}

// failureKind returns what a failure violates: an invariant of the program, or a rule with its number.
func (r Result) failureKind() string {
	if r.FailedRule == 0 {
		return "invariant"
	}
	return fmt.Sprint("rule ", r.FailedRule)
}
