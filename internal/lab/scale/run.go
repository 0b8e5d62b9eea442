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

// Play runs the phases of a trial on one rig and leaves a result file a real process and phase in a folder. A phase that
// fails is said and ends the trial; results of earlier ones stay.
func Play(ctx context.Context, t Trial, phases []Phase, out string, say io.Writer) (err error) {
	if err := os.MkdirAll(out, 0o750); err != nil {
		return err
	}
	r, err := Begin(ctx, t)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.End()) }()
	for _, phase := range phases {
		results, err := r.Measure(ctx, phase)
		if err != nil {
			return err
		}
		for _, res := range results {
			if err := res.Write(filepath.Join(out, FileName(res))); err != nil {
				return err
			}
			Row(say, res)
		}
	}
	return nil
}

// FileName names the file of a result by what was run.
func FileName(r *result.Result) string {
	return fmt.Sprintf("%s-n%d-s%d-t%d-%s-%s-%d.json", r.Dimension, r.Sizes.Nodes, r.Sizes.Schedulers, r.Sizes.RunningTasks, r.Scenario, r.Process, r.Run)
}

// Row writes a line of a result's chief readings.
func Row(out io.Writer, r *result.Result) {
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
