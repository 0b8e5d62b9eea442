package balance

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/lab/baseline"
	runs "ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Names of what decides: the module, the baselines, and one that sees the true state.
var Names = append(append([]string{"design"}, baseline.PolicyNames...), "true-state")

// Scenario is what is played.
type Scenario struct {
	Schedulers, Nodes int
	Load              float64 // part of the room that work fills
	TaskRuntime       float64 // ms that work runs
	Duration          float64 // ms
	Services          int     // of each job type
	Members           bool
	Faults            []sim.Fault
	WorkingSet        *site.WorkingSet // of each scheduler; nil: all nodes
}

// Of the laboratory's nodes and work: room for so many allocations of mean size.
const tasksPerNode = 32

// warmAfter is how long after its start a node is taken for warm, ms.
const warmAfter = 3000

// rate is asks a second that fill so much.
func (s Scenario) rate() float64 {
	return s.Load * tasksPerNode * float64(s.Nodes) / (s.TaskRuntime / 1000)
}

// Simulate plays a scene on the laboratory's clock under a policy; what it sees is simulated.
func Simulate(s Scenario, policy string, seed uint64) (*Recorder, error) {
	w := &Recorder{}
	var nodes []*standin.Node
	g := sim.Simulation{
		CountViolations: true, SettleTime: 500, TaskRuntime: s.TaskRuntime, Services: s.Services, WorkingSet: s.WorkingSet,
		Script: sim.Script{
			Seed: seed, Nodes: s.Nodes, Schedulers: s.Schedulers, Shards: 1, ConnectionSharing: "shared", Rate: s.rate(), Duration: s.Duration,
			Members: s.Members, Faults: s.Faults,
		},
	}
	if err := g.Script.Check(); err != nil {
		return nil, err
	}
	switch {
	case policy == "design":
	case policy == "true-state":
		g.Policy = baseline.LeastLoadedByTrueLoad(func(node uint32) float64 {
			if i := int(node) - 1; i >= 0 && i < len(nodes) {
				return nodes[i].Machine.ReservedFraction()
			}
			return 0
		})
	case slices.Contains(baseline.PolicyNames, policy):
		g.Policy = engine.PolicyFactory(baseline.Factory(policy))
	default:
		return nil, fmt.Errorf("no policy %q; there are %v", policy, Names)
	}
	g.OnSample = func(now float64, all []*standin.Node) {
		nodes = all
		w.AddSample(sampleNodes(now, all))
	}
	asked := map[[2]uint64]float64{}
	g.OnRecord = func(r *audit.Record) { w.onRecord(r, asked) }
	if v := g.Run(); v.Failure != "" {
		return nil, fmt.Errorf("seed %d: %s", seed, v.Failure)
	}
	return w, nil
}

// sampleNodes is a moment of nodes: those that are there, take work and are warm.
func sampleNodes(now float64, all []*standin.Node) Sample {
	m := Sample{At: now, Load: map[uint32]float64{}}
	for _, n := range all {
		if !n.Gone && !n.Draining && !n.Machine.IsDown() && n.Machine.Uptime(now) >= warmAfter {
			m.Load[n.ID] = n.Machine.ReservedFraction()
		}
	}
	return m
}

// onRecord takes what passes.
func (w *Recorder) onRecord(r *audit.Record, asked map[[2]uint64]float64) {
	key := [2]uint64{uint64(r.Client), r.RequestRef}
	switch r.Kind {
	case audit.PlacementReceived:
		w.AddPlacement(r.At, r.Node)
	case audit.AttemptConcluded:
		if r.Detail == "refused" {
			w.AddRejection()
		}
	case audit.RequestSent:
		asked[key] = r.At
		w.AddRequest()
	case audit.ResponseReceived:
		if at, ok := asked[key]; ok {
			w.AddResponse(r.Detail == "served", r.At-at)
			delete(asked, key)
		}
	}
}

// Row is what came of a policy over some seeds.
type Row struct {
	Policy         string
	Runs           []Figures // by seed
	TimesToBalance []float64 // ms until even again after the last change, by seed; NaN where nothing changed
}

// balancedBound is when all counts as even again: the fullest node at so many times the mean.
const balancedBound = 1.25

// CompareTable plays a scene under policies, for some seeds each, so many at a time.
func CompareTable(ctx context.Context, out io.Writer, s Scenario, policies []string, seeds, workers int) (rows []Row, err error) {
	changed := math.NaN()
	for _, f := range s.Faults {
		if end := f.At + f.Duration; math.IsNaN(changed) || end > changed {
			changed = end
		}
	}
	type played struct {
		f    Figures
		even float64
		err  error
	}
	all := runs.Run(ctx, 0, uint64(len(policies)*seeds), workers, func(i uint64) (p played) {
		w, err := Simulate(s, policies[int(i)/seeds], i%uint64(seeds)+1)
		if err != nil {
			return played{err: err}
		}
		p = played{f: w.Summarize(s.TaskRuntime*1.5, s.Duration), even: math.NaN()}
		if !math.IsNaN(changed) {
			p.even = w.TimeToBalance(changed, balancedBound)
		}
		return p
	})
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for i, p := range all {
		if p.err != nil {
			return nil, p.err
		}
		if i%seeds == 0 {
			rows = append(rows, Row{Policy: policies[i/seeds]})
		}
		r := &rows[len(rows)-1]
		r.Runs, r.TimesToBalance = append(r.Runs, p.f), append(r.TimesToBalance, p.even)
	}
	return rows, Print(out, rows)
}

// Print writes rows: the mean over seeds, and the least and most where they tell.
func Print(out io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tload\tfullest p50\tp99\t(seeds)\tCV\tJain\tidle ms\ttogether\trefused\tstart p99 ms\tserved\teven again ms\t")
	for _, r := range rows {
		of := func(f func(*Figures) float64) (mean, least, most float64) {
			least, most = math.Inf(1), math.Inf(-1)
			for i := range r.Runs {
				x := f(&r.Runs[i])
				mean, least, most = mean+x/float64(len(r.Runs)), min(least, x), max(most, x)
			}
			return
		}
		mean := func(f func(*Figures) float64) float64 { m, _, _ := of(f); return m }
		p99, least, most := of(func(f *Figures) float64 { return f.FullestP99 })
		_, _, idle := of(func(f *Figures) float64 { return f.LongestIdle })
		_, _, together := of(func(f *Figures) float64 { return float64(f.MaxConcurrent) })
		even := "-"
		if len(r.TimesToBalance) > 0 && !math.IsNaN(r.TimesToBalance[0]) {
			even = fmt.Sprintf("%.0f to %.0f", slices.Min(r.TimesToBalance), slices.Max(r.TimesToBalance))
		}
		fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%.2f\t%.2f to %.2f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f%%\t%.0f\t%.1f%%\t%s\t\n", r.Policy, mean(func(f *Figures) float64 { return f.MeanLoad }),
			mean(func(f *Figures) float64 { return f.FullestP50 }), p99, least, most, mean(func(f *Figures) float64 { return f.Variation }),
			mean(func(f *Figures) float64 { return f.Jain }), idle, together, 100*mean(func(f *Figures) float64 { return f.Rejected }),
			mean(func(f *Figures) float64 { return f.StartP99 }), 100*mean(func(f *Figures) float64 { return f.Served }), even)
	}
	return tw.Flush()
}
