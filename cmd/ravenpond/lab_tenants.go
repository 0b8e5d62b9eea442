package main

import (
	"context"
	"errors"
	"os"
	"time"

	"ravenpond/internal/lab/tenants"
)

// tenantLoadCommand measures tenants beside one that floods.
type tenantLoadCommand struct {
	Tenants     int           `default:"20" help:"Tenants."`
	Nodes       int           `default:"20" help:"Stand-in nodes of 32 cores."`
	Shards      int           `default:"2" help:"Shards of the scheduler."`
	FloodFactor float64       `name:"flood" default:"10" help:"Load of the first tenant, as a multiple of its share."`
	Reconnects  bool          `name:"returns" default:"true" negatable:"" help:"A client without a token reconnects all the time."`
	Duration    time.Duration `name:"last" default:"10s" help:"Length of each day."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals."`
	HalfOpen    int           `name:"half-open" help:"Instead of the flood: TLS handshakes that are begun and never completed."`
}

// Run prints a table of a day without and one with the flood, or measures incomplete handshakes.
func (c *tenantLoadCommand) Run(ctx context.Context) error {
	if c.Tenants < 2 || c.Nodes < 1 || c.Shards < 1 || !(c.FloodFactor > 0) || c.Duration <= 0 {
		return errors.New("two tenants or more, nodes, shards, a flood and a length above 0 are expected")
	}
	trial := tenants.Trial{Tenants: c.Tenants, Nodes: c.Nodes, Shards: c.Shards, Flood: c.FloodFactor, ReconnectFlood: c.Reconnects, Duration: c.Duration, Seed: c.Seed}
	if c.HalfOpen > 0 {
		trial.ReconnectFlood = false
		_, _, _, err := tenants.Handshakes(ctx, os.Stdout, trial, c.HalfOpen)
		return err
	}
	_, err := tenants.Table(ctx, os.Stdout, trial)
	return err
}

// removalsCommand removes tenants while the scheduler is killed.
type removalsCommand struct {
	Rounds            int    `default:"20" help:"Rounds, each with a kill; one takes about 25 s."`
	TenantsPerRound   int    `name:"each" default:"50" help:"Tenants that are removed in each round."`
	RequestsPerTenant int    `name:"asks" default:"20" help:"Requests of each tenant."`
	Nodes             int    `default:"20" help:"Stand-in nodes of 32 cores."`
	Seed              uint64 `default:"1" help:"Seed of arrivals and kills."`
}

// Run plays the rounds. A removal that was not completed is an error.
func (c *removalsCommand) Run(ctx context.Context) error {
	if c.Rounds < 1 || c.TenantsPerRound < 1 || c.RequestsPerTenant < 1 || c.Nodes < 1 {
		return errors.New("rounds, tenants, asks and nodes above 0 are expected")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	result, err := tenants.RemovalTrial{Command: []string{self}, Rounds: c.Rounds, TenantsPerRound: c.TenantsPerRound, RequestsPerTenant: c.RequestsPerTenant, Nodes: c.Nodes, Seed: c.Seed}.Play(ctx)
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	if result.NotRemoved+result.HeldAtNodes+result.Unanswered+result.SecondStarts > 0 {
		return errors.New("removals do not hold")
	}
	return nil
}
