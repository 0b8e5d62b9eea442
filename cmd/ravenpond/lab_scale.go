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

// scaleCommand measures real processes at the points (sizes) of a measurement plan.
type scaleCommand struct {
	Dimension     string        `arg:"" enum:"nodes,schedulers,tasks,off-axis" help:"Dimension that varies: nodes, schedulers, tasks, or off-axis for points off the axes."`
	Phases        []string      `default:"rest,starts" help:"Phases to measure at each point, in this order: rest, starts, churn, rack, zone, restart, propagation."`
	Sizes         []int         `help:"Measure only the points at which the dimension has one of these sizes; default: all."`
	Nodes         int           `help:"Number of nodes at each point, instead of that of the plan."`
	Schedulers    int           `help:"Number of schedulers at each point, instead of that of the plan."`
	Tasks         int           `help:"Number of running tasks of a real process at each point, instead of that of the plan."`
	Runs          int           `default:"3" help:"Number of repetitions of each point."`
	FirstRun      int           `default:"1" help:"Number of the first repetition."`
	RealProcesses int           `name:"real" default:"1" help:"Number of real scheduler processes."`
	WarmUp        time.Duration `name:"warm" default:"4s" help:"Time before each measurement."`
	MinDuration   time.Duration `name:"last" default:"8s" help:"Minimum length of each measurement."`
	Seed          uint64        `default:"1" help:"Seed of repetition 1; each further repetition uses the next seed."`
	Variant       string        `help:"Name of the variant that --elements configures; it is appended to the name of the scenario."`
	Elements      string        `help:"XML elements to add to the site file."`
	Connected     int           `help:"Number of nodes to which a real process must be connected before it is measured; 0: all."`
	Commit        string        `help:"Commit of the measured program, recorded in the result files."`
	Out           string        `type:"path" default:"docs/scale" help:"Folder of the result files."`
	Logs          string        `type:"path" help:"Folder for logs; default: a new temporary folder."`
}

// Run measures each selected point with the requested repetitions and writes the result files. It prints the error of a failed run and
// continues with the next run.
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
	if c.Logs, err = folderOrTemporary(c.Logs, "ravenpond-scale-"); err != nil {
		return err
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

// selects reports whether a point is to be measured.
func (c *scaleCommand) selects(sizes result.Sizes) bool {
	for _, size := range c.Sizes {
		if sizeIn := map[string]int{scale.Nodes: sizes.Nodes, scale.Schedulers: sizes.Schedulers, scale.Tasks: sizes.RunningTasks, scale.OffAxis: sizes.Nodes}; sizeIn[c.Dimension] == size {
			return true
		}
	}
	return len(c.Sizes) == 0
}

// withOverrides returns the sizes of a point, replaced where a flag gives another size.
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

// hollowGC is the garbage collection target of hollow processes, in percent. It is high because they have memory to spare and share their
// cores with the measured processes.
const hollowGC = 400

// scaleNodesCommand runs a process of hollow nodes.
type scaleNodesCommand struct{}

// Run executes orders from standard input until the end of the input.
func (scaleNodesCommand) Run(ctx context.Context) error {
	debug.SetGCPercent(hollowGC)
	return hollow.RunNodes(ctx, os.Stdin, os.Stdout)
}

// scaleSchedulersCommand runs a process of hollow schedulers.
type scaleSchedulersCommand struct {
	Profile string `type:"path" help:"Write a CPU profile of the whole run to this file."`
}

// Run executes orders from standard input until the end of the input.
func (c *scaleSchedulersCommand) Run(ctx context.Context) (err error) {
	if c.Profile != "" {
		stopProfile, err := startCPUProfile(c.Profile)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, stopProfile()) }()
	}
	debug.SetGCPercent(hollowGC)
	return hollow.RunSchedulers(ctx, os.Stdin, os.Stdout)
}
