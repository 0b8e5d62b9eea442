package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"ravenpond/internal/lab/shards"
)

// shardsCommand measures schedulers with several shards, and checks that no two shards act for the same allocation.
type shardsCommand struct {
	ShardCounts   []int         `name:"counts" default:"1,2,4,8" help:"Numbers of shards to measure."`
	Nodes         int           `default:"130" help:"Number of stand-in nodes."`
	Rate          float64       `default:"1500" help:"Requests per second for the measurement of latency and CPU time."`
	OverloadRate  float64       `name:"flood" default:"9000" help:"Requests per second for the measurement of throughput; has to be more than can be served."`
	Duration      time.Duration `name:"last" default:"4s" help:"Length of each trial over sockets."`
	Requests      int           `name:"asks" default:"60000" help:"Number of requests in each trial in memory."`
	CheckRequests int           `name:"check" default:"500000" help:"Number of requests in the check, which runs once with 4 and once with 8 shards; 0: no check."`
	Tables        bool          `default:"true" negatable:"" help:"Measure over sockets and in memory, and print the tables."`
	Overload      bool          `default:"true" negatable:"" name:"overload" help:"Measure under overload, and print the table."`
	Seed          uint64        `default:"1" help:"Seed of the check."`
}

// Run prints the tables of the measurements and the result of the check. It returns an error if the check found a broken rule.
func (c *shardsCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	out, err := os.MkdirTemp("", "ravenpond-cores-")
	if err != nil {
		return err
	}
	measurements := shards.Measurements{
		Command: []string{self}, ShardCounts: c.ShardCounts, Nodes: c.Nodes, Rate: c.Rate, OverloadRate: c.OverloadRate, Duration: c.Duration,
		Requests: c.Requests, Cores: runtime.NumCPU(), Out: out,
	}
	if c.Tables {
		if err := measurements.Sockets(ctx, os.Stdout); err != nil {
			return err
		}
		if err := measurements.Memory(ctx, os.Stdout); err != nil {
			return err
		}
	}
	if c.Overload {
		if err := measurements.Overload(ctx, os.Stdout); err != nil {
			return err
		}
	}
	if c.CheckRequests == 0 {
		return nil
	}
	broken, err := shards.CheckMany(ctx, os.Stdout, c.CheckRequests, []int{4, 8}, c.Seed)
	if err == nil && broken > 0 {
		err = fmt.Errorf("rules broken %d times", broken)
	}
	return err
}
