package main

import (
	"context"
	"errors"
	"os"
	"time"

	"ravenpond/internal/lab/tenants"
)

type tenantLoadCommand struct {
	Tenants     int           `default:"20" help:"Tenants."`
	Nodes       int           `default:"20" help:"Stand-in nodes of 32 cores."`
	Shards      int           `default:"2" help:"Shards of the scheduler."`
	FloodFactor float64       `name:"flood" default:"10" help:"Times its share that the first tenant asks for."`
	Reconnects  bool          `name:"returns" default:"true" negatable:"" help:"Somebody without a token connects anew without end."`
	Duration    time.Duration `name:"last" default:"10s" help:"Length of each day."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals."`
	HalfOpen    int           `name:"half-open" help:"Instead of the flood: handshakes that are begun at a TLS door and never ended."`
}

func (c *tenantLoadCommand) Run(ctx context.Context) error {
	if c.Tenants < 2 || c.Nodes < 1 || c.Shards < 1 || !(c.FloodFactor > 0) || c.Duration <= 0 {
		return errors.New("two tenants or more, nodes, shards, a flood and a length above 0 are expected")
	}
	day := tenants.Trial{Tenants: c.Tenants, Nodes: c.Nodes, Shards: c.Shards, Flood: c.FloodFactor, ReconnectFlood: c.Reconnects, Duration: c.Duration, Seed: c.Seed}
	if c.HalfOpen > 0 {
		day.ReconnectFlood = false
		_, _, _, err := tenants.Handshakes(ctx, os.Stdout, day, c.HalfOpen)
		return err
	}
	_, err := tenants.Table(ctx, os.Stdout, day)
	return err
}

type removalsCommand struct {
	Rounds            int    `default:"20" help:"Rounds, each with a kill; one takes some 25 s."`
	TenantsPerRound   int    `name:"each" default:"50" help:"Tenants that are removed in a round."`
	RequestsPerTenant int    `name:"asks" default:"20" help:"Asks of each."`
	Nodes             int    `default:"20" help:"Stand-in nodes of 32 cores."`
	Seed              uint64 `default:"1" help:"Seed of arrivals and kills."`
}

func (c *removalsCommand) Run(ctx context.Context) error {
	if c.Rounds < 1 || c.TenantsPerRound < 1 || c.RequestsPerTenant < 1 || c.Nodes < 1 {
		return errors.New("rounds, tenants, asks and nodes above 0 are expected")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	got, err := tenants.RemovalTrial{Command: []string{self}, Rounds: c.Rounds, TenantsPerRound: c.TenantsPerRound, RequestsPerTenant: c.RequestsPerTenant, Nodes: c.Nodes, Seed: c.Seed}.Play(ctx)
	if err != nil {
		return err
	}
	got.Print(os.Stdout)
	if got.NotRemoved+got.HeldAtNodes+got.Unanswered+got.SecondStarts > 0 {
		return errors.New("removals do not hold")
	}
	return nil
}
