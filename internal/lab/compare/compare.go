// Package compare simulates the same scripts under two placement policies and measures the differences over paired seeds, with
// confidence intervals and an HTML report with plots. It also ranks all policies by class of fault and measures the cost of growing clusters.
package compare

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/lab/baseline"
	"ravenpond/internal/lab/sim"
)

// Policies lists the names of the policies that can be compared: "design", which is the placement module, and the baselines.
var Policies = append([]string{"design"}, baseline.PolicyNames...)

func newPolicy(name string) (engine.PolicyFactory, error) {
	switch {
	case name == "design":
		return nil, nil
	case slices.Contains(baseline.PolicyNames, name):
		return baseline.Factory(name), nil
	}
	return nil, fmt.Errorf("unknown policy %q, want one of %v", name, Policies)
}

// Scenario draws the script of a simulated day on which placement matters: a cluster at a given load, a fraction of its capacity, with faults if
// requested.
func Scenario(seed uint64, nodes int, load float64, faults bool) sim.Script {
	s := sim.Draw(seed)
	s.Nodes, s.Schedulers, s.Shards, s.ConnectionSharing, s.ColdStart = nodes, 2, 1, "shared", false
	s.Rate = load * float64(nodes) * 32 / 1.5 // each request takes 1 core for 1.5 s, and a node allocates up to 32 cores
	s.Duration = 8000
	if !faults {
		s.Faults = nil
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	kept := s.Faults[:0]
	for _, f := range s.Faults { // drawn for another cluster size: their targets are drawn again
		if f.Target != "" && f.Target[0] == 's' {
			f.Target = fmt.Sprint("s", rng.IntN(2))
		}
		if f.Peer != "" && f.Peer[0] == 'n' {
			f.Peer = fmt.Sprint("n", 1+rng.IntN(nodes))
		}
		if f.Target != "" && f.Target[0] == 'n' {
			f.Target = fmt.Sprint("n", 1+rng.IntN(nodes))
		}
		if f.Kind != "flood" || f.Size < 4 {
			kept = append(kept, f)
		}
	}
	s.Faults = kept
	return s
}

const bucketMs = 250.0 // time that a point in the plots over time covers, in ms

// Figures are the measurements of one policy on one simulated day.
type Figures struct {
	Requests, Served, InTime         int
	Placements, Rejected             int
	Violations                       int
	Latencies                        []float64 // ms from request to the response that it was served, sorted
	rejectedByBucket, servedByBucket []float64 // by time bucket: of the rejection, and of the request that was served
	requestsByBucket                 []float64
}

type requestKey struct {
	client int
	ref    uint64
}

const latencyObjective = 800 // ms, for all job types of the simulated site

// run simulates a day under a policy.
func run(s sim.Script, p engine.PolicyFactory) (*Figures, error) {
	n := int((s.Duration+10000)/bucketMs) + 1
	f := &Figures{rejectedByBucket: make([]float64, n), servedByBucket: make([]float64, n), requestsByBucket: make([]float64, n)}
	sentAt := map[requestKey]float64{}
	count := func(buckets []float64, ms float64) { buckets[max(0, min(n-1, int(ms/bucketMs)))]++ }
	v := sim.Simulation{Script: s, Policy: p, CountViolations: true, OnRecord: func(r *audit.Record) {
		switch r.Kind {
		case audit.RequestSent:
			f.Requests++
			sentAt[requestKey{r.Client, r.RequestRef}] = r.At
			count(f.requestsByBucket, r.At)
		case audit.ResponseReceived:
			requestedAt, ok := sentAt[requestKey{r.Client, r.RequestRef}]
			if !ok || r.Detail != "served" {
				return
			}
			f.Served++
			f.Latencies = append(f.Latencies, r.At-requestedAt)
			if r.At-requestedAt <= latencyObjective {
				f.InTime++
			}
			count(f.servedByBucket, requestedAt)
		case audit.PlacementReceived:
			f.Placements++
		case audit.AttemptConcluded:
			if r.Detail == "refused" {
				f.Rejected++
				count(f.rejectedByBucket, r.At)
			}
		}
	}}.Run()
	f.Violations = v.Violations
	slices.Sort(f.Latencies)
	if v.Failure != "" {
		return nil, fmt.Errorf("seed %d: %s", s.Seed, v.Failure)
	}
	return f, nil
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// metric is a figure of a day that is compared.
type metric struct {
	Name      string
	Direction int // 1 if a higher value is better, -1 if a lower one is
	value     func(f *Figures) float64
}

var metrics = []metric{
	{"served / requests", 1, func(f *Figures) float64 { return float64(f.Served) / float64(max(1, f.Requests)) }},
	{"in time / requests", 1, func(f *Figures) float64 { return float64(f.InTime) / float64(max(1, f.Requests)) }},
	{"start p50, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.5) }},
	{"start p95, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.95) }},
	{"start p99, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.99) }},
	{"offers per request", -1, func(f *Figures) float64 { return float64(f.Placements) / float64(max(1, f.Requests)) }},
	{"rejected / offers", -1, func(f *Figures) float64 { return float64(f.Rejected) / float64(max(1, f.Placements)) }},
	{"rule violations", -1, func(f *Figures) float64 { return float64(f.Violations) }},
}

// Row is the comparison of one metric.
type Row struct {
	Name      string
	A, B      float64 // means over the days
	Diff      float64 // mean of B minus A
	Low, High float64 // 95% confidence interval of Diff
	Verdict   string
}

// Comparison is the result of comparing two policies.
type Comparison struct {
	A, B      string
	Days      int
	Nodes     int
	Load      float64
	Rows      []Row
	a, b      []*Figures
	scenarios []sim.Script
}

// Config selects the policies to compare and the days to simulate.
type Config struct {
	A, B   string // names of the policies
	Seeds  []uint64
	Nodes  int
	Load   float64 // fraction of the cluster's capacity that is used
	Faults bool    // whether faults are drawn from the seeds
}

// Run simulates all days under both policies, on all cores. It returns an error for an unknown policy, and the first error of a day whose
// simulation failed.
func Run(ctx context.Context, config Config) (*Comparison, error) {
	policyA, err := newPolicy(config.A)
	if err != nil {
		return nil, err
	}
	policyB, err := newPolicy(config.B)
	if err != nil {
		return nil, err
	}
	n := len(config.Seeds)
	c := &Comparison{
		A: config.A, B: config.B, Days: n, Nodes: config.Nodes, Load: config.Load, a: make([]*Figures, n), b: make([]*Figures, n),
		scenarios: make([]sim.Script, n),
	}
	var failed firstError
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < n && failed.get() == nil && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				day := Scenario(config.Seeds[i], config.Nodes, config.Load, config.Faults)
				figuresA, errA := run(day, policyA) //nolint:contextcheck // a simulated day is not cancelled half-way
				figuresB, errB := run(day, policyB) //nolint:contextcheck // a simulated day is not cancelled half-way
				c.scenarios[i], c.a[i], c.b[i] = day, figuresA, figuresB
				failed.set(config.A, errA)
				failed.set(config.B, errB)
			}
		})
	}
	workers.Wait()
	if err := cmp.Or(failed.get(), ctx.Err()); err != nil {
		return nil, err
	}
	for _, m := range metrics {
		c.Rows = append(c.Rows, c.row(m))
	}
	return c, nil
}

// firstError keeps the first error that any of several goroutines reports.
type firstError struct {
	mu  sync.Mutex
	err error // guarded by mu
}

func (f *firstError) set(policy string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil && err != nil {
		f.err = fmt.Errorf("%s: %w", policy, err)
	}
}

func (f *firstError) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// row compares the two policies by a metric over all days.
func (c *Comparison) row(m metric) Row {
	var a, b, differences []float64
	for i := range c.a {
		a, b = append(a, m.value(c.a[i])), append(b, m.value(c.b[i]))
		differences = append(differences, b[i]-a[i])
	}
	row := Row{Name: m.Name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Verdict: "no significant difference"}
	row.Diff, row.Low, row.High = interval(differences)
	if direction := float64(m.Direction); row.Low*direction > 0 && row.High*direction > 0 {
		row.Verdict = c.B + " is better"
	} else if row.Low*direction < 0 && row.High*direction < 0 {
		row.Verdict = c.A + " is better"
	}
	return row
}

// interval returns the mean of paired differences and its 95% confidence interval by Student's t-distribution.
func interval(d []float64) (mean, low, high float64) {
	mean, sd := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975) * sd / math.Sqrt(float64(len(d)))
	return mean, mean - halfWidth, mean + halfWidth
}

// Print writes the comparison as a table.
func (c *Comparison) Print(out io.Writer) {
	fmt.Fprintf(out, "%d simulated days, %d nodes, load %.0f%%, %s versus %s on the same seeds\n", c.Days, c.Nodes, 100*c.Load, c.A, c.B)
	fmt.Fprintf(out, "%-24s %12s %12s %12s  %-25s %s\n", "", c.A, c.B, "difference", "95% interval", "")
	for _, r := range c.Rows {
		fmt.Fprintf(out, "%-24s %12.4f %12.4f %+12.4f  %-25s %s\n", r.Name, r.A, r.B, r.Diff, fmt.Sprintf("%+.4f to %+.4f", r.Low, r.High), r.Verdict)
	}
}
