package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"ravenpond/internal/lab/cluster"
)

type clusterCommand struct {
	Script            string  `arg:"" optional:"" type:"existingfile" help:"The script; without one nothing goes wrong."`
	Schedulers        int     `default:"9" help:"How many."`
	Nodes             int     `default:"20" help:"How many stand-ins for nodes."`
	Rate              float64 `default:"100" help:"Asks a second, of all owners together."`
	Seconds           float64 `default:"10" help:"Before the script, and after it."`
	Seed              uint64  `default:"1" help:"Seed of all chance."`
	WithoutMembership bool    `name:"apart" help:"Schedulers do not know each other."`
	Zones             int     `default:"2" help:"How many zones, two to a region; 2 to 6."`
	CoresPerNode      int     `name:"cores" default:"64" help:"Of a node."`
	ZoneLatency       bool    `name:"near" help:"The site file says how far zones are from each other."`
	Voters            int     `name:"stewards" default:"0" help:"How many keep the book that all agree on: 0, 3 or 5."`
	Out               string  `type:"path" help:"Folder for logs; without it a new one in the temporary folder."`
}

func (c *clusterCommand) Run(ctx context.Context) error {
	var steps []cluster.Step
	if c.Script != "" {
		f, err := os.Open(c.Script)
		if err != nil {
			return err
		}
		defer f.Close()
		if steps, err = cluster.Parse(f, c.Schedulers); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "ravenpond-procs-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(c.Out, 0o750); err != nil {
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
	pause := time.Duration(c.Seconds * 1e9)
	convergence := waitForAgreement(rig, pause)
	fmt.Printf("%d schedulers, logs in %s; all know all after %s\n", c.Schedulers, c.Out, convergence)
	time.Sleep(max(0, pause-time.Since(began)))
	report := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if err := rig.Play(ctx, steps, report); err != nil {
		return err
	}
	fmt.Printf("one view again after %s\n", waitForAgreement(rig, pause))
	detections, undetected, falsePositives, err := rig.DetectionTimes(10 * time.Second)
	result := rig.Finish()
	if err != nil {
		return err
	}
	if n := len(detections); n > 0 {
		fmt.Printf("deaths known: %d, p50 %.2f s, p99 %.2f s, most %.2f s; not known to %d, of those who lived %d\n", n,
			detections[n/2].Seconds(), detections[n*99/100].Seconds(), detections[n-1].Seconds(), undetected, falsePositives)
	} else {
		fmt.Printf("deaths of those who lived: %d\n", falsePositives)
	}
	fmt.Printf("answers %v, broken rules %d, ran in the own zone %.3f\n", result.Answers, len(result.Violations), result.LocalFraction)
	if n := len(result.ScriptLatencies); n > 0 {
		fmt.Printf("while the script was played: %.3f of the value served in time, start p50 %.1f ms, p99 %.1f ms\n", result.Value, result.ScriptLatencies[n/2], result.ScriptLatencies[n*99/100])
	}
	if n := len(result.StartLatencies); n > 0 {
		fmt.Printf("start p50 %.1f ms, p99 %.1f ms\n", result.StartLatencies[n/2], result.StartLatencies[n*99/100])
	}
	fmt.Printf("CPU of all schedulers %.2f s: %.2f%% of a core each\n", result.CPU.Seconds(),
		100*result.CPU.Seconds()/time.Since(began).Seconds()/float64(c.Schedulers))
	for i, b := range result.Violations {
		if i < 10 {
			fmt.Println(b)
		}
	}
	if len(result.Violations) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}

// waitForAgreement waits until all hold one view, and tells how long that took.
func waitForAgreement(rig *cluster.Rig, timeout time.Duration) string {
	began := time.Now()
	for {
		ok, why := rig.MembersConverged()
		switch {
		case ok:
			return time.Since(began).Round(10 * time.Millisecond).String()
		case time.Since(began) > timeout:
			return "not within " + timeout.String() + ": " + why[:min(len(why), 200)]
		}
		time.Sleep(50 * time.Millisecond)
	}
}
