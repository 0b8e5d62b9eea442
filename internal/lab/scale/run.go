package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"ravenpond/internal/lab/scale/result"
)

// Play runs the phases of a trial on one rig. It writes a result file for each real process and phase to a folder and a summary of
// it to the writer summary. A phase that fails ends the trial with its error; the results of earlier phases remain.
func Play(ctx context.Context, t Trial, phases []Phase, out string, summary io.Writer) (err error) {
	if err := os.MkdirAll(out, 0o750); err != nil {
		return err
	}
	r, err := Start(ctx, t)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Stop()) }()
	for _, phase := range phases {
		results, err := r.Measure(ctx, phase)
		if err != nil {
			return err
		}
		for _, res := range results {
			if err := res.Write(filepath.Join(out, FileName(res))); err != nil {
				return err
			}
			WriteSummary(summary, res)
		}
	}
	return nil
}

// FileName returns the name of a result's file, made from the parameters of the run.
func FileName(r *result.Result) string {
	return fmt.Sprintf("%s-n%d-s%d-t%d-%s-%s-%d.json", r.Dimension, r.Sizes.Nodes, r.Sizes.Schedulers, r.Sizes.RunningTasks, r.Scenario, r.Process, r.Run)
}

// WriteSummary writes a line with a result's main readings, and a line for each reading of propagation.
func WriteSummary(out io.Writer, r *result.Result) {
	value := func(part, name string) float64 { v, _ := r.Value(part, name); return v }
	fmt.Fprintf(out, "%-10s %-8s run %d: %6d nodes %5d schedulers %6d tasks: cpu %.4f cores, resident %.1f MiB, heap %.1f MiB, descriptors %.0f, goroutines %.0f, start p50 %.2f p99 %.2f p99.9 %.2f ms, served %.0f, not %.0f\n",
		r.Dimension, r.Scenario, r.Run, r.Sizes.Nodes, r.Sizes.Schedulers, r.Sizes.RunningTasks, value(PartProcess, NameCPU), value(PartProcess, NameResident)/(1<<20),
		value(PartProcess, NameHeap)/(1<<20), value(PartProcess, NameDescriptors), value(PartProcess, NameGoroutines), value(PartClients, NameP50),
		value(PartClients, NameP99), value(PartClients, NameP999), value(PartClients, NameServed), value(PartClients, NameNotServed))
	for _, reading := range r.Readings {
		if reading.Part == PartPropagation {
			fmt.Fprintf(out, "    %s: %.0f %s\n", reading.Name, reading.Value, reading.Unit)
		}
	}
}
