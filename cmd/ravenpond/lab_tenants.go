package main

import (
	"context"
	"errors"
	"os"
	"time"

	"ravenpond/internal/lab/tenants"
)

// tenantLoadCommand measures how a tenant that floods the scheduler affects the other tenants.
type tenantLoadCommand struct {
	Tenants     int           `default:"20" help:"Number of tenants."`
	Nodes       int           `default:"20" help:"Number of stand-in nodes, of 32 cores each."`
	Shards      int           `default:"2" help:"Number of shards of the scheduler."`
	FloodFactor float64       `name:"flood" default:"10" help:"Load of the first tenant, as a multiple of its share."`
	Reconnects  bool          `name:"returns" default:"true" negatable:"" help:"Let a client without a token reconnect all the time."`
	Duration    time.Duration `name:"last" default:"10s" help:"Length of each measurement."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals."`
	HalfOpen    int           `name:"half-open" help:"Number of TLS handshakes that are begun and never completed; measures these instead of the flood."`
}

// Run prints a table of three measurements: without the flood, with the flood and fair queueing, and with the flood but without fair queueing.
// With --half-open it measures the effect of incomplete handshakes instead.
func (c *tenantLoadCommand) Run(ctx context.Context) error {
	if c.Tenants < 2 || c.Nodes < 1 || c.Shards < 1 || !(c.FloodFactor > 0) || c.Duration <= 0 {
		return errors.New("--tenants must be at least 2; --nodes, --shards, --flood and --last must be above 0")
	}
	trial := tenants.Trial{Tenants: c.Tenants, Nodes: c.Nodes, Shards: c.Shards, Flood: c.FloodFactor, ReconnectFlood: c.Reconnects, Duration: c.Duration, Seed: c.Seed}
	if c.HalfOpen > 0 {
		trial.ReconnectFlood = false
		_, _, _, err := tenants.Handshakes(ctx, os.Stdout, trial, c.HalfOpen)
		return err
	}
	_, err := tenants.CompareFlood(ctx, os.Stdout, trial)
	return err
}

// removalsCommand removes tenants while the scheduler is killed.
type removalsCommand struct {
	Rounds            int    `default:"20" help:"Number of rounds, each with one kill of the scheduler. A round takes about 25 s."`
	TenantsPerRound   int    `name:"each" default:"50" help:"Number of tenants that are removed in each round."`
	RequestsPerTenant int    `name:"asks" default:"20" help:"Number of requests of each tenant."`
	Nodes             int    `default:"20" help:"Number of stand-in nodes, of 32 cores each."`
	Seed              uint64 `default:"1" help:"Seed of the arrivals and of the times of the kills."`
}

// Run runs the rounds and prints the result. It returns an error if a removal was not completed, attempts are still held at nodes, a
// request got no answer though the scheduler lived, or a task of the job class scoring was started twice.
func (c *removalsCommand) Run(ctx context.Context) error {
	if c.Rounds < 1 || c.TenantsPerRound < 1 || c.RequestsPerTenant < 1 || c.Nodes < 1 {
		return errors.New("--rounds, --each, --asks and --nodes must be above 0")
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
		return errors.New("removals not completed, attempts still held at nodes, requests without an answer, or second starts: see the result above")
	}
	return nil
}
