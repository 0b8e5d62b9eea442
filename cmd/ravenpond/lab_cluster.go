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
	Script            string  `arg:"" optional:"" type:"existingfile" help:"The script of faults; default: none."`
	Schedulers        int     `default:"9" help:"Number."`
	Nodes             int     `default:"20" help:"Stand-in nodes."`
	Rate              float64 `default:"100" help:"Requests a second of all clients."`
	Seconds           float64 `default:"10" help:"Time before the script, and after it."`
	Seed              uint64  `default:"1" help:"Seed of the random numbers."`
	WithoutMembership bool    `name:"apart" help:"Schedulers do not know each other (no membership)."`
	Zones             int     `default:"2" help:"Zones, two in each region; 2 to 6."`
	CoresPerNode      int     `name:"cores" default:"64" help:"Cores of a node."`
	ZoneLatency       bool    `name:"near" help:"The site file gives the latency between zones."`
	Voters            int     `name:"stewards" default:"0" help:"Voters of the cluster state: 0, 3 or 5."`
	Out               string  `type:"path" help:"Folder for logs; default: a new temporary folder."`
}

// maxPrintedViolations is how many broken rules are printed.
const maxPrintedViolations = 10

// detectionTimeout is how long a death may take to be noticed by a scheduler, to be counted as detected.
const detectionTimeout = 10 * time.Second

// Run starts the processes, plays the script and prints what was measured. A broken rule is an error.
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
	fmt.Printf("%d schedulers, logs in %s; all know all after %s\n", c.Schedulers, c.Out, convergence)
	time.Sleep(max(0, pause-time.Since(began)))
	report := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if err := rig.Play(ctx, steps, report); err != nil {
		return err
	}
	fmt.Printf("one view again after %s\n", waitForAgreement(rig, pause))
	detections, undetected, falsePositives, err := rig.DetectionTimes(detectionTimeout)
	result := rig.Finish()
	if err != nil {
		return err
	}
	printDetections(detections, undetected, falsePositives)
	c.printResult(result, time.Since(began))
	if len(result.Violations) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}

// steps reads the script; without one there are none.
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

// printDetections prints how long deaths took to be detected, sorted; how many were not detected; and how many living schedulers were
// reported dead.
func printDetections(detections []time.Duration, undetected, falsePositives int) {
	n := len(detections)
	if n == 0 {
		fmt.Printf("deaths of those who lived: %d\n", falsePositives)
		return
	}
	fmt.Printf("deaths known: %d, p50 %.2f s, p99 %.2f s, most %.2f s; not known to %d, of those who lived %d\n", n,
		detections[n/2].Seconds(), detections[n*99/100].Seconds(), detections[n-1].Seconds(), undetected, falsePositives)
}

// printResult prints what clients saw, what the schedulers used, and the first broken rules.
func (c *clusterCommand) printResult(result cluster.Result, elapsed time.Duration) {
	fmt.Printf("answers %v, broken rules %d, ran in the own zone %.3f\n", result.Answers, len(result.Violations), result.LocalFraction)
	if n := len(result.ScriptLatencies); n > 0 {
		fmt.Printf("while the script was played: %.3f of the value served in time, start p50 %.1f ms, p99 %.1f ms\n", result.Value, result.ScriptLatencies[n/2], result.ScriptLatencies[n*99/100])
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

// pollInterval is the time between two looks at the views of all schedulers.
const pollInterval = 50 * time.Millisecond

// waitForAgreement waits until all schedulers hold the same view of who is alive, and returns how long that took, or, after the time-out, how
// they differ.
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
