package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/lab/circle"
	"ravenpond/internal/lab/compare"
	"ravenpond/internal/lab/route"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/lab/states"
)

type runCommand struct {
	Seeds         string `default:"0:1000" help:"Seeds A:B, B left out."`
	Workers       int    `default:"0" help:"Seeds at a time; 0: one a core."`
	Fault         string `name:"plant" help:"Plant a fault that must be found; list prints them."`
	MaxBroken     int    `name:"most" default:"0" help:"Stop after so many that broke something."`
	Quiet         bool   `help:"No progress."`
	MinWorkingSet int    `name:"set" help:"Schedulers work with a set of so many nodes at least; 0: with all."`

	Platform bool `help:"Play the platform's route instead of the program's own protocols."`
}

func (c *runCommand) Run(ctx context.Context) error {
	if c.Fault == "list" {
		for _, p := range slices.Concat(sim.ProgramFaults, sim.MissedFaults, sim.WorkingSetFaults) {
			fmt.Println(p.Name)
		}
		return nil
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	a, b, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	if c.Platform {
		if plant != nil {
			return errors.New("--platform: faults are planted there by its tests alone")
		}
		all := route.Seeds(ctx, a, b, c.Workers)
		route.Print(os.Stdout, all)
		if route.CountFailures(all) > 0 {
			return errors.New("something broke")
		}
		return nil
	}
	var progress io.Writer
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !c.Quiet {
		progress = os.Stderr
	}
	sum := sim.RunSeedsWith(ctx, a, b, c.Workers, plant, c.MaxBroken, progress, func(s sim.Script) sim.Script {
		if c.MinWorkingSet > 0 {
			return s.WithWorkingSet(c.MinWorkingSet)
		}
		return s
	})
	sum.Print(os.Stdout)
	if len(sum.Failures) > 0 && plant == nil {
		return errors.New("something broke")
	}
	return nil
}

func faultNamed(name string) (*sim.ProgramFault, error) {
	if name == "" {
		return nil, nil
	}
	all := slices.Concat(sim.ProgramFaults, sim.MissedFaults, sim.WorkingSetFaults)
	for i := range all {
		if all[i].Name == name {
			return &all[i], nil
		}
	}
	return nil, fmt.Errorf("no fault %q to plant; --plant list prints them", name)
}

type membershipCommand struct {
	Seeds   string    `default:"0:1000" help:"Seeds A:B, B left out."`
	Workers int       `default:"0" help:"Seeds at a time; 0: one a core."`
	Fault   string    `name:"plant" help:"Plant a fault that must be found; list prints them."`
	Sizes   []int     `help:"Measure calm circles of these sizes instead: detection, cost, growth."`
	Losses  []float64 `default:"0,0.05,0.2" help:"And at these parts of datagrams lost."`
	Runs    int       `default:"5" help:"How many of each size."`
	Plots   string    `type:"path" help:"Draw the times of detection into this file, by size, and into its neighbour, by loss (SVG)."`
}

// drawPlots draws both.
func (c *membershipCommand) drawPlots(rows []circle.Row) error {
	for _, byLoss := range []bool{false, true} {
		name := c.Plots
		if byLoss {
			ext := filepath.Ext(name)
			name = strings.TrimSuffix(name, ext) + "-by-loss" + ext
		}
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		err = circle.Plot(f, rows, byLoss)
		if err := errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (c *membershipCommand) Run(ctx context.Context) error {
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	if len(c.Sizes) > 0 {
		rows, err := circle.Measure(ctx, os.Stdout, c.Sizes, c.Losses, c.Runs, c.Workers)
		if err != nil || c.Plots == "" {
			return err
		}
		return c.drawPlots(rows)
	}
	var plant *membership.Faults
	for _, p := range circle.Faults {
		if c.Fault == "list" {
			fmt.Println(p.Name)
		} else if c.Fault == p.Name {
			plant = &p.Plant
		}
	}
	switch {
	case c.Fault == "list":
		return nil
	case c.Fault != "" && plant == nil:
		return fmt.Errorf("no fault %q to plant; --plant list prints them", c.Fault)
	case plant == nil:
		plant = &membership.Faults{}
	}
	a, b, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	if circle.Print(os.Stdout, circle.Seeds(ctx, a, b, c.Workers, *plant)) > 0 && c.Fault == "" {
		return errors.New("something broke")
	}
	return nil
}

// parseSeedRange reads seeds A:B.
func parseSeedRange(seeds string) (a, b uint64, err error) {
	from, to, ok := strings.Cut(seeds, ":")
	a, err1 := strconv.ParseUint(from, 10, 64)
	b, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err1 != nil || err2 != nil || a >= b {
		return 0, 0, fmt.Errorf("--seeds %q: A:B with A below B is expected", seeds)
	}
	return a, b, nil
}

type drawCommand struct {
	Seed uint64 `arg:"" help:"The seed."`
}

func (c *drawCommand) Run() error { fmt.Print(sim.Draw(c.Seed)); return nil }

type replayCommand struct {
	File  string `arg:"" type:"existingfile" help:"The script."`
	Fault string `name:"plant" help:"Plant a fault."`
	Trace string `type:"path" help:"Write all that happened to this file."`
}

func readScript(path string) (sim.Script, error) {
	f, err := os.Open(path)
	if err != nil {
		return sim.Script{}, err
	}
	defer f.Close()
	return sim.Parse(f)
}

func (c *replayCommand) Run() error {
	s, err := readScript(c.File)
	if err != nil {
		return err
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	var v sim.Result
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer f.Close()
		v = sim.Run(s, plant, f)
	} else {
		v = sim.Run(s, plant, nil)
	}
	fmt.Printf("%d asks, %d served, %d steps, %.1f s of virtual time\ntrace %016x\n", v.Requests, v.Served, v.Steps, v.VirtualMs/1000, v.Trace)
	if v.Failure != "" {
		return errors.New(v.Failure)
	}
	fmt.Println("broken: 0")
	return nil
}

type shrinkCommand struct {
	File  string `arg:"" type:"existingfile" help:"A script that breaks something."`
	Fault string `name:"plant" help:"Plant a fault."`
}

func (c *shrinkCommand) Run(ctx context.Context) error {
	s, err := readScript(c.File)
	if err != nil {
		return err
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	first := sim.Run(s, plant, nil)
	if first.Failure == "" {
		return errors.New("it breaks nothing")
	}
	small := sim.Shrink(s, func(t sim.Script) bool {
		v := sim.Run(t, plant, nil)
		return ctx.Err() == nil && v.Failure != "" && v.FailedRule == first.FailedRule
	}, func(t sim.Script) {
		fmt.Fprintf(os.Stderr, "%d faults, %d nodes, %d schedulers, %d shards, %.0f ms\n", len(t.Faults), t.Nodes, t.Schedulers,
			t.Shards, t.Duration)
	})
	fmt.Printf("%s# %s\n", small, sim.Run(small, plant, nil).Failure)
	return nil
}

type modelCheckCommand struct {
	MaxStates  int    `name:"most" default:"50000" help:"States of each effect at most."`
	MaxDepth   int    `name:"depth" default:"20" help:"Steps on one path at most."`
	MaxFaults  int    `name:"faults" default:"2" help:"Faults on one path at most."`
	FaultKinds string `name:"kinds" help:"Kinds of faults: b connections break, f shards are fenced, h they give, n nodes restart, w owners withdraw; all without it."`
}

func (c *modelCheckCommand) Run() error {
	fmt.Printf("%-14s %9s %9s %9s %6s %8s\n", "effect", "states", "paths", "steps", "depth", "seconds")
	broken := 0
	for job, effect := range []string{"restartable", "tokened zone", "tokened all", "run-once"} {
		began := time.Now()
		r := states.Model{Job: job, Faults: c.MaxFaults, Depth: c.MaxDepth, Kinds: c.FaultKinds}.Explore(c.MaxStates)
		fmt.Printf("%-14s %9d %9d %9d %6d %8.1f\n", effect, r.States, r.Paths, r.Steps, r.Deepest, time.Since(began).Seconds())
		if r.Failure != "" {
			broken++
			fmt.Printf("  %s\n  %s\n", r.Failure, strings.Join(r.Path, "\n  "))
		}
	}
	fmt.Printf("broken: %d\n", broken)
	if broken > 0 {
		return errors.New("something broke")
	}
	return nil
}

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
