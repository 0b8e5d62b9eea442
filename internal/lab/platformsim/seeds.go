package platformsim

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"ravenpond/internal/lab/seeds"
)

// maxPrinted is the maximum number of failures that Print writes.
const maxPrinted = 20

// Seeds plays the seeds from first up to, but without, end, with the given number of workers. The results are in the order of the seeds; seeds
// that were not played before the context ended are left out.
func Seeds(ctx context.Context, first, end uint64, workers int) []Result {
	results := seeds.Run(ctx, first, end, workers, func(seed uint64) Result { return Play(seed, Faults{}) })
	return slices.DeleteFunc(results, func(r Result) bool { return r.Requests == 0 && r.Failure == "" })
}

// CountFailures returns how many seeds failed.
func CountFailures(results []Result) (n int) {
	for i := range results {
		if results[i].Failure != "" {
			n++
		}
	}
	return n
}

// sumExcused sums up a count of outcomes that were not judged, and counts the seeds that have any.
func sumExcused(results []Result, count func(*Result) int) (outcomes, seeds int) {
	for i := range results {
		if n := count(&results[i]); n > 0 {
			outcomes += n
			seeds++
		}
	}
	return outcomes, seeds
}

// Print writes a summary of results; its last line counts the failed seeds. It returns the writer's error.
func Print(w io.Writer, results []Result) error {
	var b strings.Builder
	printed, requests, served, starts, restored := 0, 0, 0, 0, 0
	for i := range results {
		r := &results[i]
		requests, served, starts, restored = requests+r.Requests, served+r.Served, starts+r.Starts, restored+r.Restored
		if r.Failure != "" && printed < maxPrinted {
			printed++
			fmt.Fprintf(&b, "seed %d: %.1500s\n", r.Seed, r.Failure)
		}
	}
	fmt.Fprintf(&b, "%d seeds of the platform's route: %d asks, %d served, %d starts at nodes, %d found again\n", len(results), requests, served, starts, restored)
	lostReports, lostReportSeeds := sumExcused(results, func(r *Result) int { return r.Undecidable })
	unseen, unseenSeeds := sumExcused(results, func(r *Result) int { return r.UnseenRestarts })
	fmt.Fprintf(&b, "ends not judged: %d in %d seeds whose reports were lost, %d in %d seeds after a restart that nothing showed\n", lostReports, lostReportSeeds, unseen,
		unseenSeeds)
	fmt.Fprintf(&b, "broken: %d\n", CountFailures(results))
	_, err := io.WriteString(w, b.String())
	return err
}
