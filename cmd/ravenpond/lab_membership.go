package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"ravenpond/internal/decide/membership"
	membershiplab "ravenpond/internal/lab/membership"
)

// membershipCommand simulates or measures the failure detectors of many schedulers.
type membershipCommand struct {
	Seeds   string    `default:"0:1000" help:"Range of seeds, A:B: from A on, below B."`
	Workers int       `default:"0" help:"Number of seeds simulated in parallel; 0: one for each core."`
	Fault   string    `name:"plant" help:"Fault to inject into the program, to check that it is found; list prints the names of all faults."`
	Sizes   []int     `help:"Measure detection times and cost in groups of these sizes instead, without injected faults."`
	Losses  []float64 `default:"0,0.05,0.2" help:"Fractions of datagrams that are lost in the measurements of --sizes."`
	Runs    int       `default:"5" help:"Number of runs for each size."`
	Plots   string    `type:"path" help:"Write a plot of detection times by size to this SVG file, and one by loss to a file with -by-loss added to its name."`
}

// drawPlots writes the plot by size, and the plot by loss to a second file next to it.
func (c *membershipCommand) drawPlots(rows []membershiplab.Row) error {
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
		err = membershiplab.Plot(f, rows, byLoss)
		if err := errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Run simulates the seeds, or measures groups of the given sizes. It returns an error if a seed broke a rule, unless a fault was injected.
func (c *membershipCommand) Run(ctx context.Context) error {
	c.Workers = workersOrCPUs(c.Workers)
	switch {
	case len(c.Sizes) > 0:
		return c.measure(ctx)
	case c.Fault == "list":
		for _, fault := range membershiplab.Faults {
			fmt.Println(fault.Name)
		}
		return nil
	}
	faults, err := c.faults()
	if err != nil {
		return err
	}
	first, end, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	if membershiplab.Print(os.Stdout, membershiplab.Seeds(ctx, first, end, c.Workers, faults)) > 0 && c.Fault == "" {
		return errRuleBroken
	}
	return nil
}

// measure measures groups of the given sizes and draws the plots.
func (c *membershipCommand) measure(ctx context.Context) error {
	rows, err := membershiplab.Measure(ctx, os.Stdout, c.Sizes, c.Losses, c.Runs, c.Workers)
	if err != nil || c.Plots == "" {
		return err
	}
	return c.drawPlots(rows)
}

// faults returns the fault to inject. Without a name it returns none.
func (c *membershipCommand) faults() (membership.Faults, error) {
	if c.Fault == "" {
		return membership.Faults{}, nil
	}
	for _, fault := range membershiplab.Faults {
		if fault.Name == c.Fault {
			return fault.Plant, nil
		}
	}
	return membership.Faults{}, fmt.Errorf("unknown fault %q; --plant list prints the names of all faults", c.Fault)
}
