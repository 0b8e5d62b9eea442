package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"ravenpond/internal/lab/platformsim"
	"ravenpond/internal/lab/sim"
)

// errPlatformFaults reports that a fault was to be injected where none can be.
var errPlatformFaults = errors.New("--platform: faults are planted there by its tests alone")

// runCommand simulates schedulers under faults drawn from seeds.
type runCommand struct {
	Seeds         string `default:"0:1000" help:"Seeds A:B, without B."`
	Workers       int    `default:"0" help:"Seeds played at a time; 0: one for each core."`
	Fault         string `name:"plant" help:"Inject a fault that must be found; list prints the faults."`
	MaxBroken     int    `name:"most" default:"0" help:"Stop after this many seeds that broke a rule; 0: play all."`
	Quiet         bool   `help:"Print no progress."`
	MinWorkingSet int    `name:"set" help:"Minimum size of a scheduler's working set, in nodes; 0: all nodes."`
	Platform      bool   `help:"Simulate ravenpond platform instead of ravenpond serve."`
}

// Run plays the seeds and prints a summary. A seed that breaks a rule is an error, unless a fault was injected.
func (c *runCommand) Run(ctx context.Context) error {
	if c.Fault == "list" {
		for _, fault := range allFaults() {
			fmt.Println(fault.Name)
		}
		return nil
	}
	fault, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	first, end, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	c.Workers = workersOrCPUs(c.Workers)
	if c.Platform {
		if fault != nil {
			return errPlatformFaults
		}
		return c.runPlatform(ctx, first, end)
	}
	batch := sim.Batch{From: first, To: end, Workers: c.Workers, Fault: fault, MaxFailures: c.MaxBroken, Progress: c.progress()}
	if c.MinWorkingSet > 0 {
		batch.Change = func(s sim.Script) sim.Script { return s.WithWorkingSet(c.MinWorkingSet) }
	}
	summary := batch.Run(ctx)
	if err := summary.Print(os.Stdout); err != nil {
		return err
	}
	if len(summary.Failures) > 0 && fault == nil {
		return errRuleBroken
	}
	return nil
}

// runPlatform simulates ravenpond platform.
func (c *runCommand) runPlatform(ctx context.Context, first, end uint64) error {
	all := platformsim.Seeds(ctx, first, end, c.Workers)
	if err := platformsim.Print(os.Stdout, all); err != nil {
		return err
	}
	if platformsim.CountFailures(all) > 0 {
		return errRuleBroken
	}
	return nil
}

// progress returns where progress is printed: a terminal at standard error, or nil.
func (c *runCommand) progress() io.Writer {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !c.Quiet {
		return os.Stderr
	}
	return nil
}

// allFaults returns the faults that can be injected.
func allFaults() []sim.ProgramFault {
	return slices.Concat(sim.ProgramFaults, sim.MissedFaults, sim.WorkingSetFaults)
}

// faultNamed returns the fault of a name, nil without a name.
func faultNamed(name string) (*sim.ProgramFault, error) {
	if name == "" {
		return nil, nil
	}
	all := allFaults()
	for i := range all {
		if all[i].Name == name {
			return &all[i], nil
		}
	}
	return nil, fmt.Errorf("no fault %q to plant; --plant list prints them", name)
}

// parseSeedRange reads seeds A:B, which are those from A on and below B.
func parseSeedRange(seeds string) (first, end uint64, err error) {
	from, to, ok := strings.Cut(seeds, ":")
	first, err1 := strconv.ParseUint(from, 10, 64)
	end, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err1 != nil || err2 != nil || first >= end {
		return 0, 0, fmt.Errorf("--seeds %q: A:B with A below B is expected", seeds)
	}
	return first, end, nil
}
