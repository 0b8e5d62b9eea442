package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"ravenpond/internal/lab/load"
)

type loadCommand struct {
	Rates         []float64     `default:"500,1000,2000,4000" help:"Asks a second, a trial for each."`
	Nodes         int           `default:"130" help:"Stand-in nodes."`
	Clients       int           `name:"owners" default:"4" help:"Connections that ask."`
	Services      int           `default:"50" help:"Services that the asks belong to."`
	WarmUp        time.Duration `name:"warm" default:"2s" help:"Load before the measurement begins."`
	Duration      time.Duration `name:"last" default:"6s" help:"Length of the measurement."`
	RunTime       time.Duration `name:"life" default:"300ms" help:"Mean time that an allocation runs."`
	Profile       string        `type:"path" help:"Write a CPU profile of the scheduler process to this file."`
	Seed          uint64        `default:"1" help:"Seed of the arrivals."`
	BurstInterval time.Duration `name:"every" help:"A burst begins so often."`
	BurstDuration time.Duration `name:"burst" default:"200ms" help:"Length of a burst."`
	BurstFactor   float64       `name:"times" default:"3" help:"As many asks in a burst as else."`
	Ramp          bool          `help:"Look for the highest load that keeps a service, from the first rate on."`
	MaxP99        time.Duration `name:"p-99" default:"50ms" help:"The service: start p99 at most."`
	MinServed     float64       `name:"served" default:"0.99" help:"The service: part of the asks served at least."`
	Shards        int           `default:"1" help:"Shards of the scheduler."`
	MinWorkingSet int           `name:"set" help:"The scheduler works with a set of so many nodes at least; 0: with all."`
	Schedulers    int           `name:"known" default:"30" help:"Schedulers that share the nodes out, where they work with sets."`
	Unresponsive  bool          `name:"mute" help:"Nodes never answer, so that allocations stay open until their expiry."`
	Out           string        `type:"path" help:"Folder for logs; without it a new one in the temporary folder."`
}

func (c *loadCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "ravenpond-load-"); err != nil {
			return err
		}
	}
	fmt.Printf("%d cores, %d nodes, %d owners; load and stand-ins share the machine; times in ms\n", runtime.NumCPU(),
		c.Nodes, c.Clients)
	site := load.Site
	if c.Shards > 1 {
		site = withShardsElement(site, c.Shards, "shared", "service")
	}
	if c.MinWorkingSet > 0 {
		site = load.WithWorkingSet(site, c.Schedulers, c.MinWorkingSet)
	}
	trial := func(rate float64) (*load.Figures, error) {
		return load.Run(ctx, load.Trial{
			Command: []string{self}, Site: site, Nodes: c.Nodes, WorkingSet: c.MinWorkingSet, Clients: c.Clients, Seed: c.Seed,
			Burst: load.Burst{Interval: c.BurstInterval, Duration: c.BurstDuration, Factor: c.BurstFactor}, Rate: rate, Warm: c.WarmUp, Duration: c.Duration,
			Services: c.Services, TaskRuntime: float64(c.RunTime) / 1e6, DropAnswers: c.Unresponsive, OutDir: c.Out, Profile: c.Profile,
		})
	}
	load.PrintHeader(os.Stdout)
	if c.Ramp && len(c.Rates) > 0 {
		highest, err := load.FindCapacity(ctx, c.Rates[0], 0.05, load.Objective{StartP99: c.MaxP99, ServedFraction: c.MinServed}, trial, os.Stdout)
		if err != nil {
			return err
		}
		fmt.Printf("highest load with %g%% served and a start p99 of %s: %.0f a second\n", 100*c.MinServed, c.MaxP99, highest)
		return nil
	}
	for _, rate := range c.Rates {
		f, err := trial(rate)
		if err != nil {
			return err
		}
		load.PrintRow(os.Stdout, rate, f)
	}
	return nil
}

// withShardsElement puts shards into the text of a site file that has none.
func withShardsElement(text string, count int, share, placement string) string {
	return strings.Replace(text, "<node-list", fmt.Sprintf("<shards count=\"%d\" connections=%q place=%q/>\n  <node-list",
		count, share, placement), 1)
}
