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

// loadCommand loads one scheduler process.
type loadCommand struct {
	Rates         []float64     `default:"500,1000,2000,4000" help:"Requests per second; each rate is measured in a trial of its own."`
	Nodes         int           `default:"130" help:"Number of stand-in nodes."`
	Clients       int           `name:"owners" default:"4" help:"Number of client connections."`
	Services      int           `default:"50" help:"Number of services to which the requests belong."`
	WarmUp        time.Duration `name:"warm" default:"2s" help:"Time under load before the measurement begins."`
	Duration      time.Duration `name:"last" default:"6s" help:"Length of the measurement."`
	RunTime       time.Duration `name:"life" default:"300ms" help:"Mean run time of a task."`
	Profile       string        `type:"path" help:"Write a CPU profile of the scheduler process to this file."`
	Seed          uint64        `default:"1" help:"Seed of the arrivals."`
	BurstInterval time.Duration `name:"every" help:"Time from the beginning of one burst to that of the next; 0: no bursts."`
	BurstDuration time.Duration `name:"burst" default:"200ms" help:"Length of a burst."`
	BurstFactor   float64       `name:"times" default:"3" help:"Rate during a burst, as a multiple of the rate outside bursts."`
	Ramp          bool          `help:"Search for the highest rate that meets the service level, beginning with the first rate."`
	MaxP99        time.Duration `name:"p-99" default:"50ms" help:"Service level: maximum p99 of the time from request to start."`
	MinServed     float64       `name:"served" default:"0.99" help:"Service level: minimum fraction of requests that are served."`
	Shards        int           `default:"1" help:"Number of shards of the scheduler."`
	MinWorkingSet int           `name:"set" help:"Minimum size of the scheduler's working set, in nodes; 0: no working set, the scheduler uses all nodes."`
	Schedulers    int           `name:"known" default:"30" help:"Number of schedulers that share the nodes, for the size of the working set."`
	Unresponsive  bool          `name:"mute" help:"Let nodes never answer, so that requests stay open until their deadline."`
	Out           string        `type:"path" help:"Folder for logs; default: a new temporary folder."`
}

// rampPrecision is the precision of the search for the highest rate, as a fraction of that rate.
const rampPrecision = 0.05

// Run measures at each rate, or searches for the highest rate that meets the service level.
func (c *loadCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out, err = folderOrTemporary(c.Out, "ravenpond-load-"); err != nil {
		return err
	}
	fmt.Printf("%d cores, %d nodes, %d clients; the load generator and the stand-in nodes share the machine; times in ms\n", runtime.NumCPU(),
		c.Nodes, c.Clients)
	siteText := load.Site
	if c.Shards > 1 {
		siteText = withShardsElement(siteText, c.Shards, "shared", "service")
	}
	if c.MinWorkingSet > 0 {
		siteText = load.WithWorkingSet(siteText, c.Schedulers, c.MinWorkingSet)
	}
	trial := func(rate float64) (*load.Figures, error) {
		return load.Run(ctx, load.Trial{
			Command: []string{self}, Site: siteText, Nodes: c.Nodes, WorkingSet: c.MinWorkingSet, Clients: c.Clients, Seed: c.Seed,
			Burst: load.Burst{Interval: c.BurstInterval, Duration: c.BurstDuration, Factor: c.BurstFactor}, Rate: rate, Warm: c.WarmUp, Duration: c.Duration,
			Services: c.Services, TaskRuntime: float64(c.RunTime) / 1e6, DropAnswers: c.Unresponsive, OutDir: c.Out, Profile: c.Profile,
		})
	}
	load.PrintHeader(os.Stdout)
	if c.Ramp && len(c.Rates) > 0 {
		highest, err := load.FindCapacity(ctx, c.Rates[0], rampPrecision, load.Objective{StartP99: c.MaxP99, ServedFraction: c.MinServed}, trial, os.Stdout)
		if err != nil {
			return err
		}
		fmt.Printf("highest rate with at least %g%% served and a start p99 of at most %s: %.0f requests per second\n", 100*c.MinServed, c.MaxP99, highest)
		return nil
	}
	for _, rate := range c.Rates {
		figures, err := trial(rate)
		if err != nil {
			return err
		}
		load.PrintRow(os.Stdout, rate, figures)
	}
	return nil
}

// withShardsElement adds a <shards> element to the text of a site file that has none.
func withShardsElement(text string, count int, connections, placement string) string {
	return strings.Replace(text, "<node-list", fmt.Sprintf("<shards count=\"%d\" connections=%q place=%q/>\n  <node-list",
		count, connections, placement), 1)
}
