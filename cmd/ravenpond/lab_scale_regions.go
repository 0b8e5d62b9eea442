package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"ravenpond/internal/lab/scale/regions"
	"ravenpond/internal/lab/scale/result"
)

// scaleRegionsCommand cuts regions from each other for long, on the virtual clock.
type scaleRegionsCommand struct {
	Seed             uint64        `default:"1" help:"Seed of the run."`
	Processes        int           `default:"60" help:"Schedulers, in turn in all zones."`
	Regions          int           `default:"6" help:"Regions."`
	Zones            int           `default:"14" help:"Zones, in turn in all regions."`
	Voters           int           `default:"5" help:"Schedulers that keep the replicated state, the first ones."`
	CutRegions       int           `default:"3" help:"Regions that are cut from the others, the last ones."`
	WarmUp           time.Duration `name:"warm" default:"5m" help:"Virtual time before the cut."`
	CutDuration      time.Duration `name:"cut" default:"1h" help:"Virtual time for which the regions are cut."`
	Recovery         time.Duration `name:"settle" default:"10m" help:"Virtual time after the heal."`
	CommandsPerDay   float64       `default:"7400" help:"Commands that schedulers, in turn, put into the replicated state."`
	AbsentSchedulers int           `name:"absent" default:"0" help:"Schedulers that stand in the replicated state and are not played."`
	AbsentName       int           `default:"0" help:"Bytes of their names at least."`
	Restart          bool          `default:"true" negatable:"" help:"Restart one scheduler of the cut regions in the midst of the cut."`
	Out              string        `type:"path" help:"Write the result to this file, in the form of scale runs' results."`
	Minutes          string        `type:"path" help:"Write each reading of each process to this file, as JSON."`
}

// Run prints the table; all of its figures are simulated. A bound that was broken is an error.
func (c *scaleRegionsCommand) Run(ctx context.Context) error {
	began := time.Now()
	report, err := regions.Run(ctx, regions.Config{
		Seed: c.Seed, Processes: c.Processes, Regions: c.Regions, Zones: c.Zones, Voters: c.Voters,
		CutRegions: c.CutRegions, Warm: c.WarmUp, Cut: c.CutDuration, Settle: c.Recovery, CommandsPerDay: c.CommandsPerDay, Absent: c.AbsentSchedulers, AbsentNameBytes: c.AbsentName, Restart: c.Restart,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d schedulers, %d zones in %d regions, %d of them cut off for %s; simulated, seed %d, played in %.0f s\n\n", c.Processes, c.Zones, c.Regions,
		c.CutRegions, c.CutDuration, c.Seed, time.Since(began).Seconds())
	if err := report.WriteMarkdown(os.Stdout); err != nil {
		return err
	}
	if c.Minutes != "" {
		if err := report.WriteMinutes(c.Minutes); err != nil {
			return err
		}
	}
	if c.Out != "" {
		machine := result.Machine{CPUs: runtime.NumCPU(), GoVersion: runtime.Version()}
		if err := report.Result(machine, revision()).Write(c.Out); err != nil {
			return err
		}
	}
	if broken := len(report.Check()); broken > 0 {
		return fmt.Errorf("%d bounds broken", broken)
	}
	return nil
}

// revision is the commit that the program was built from, empty if the build does not say.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
