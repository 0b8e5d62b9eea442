// Package compare plays the same scripts with two policies and tells how they differ: paired seeds, confidence
// intervals, and a report with plots of how it came about.
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

// Policies are the names of what can be compared: the module's design and the baselines.
var Policies = append([]string{"design"}, baseline.PolicyNames...)

func newPolicy(name string) (engine.PolicyFactory, error) {
	switch {
	case name == "design":
		return nil, nil
	case slices.Contains(baseline.PolicyNames, name):
		return baseline.Factory(name), nil
	}
	return nil, fmt.Errorf("no policy %q: %v are there", name, Policies)
}

// Scenario draws a day on which placement matters: a fleet that is filled to a part, with faults.
func Scenario(seed uint64, nodes int, load float64, faults bool) sim.Script {
	s := sim.Draw(seed)
	s.Nodes, s.Schedulers, s.Shards, s.ConnectionSharing, s.ColdStart = nodes, 2, 1, "shared", false
	s.Rate = load * float64(nodes) * 32 / 1.5 // each takes 1 core for 1.5 s, of 32 that a node lets be asked for
	s.Duration = 8000
	if !faults {
		s.Faults = nil
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	kept := s.Faults[:0]
	for _, f := range s.Faults { // drawn for another size: to anyone there is
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

const bucketMs = 250.0 // ms of a point in the plots over time

// Figures are of one policy on one day.
type Figures struct {
	Requests, Served, InTime int
	Placements, Rejected     int
	Violations               int
	Latencies                []float64 // ms from ask to served, sorted
	refusedAt, servedAt      []float64 // by bucket of time
	askedAt                  []float64
}

type requestKey struct {
	client int
	ref    uint64
}

const latencyObjective = 800 // ms, of all job types of the laboratory's site

// run plays a day.
func run(s sim.Script, p engine.PolicyFactory) (*Figures, error) {
	n := int((s.Duration+10000)/bucketMs) + 1
	f := &Figures{refusedAt: make([]float64, n), servedAt: make([]float64, n), askedAt: make([]float64, n)}
	asked := map[requestKey]float64{}
	at := func(of []float64, ms float64) { of[max(0, min(n-1, int(ms/bucketMs)))]++ }
	v := sim.Simulation{Script: s, Policy: p, CountViolations: true, OnRecord: func(r *audit.Record) {
		switch r.Kind {
		case audit.RequestSent:
			f.Requests++
			asked[requestKey{r.Client, r.RequestRef}] = r.At
			at(f.askedAt, r.At)
		case audit.ResponseReceived:
			since, ok := asked[requestKey{r.Client, r.RequestRef}]
			if !ok || r.Detail != "served" {
				return
			}
			f.Served++
			f.Latencies = append(f.Latencies, r.At-since)
			if r.At-since <= latencyObjective {
				f.InTime++
			}
			at(f.servedAt, since)
		case audit.PlacementReceived:
			f.Placements++
		case audit.AttemptConcluded:
			if r.Detail == "refused" {
				f.Rejected++
				at(f.refusedAt, r.At)
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

// metric is what is compared of a day.
type metric struct {
	Name string
	Good int // above 0 if more is better, below if less is
	of   func(f *Figures) float64
}

var metrics = []metric{
	{"served, part of asks", 1, func(f *Figures) float64 { return float64(f.Served) / float64(max(1, f.Requests)) }},
	{"in time, part of asks", 1, func(f *Figures) float64 { return float64(f.InTime) / float64(max(1, f.Requests)) }},
	{"start p50, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.5) }},
	{"start p95, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.95) }},
	{"start p99, ms", -1, func(f *Figures) float64 { return quantile(f.Latencies, 0.99) }},
	{"offers an ask", -1, func(f *Figures) float64 { return float64(f.Placements) / float64(max(1, f.Requests)) }},
	{"refused, part of offers", -1, func(f *Figures) float64 { return float64(f.Rejected) / float64(max(1, f.Placements)) }},
	{"rules broken", -1, func(f *Figures) float64 { return float64(f.Violations) }},
}

// Row is one measure compared.
type Row struct {
	Name      string
	A, B      float64 // means
	Diff      float64 // B less A
	Low, High float64 // 95% confidence interval of it
	Verdict   string
}

// Comparison is what came of two policies.
type Comparison struct {
	A, B      string
	Days      int
	Nodes     int
	Load      float64
	Rows      []Row
	a, b      []*Figures
	scenarios []sim.Script
}

// Config says what is compared, and on which days.
type Config struct {
	A, B   string // policies
	Seeds  []uint64
	Nodes  int
	Load   float64 // fraction of the fleet that is filled
	Faults bool    // drawn from the seeds
}

// Run plays all days with both policies, on all cores. It returns an error for a policy that there is not, and of the first day that could
// not be played.
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
				figuresA, errA := run(day, policyA) //nolint:contextcheck // a day on the virtual clock is not broken off
				figuresB, errB := run(day, policyB) //nolint:contextcheck // a day on the virtual clock is not broken off
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

// firstError keeps the first error that several goroutines meet.
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

// row compares a metric over all days.
func (c *Comparison) row(m metric) Row {
	var a, b, differences []float64
	for i := range c.a {
		a, b = append(a, m.of(c.a[i])), append(b, m.of(c.b[i]))
		differences = append(differences, b[i]-a[i])
	}
	row := Row{Name: m.Name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Verdict: "no difference told"}
	row.Diff, row.Low, row.High = interval(differences)
	if better := float64(m.Good); row.Low*better > 0 && row.High*better > 0 {
		row.Verdict = c.B + " is better"
	} else if row.Low*better < 0 && row.High*better < 0 {
		row.Verdict = c.A + " is better"
	}
	return row
}

// interval gives the mean of paired differences and its 95% confidence interval by Student's distribution.
func interval(d []float64) (mean, low, high float64) {
	mean, sd := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975) * sd / math.Sqrt(float64(len(d)))
	return mean, mean - half, mean + half
}

// Print writes the table.
func (c *Comparison) Print(out io.Writer) {
	fmt.Fprintf(out, "%d days, %d nodes filled to %.0f%%, %s against %s on the same seeds\n", c.Days, c.Nodes, 100*c.Load, c.A, c.B)
	fmt.Fprintf(out, "%-24s %12s %12s %12s  %-25s %s\n", "", c.A, c.B, "difference", "95% interval", "")
	for _, r := range c.Rows {
		fmt.Fprintf(out, "%-24s %12.4f %12.4f %+12.4f  %-25s %s\n", r.Name, r.A, r.B, r.Diff, fmt.Sprintf("%+.4f to %+.4f", r.Low, r.High), r.Verdict)
	}
}
