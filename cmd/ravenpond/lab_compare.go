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
	A      string  `arg:"" help:"A policy: design, random, least-loaded or best-of-two."`
	B      string  `arg:"" help:"Another."`
	Days   int     `default:"40" help:"Days, each of a seed."`
	Seed   uint64  `default:"1" help:"First seed."`
	Nodes  int     `default:"10" help:"Nodes."`
	Load   float64 `default:"0.7" help:"Part of the capacity that is used."`
	Faults bool    `default:"true" negatable:"" help:"Draw faults from the seeds."`
	Report string  `type:"path" help:"Write an HTML report with plots to this file."`
}

// Run plays the days with both policies, prints the differences and writes the report.
func (c *compareCommand) Run(ctx context.Context) error {
	if c.Days < 1 || c.Nodes < 1 || !(c.Load > 0) {
		return errors.New("days, nodes and load above 0 are expected")
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

// orderCommand ranks policies by kind of fault.
type orderCommand struct {
	Days  int     `default:"20" help:"Days of each kind of fault."`
	Nodes int     `default:"10" help:"Nodes."`
	Load  float64 `default:"0.7" help:"Part of the capacity that is used."`
}

// Run plays the days and prints the ranks.
func (c *orderCommand) Run(ctx context.Context) error {
	if c.Days < 2 || c.Nodes < 1 || !(c.Load > 0) {
		return errors.New("two days or more, nodes and load above 0 are expected")
	}
	all, err := compare.Rank(ctx, c.Days, c.Nodes, c.Load, runtime.NumCPU())
	if err != nil {
		return err
	}
	compare.PrintRankings(os.Stdout, all)
	return nil
}

// growCommand simulates growing sizes.
type growCommand struct {
	Nodes        []int    `default:"20,40,80,160,320,640,1300" help:"Numbers of nodes, with one scheduler."`
	Schedulers   []int    `default:"1,2,4,8,16,32,64" help:"Numbers of schedulers, with 40 nodes."`
	FurtherSizes []string `name:"both" help:"Further sizes, nodes x schedulers, as 1300x300."`
	Rate         float64  `default:"200" help:"Requests a second of all clients."`
	DurationMs   float64  `name:"last" default:"4000" help:"Length, in virtual ms."`
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
			return fmt.Errorf("--both %q: nodes x schedulers are expected, as 1300x300", text)
		}
		sizes = append(sizes, size)
	}
	return compare.MeasureGrowth(ctx, os.Stdout, sizes, c.Rate, c.DurationMs)
}
