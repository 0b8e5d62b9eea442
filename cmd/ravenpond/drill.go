package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"ravenpond/internal/lab/drill"
	"ravenpond/internal/site"
)

type drillCommand struct {
	Day         string `type:"existingfile" help:"Day file; without it the day in the program."`
	Site        string `type:"existingfile" help:"Site file with 127.0.0.1:0 for both addresses; without it the one in the program."`
	Seed        uint64 `default:"1" help:"Seed of the day's chance."`
	Out         string `type:"path" help:"Folder for logs and the trace; without it a new one in the temporary folder."`
	Shards      int    `default:"1" help:"Shards of each scheduler process."`
	Connections string `name:"share" enum:"own,shared,informed" default:"shared" help:"What they share: own, shared or informed connections."`
	Placement   string `name:"place" enum:"service,tenant,in-turn" default:"service" help:"How allocations are placed on them."`
	Quiet       bool   `help:"Print the table alone."`
	ShowDay     bool   `help:"Print the day in the program, and play nothing."`
}

func (c *drillCommand) Run(ctx context.Context) error {
	if c.ShowDay {
		fmt.Print(drill.DefaultDay)
		return nil
	}
	day, source, err := readOrDefault(c.Day, drill.DefaultDay)
	if err != nil {
		return err
	}
	text, _, err := readOrDefault(c.Site, drill.DefaultSite)
	if err != nil {
		return err
	}
	if c.Shards > 1 {
		text = withShardsElement(text, c.Shards, c.Connections, c.Placement)
	}
	place, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return fmt.Errorf("site: %s", faults[0])
	}
	plan, faults := drill.ReadDay(strings.NewReader(day), place)
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", source, f)
	}
	if plan == nil {
		return fmt.Errorf("%s: %d faults", source, len(faults))
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "ravenpond-drill-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(c.Out, 0o750); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	report := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if c.Quiet {
		report = func(string, ...any) {}
	}
	report("day %s, seed %d, logs and trace in %s", plan.Name, c.Seed, c.Out)
	res, err := drill.Play(ctx, drill.Drill{
		Day: plan, Deployment: place, SiteText: text, Command: []string{self}, Seed: c.Seed,
		OutDir: c.Out, Logf: report,
	})
	if err != nil {
		return err
	}
	if err := res.Print(os.Stdout); err != nil {
		return err
	}
	if n := len(res.Violations); n > 0 {
		os.Exit(2)
	}
	return nil
}

func readOrDefault(path, text string) (string, string, error) {
	if path == "" {
		return text, "the day in the program", nil
	}
	b, err := os.ReadFile(path)
	return string(b), path, err
}
