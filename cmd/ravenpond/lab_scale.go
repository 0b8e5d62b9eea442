package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"ravenpond/internal/lab/scale"
	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/scale/result"
)

type scaleCommand struct {
	Dimension     string        `arg:"" enum:"nodes,schedulers,tasks,off-axis" help:"What is varied: nodes, schedulers, tasks, or off-axis for the points off the axes."`
	Phases        []string      `default:"rest,starts" help:"What is played at each point, in order: rest, starts, churn, rack, zone, restart, propagation."`
	Sizes         []int         `help:"Only the points of these sizes of the dimension; without it all."`
	Nodes         int           `help:"Nodes at each point, instead of those of the plan."`
	Schedulers    int           `help:"Schedulers at each point, instead of those of the plan."`
	Tasks         int           `help:"Running tasks of a real process at each point, instead of those of the plan."`
	Runs          int           `default:"3" help:"Repetitions of each point."`
	FirstRun      int           `default:"1" help:"Number of the first repetition."`
	RealProcesses int           `name:"real" default:"1" help:"Real processes."`
	WarmUp        time.Duration `name:"warm" default:"4s" help:"Before each measurement."`
	MinDuration   time.Duration `name:"last" default:"8s" help:"Length of each measurement, at least."`
	Seed          uint64        `default:"1" help:"Seed of the first run; each run has the next."`
	Variant       string        `help:"Name of what is set apart by --elements; it is added to the scenario."`
	Elements      string        `help:"More elements of the site file."`
	Connected     int           `help:"Nodes that a real process is connected to before it is measured; 0: all."`
	Commit        string        `help:"Commit that is measured, for the result files."`
	Out           string        `type:"path" default:"docs/scale" help:"Folder of the result files."`
	Logs          string        `type:"path" help:"Folder for logs; without it a new one in the temporary folder."`
}

func (c *scaleCommand) Run(ctx context.Context) error {
	points, err := scale.Points(c.Dimension)
	if err != nil {
		return err
	}
	phases, err := scale.Phases(c.Phases)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", "ravenpond-scale-"); err != nil {
			return err
		}
	}
	var errs []error
	for _, sizes := range points {
		if !c.selects(sizes) {
			continue
		}
		for run := c.FirstRun; run < c.FirstRun+c.Runs && ctx.Err() == nil; run++ {
			trial := scale.Trial{
				Command: []string{self}, Sizes: c.withOverrides(sizes), Dimension: c.Dimension, Run: run, Seed: c.Seed + uint64(run) - 1, Real: c.RealProcesses,
				WarmUp: c.WarmUp, MeasureFor: c.MinDuration, Commit: c.Commit, Profile: true,
				Variant: c.Variant, Elements: c.Elements, Connected: c.Connected,
			}
			trial.Dir = filepath.Join(c.Logs, fmt.Sprintf("%s-n%d-s%d-t%d-%d", c.Dimension, trial.Sizes.Nodes, trial.Sizes.Schedulers, trial.Sizes.RunningTasks, run))
			if err := os.MkdirAll(trial.Dir, 0o750); err != nil {
				return err
			}
			if err := scale.Play(ctx, trial, phases, c.Out, os.Stdout); err != nil {
				fmt.Printf("%s: failed: %v\n", trial.Dir, err)
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(append(errs, ctx.Err())...)
}

// selects tells whether a point is to be run.
func (c *scaleCommand) selects(sizes result.Sizes) bool {
	for _, size := range c.Sizes {
		if of := map[string]int{scale.Nodes: sizes.Nodes, scale.Schedulers: sizes.Schedulers, scale.Tasks: sizes.RunningTasks, scale.OffAxis: sizes.Nodes}; of[c.Dimension] == size {
			return true
		}
	}
	return len(c.Sizes) == 0
}

// withOverrides is a point with the sizes that were given.
func (c *scaleCommand) withOverrides(sizes result.Sizes) result.Sizes {
	for _, override := range []struct {
		value int
		into  *int
	}{{c.Nodes, &sizes.Nodes}, {c.Schedulers, &sizes.Schedulers}, {c.Tasks, &sizes.RunningTasks}} {
		if override.value > 0 {
			*override.into = override.value
		}
	}
	return sizes
}

// hollowGC is how much hollow processes let the heap grow, in percent: they have memory to spare and share their cores with
// what is measured.
const hollowGC = 400

type scaleNodesCommand struct{}

func (scaleNodesCommand) Run(ctx context.Context) error {
	debug.SetGCPercent(hollowGC)
	return hollow.RunNodes(ctx, os.Stdin, os.Stdout)
}

type scaleSchedulersCommand struct {
	Profile string `type:"path" help:"Write a CPU profile of the whole run to this file."`
}

func (c *scaleSchedulersCommand) Run(ctx context.Context) error {
	if c.Profile != "" {
		ended, err := startCPUProfile(c.Profile)
		if err != nil {
			return err
		}
		defer ended()
	}
	debug.SetGCPercent(hollowGC)
	return hollow.RunSchedulers(ctx, os.Stdin, os.Stdout)
}
