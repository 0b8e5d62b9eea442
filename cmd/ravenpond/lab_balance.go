package main

import (
	"context"
	"fmt"
	"os"

	"ravenpond/internal/lab/balance"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/site"
)

// balanceCommand simulates how evenly many schedulers load nodes.
type balanceCommand struct {
	Schedulers      int      `default:"30" help:"Number."`
	Nodes           int      `default:"40" help:"Number."`
	Utilization     float64  `name:"filled" default:"0.7" help:"Part of the capacity that is used."`
	RunTimeSeconds  float64  `name:"life" default:"4" help:"Run time of tasks, in seconds."`
	DurationSeconds float64  `name:"lasts" default:"20" help:"Length in seconds; the first one and a half run times are not measured."`
	Services        int      `default:"100" help:"Services of each job type."`
	Seeds           int      `default:"5" help:"Seeds of each policy."`
	Workers         int      `default:"0" help:"Seeds played at a time; 0: one for each core."`
	Policies        []string `help:"Policies: design (the program's), random, least-loaded, best-of-two, careful, true-state; default: all."`
	MinWorkingSet   int      `name:"set" help:"Minimum size of a scheduler's working set, in nodes; 0: all nodes."`
	Spare           float64  `default:"8" help:"Nodes in a working set for each machine that the scheduler's own tasks would fill."`
	Membership      bool     `name:"members" help:"Schedulers know each other (membership)."`
	Faults          []string `name:"fault" sep:"none" help:"A fault, as in the scripts of lab run: 'MS KIND WHO OTHER FOR-MS SIZE', - for none. May be given more than once."`
}

// Run simulates each policy and prints a table of how evenly nodes are loaded.
func (c *balanceCommand) Run(ctx context.Context) error {
	c.Workers = workersOrCPUs(c.Workers)
	if len(c.Policies) == 0 {
		c.Policies = balance.Names
	}
	scenario := balance.Scenario{
		Schedulers: c.Schedulers, Nodes: c.Nodes, Load: c.Utilization, TaskRuntime: c.RunTimeSeconds * 1000, Duration: c.DurationSeconds * 1000, Services: c.Services,
		Members: c.Membership,
	}
	if c.MinWorkingSet > 0 {
		scenario.WorkingSet = &site.WorkingSet{MinNodes: c.MinWorkingSet, Coverage: 1, SpareFactor: c.Spare, NodesPerStart: 1, MinPerStratum: 3, NarrowAfter: 30_000}
	}
	for _, text := range c.Faults {
		fault, err := sim.ParseFault(text)
		if err != nil {
			return fmt.Errorf("fault %q: MS KIND WHO OTHER FOR-MS SIZE is expected: %w", text, err)
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	_, err := balance.CompareTable(ctx, os.Stdout, scenario, c.Policies, c.Seeds, c.Workers)
	return err
}
