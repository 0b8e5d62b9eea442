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

// Names lists the policies that can be simulated: "design", which is the placement module, the baselines, and "true-state", a least-loaded
// policy that knows the actual load of the nodes.
var Names = append(append([]string{"design"}, baseline.PolicyNames...), "true-state")

// Scenario describes a simulated cluster and its work.
type Scenario struct {
	Schedulers, Nodes int
	Load              float64 // fraction of the capacity that tasks fill
	TaskRuntime       float64 // mean run time of a task, in ms
	Duration          float64 // ms
	Services          int     // of each job type
	Members           bool    // whether the schedulers know each other by membership
	Faults            []sim.Fault
	WorkingSet        *site.WorkingSet // of each scheduler; nil: all nodes
}

// tasksPerNode is the number of tasks of mean size for which a simulated node has capacity.
const tasksPerNode = 32

// warmAfter is the time after its start from which a node counts as warm, in ms.
const warmAfter = 3000

// rate returns the requests per second that give the load.
func (s Scenario) rate() float64 {
	return s.Load * tasksPerNode * float64(s.Nodes) / (s.TaskRuntime / 1000)
}

// Simulate runs a scenario under a policy on the virtual clock and returns what it recorded.
func Simulate(s Scenario, policy string, seed uint64) (*Recorder, error) {
	recorder := &Recorder{}
	var nodes []*standin.Node
	simulation := sim.Simulation{
		CountViolations: true, SettleTime: 500, TaskRuntime: s.TaskRuntime, Services: s.Services, WorkingSet: s.WorkingSet,
		Script: sim.Script{
			Seed: seed, Nodes: s.Nodes, Schedulers: s.Schedulers, Shards: 1, ConnectionSharing: "shared", Rate: s.rate(), Duration: s.Duration,
			Members: s.Members, Faults: s.Faults,
		},
	}
	if err := simulation.Script.Check(); err != nil {
		return nil, err
	}
	switch {
	case policy == "design":
	case policy == "true-state":
		simulation.Policy = baseline.LeastLoadedByTrueLoad(func(node uint32) float64 {
			if i := int(node) - 1; i >= 0 && i < len(nodes) {
				return nodes[i].Machine.ReservedFraction()
			}
			return 0
		})
	case slices.Contains(baseline.PolicyNames, policy):
		simulation.Policy = engine.PolicyFactory(baseline.Factory(policy))
	default:
		return nil, fmt.Errorf("unknown policy %q, want one of %v", policy, Names)
	}
	simulation.OnSample = func(now float64, all []*standin.Node) {
		nodes = all
		recorder.AddSample(sampleNodes(now, all))
	}
	sentAt := map[[2]uint64]float64{}
	simulation.OnRecord = func(record *audit.Record) { recorder.onRecord(record, sentAt) }
	if v := simulation.Run(); v.Failure != "" {
		return nil, fmt.Errorf("seed %d: %s", seed, v.Failure)
	}
	return recorder, nil
}

// sampleNodes returns a sample of the nodes that are up, not draining and warm.
func sampleNodes(now float64, all []*standin.Node) Sample {
	m := Sample{At: now, Load: map[uint32]float64{}}
	for _, n := range all {
		if !n.Gone && !n.Draining && !n.Machine.IsDown() && n.Machine.Uptime(now) >= warmAfter {
			m.Load[n.ID] = n.Machine.ReservedFraction()
		}
	}
	return m
}

// onRecord adds an audit record.
func (r *Recorder) onRecord(record *audit.Record, sentAt map[[2]uint64]float64) {
	key := [2]uint64{uint64(record.Client), record.RequestRef}
	switch record.Kind {
	case audit.PlacementReceived:
		r.AddPlacement(record.At, record.Node)
	case audit.AttemptConcluded:
		if record.Detail == "refused" {
			r.AddRejection()
		}
	case audit.RequestSent:
		sentAt[key] = record.At
		r.AddRequest()
	case audit.ResponseReceived:
		if at, ok := sentAt[key]; ok {
			r.AddResponse(record.Detail == "served", record.At-at)
			delete(sentAt, key)
		}
	}
}

