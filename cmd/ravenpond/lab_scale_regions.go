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

// scaleRegionsCommand simulates regions that are partitioned from each other for a long time.
type scaleRegionsCommand struct {
	Seed             uint64        `default:"1" help:"Seed of the run."`
	Processes        int           `default:"60" help:"Number of schedulers, assigned to the zones in turn."`
	Regions          int           `default:"6" help:"Number of regions."`
	Zones            int           `default:"14" help:"Number of zones, assigned to the regions in turn."`
	Voters           int           `default:"5" help:"Number of voters of the cluster state; the first schedulers are voters."`
	CutRegions       int           `default:"3" help:"Number of regions, counted from the last, that are partitioned from the others."`
	WarmUp           time.Duration `name:"warm" default:"5m" help:"Virtual time before the partition."`
	CutDuration      time.Duration `name:"cut" default:"1h" help:"Virtual length of the partition."`
	Recovery         time.Duration `name:"settle" default:"10m" help:"Virtual time after the end of the partition."`
	CommandsPerDay   float64       `default:"7400" help:"Number of commands per day that the schedulers propose in turn."`
	AbsentSchedulers int           `name:"absent" default:"0" help:"Number of schedulers that the cluster state lists but that are not simulated."`
	AbsentName       int           `default:"0" help:"Minimum length of the names of the schedulers of --absent, in bytes."`
	Restart          bool          `default:"true" negatable:"" help:"Restart one scheduler of the partitioned regions during the partition."`
	Out              string        `type:"path" help:"Write the result to this file, in the format of lab scale."`
	Minutes          string        `type:"path" help:"Write all readings of all processes to this file, as JSON."`
}

// Run simulates the partition, prints the table and writes the results. All figures are simulated. It returns an error if a bound was
// exceeded.
func (c *scaleRegionsCommand) Run(ctx context.Context) error {
	began := time.Now()
	report, err := regions.Run(ctx, regions.Config{
		Seed: c.Seed, Processes: c.Processes, Regions: c.Regions, Zones: c.Zones, Voters: c.Voters,
		CutRegions: c.CutRegions, Warm: c.WarmUp, Cut: c.CutDuration, Settle: c.Recovery, CommandsPerDay: c.CommandsPerDay, Absent: c.AbsentSchedulers, AbsentNameBytes: c.AbsentName, Restart: c.Restart,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d schedulers, %d zones in %d regions, %d of them partitioned for %s; simulated with seed %d in %.0f s\n\n", c.Processes, c.Zones, c.Regions,
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
	if exceeded := len(report.Check()); exceeded > 0 {
		return fmt.Errorf("%d bounds exceeded", exceeded)
	}
	return nil
}

// revision returns the commit from which the program was built, or "" if the build information does not have it.
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
