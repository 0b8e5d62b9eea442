package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ravenpond/internal/lab/platformsim"
	"ravenpond/internal/lab/seeds"
)

// soakCommand runs random scenarios with real processes of ravenpond platform, real signals and real sockets.
type soakCommand struct {
	Seeds   string `default:"1:51" help:"Range of seeds, A:B: from A on, below B. Each seed takes 23 s."`
	Workers int    `default:"3" help:"Number of seeds run in parallel."`
	Dir     string `default:"soak" help:"Folder for the configurations and logs of seeds that break a rule."`
}

// soakResult is the result of one seed.
type soakResult struct {
	platformsim.Result
	err  error
	took time.Duration
}

// Run runs the scenarios of the seeds and prints a line for each. It returns an error if a seed broke a rule or could not be run.
func (c *soakCommand) Run(ctx context.Context) error {
	first, end, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	results := seeds.Run(ctx, first, end, c.Workers, func(seed uint64) soakResult {
		dir, began := filepath.Join(c.Dir, fmt.Sprint(seed)), time.Now()
		r, err := platformsim.PlayOnSockets(ctx, seed, platformsim.SocketOptions{Command: []string{program}, Dir: dir})
		if err == nil && r.Failure == "" {
			err = os.RemoveAll(dir)
		}
		return soakResult{r, err, time.Since(began)}
	})
	broken := 0
	for i := range results {
		r := &results[i]
		seed := first + uint64(i)
		switch {
		case r.err != nil:
			broken++
			fmt.Printf("seed %d, %.1f s: could not be run: %v\n", seed, r.took.Seconds(), r.err)
		case r.Failure != "":
			broken++
			fmt.Printf("seed %d, %.1f s: %.1500s\n", seed, r.took.Seconds(), r.Failure)
		case r.Requests == 0: // the context ended before this seed was started
			fmt.Printf("seed %d: not run\n", seed)
		default:
			fmt.Printf("seed %d, %.1f s: passed, %d requests, %d served, %d restored, %d resent\n", seed, r.took.Seconds(), r.Requests, r.Served,
				r.Restored, r.Resent)
		}
	}
	fmt.Printf("broken: %d of %d\n", broken, len(results))
	if broken > 0 {
		return errRuleBroken
	}
	return nil
}
