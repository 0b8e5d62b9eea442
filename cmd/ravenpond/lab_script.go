package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"

	"ravenpond/internal/lab/sim"
)

// drawCommand prints the script of a seed.
type drawCommand struct {
	Seed uint64 `arg:"" help:"Seed of the script."`
}

// Run prints the script.
func (c *drawCommand) Run() error {
	_, err := fmt.Print(sim.Draw(c.Seed))
	return err
}

// replayCommand simulates a script.
type replayCommand struct {
	File  string `arg:"" type:"existingfile" help:"File with the script."`
	Fault string `name:"plant" help:"Fault to inject into the program; lab run --plant list prints the names of all faults."`
	Trace string `type:"path" help:"Write a trace of all events to this file."`
}

// readScript reads a script from a file.
func readScript(path string) (sim.Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sim.Script{}, err
	}
	return sim.Parse(bytes.NewReader(text))
}

// Run simulates the script, prints the result and writes the trace. It returns an error if a rule was broken.
func (c *replayCommand) Run() error {
	script, err := readScript(c.File)
	if err != nil {
		return err
	}
	fault, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	result, err := c.play(script, fault)
	if err != nil {
		return err
	}
	fmt.Printf("%d requests, %d served, %d steps, %.1f s of virtual time\ntrace %016x\n", result.Requests, result.Served, result.Steps, result.VirtualMs/1000, result.Trace)
	if result.Failure != "" {
		return errors.New(result.Failure)
	}
	fmt.Println("broken: 0")
	return nil
}

// play simulates the script, and writes its trace if a file was named.
func (c *replayCommand) play(script sim.Script, fault *sim.ProgramFault) (result sim.Result, err error) {
	if c.Trace == "" {
		return sim.Run(script, fault, nil), nil
	}
	f, err := os.Create(c.Trace)
	if err != nil {
		return sim.Result{}, err
	}
	result = sim.Run(script, fault, f)
	return result, f.Close()
}

// errNoRuleBroken reports that a script breaks no rule.
var errNoRuleBroken = errors.New("the script breaks no rule")

// shrinkCommand minimizes a script that breaks a rule.
type shrinkCommand struct {
	File  string `arg:"" type:"existingfile" help:"File with a script that breaks a rule."`
	Fault string `name:"plant" help:"Fault to inject into the program; lab run --plant list prints the names of all faults."`
}

// Run removes faults, nodes, schedulers, shards and time from the script as long as the script still breaks the same rule, and prints the
// remaining script. It stops early when the context ends.
func (c *shrinkCommand) Run(ctx context.Context) error {
	script, err := readScript(c.File)
	if err != nil {
		return err
	}
	fault, err := faultNamed(c.Fault)
	if err != nil {
		return err
	}
	//nolint:contextcheck // a simulation runs in one call on the virtual clock; the context is checked between simulations
	play := func(script sim.Script) sim.Result { return sim.Run(script, fault, nil) }
	first := play(script)
	if first.Failure == "" {
		return errNoRuleBroken
	}
	shrunk := sim.Shrink(script, func(smaller sim.Script) bool {
		result := play(smaller)
		return ctx.Err() == nil && result.Failure != "" && result.FailedRule == first.FailedRule
	}, func(smaller sim.Script) {
		fmt.Fprintf(os.Stderr, "%d faults, %d nodes, %d schedulers, %d shards, %.0f ms\n", len(smaller.Faults), smaller.Nodes, smaller.Schedulers,
			smaller.Shards, smaller.Duration)
	})
	fmt.Printf("%s# %s\n", shrunk, play(shrunk).Failure)
	return nil
}
