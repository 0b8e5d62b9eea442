package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"ravenpond/internal/lab/drill"
	"ravenpond/internal/site"
)

// drillCommand plays a scripted day of faults with real processes.
type drillCommand struct {
	Day         string `type:"existingfile" help:"Day file; default: the day in the program."`
	Site        string `type:"existingfile" help:"Site file with 127.0.0.1:0 for both addresses; default: the one in the program."`
	Seed        uint64 `default:"1" help:"Seed of the random numbers."`
	Out         string `type:"path" help:"Folder for logs and the trace; default: a new temporary folder."`
	Shards      int    `default:"1" help:"Shards of each scheduler process."`
	Connections string `name:"share" enum:"own,shared,informed" default:"shared" help:"Connections to nodes: own (by shard), shared, or informed (shared, and reports go to all shards)."`
	Placement   string `name:"place" enum:"service,tenant,in-turn" default:"service" help:"How requests are placed on shards."`
	Quiet       bool   `help:"Print only the table."`
	ShowDay     bool   `help:"Print the day in the program and exit."`
}

// violationExitStatus is the exit status if rules were broken.
const violationExitStatus = 2

// Run plays the day on loopback, audits it and prints the result. It exits with breaksStatus if a rule was broken.
func (c *drillCommand) Run(ctx context.Context) error {
	if c.ShowDay {
		_, err := fmt.Print(drill.DefaultDay)
		return err
	}
	plan, err := c.plan()
	if err != nil {
		return err
	}
	if c.Out, err = outputFolder(c.Out, "ravenpond-drill-"); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	plan.Command, plan.Seed, plan.OutDir = []string{self}, c.Seed, c.Out
	plan.Logf = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if c.Quiet {
		plan.Logf = func(string, ...any) {}
	}
	plan.Logf("day %s, seed %d, logs and trace in %s", plan.Day.Name, c.Seed, c.Out)
	result, err := drill.Play(ctx, plan)
	if err != nil {
		return err
	}
	if err := result.Print(os.Stdout); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		os.Exit(violationExitStatus)
	}
	return nil
}

// plan reads the day and the site. Faults of the day are printed.
func (c *drillCommand) plan() (drill.Drill, error) {
	dayText, source, err := readOrDefault(c.Day, drill.DefaultDay)
	if err != nil {
		return drill.Drill{}, err
	}
	siteText, _, err := readOrDefault(c.Site, drill.DefaultSite)
	if err != nil {
		return drill.Drill{}, err
	}
	if c.Shards > 1 {
		siteText = withShardsElement(siteText, c.Shards, c.Connections, c.Placement)
	}
	config, faults := site.Read(strings.NewReader(siteText))
	if len(faults) > 0 {
		return drill.Drill{}, fmt.Errorf("site: %s", faults[0])
	}
	day, faults := drill.ReadDay(strings.NewReader(dayText), config)
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", source, fault)
	}
	if day == nil {
		return drill.Drill{}, fmt.Errorf("%s: %d faults", source, len(faults))
	}
	return drill.Drill{Day: day, Deployment: config, SiteText: siteText}, nil
}
