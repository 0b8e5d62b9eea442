package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"ravenpond/internal/lab/sim"
)

type drawCommand struct {
	Seed uint64 `arg:"" help:"The seed."`
}

func (c *drawCommand) Run() error { fmt.Print(sim.Draw(c.Seed)); return nil }

type replayCommand struct {
	File  string `arg:"" type:"existingfile" help:"The script."`
	Fault string `name:"plant" help:"Plant a fault."`
	Trace string `type:"path" help:"Write all that happened to this file."`
}

func readScript(path string) (sim.Script, error) {
	f, err := os.Open(path)
	if err != nil {
		return sim.Script{}, err
	}
	defer f.Close()
	return sim.Parse(f)
}

func (c *replayCommand) Run() error {
	s, err := readScript(c.File)
	if err != nil {
		return err
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	var v sim.Result
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer f.Close()
		v = sim.Run(s, plant, f)
	} else {
		v = sim.Run(s, plant, nil)
	}
	fmt.Printf("%d asks, %d served, %d steps, %.1f s of virtual time\ntrace %016x\n", v.Requests, v.Served, v.Steps, v.VirtualMs/1000, v.Trace)
	if v.Failure != "" {
		return errors.New(v.Failure)
	}
	fmt.Println("broken: 0")
	return nil
}

type shrinkCommand struct {
	File  string `arg:"" type:"existingfile" help:"A script that breaks something."`
	Fault string `name:"plant" help:"Plant a fault."`
}

func (c *shrinkCommand) Run(ctx context.Context) error {
	s, err := readScript(c.File)
	if err != nil {
		return err
	}
	plant, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	first := sim.Run(s, plant, nil)
	if first.Failure == "" {
		return errors.New("it breaks nothing")
	}
	small := sim.Shrink(s, func(t sim.Script) bool {
		v := sim.Run(t, plant, nil)
		return ctx.Err() == nil && v.Failure != "" && v.FailedRule == first.FailedRule
	}, func(t sim.Script) {
		fmt.Fprintf(os.Stderr, "%d faults, %d nodes, %d schedulers, %d shards, %.0f ms\n", len(t.Faults), t.Nodes, t.Schedulers,
			t.Shards, t.Duration)
	})
	fmt.Printf("%s# %s\n", small, sim.Run(small, plant, nil).Failure)
	return nil
}
