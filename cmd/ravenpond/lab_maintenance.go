package main

import (
	"fmt"
	"runtime"

	"ravenpond/internal/lab/maintenance"
)

// maintenanceCommand simulates maintenance windows of a month.
type maintenanceCommand struct {
	Seed      uint64 `default:"1" help:"First seed."`
	Seeds     uint64 `default:"1" help:"Number of seeds."`
	Days      int    `default:"30" help:"Length of each run, in days."`
	Processes int    `default:"8" help:"Number of scheduler processes."`
}

// Run simulates each seed and prints a row for it. It returns an error if there were late placements or forbidden overlaps.
func (c *maintenanceCommand) Run() error {
	fmt.Printf("%6s %8s %6s %10s %8s %9s %7s %9s %6s  %-16s\n", "seed", "windows", "kept", "postponed", "refused", "offers", "moved",
		"restarts", "halls", "trace")
	late, overlaps := 0, 0
	results := make([]chan maintenance.Report, c.Seeds)
	running := make(chan struct{}, runtime.NumCPU())
	for i := range results {
		results[i] = make(chan maintenance.Report, 1)
		go func() {
			running <- struct{}{}
			results[i] <- maintenance.Month{Seed: c.Seed + uint64(i), Days: c.Days, Processes: c.Processes}.Play()
			<-running
		}()
	}
	for i, got := range results {
		r := <-got
		fmt.Printf("%6d %8d %6d %10d %8d %9d %7d %9d %6d  %016x %s\n", c.Seed+uint64(i), r.Windows, r.Kept, r.Postponed, r.Refused,
			r.Offers, r.MovedOff, r.Restarts, r.Lost, r.Trace, r.FirstFailure)
		late, overlaps = late+r.LatePlacements, overlaps+r.Overlaps
	}
	fmt.Printf("late placements: %d\nforbidden overlaps: %d\n", late, overlaps)
	if late+overlaps > 0 {
		return fmt.Errorf("rules broken %d times", late+overlaps)
	}
	return nil
}
