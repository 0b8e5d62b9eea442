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

// errPlatformFaults reports that --plant was given with --platform.
var errPlatformFaults = errors.New("--plant cannot be used with --platform: only the tests of the platform simulation inject faults")

// runCommand simulates schedulers under faults drawn from seeds.
type runCommand struct {
	Seeds         string `default:"0:1000" help:"Range of seeds, A:B: from A on, below B."`
	Workers       int    `default:"0" help:"Number of seeds simulated in parallel; 0: one for each core."`
	Fault         string `name:"plant" help:"Fault to inject into the program, to check that it is found; list prints the names of all faults."`
	MaxBroken     int    `name:"most" default:"0" help:"Stop after this many seeds that broke a rule; 0: simulate all."`
	Quiet         bool   `help:"Do not print progress."`
	MinWorkingSet int    `name:"set" help:"Minimum size of a scheduler's working set, in nodes; 0: leave the scripts as they are drawn."`
	Platform      bool   `help:"Simulate ravenpond platform instead of ravenpond serve."`
}

// Run simulates the seeds and prints a summary. It returns an error if a seed broke a rule, unless a fault was injected.
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

// runPlatform simulates ravenpond platform with the seeds and returns an error if one broke a rule.
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

// progress returns the writer for progress: standard error if it is a terminal and --quiet was not given, else nil.
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

// faultNamed returns the fault with the given name, or nil for an empty name.
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
	return nil, fmt.Errorf("unknown fault %q; lab run --plant list prints the names of all faults", name)
}

// parseSeedRange parses a range of seeds, A:B: from A on, below B.
func parseSeedRange(seeds string) (first, end uint64, err error) {
	from, to, ok := strings.Cut(seeds, ":")
	first, err1 := strconv.ParseUint(from, 10, 64)
	end, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err1 != nil || err2 != nil || first >= end {
		return 0, 0, fmt.Errorf("--seeds %q: want A:B with A below B", seeds)
	}
	return first, end, nil
}
