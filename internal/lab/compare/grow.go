package compare

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"ravenpond/internal/lab/sim"
)

// ClusterSize is a size of the world.
type ClusterSize struct{ Nodes, Schedulers int }

// MeasureGrowth plays calm days of growing size and tells what they cost: CPU time an ask, all of the world's included, and what
// grows with the number of connections alone.
func MeasureGrowth(ctx context.Context, out io.Writer, sizes []ClusterSize, rate, lasts float64) error {
	fmt.Fprintf(out, "calm days of %.0f s, %.0f asks a second, one core; all of the world's cost included\n", lasts/1000, rate)
	fmt.Fprintf(out, "%6s %10s %12s %8s %9s %10s %12s %10s\n", "nodes", "schedulers", "connections", "asks", "served", "us an ask",
		"MiB at end", "seconds")
	for _, z := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s := sim.Script{Seed: 1, Nodes: z.Nodes, Schedulers: z.Schedulers, Shards: 1, ConnectionSharing: "shared", Rate: rate, Duration: lasts}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		v := sim.Simulation{Script: s, CountViolations: true, SettleTime: 1500}.Run()
		took := time.Since(began)
		runtime.ReadMemStats(&after)
		if v.Failure != "" {
			return fmt.Errorf("%d nodes, %d schedulers: %s", z.Nodes, z.Schedulers, v.Failure)
		}
		fmt.Fprintf(out, "%6d %10d %12d %8d %8.1f%% %10.0f %12.0f %10.1f\n", z.Nodes, z.Schedulers, z.Nodes*z.Schedulers, v.Requests,
			100*float64(v.Served)/float64(max(1, v.Requests)), took.Seconds()*1e6/float64(max(1, v.Requests)),
			float64(after.HeapInuse)/(1<<20), took.Seconds())
	}
	return nil
}
