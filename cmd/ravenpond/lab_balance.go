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
	Schedulers      int      `default:"30" help:"Number of schedulers."`
	Nodes           int      `default:"40" help:"Number of nodes."`
	Utilization     float64  `name:"filled" default:"0.7" help:"Fraction of the capacity that is used."`
	RunTimeSeconds  float64  `name:"life" default:"4" help:"Run time of tasks, in seconds."`
	DurationSeconds float64  `name:"lasts" default:"20" help:"Length of the simulation, in seconds; the first 1.5 run times are not measured."`
	Services        int      `default:"100" help:"Number of services of each job class."`
	Seeds           int      `default:"5" help:"Number of seeds for each policy."`
	Workers         int      `default:"0" help:"Number of seeds simulated in parallel; 0: one for each core."`
	Policies        []string `help:"Policies to compare: design (the one of ravenpond serve), random, least-loaded, best-of-two, careful, true-state; default: all."`
	MinWorkingSet   int      `name:"set" help:"Minimum size of a scheduler's working set, in nodes; 0: no working sets, each scheduler uses all nodes."`
	Spare           float64  `default:"8" help:"Number of nodes in a working set for each machine that the scheduler's own tasks would fill."`
	Membership      bool     `name:"members" help:"Enable membership, so that schedulers know each other."`
	Faults          []string `name:"fault" sep:"none" help:"Fault to inject, in the form of a script line of lab run: 'MS KIND WHO OTHER FOR-MS SIZE', with - for a field without a value. May be given more than once."`
}

// Run simulates each policy and prints a table that shows how evenly the nodes are loaded.
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
			return fmt.Errorf("--fault %q: want MS KIND WHO OTHER FOR-MS SIZE: %w", text, err)
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	_, err := balance.CompareTable(ctx, os.Stdout, scenario, c.Policies, c.Seeds, c.Workers)
	return err
}
