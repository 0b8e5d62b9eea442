package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"ravenpond/internal/lab/platformsim"
	"ravenpond/internal/lab/sim"
)

type runCommand struct {
	Seeds         string `default:"0:1000" help:"Seeds A:B, B left out."`
	Workers       int    `default:"0" help:"Seeds at a time; 0: one a core."`
	Fault         string `name:"plant" help:"Plant a fault that must be found; list prints them."`
	MaxBroken     int    `name:"most" default:"0" help:"Stop after so many that broke something."`
	Quiet         bool   `help:"No progress."`
	MinWorkingSet int    `name:"set" help:"Schedulers work with a set of so many nodes at least; 0: with all."`

	Platform bool `help:"Play the platform's route instead of the program's own protocols."`
}

func (c *runCommand) Run(ctx context.Context) error {
	if c.Fault == "list" {
		for _, p := range slices.Concat(sim.ProgramFaults, sim.MissedFaults, sim.WorkingSetFaults) {
			fmt.Println(p.Name)
		}
		return nil
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	a, b, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	if c.Platform {
		if plant != nil {
			return errors.New("--platform: faults are planted there by its tests alone")
		}
		all := platformsim.Seeds(ctx, a, b, c.Workers)
		platformsim.Print(os.Stdout, all)
		if platformsim.CountFailures(all) > 0 {
			return errors.New("something broke")
		}
		return nil
	}
	var progress io.Writer
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !c.Quiet {
		progress = os.Stderr
	}
	batch := sim.Batch{From: a, To: b, Workers: c.Workers, Fault: plant, MaxFailures: c.MaxBroken, Progress: progress}
	if c.MinWorkingSet > 0 {
		batch.Change = func(s sim.Script) sim.Script { return s.WithWorkingSet(c.MinWorkingSet) }
	}
	sum := batch.Run(ctx)
	sum.Print(os.Stdout)
	if len(sum.Failures) > 0 && plant == nil {
		return errors.New("something broke")
	}
	return nil
}

func faultNamed(name string) (*sim.ProgramFault, error) {
	if name == "" {
		return nil, nil
	}
	all := slices.Concat(sim.ProgramFaults, sim.MissedFaults, sim.WorkingSetFaults)
	for i := range all {
		if all[i].Name == name {
			return &all[i], nil
		}
	}
	return nil, fmt.Errorf("no fault %q to plant; --plant list prints them", name)
}

// parseSeedRange reads seeds A:B.
func parseSeedRange(seeds string) (a, b uint64, err error) {
	from, to, ok := strings.Cut(seeds, ":")
	a, err1 := strconv.ParseUint(from, 10, 64)
	b, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err1 != nil || err2 != nil || a >= b {
		return 0, 0, fmt.Errorf("--seeds %q: A:B with A below B is expected", seeds)
	}
	return a, b, nil
}
