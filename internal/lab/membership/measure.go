package membership

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

const (
	measureTime     = 60000 // ms over which the cost at rest is measured
	killsPerCluster = 5     // of each simulated cluster, one after another
)

// measurement is the result of one simulated cluster.
type measurement struct {
	convergence float64   // ms until all processes knew all others
	bound       float64   // expected detection time, ms
	detection   []float64 // ms from a kill until each other process declared it
	undetected  int       // kills that some process did not detect in time
	datagrams   float64   // per second and process
	bytes       float64   // per second and process
	falseDeaths int
}

// Row is the result of clusters of one size and loss.
type Row struct {
	Processes       int
	Loss            float64 // fraction of all datagrams
	P50, P99, Bound float64 // ms from a kill until another process declared it; Bound is the published expectation
}

// Measure writes a table of clusters by size and loss: how soon processes find each other and detect deaths, and what they send at rest. The
// figures are simulated; latency is up to a millisecond.
func Measure(ctx context.Context, w io.Writer, sizes []int, losses []float64, runs, workers int) (rows []Row, err error) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "processes\tloss\tmet ms\tknown p50\tp99\tmost\tbound\tnever\twrong\tdatagrams/s\tbytes/s\t")
	for _, n := range sizes {
		for _, loss := range losses {
			all := seeds.Run(ctx, 1, uint64(runs)+1, workers, func(seed uint64) measurement { return measure(seed, n, loss) })
			if ctx.Err() != nil {
				return rows, ctx.Err()
			}
			var sum measurement
			for _, m := range all {
				sum.convergence, sum.bound = max(sum.convergence, m.convergence), m.bound
				sum.detection = append(sum.detection, m.detection...)
				sum.undetected += m.undetected
				sum.falseDeaths += m.falseDeaths
				sum.datagrams += m.datagrams / float64(runs)
				sum.bytes += m.bytes / float64(runs)
			}
			slices.Sort(sum.detection)
			at := func(q float64) float64 {
				if len(sum.detection) == 0 {
					return math.NaN()
				}
				return sum.detection[min(len(sum.detection)-1, int(q*float64(len(sum.detection))))]
			}
			fmt.Fprintf(tw, "%d\t%.0f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.0f\t\n", n, 100*loss, sum.convergence, at(0.5), at(0.99), at(1),
				sum.bound, sum.undetected, sum.falseDeaths, sum.datagrams, sum.bytes)
			rows = append(rows, Row{n, loss, at(0.5), at(0.99), sum.bound})
		}
	}
	return rows, tw.Flush()
}

// Plot draws detection times as SVG, by size for each loss or by loss for each size.
func Plot(w io.Writer, rows []Row, byLoss bool) error {
	p := plot.New()
	p.Title.Text = "a death known to others, simulated"
	p.Y.Label.Text = "ms from the kill"
	p.Y.Min, p.Legend.Top = 0, true
	type line struct {
		label string
		p50   plotter.XYs
		p99   plotter.XYs
	}
	var lines []*line
	for _, r := range rows {
		x, label := float64(r.Processes), fmt.Sprintf("%.0f%% lost", 100*r.Loss)
		if byLoss {
			x, label = 100*r.Loss, fmt.Sprintf("%d processes", r.Processes)
		}
		i := slices.IndexFunc(lines, func(l *line) bool { return l.label == label })
		if i < 0 {
			i, lines = len(lines), append(lines, &line{label: label})
		}
		l := lines[i]
		l.p50, l.p99 = append(l.p50, plotter.XY{X: x, Y: r.P50}), append(l.p99, plotter.XY{X: x, Y: r.P99})
	}
	if p.X.Label.Text = "% of datagrams lost"; !byLoss {
		p.X.Label.Text = "processes"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var all []any
	for _, l := range lines {
		all = append(all, l.label+", p50", l.p50, l.label+", p99", l.p99)
	}
	if err := plotutil.AddLinePoints(p, all...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	svg, err := p.WriterTo(16*vg.Centimeter, 10*vg.Centimeter, "svg")
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	_, err = svg.WriteTo(w)
	return err
}

// expectedDetection returns SWIM's expected detection time in ms: e/(e-1) periods until any process probes the dead one, a period for the
// probe, and a suspicion that enough others confirm. It is a mean; the tail is bounded by the round in which all processes probe all once.
func (c *Cluster) expectedDetection() float64 {
	minSuspicion, _ := c.suspicionBounds()
	return math.E/(math.E-1)*membership.Period + membership.Period + minSuspicion
}

func measure(seed uint64, n int, loss float64) (m measurement) {
	c := New(seed, n)
	m.convergence, m.bound = c.AwaitConvergence(30000), c.expectedDetection()
	c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{Loss: loss})
	c.Advance(5000)
	d0, b0 := c.Sent()
	c.Advance(measureTime)
	d1, b1 := c.Sent()
	m.datagrams, m.bytes = float64(d1-d0)/measureTime*1000/float64(n), float64(b1-b0)/measureTime*1000/float64(n)
	for i := range min(killsPerCluster, n-2) {
		p := c.Processes[n-1-i]
		p.Kill()
		_, maxSuspicion := c.suspicionBounds()
		c.Advance(maxSuspicion + 8000)
		took, all := c.DetectionTimes(p)
		if !all {
			m.undetected++
		}
		m.detection = append(m.detection, took...)
	}
	m.falseDeaths = len(c.FalseDeaths)
	return m
}
