package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"ravenpond/internal/lab/drill"
	"ravenpond/internal/site"
)

// drillCommand runs a script of faults, called a day, with real processes.
type drillCommand struct {
	Day         string `type:"existingfile" help:"File with the day (the script); default: the built-in one."`
	Site        string `type:"existingfile" help:"Site file, which must have 127.0.0.1:0 for both addresses; default: the built-in one."`
	Seed        uint64 `default:"1" help:"Seed of the random numbers."`
	Out         string `type:"path" help:"Folder for logs and the trace; default: a new temporary folder."`
	Shards      int    `default:"1" help:"Shards of each scheduler process."`
	Connections string `name:"share" enum:"own,shared,informed" default:"shared" help:"Connections to nodes: own (each shard has its own), shared (by all shards), or informed (shared, and load reports go to all shards)."`
	Placement   string `name:"place" enum:"service,tenant,in-turn" default:"service" help:"Assignment of requests to shards: by service, by tenant, or in-turn (round robin)."`
	Quiet       bool   `help:"Print only the table of results."`
	ShowDay     bool   `help:"Print the built-in day and exit."`
}

// violationExitStatus is the exit status of a drill in which a rule was broken.
const violationExitStatus = 2

// Run runs the day on loopback, checks the rules and prints the result. It exits with violationExitStatus if a rule was broken.
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

// plan reads the day and the site. It prints all errors in the day file to standard error.
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
		return drill.Drill{}, fmt.Errorf("site file: %s", faults[0])
	}
	day, faults := drill.ReadDay(strings.NewReader(dayText), config)
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", source, fault)
	}
	if day == nil {
		return drill.Drill{}, fmt.Errorf("%s: %d errors in the day file", source, len(faults))
	}
	return drill.Drill{Day: day, Deployment: config, SiteText: siteText}, nil
}
