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
	Seeds   string    `default:"0:1000" help:"Seeds A:B, without B."`
	Workers int       `default:"0" help:"Seeds played at a time; 0: one for each core."`
	Fault   string    `name:"plant" help:"Inject a fault that must be found; list prints the faults."`
	Sizes   []int     `help:"Measure groups of these sizes without faults instead: detection, cost, growth."`
	Losses  []float64 `default:"0,0.05,0.2" help:"Parts of datagrams that are lost in these measurements."`
	Runs    int       `default:"5" help:"Runs of each size."`
	Plots   string    `type:"path" help:"Plot detection times by size into this file, and by loss into NAME-by-loss (SVG)."`
}

// drawPlots writes the plot by size, and beside it the plot by loss.
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

// Run plays the seeds, or measures groups of the given sizes. A seed that breaks a rule is an error, unless a fault was injected.
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

// faults returns the fault that is to be injected; without a name, none.
func (c *membershipCommand) faults() (membership.Faults, error) {
	if c.Fault == "" {
		return membership.Faults{}, nil
	}
	for _, fault := range membershiplab.Faults {
		if fault.Name == c.Fault {
			return fault.Plant, nil
		}
	}
	return membership.Faults{}, fmt.Errorf("no fault %q to plant; --plant list prints them", c.Fault)
}
