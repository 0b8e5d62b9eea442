package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"ravenpond/internal/lab/cluster"
)

// clusterCommand runs many scheduler processes under a script of faults.
type clusterCommand struct {
	Script            string  `arg:"" optional:"" type:"existingfile" help:"Script of faults; default: none."`
	Schedulers        int     `default:"9" help:"Number of schedulers."`
	Nodes             int     `default:"20" help:"Number of stand-in nodes."`
	Rate              float64 `default:"100" help:"Requests per second of all clients together."`
	Seconds           float64 `default:"10" help:"Time before the script, in seconds; also the time-out for membership to converge after it."`
	Seed              uint64  `default:"1" help:"Seed of the random numbers."`
	WithoutMembership bool    `name:"apart" help:"Disable membership, so that schedulers do not know each other."`
	Zones             int     `default:"2" help:"Number of zones, 2 to 6, two in each region."`
	CoresPerNode      int     `name:"cores" default:"64" help:"Number of cores of a node."`
	ZoneLatency       bool    `name:"near" help:"State the latency between zones in the site file."`
	Voters            int     `name:"stewards" default:"0" help:"Number of voters of the cluster state: 0, 3 or 5."`
	Out               string  `type:"path" help:"Folder for logs; default: a new temporary folder."`
}

// maxPrintedViolations is the maximum number of broken rules that are printed.
const maxPrintedViolations = 10

// detectionTimeout is the time within which a scheduler has to notice a death for the death to count as detected.
const detectionTimeout = 10 * time.Second

// Run starts the processes, runs the script and prints the measurements. It returns an error if a rule was broken.
func (c *clusterCommand) Run(ctx context.Context) error {
	steps, err := c.steps()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out, err = outputFolder(c.Out, "ravenpond-procs-"); err != nil {
		return err
	}
	rig, err := cluster.Start(ctx, cluster.Config{
		Command: []string{self}, Schedulers: c.Schedulers, Nodes: c.Nodes, Rate: c.Rate, Seed: c.Seed, Dir: c.Out,
		Isolated: c.WithoutMembership, Relays: cluster.NeedsRelays(steps), Zones: min(6, c.Zones), Cores: c.CoresPerNode, Localities: c.ZoneLatency, Voters: c.Voters,
	})
	if err != nil {
		return err
	}
	began := time.Now()
	pause := time.Duration(c.Seconds * float64(time.Second))
	convergence := waitForAgreement(rig, pause)
	fmt.Printf("%d schedulers, logs in %s; all membership views agree after %s\n", c.Schedulers, c.Out, convergence)
	time.Sleep(max(0, pause-time.Since(began)))
	report := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if err := rig.Play(ctx, steps, report); err != nil {
		return err
	}
	fmt.Printf("all membership views agree again after %s\n", waitForAgreement(rig, pause))
	detections, undetected, falsePositives, err := rig.DetectionTimes(detectionTimeout)
	result := rig.Finish()
	if err != nil {
		return err
	}
	printDetections(detections, undetected, falsePositives)
	c.printResult(result, time.Since(began))
	if len(result.Violations) > 0 {
		return errors.New("at least one rule was broken")
	}
	return nil
}

// steps reads the script. Without a script it returns no steps.
func (c *clusterCommand) steps() ([]cluster.Step, error) {
	if c.Script == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Script)
	if err != nil {
		return nil, err
	}
	return cluster.Parse(bytes.NewReader(text), c.Schedulers)
}

// printDetections prints the quantiles of the detection times of deaths, which come sorted, the number of undetected deaths, and the number
// of reported deaths of schedulers that were alive.
func printDetections(detections []time.Duration, undetected, falsePositives int) {
	n := len(detections)
	if n == 0 {
		fmt.Printf("no deaths detected; false detections: %d\n", falsePositives)
		return
	}
	fmt.Printf("deaths detected: %d, p50 %.2f s, p99 %.2f s, maximum %.2f s; undetected: %d, false detections: %d\n", n,
		detections[n/2].Seconds(), detections[n*99/100].Seconds(), detections[n-1].Seconds(), undetected, falsePositives)
}

// printResult prints the results of the clients' requests, the CPU time of the schedulers, and the first broken rules.
func (c *clusterCommand) printResult(result cluster.Result, elapsed time.Duration) {
	fmt.Printf("answers %v, broken rules %d, fraction run in the scheduler's zone %.3f\n", result.Answers, len(result.Violations), result.LocalFraction)
	if n := len(result.ScriptLatencies); n > 0 {
		fmt.Printf("during the script: fraction of the value served in time %.3f, start p50 %.1f ms, p99 %.1f ms\n", result.Value, result.ScriptLatencies[n/2], result.ScriptLatencies[n*99/100])
	}
	if n := len(result.StartLatencies); n > 0 {
		fmt.Printf("start p50 %.1f ms, p99 %.1f ms\n", result.StartLatencies[n/2], result.StartLatencies[n*99/100])
	}
	fmt.Printf("CPU of all schedulers %.2f s: %.2f%% of a core each\n", result.CPU.Seconds(),
		100*result.CPU.Seconds()/elapsed.Seconds()/float64(c.Schedulers))
	for _, b := range result.Violations[:min(len(result.Violations), maxPrintedViolations)] {
		fmt.Println(b)
	}
}

// pollInterval is the time between two comparisons of the views of all schedulers.
const pollInterval = 50 * time.Millisecond

// waitForAgreement waits until the views of all schedulers agree on which schedulers are alive. It returns the time that this took or, after
// the time-out, how the views differ.
func waitForAgreement(rig *cluster.Rig, timeout time.Duration) string {
	began := time.Now()
	for {
		agreed, difference := rig.MembersConverged()
		switch {
		case agreed:
			return time.Since(began).Round(10 * time.Millisecond).String()
		case time.Since(began) > timeout:
			return "not within " + timeout.String() + ": " + difference[:min(len(difference), 200)]
		}
		time.Sleep(pollInterval)
	}
}
