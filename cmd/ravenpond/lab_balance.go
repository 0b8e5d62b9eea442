package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"ravenpond/internal/lab/balance"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/site"
)

type balanceCommand struct {
	Schedulers      int      `default:"30" help:"How many."`
	Nodes           int      `default:"40" help:"How many."`
	Utilization     float64  `name:"filled" default:"0.7" help:"Part of all room that work fills."`
	RunTimeSeconds  float64  `name:"life" default:"4" help:"Seconds that work runs."`
	DurationSeconds float64  `name:"lasts" default:"20" help:"Seconds; the first one and a half lives do not count."`
	Services        int      `default:"100" help:"Services of each job type."`
	Seeds           int      `default:"5" help:"How many of each policy."`
	Workers         int      `default:"0" help:"Seeds at a time; 0: one a core."`
	Policies        []string `help:"design (the module), random, least-loaded, best-of-two, careful, true-state; all without."`
	MinWorkingSet   int      `name:"set" help:"Schedulers work with a set of so many nodes at least; 0: with all."`
	Spare           float64  `default:"8" help:"Where they do: nodes for each machine that own work would fill."`
	Membership      bool     `name:"members" help:"Schedulers know each other."`
	Faults          []string `name:"fault" sep:"none" help:"What goes wrong, as in lab run's scripts: 'MS KIND WHO OTHER FOR-MS SIZE', - for none. May be given again."`
}

// Run plays many schedulers and tells how evenly nodes are loaded; all of it is simulated.
func (c *balanceCommand) Run(ctx context.Context) error {
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	if len(c.Policies) == 0 {
		c.Policies = balance.Names
	}
	scene := balance.Scenario{
		Schedulers: c.Schedulers, Nodes: c.Nodes, Load: c.Utilization, TaskRuntime: c.RunTimeSeconds * 1000, Duration: c.DurationSeconds * 1000, Services: c.Services,
		Members: c.Membership,
	}
	if c.MinWorkingSet > 0 {
		scene.WorkingSet = &site.WorkingSet{MinNodes: c.MinWorkingSet, Coverage: 1, SpareFactor: c.Spare, NodesPerStart: 1, MinPerStratum: 3, NarrowAfter: 30_000}
	}
	for _, text := range c.Faults {
		f, err := sim.ParseFault(text)
		if err != nil {
			return fmt.Errorf("fault %q: MS KIND WHO OTHER FOR-MS SIZE is expected: %w", text, err)
		}
		scene.Faults = append(scene.Faults, f)
	}
	_, err := balance.CompareTable(ctx, os.Stdout, scene, c.Policies, c.Seeds, c.Workers)
	return err
}
