package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"ravenpond/internal/decide/membership"
	membershiplab "ravenpond/internal/lab/membership"
)

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

func (c *membershipCommand) Run(ctx context.Context) error {
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	if len(c.Sizes) > 0 {
		rows, err := membershiplab.Measure(ctx, os.Stdout, c.Sizes, c.Losses, c.Runs, c.Workers)
		if err != nil || c.Plots == "" {
			return err
		}
		return c.drawPlots(rows)
	}
	var plant *membership.Faults
	for _, p := range membershiplab.Faults {
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
	if membershiplab.Print(os.Stdout, membershiplab.Seeds(ctx, a, b, c.Workers, *plant)) > 0 && c.Fault == "" {
		return errors.New("something broke")
	}
	return nil
}
