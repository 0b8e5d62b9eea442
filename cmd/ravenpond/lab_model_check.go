package main

import (
	"fmt"
	"strings"
	"time"

	"ravenpond/internal/lab/modelcheck"
)

// modelCheckCommand checks rules by exhaustive exploration of a small model.
type modelCheckCommand struct {
	MaxStates  int    `name:"most" default:"50000" help:"Maximum number of states for each kind of effect."`
	MaxDepth   int    `name:"depth" default:"20" help:"Maximum number of steps on one path."`
	MaxFaults  int    `name:"faults" default:"2" help:"Maximum number of faults on one path."`
	FaultKinds string `name:"kinds" help:"Kinds of faults, a letter each: b connections break, f shards are fenced, h shards hand over, n nodes restart, w clients withdraw requests; default: all."`
}

// Run explores the model for each kind of effect and prints the extent of the exploration. It returns an error if a rule was broken.
func (c *modelCheckCommand) Run() error {
	fmt.Printf("%-14s %9s %9s %9s %6s %8s\n", "effect", "states", "paths", "steps", "depth", "seconds")
	broken := 0
	for jobClass, effect := range []string{"restartable", "tokened zone", "tokened all", "run-once"} {
		began := time.Now()
		r := modelcheck.Model{Job: jobClass, Faults: c.MaxFaults, Depth: c.MaxDepth, Kinds: c.FaultKinds}.Explore(c.MaxStates)
		fmt.Printf("%-14s %9d %9d %9d %6d %8.1f\n", effect, r.States, r.Paths, r.Steps, r.Deepest, time.Since(began).Seconds())
		if r.Failure != "" {
			broken++
			fmt.Printf("  %s\n  %s\n", r.Failure, strings.Join(r.Path, "\n  "))
		}
	}
	fmt.Printf("broken: %d\n", broken)
	if broken > 0 {
		return errRuleBroken
	}
	return nil
}
