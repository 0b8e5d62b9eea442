package main

import (
	"errors"
	"runtime"
)

// errRuleBroken reports that a simulation or check broke a rule. What broke was printed before.
var errRuleBroken = errors.New("something broke")

// workersOrCPUs returns the number of workers that a flag gives, or one for each core if it gives none.
func workersOrCPUs(workers int) int {
	if workers > 0 {
		return workers
	}
	return runtime.NumCPU()
}

// labCommands are the measurements and simulations.
type labCommands struct {
	Load        loadCommand         `cmd:"" help:"Load a scheduler on loopback and print its latency and CPU time."`
	Shards      shardsCommand       `cmd:"" help:"Measure several shards, and check that no two ever act for one allocation."`
	Maintenance maintenanceCommand  `cmd:"" help:"Simulate a month of maintenance windows."`
	Run         runCommand          `cmd:"" help:"Simulate schedulers under faults drawn from seeds, and check the rules."`
	Soak        soakCommand         `cmd:"" help:"Play scenarios with real processes of ravenpond platform, signals and sockets, and check the rules."`
	Members     membershipCommand   `cmd:"" help:"Simulate or measure membership: which schedulers know of each other, and how soon."`
	Cluster     clusterCommand      `cmd:"" help:"Run many scheduler processes on loopback under a script of faults."`
	Balance     balanceCommand      `cmd:"" help:"Simulate how evenly many schedulers load nodes, compared with baseline policies."`
	Draw        drawCommand         `cmd:"" help:"Print the script of a seed."`
	Replay      replayCommand       `cmd:"" help:"Simulate a script."`
	Compare     compareCommand      `cmd:"" help:"Compare two placement policies on the same simulated days."`
	Order       orderCommand        `cmd:"" help:"Rank the placement policies on simulated days of one kind of fault each."`
	Tenants     tenantLoadCommand   `cmd:"" help:"Measure tenants beside one that floods, with and without fair queueing."`
	Removals    removalsCommand     `cmd:"" help:"Remove tenants under load while the scheduler is killed."`
	Grow        growCommand         `cmd:"" help:"Simulate days without faults at growing sizes and print what they cost."`
	ScaleFit    scaleFitCommand     `cmd:"" help:"Fit lines and models to the results of scale runs."`
	Regions     scaleRegionsCommand `cmd:"" name:"scale-regions" help:"Simulate regions that are partitioned from each other for an hour."`
	ModelCheck  modelCheckCommand   `cmd:"" help:"Explore exhaustively what can happen to one allocation in a small model."`
	Scale       scaleCommand        `cmd:"" help:"Measure real schedulers beside thousands of hollow nodes and hundreds of hollow schedulers on loopback."`
	Shrink      shrinkCommand       `cmd:"" help:"Remove from a script that breaks a rule what is not needed for that."`

	// Processes that a scale run starts.
	ScaleNodes      scaleNodesCommand      `cmd:"" hidden:"" help:"Hollow nodes of a scale run; orders come on standard input."`
	ScaleSchedulers scaleSchedulersCommand `cmd:"" hidden:"" help:"Hollow schedulers of a scale run; orders come on standard input."`

	// Former names, kept until the next release.
	FormerShards      shardsCommand      `cmd:"" name:"cores" hidden:"" help:"Former name of lab shards."`
	FormerMaintenance maintenanceCommand `cmd:"" name:"month" hidden:"" help:"Former name of lab maintenance."`
	FormerCluster     clusterCommand     `cmd:"" name:"procs" hidden:"" help:"Former name of lab cluster."`
	FormerBalance     balanceCommand     `cmd:"" name:"herd" hidden:"" help:"Former name of lab balance."`
	FormerTenants     tenantLoadCommand  `cmd:"" name:"clubs" hidden:"" help:"Former name of lab tenants."`
	FormerModelCheck  modelCheckCommand  `cmd:"" name:"states" hidden:"" help:"Former name of lab model-check."`
}
