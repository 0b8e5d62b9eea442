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

type compareCommand struct {
	A      string  `arg:"" help:"A policy: design, random, least-loaded or best-of-two."`
	B      string  `arg:"" help:"Another."`
	Days   int     `default:"40" help:"Days, each of a seed."`
	Seed   uint64  `default:"1" help:"First seed."`
	Nodes  int     `default:"10" help:"Nodes."`
	Load   float64 `default:"0.7" help:"Part of the fleet that is filled."`
	Faults bool    `default:"true" negatable:"" help:"With faults drawn from the seeds."`
	Report string  `type:"path" help:"Write an HTML report with plots to this file."`
}

func (c *compareCommand) Run(ctx context.Context) error {
	if c.Days < 1 || c.Nodes < 1 || !(c.Load > 0) {
		return errors.New("days, nodes and load above 0 are expected")
	}
	var seeds []uint64
	for i := range c.Days {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	got, err := compare.Run(ctx, c.A, c.B, seeds, c.Nodes, c.Load, c.Faults)
	if err != nil {
		return err
	}
	got.Print(os.Stdout)
	if c.Report == "" {
		return nil
	}
	var b bytes.Buffer
	if err := got.Report(&b); err != nil {
		return err
	}
	return renameio.WriteFile(c.Report, b.Bytes(), 0o640)
}

type orderCommand struct {
	Days  int     `default:"20" help:"Days of each trouble."`
	Nodes int     `default:"10" help:"Nodes."`
	Load  float64 `default:"0.7" help:"Part of the fleet that is filled."`
}

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

type growCommand struct {
	Nodes        []int    `default:"20,40,80,160,320,640,1300" help:"Numbers of nodes, with one scheduler."`
	Schedulers   []int    `default:"1,2,4,8,16,32,64" help:"Numbers of schedulers, with 40 nodes."`
	FurtherSizes []string `name:"both" help:"Further sizes, nodes x schedulers, as 1300x300."`
	Rate         float64  `default:"200" help:"Asks a second, all together."`
	DurationMs   float64  `name:"last" default:"4000" help:"Virtual ms."`
}

func (c *growCommand) Run(ctx context.Context) error {
	var sizes []compare.ClusterSize
	for _, n := range c.Nodes {
		sizes = append(sizes, compare.ClusterSize{Nodes: n, Schedulers: 1})
	}
	for _, n := range c.Schedulers {
		sizes = append(sizes, compare.ClusterSize{Nodes: 40, Schedulers: n})
	}
	for _, text := range c.FurtherSizes {
		var z compare.ClusterSize
		if n, err := fmt.Sscanf(text, "%dx%d", &z.Nodes, &z.Schedulers); n != 2 || err != nil {
			return fmt.Errorf("--both %q: nodes x schedulers are expected, as 1300x300", text)
		}
		sizes = append(sizes, z)
	}
	return compare.MeasureGrowth(ctx, os.Stdout, sizes, c.Rate, c.DurationMs)
}
