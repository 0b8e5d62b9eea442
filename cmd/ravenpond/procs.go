package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"ravenpond/internal/lab/procs"
)

type procsCommand struct {
	Script     string  `arg:"" optional:"" type:"existingfile" help:"The script; without one nothing goes wrong."`
	Schedulers int     `default:"9" help:"How many."`
	Nodes      int     `default:"20" help:"How many stand-ins for nodes."`
	Rate       float64 `default:"100" help:"Asks a second, of all owners together."`
	Seconds    float64 `default:"10" help:"Before the script, and after it."`
	Seed       uint64  `default:"1" help:"Seed of all chance."`
	Apart      bool    `name:"apart" help:"Schedulers do not know each other."`
	Zones      int     `default:"2" help:"How many zones, two to a region; 2 to 6."`
	Cores      int     `name:"cores" default:"64" help:"Of a node."`
	Near       bool    `name:"near" help:"The site file says how far zones are from each other."`
	Stewards   int     `name:"stewards" default:"0" help:"How many keep the book that all agree on: 0, 3 or 5."`
	Out        string  `type:"path" help:"Folder for logs; without it a new one in the temporary folder."`
}

func (c *procsCommand) Run(ctx context.Context) error {
	var steps []procs.Step
	if c.Script != "" {
		f, err := os.Open(c.Script)
		if err != nil {
			return err
		}
		defer f.Close()
		if steps, err = procs.Parse(f, c.Schedulers); err != nil {
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
	r, err := procs.Start(ctx, procs.Config{
		Command: []string{self}, Schedulers: c.Schedulers, Nodes: c.Nodes, Rate: c.Rate, Seed: c.Seed, Dir: c.Out,
		Isolated: c.Apart, Relays: procs.NeedsRelays(steps), Zones: min(6, c.Zones), Cores: c.Cores, Localities: c.Near, Voters: c.Stewards,
	})
	if err != nil {
		return err
	}
	began := time.Now()
	pause := time.Duration(c.Seconds * 1e9)
	met := agreed(r, pause)
	fmt.Printf("%d schedulers, logs in %s; all know all after %s\n", c.Schedulers, c.Out, met)
	time.Sleep(max(0, pause-time.Since(began)))
	say := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if err := r.Play(ctx, steps, say); err != nil {
		return err
	}
	fmt.Printf("one view again after %s\n", agreed(r, pause))
	took, never, wrong, err := r.DetectionTimes(10 * time.Second)
	res := r.Finish()
	if err != nil {
		return err
	}
	if n := len(took); n > 0 {
		fmt.Printf("deaths known: %d, p50 %.2f s, p99 %.2f s, most %.2f s; not known to %d, of those who lived %d\n", n,
			took[n/2].Seconds(), took[n*99/100].Seconds(), took[n-1].Seconds(), never, wrong)
	} else {
		fmt.Printf("deaths of those who lived: %d\n", wrong)
	}
	fmt.Printf("answers %v, broken rules %d, ran in the own zone %.3f\n", res.Answers, len(res.Violations), res.LocalFraction)
	if n := len(res.ScriptLatencies); n > 0 {
		fmt.Printf("while the script was played: %.3f of the value served in time, start p50 %.1f ms, p99 %.1f ms\n", res.Value, res.ScriptLatencies[n/2], res.ScriptLatencies[n*99/100])
	}
	if n := len(res.StartLatencies); n > 0 {
		fmt.Printf("start p50 %.1f ms, p99 %.1f ms\n", res.StartLatencies[n/2], res.StartLatencies[n*99/100])
	}
	fmt.Printf("CPU of all schedulers %.2f s: %.2f%% of a core each\n", res.CPU.Seconds(),
		100*res.CPU.Seconds()/time.Since(began).Seconds()/float64(c.Schedulers))
	for i, b := range res.Violations {
		if i < 10 {
			fmt.Println(b)
		}
	}
	if len(res.Violations) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}

// agreed waits until all hold one view, and tells how long that took.
func agreed(r *procs.Rig, most time.Duration) string {
	began := time.Now()
	for {
		ok, why := r.MembersConverged()
		switch {
		case ok:
			return time.Since(began).Round(10 * time.Millisecond).String()
		case time.Since(began) > most:
			return "not within " + most.String() + ": " + why[:min(len(why), 200)]
		}
		time.Sleep(50 * time.Millisecond)
	}
}
