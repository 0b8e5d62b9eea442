package main

import (
	"errors"
	"runtime"
)

// errRuleBroken reports that a rule was broken in a simulation or check. The command has printed which one.
var errRuleBroken = errors.New("at least one rule was broken")

// workersOrCPUs returns the given number of workers if it is above 0, else the number of CPU cores.
func workersOrCPUs(workers int) int {
	if workers > 0 {
		return workers
	}
	return runtime.NumCPU()
}

// labCommands are the commands for measurements and simulations.
type labCommands struct {
	Load        loadCommand         `cmd:"" help:"Load a scheduler on loopback and print its latency and CPU time."`
	Shards      shardsCommand       `cmd:"" help:"Measure schedulers with several shards, and check that no two shards act for the same allocation."`
	Maintenance maintenanceCommand  `cmd:"" help:"Simulate a month of maintenance windows."`
	Run         runCommand          `cmd:"" help:"Simulate schedulers under random faults drawn from seeds, and check the rules."`
	Soak        soakCommand         `cmd:"" help:"Run random scenarios with real processes of ravenpond platform, signals and sockets, and check the rules."`
	Members     membershipCommand   `cmd:"" help:"Simulate membership (which schedulers know of each other), or measure how fast it detects failures."`
	Cluster     clusterCommand      `cmd:"" help:"Run many scheduler processes on loopback under a script of faults, and check the rules."`
	Balance     balanceCommand      `cmd:"" help:"Simulate how evenly many schedulers load nodes, compared with baseline policies."`
	Draw        drawCommand         `cmd:"" help:"Print the script that lab run draws from a seed."`
	Replay      replayCommand       `cmd:"" help:"Simulate a script and check the rules."`
	Compare     compareCommand      `cmd:"" help:"Compare two placement policies on the same simulated days."`
	Order       orderCommand        `cmd:"" help:"Rank the placement policies for each kind of fault, on simulated days."`
	Tenants     tenantLoadCommand   `cmd:"" help:"Measure how a tenant that floods the scheduler affects the others, with and without fair queueing."`
	Removals    removalsCommand     `cmd:"" help:"Remove tenants under load while the scheduler is killed and restarted, and check the removals."`
	Grow        growCommand         `cmd:"" help:"Simulate days without faults at growing cluster sizes and print their cost."`
	ScaleFit    scaleFitCommand     `cmd:"" help:"Fit lines and models to the results of scale runs."`
	Regions     scaleRegionsCommand `cmd:"" name:"scale-regions" help:"Simulate regions that are partitioned from each other for an hour."`
	ModelCheck  modelCheckCommand   `cmd:"" help:"Check the rules for one allocation by exhaustive exploration of a small model."`
	Scale       scaleCommand        `cmd:"" help:"Measure real schedulers together with thousands of hollow nodes and hundreds of hollow schedulers on loopback."`
	Shrink      shrinkCommand       `cmd:"" help:"Minimize a script that breaks a rule."`

	// Commands of the processes that lab scale starts.
	ScaleNodes      scaleNodesCommand      `cmd:"" hidden:"" help:"Run hollow nodes for lab scale, controlled by orders on standard input."`
	ScaleSchedulers scaleSchedulersCommand `cmd:"" hidden:"" help:"Run hollow schedulers for lab scale, controlled by orders on standard input."`

	// Former names of commands, kept until the next release.
	FormerShards      shardsCommand      `cmd:"" name:"cores" hidden:"" help:"Former name of lab shards."`
	FormerMaintenance maintenanceCommand `cmd:"" name:"month" hidden:"" help:"Former name of lab maintenance."`
	FormerCluster     clusterCommand     `cmd:"" name:"procs" hidden:"" help:"Former name of lab cluster."`
	FormerBalance     balanceCommand     `cmd:"" name:"herd" hidden:"" help:"Former name of lab balance."`
	FormerTenants     tenantLoadCommand  `cmd:"" name:"clubs" hidden:"" help:"Former name of lab tenants."`
	FormerModelCheck  modelCheckCommand  `cmd:"" name:"states" hidden:"" help:"Former name of lab model-check."`
}