// Row is the result of a policy over several seeds.
type Row struct {
	Policy         string
	Runs           []Figures // by seed
	TimesToBalance []float64 // ms from the end of the last fault until the load is balanced again, by seed; NaN without faults
}

// balancedBound is the load of the fullest node, as a multiple of the mean, up to which the load counts as balanced.
const balancedBound = 1.25

// CompareTable simulates a scenario under each policy with the given number of seeds, up to the given number of workers at a time, and prints
// a table of the results. Loads are measured from one and a half task run times on.
func CompareTable(ctx context.Context, out io.Writer, s Scenario, policies []string, seeds, workers int) (rows []Row, err error) {
	faultsEnd := math.NaN()
	for _, f := range s.Faults {
		if end := f.At + f.Duration; math.IsNaN(faultsEnd) || end > faultsEnd {
			faultsEnd = end
		}
	}
	type result struct {
		figures       Figures
		timeToBalance float64
		err           error
	}
	all := runs.Run(ctx, 0, uint64(len(policies)*seeds), workers, func(i uint64) (p result) {
		recorder, err := Simulate(s, policies[int(i)/seeds], i%uint64(seeds)+1)
		if err != nil {
			return result{err: err}
		}
		p = result{figures: recorder.Summarize(s.TaskRuntime*1.5, s.Duration), timeToBalance: math.NaN()}
		if !math.IsNaN(faultsEnd) {
			p.timeToBalance = recorder.TimeToBalance(faultsEnd, balancedBound)
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
		r.Runs, r.TimesToBalance = append(r.Runs, p.figures), append(r.TimesToBalance, p.timeToBalance)
	}
	return rows, Print(out, rows)
}

// Print writes rows as a table: the mean over the seeds, for the 99th percentile of the fullest node and the time to balance also the least
// and the most of any seed, and for the idle time and the concurrent offers the most alone.
func Print(out io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tload\tfullest p50\tp99\t(seeds)\tCV\tJain\tidle ms\ttogether\trefused\tstart p99 ms\tserved\teven again ms\t")
	for _, r := range rows {
		statistics := func(f func(*Figures) float64) (mean, least, most float64) {
			least, most = math.Inf(1), math.Inf(-1)
			for i := range r.Runs {
				x := f(&r.Runs[i])
				mean, least, most = mean+x/float64(len(r.Runs)), min(least, x), max(most, x)
			}
			return
		}
		mean := func(f func(*Figures) float64) float64 { m, _, _ := statistics(f); return m }
		p99, least, most := statistics(func(f *Figures) float64 { return f.FullestP99 })
		_, _, idle := statistics(func(f *Figures) float64 { return f.LongestIdle })
		_, _, concurrent := statistics(func(f *Figures) float64 { return float64(f.MaxConcurrent) })
		timeToBalance := "-"
		if len(r.TimesToBalance) > 0 && !math.IsNaN(r.TimesToBalance[0]) {
			timeToBalance = fmt.Sprintf("%.0f to %.0f", slices.Min(r.TimesToBalance), slices.Max(r.TimesToBalance))
		}
		fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%.2f\t%.2f to %.2f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f%%\t%.0f\t%.1f%%\t%s\t\n", r.Policy, mean(func(f *Figures) float64 { return f.MeanLoad }),
			mean(func(f *Figures) float64 { return f.FullestP50 }), p99, least, most, mean(func(f *Figures) float64 { return f.Variation }),
			mean(func(f *Figures) float64 { return f.Jain }), idle, concurrent, 100*mean(func(f *Figures) float64 { return f.Rejected }),
			mean(func(f *Figures) float64 { return f.StartP99 }), 100*mean(func(f *Figures) float64 { return f.Served }), timeToBalance)
	}
	return tw.Flush()
}
