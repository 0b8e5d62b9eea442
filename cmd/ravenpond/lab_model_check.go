package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"ravenpond/internal/lab/modelcheck"
)

type modelCheckCommand struct {
	MaxStates  int    `name:"most" default:"50000" help:"States of each effect at most."`
	MaxDepth   int    `name:"depth" default:"20" help:"Steps on one path at most."`
	MaxFaults  int    `name:"faults" default:"2" help:"Faults on one path at most."`
	FaultKinds string `name:"kinds" help:"Kinds of faults: b connections break, f shards are fenced, h they give, n nodes restart, w owners withdraw; all without it."`
}

func (c *modelCheckCommand) Run() error {
	fmt.Printf("%-14s %9s %9s %9s %6s %8s\n", "effect", "states", "paths", "steps", "depth", "seconds")
	broken := 0
	for job, effect := range []string{"restartable", "tokened zone", "tokened all", "run-once"} {
		began := time.Now()
		r := modelcheck.Model{Job: job, Faults: c.MaxFaults, Depth: c.MaxDepth, Kinds: c.FaultKinds}.Explore(c.MaxStates)
		fmt.Printf("%-14s %9d %9d %9d %6d %8.1f\n", effect, r.States, r.Paths, r.Steps, r.Deepest, time.Since(began).Seconds())
		if r.Failure != "" {
			broken++
			fmt.Printf("  %s\n  %s\n", r.Failure, strings.Join(r.Path, "\n  "))
		}
	}
	fmt.Printf("broken: %d\n", broken)
	if broken > 0 {
		return errors.New("something broke")
	}
	return nil
}
