package shards

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"ravenpond/internal/lab/load"
)

// ConnectionModes are what shards may share, as the site file names them.
var ConnectionModes = []string{"own", "shared", "informed"}

// Measurements is what to measure.
type Measurements struct {
	Command      []string // that runs a scheduler process
	ShardCounts  []int
	Nodes        int
	Rate         float64       // for latency and CPU time, asks a second
	OverloadRate float64       // for throughput: more than can be carried
	Duration     time.Duration // of each trial
	Requests     int           // of each trial in memory
	Cores        int
	Out          string
}

func withShards(count int, way string) string {
	return strings.Replace(load.Site, "<node-list", fmt.Sprintf("<shards count=\"%d\" connections=%q/>\n  <node-list",
		count, way), 1)
}

// Sockets measures over loopback, with load and stand-ins in this process and the scheduler beside it.
func (t Measurements) Sockets(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "over sockets, %d nodes, %d cores shared by load, stand-ins and scheduler; times in ms\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %-9s %10s %9s %9s %9s %11s %10s\n", "shards", "share", "cpu us", "offer p50", "p99", "p99.9",
		"flood: a s", "start p99")
	for _, way := range ConnectionModes {
		for _, n := range t.ShardCounts {
			if n == 1 && way != ConnectionModes[0] {
				continue // one shard shares with nobody
			}
			tr := load.Trial{
				Command: t.Command, Site: withShards(n, way), Nodes: t.Nodes, Clients: 4, Rate: t.Rate,
				Warm: time.Second, Duration: t.Duration, Services: 200, TaskRuntime: 300, OutDir: t.Out,
			}
			calm, err := load.Run(ctx, tr)
			if err != nil {
				return err
			}
			tr.Rate = t.OverloadRate
			flood, err := load.Run(ctx, tr)
			if err != nil {
				return err
			}
			q := func(p float64) float64 { return float64(calm.OfferLatency.ValueAtQuantile(p)) / 1000 }
			fmt.Fprintf(out, "%6d %-9s %10.1f %9.2f %9.2f %9.2f %11.0f %10.1f%s\n", n, way, float64(calm.CPUPerRequest)/1e3, q(50), q(99),
				q(99.9), float64(flood.Served)/t.Duration.Seconds(), float64(flood.StartLatency.ValueAtQuantile(99))/1000, t.overcommitNote(n))
		}
	}
	return nil
}

func (t Measurements) overcommitNote(shards int) string {
	if shards > t.Cores {
		return "  more shards than cores"
	}
	return ""
}

// Memory measures over an in-memory transport and without the owners' door: what is left is ours. The CPU time is
// that of this whole process, nodes and asking included.
func (t Measurements) Memory(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "in memory, %d nodes, closed loop of 400 asks, %d cores shared with nodes and asking\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %-9s %10s %10s %9s %9s %9s %9s\n", "shards", "share", "served a s", "cpu us", "start p50", "p99",
		"p99.9", "declined")
	for _, way := range ConnectionModes {
		for _, n := range t.ShardCounts {
			if n == 1 && way != ConnectionModes[0] {
				continue
			}
			v, err := Check(ctx, Trial{Shards: n, Connections: way, Requests: t.Requests, Concurrency: 400, Nodes: t.Nodes, Seed: 1})
			if err != nil {
				return err
			}
			q := func(p float64) float64 { return float64(v.Start.ValueAtQuantile(p)) / 1000 }
			fmt.Fprintf(out, "%6d %-9s %10.0f %10.1f %9.2f %9.2f %9.2f %9d%s\n", n, way, float64(v.Served)/v.Elapsed.Seconds(),
				float64(v.CPU.Microseconds())/float64(max(1, v.Served)), q(50), q(99), q(99.9), v.Declined, t.overcommitNote(n))
		}
	}
	return nil
}

// Overload measures what is admitted, in memory: at 80% of what one shard and several carry, and at twice that. What
// they carry is the most that a closed loop gets served.
func (t Measurements) Overload(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "overload in memory, %d nodes, open loop, %d cores shared with nodes and asking; times in ms\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %10s %10s %10s %9s %9s %9s\n", "shards", "asked a s", "served a s", "declined", "start p50", "p99", "p99.9")
	for _, n := range t.ShardCounts {
		tr := Trial{Shards: n, Connections: ConnectionModes[1], Requests: t.Requests, Concurrency: 400, Nodes: t.Nodes, Seed: 1}
		most, err := Check(ctx, tr)
		if err != nil {
			return err
		}
		carries := float64(most.Served) / most.Elapsed.Seconds()
		for _, part := range []float64{0.8, 2} {
			tr.Rate = part * carries
			tr.Requests = int(tr.Rate * t.Duration.Seconds())
			v, err := Check(ctx, tr)
			if err != nil {
				return err
			}
			q := func(p float64) float64 { return float64(v.Start.ValueAtQuantile(p)) / 1000 }
			fmt.Fprintf(out, "%6d %10.0f %10.0f %10d %9.2f %9.2f %9.2f%s\n", n, tr.Rate, float64(v.Served)/t.Duration.Seconds(),
				v.Declined, q(50), q(99), q(99.9), t.overcommitNote(n))
		}
	}
	return nil
}

// CheckMany is the check of a great many allocations at several counts of shards; broken counts all that went wrong.
func CheckMany(ctx context.Context, out io.Writer, asks int, counts []int, seed uint64) (broken int, err error) {
	var sum Result
	fmt.Fprintf(out, "%d asks each, shards that panic, stand still, are added and taken away, a tenth of the keys asked for on two connections\n", asks)
	fmt.Fprintf(out, "%6s %-9s %9s %9s %9s %7s %6s %7s %6s %9s\n", "shards", "share", "asks", "served", "declined", "failed", "harms",
		"resizes", "lives", "seconds")
	for i, n := range counts {
		way := ConnectionModes[1-i%2]
		v, err := Check(ctx, Trial{
			Shards: n, Connections: way, Requests: asks, Concurrency: 1200, Nodes: 16, DuplicateFraction: 0.1,
			FaultInterval: 2 * time.Second, ResizeInterval: time.Second, Seed: seed + uint64(i),
		})
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "%6d %-9s %9d %9d %9d %7d %6d %7d %6d %9.0f\n", n, way, v.Requests, v.Served, v.Declined, v.Failed, v.Faults,
			v.Resizes, v.Incarnations, v.Elapsed.Seconds())
		sum.Duplicates += v.Duplicates
		sum.SecondStarts += v.SecondStarts
		sum.Unanswered += v.Unanswered
		sum.RepeatedAnswers += v.RepeatedAnswers
		sum.StaleEpochs += v.StaleEpochs
	}
	fmt.Fprintf(out, "answers given twice: %d\ntries of an older epoch: %d\nduplicate tries: %d\nsecond starts of run-once: %d\nunanswered: %d\n",
		sum.RepeatedAnswers, sum.StaleEpochs, sum.Duplicates, sum.SecondStarts, sum.Unanswered)
	return sum.RepeatedAnswers + sum.StaleEpochs + sum.Duplicates + sum.SecondStarts + sum.Unanswered, nil
}
