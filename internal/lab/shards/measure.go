package shards

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"ravenpond/internal/lab/load"
)

// ConnectionModes are the modes of sharing connections to nodes among shards, as the site file names them.
var ConnectionModes = []string{"own", "shared", "informed"}

// Measurements says what to measure.
type Measurements struct {
	Command      []string // that runs a scheduler process, without its arguments
	ShardCounts  []int
	Nodes        int
	Rate         float64       // for latency and CPU time, requests per second
	OverloadRate float64       // for throughput, above capacity, requests per second
	Duration     time.Duration // of each trial
	Requests     int           // of each closed-loop trial in memory
	Cores        int
	Out          string
}

func withShards(count int, mode string) string {
	return strings.Replace(load.Site, "<node-list", fmt.Sprintf("<shards count=\"%d\" connections=%q/>\n  <node-list",
		count, mode), 1)
}

// Sockets measures over loopback, with load and stand-ins in this process and the scheduler in its own.
func (t Measurements) Sockets(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "over sockets, %d nodes, %d cores shared by load, stand-ins and scheduler; times in ms\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %-9s %10s %9s %9s %9s %11s %10s\n", "shards", "share", "cpu us", "offer p50", "p99", "p99.9",
		"flood: a s", "start p99")
	for _, mode := range ConnectionModes {
		for _, n := range t.ShardCounts {
			if n == 1 && mode != ConnectionModes[0] {
				continue // A single shard has no other to share with.
			}
			tr := load.Trial{
				Command: t.Command, Site: withShards(n, mode), Nodes: t.Nodes, Clients: 4, Rate: t.Rate,
				Warm: time.Second, Duration: t.Duration, Services: 200, TaskRuntime: 300, OutDir: t.Out,
			}
			normal, err := load.Run(ctx, tr)
			if err != nil {
				return err
			}
			tr.Rate = t.OverloadRate
			overload, err := load.Run(ctx, tr)
			if err != nil {
				return err
			}
			q := func(p float64) float64 { return float64(normal.OfferLatency.ValueAtQuantile(p)) / 1000 }
			fmt.Fprintf(out, "%6d %-9s %10.1f %9.2f %9.2f %9.2f %11.0f %10.1f%s\n", n, mode, float64(normal.CPUPerRequest)/1e3, q(50), q(99),
				q(99.9), float64(overload.Served)/t.Duration.Seconds(), float64(overload.StartLatency.ValueAtQuantile(99))/1000, t.overcommitNote(n))
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

// Memory measures over an in-memory transport and without the clients' listener, so that only the scheduler's own cost is left. The CPU time
// is that of this whole process, with nodes and load.
func (t Measurements) Memory(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "in memory, %d nodes, closed loop of 400 asks, %d cores shared with nodes and asking\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %-9s %10s %10s %9s %9s %9s %9s\n", "shards", "share", "served a s", "cpu us", "start p50", "p99",
		"p99.9", "declined")
	for _, mode := range ConnectionModes {
		for _, n := range t.ShardCounts {
			if n == 1 && mode != ConnectionModes[0] {
				continue
			}
			v, err := Check(ctx, Trial{Shards: n, Connections: mode, Requests: t.Requests, Concurrency: 400, Nodes: t.Nodes, Seed: 1})
			if err != nil {
				return err
			}
			q := func(p float64) float64 { return float64(v.Start.ValueAtQuantile(p)) / 1000 }
			fmt.Fprintf(out, "%6d %-9s %10.0f %10.1f %9.2f %9.2f %9.2f %9d%s\n", n, mode, float64(v.Served)/v.Elapsed.Seconds(),
				float64(v.CPU.Microseconds())/float64(max(1, v.Served)), q(50), q(99), q(99.9), v.Declined, t.overcommitNote(n))
		}
	}
	return nil
}

// Overload measures admission in memory, for each count of shards at 80% and at 200% of their capacity. Their capacity is the rate that a
// closed loop gets served.
func (t Measurements) Overload(ctx context.Context, out io.Writer) error {
	fmt.Fprintf(out, "overload in memory, %d nodes, open loop, %d cores shared with nodes and asking; times in ms\n", t.Nodes, t.Cores)
	fmt.Fprintf(out, "%6s %10s %10s %10s %9s %9s %9s\n", "shards", "asked a s", "served a s", "declined", "start p50", "p99", "p99.9")
	for _, n := range t.ShardCounts {
		tr := Trial{Shards: n, Connections: ConnectionModes[1], Requests: t.Requests, Concurrency: 400, Nodes: t.Nodes, Seed: 1}
		peak, err := Check(ctx, tr)
		if err != nil {
			return err
		}
		capacity := float64(peak.Served) / peak.Elapsed.Seconds()
		for _, fraction := range []float64{0.8, 2} {
			tr.Rate = fraction * capacity
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

// CheckMany runs the check with many allocations at several counts of shards, and returns the number of violations.
func CheckMany(ctx context.Context, out io.Writer, requests int, counts []int, seed uint64) (violations int, err error) {
	var sum Result
	fmt.Fprintf(out, "%d asks each, shards that panic, stand still, are added and taken away, a tenth of the keys asked for on two connections\n", requests)
	fmt.Fprintf(out, "%6s %-9s %9s %9s %9s %7s %6s %7s %6s %9s\n", "shards", "share", "asks", "served", "declined", "failed", "harms",
		"resizes", "lives", "seconds")
	for i, n := range counts {
		mode := ConnectionModes[1-i%2]
		v, err := Check(ctx, Trial{
			Shards: n, Connections: mode, Requests: requests, Concurrency: 1200, Nodes: 16, DuplicateFraction: 0.1,
			FaultInterval: 2 * time.Second, ResizeInterval: time.Second, Seed: seed + uint64(i),
		})
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "%6d %-9s %9d %9d %9d %7d %6d %7d %6d %9.0f\n", n, mode, v.Requests, v.Served, v.Declined, v.Failed, v.Faults,
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
