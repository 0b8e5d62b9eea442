package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/google/renameio/v2"

	"ravenpond/internal/lab/compare"
)

// compareCommand compares two policies.
type compareCommand struct {
	A      string  `arg:"" help:"First policy: design, random, least-loaded or best-of-two."`
	B      string  `arg:"" help:"Second policy."`
	Days   int     `default:"40" help:"Number of days, each with a seed of its own."`
	Seed   uint64  `default:"1" help:"First seed."`
	Nodes  int     `default:"10" help:"Number of nodes."`
	Load   float64 `default:"0.7" help:"Fraction of the capacity that is used."`
	Faults bool    `default:"true" negatable:"" help:"Inject random faults drawn from the seeds."`
	Report string  `type:"path" help:"Write an HTML report with plots to this file."`
}

// Run simulates the days with both policies, prints the differences and writes the report.
func (c *compareCommand) Run(ctx context.Context) error {
	if c.Days < 1 || c.Nodes < 1 || !(c.Load > 0) {
		return errors.New("--days, --nodes and --load must be above 0")
	}
	var seeds []uint64
	for i := range c.Days {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	comparison, err := compare.Run(ctx, compare.Config{A: c.A, B: c.B, Seeds: seeds, Nodes: c.Nodes, Load: c.Load, Faults: c.Faults})
	if err != nil {
		return err
	}
	comparison.Print(os.Stdout)
	if c.Report == "" {
		return nil
	}
	var report bytes.Buffer
	if err := comparison.Report(&report); err != nil {
		return err
	}
	return renameio.WriteFile(c.Report, report.Bytes(), 0o640)
}

// orderCommand ranks policies for each kind of fault.
type orderCommand struct {
	Days  int     `default:"20" help:"Number of days for each kind of fault."`
	Nodes int     `default:"10" help:"Number of nodes."`
	Load  float64 `default:"0.7" help:"Fraction of the capacity that is used."`
}

// Run simulates the days and prints the ranks.
func (c *orderCommand) Run(ctx context.Context) error {
	if c.Days < 2 || c.Nodes < 1 || !(c.Load > 0) {
		return errors.New("--days must be at least 2, --nodes and --load above 0")
	}
	all, err := compare.Rank(ctx, c.Days, c.Nodes, c.Load, runtime.NumCPU())
	if err != nil {
		return err
	}
	compare.PrintRankings(os.Stdout, all)
	return nil
}

// growCommand measures the cost of simulations of growing clusters.
type growCommand struct {
	Nodes        []int    `default:"20,40,80,160,320,640,1300" help:"Numbers of nodes, each simulated with one scheduler."`
	Schedulers   []int    `default:"1,2,4,8,16,32,64" help:"Numbers of schedulers, each simulated with 40 nodes."`
	FurtherSizes []string `name:"both" help:"Further sizes, NODESxSCHEDULERS, such as 1300x300."`
	Rate         float64  `default:"200" help:"Requests per second of all clients together."`
	DurationMs   float64  `name:"last" default:"4000" help:"Length of each simulation, in ms of virtual time."`
}

// Run simulates each size and prints a row for it.
func (c *growCommand) Run(ctx context.Context) error {
	var sizes []compare.ClusterSize
	for _, nodes := range c.Nodes {
		sizes = append(sizes, compare.ClusterSize{Nodes: nodes, Schedulers: 1})
	}
	for _, schedulers := range c.Schedulers {
		sizes = append(sizes, compare.ClusterSize{Nodes: 40, Schedulers: schedulers})
	}
	for _, text := range c.FurtherSizes {
		var size compare.ClusterSize
		if n, err := fmt.Sscanf(text, "%dx%d", &size.Nodes, &size.Schedulers); n != 2 || err != nil {
			return fmt.Errorf("--both %q: want NODESxSCHEDULERS, such as 1300x300", text)
		}
		sizes = append(sizes, size)
	}
	return compare.MeasureGrowth(ctx, os.Stdout, sizes, c.Rate, c.DurationMs)
}
