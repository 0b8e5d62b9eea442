package compare

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>{{.C.A}} versus {{.C.B}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,td:last-child{text-align:left}</style></head>
<body><h1>{{.C.A}} versus {{.C.B}}</h1>
<p>{{.C.Days}} simulated days, {{.C.Nodes}} nodes, load {{printf "%.0f" .LoadPercent}}%, the same seeds for both policies; the interval is the 95% confidence interval of the paired differences.</p>
<table><tr><th></th><th>{{.C.A}}</th><th>{{.C.B}}</th><th>difference</th><th>interval</th><th></th></tr>
{{range .C.Rows}}<tr><td>{{.Name}}</td><td>{{printf "%.4f" .A}}</td><td>{{printf "%.4f" .B}}</td><td>{{printf "%+.4f" .Diff}}</td><td>{{printf "%+.4f to %+.4f" .Low .High}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>
<h2>Start latency</h2><p>All days together: the fraction of the served requests that started within a given time.</p>{{.Latency}}
<h2>Each day</h2><p>Fraction of the requests served in time: {{.C.B}} minus {{.C.A}}, days sorted by the difference.</p>{{.Paired}}
<h2>One day: seed {{.Seed}}</h2><p>Rejections and requests not served, over time; dashed lines mark the faults.</p>{{.Rejections}}{{.Unserved}}
<table>{{range .FaultRows}}<tr><td>{{printf "%.1f" .At}} s</td><td>{{.Description}}</td></tr>{{end}}</table>
</body></html>
`))

// faultRow is an injected fault in the report.
type faultRow struct {
	At          float64 // seconds
	Description string
}

// Report writes the comparison as an HTML page with plots.
func (c *Comparison) Report(out io.Writer) error {
	worst := 0 // the day on which the policies differ most
	for i := range c.a {
		if d := inTimeDifference(c.a[i], c.b[i]); d > inTimeDifference(c.a[worst], c.b[worst]) {
			worst = i
		}
	}
	data := struct {
		C                                     *Comparison
		LoadPercent                           float64
		Seed                                  uint64
		Latency, Paired, Rejections, Unserved template.HTML
		FaultRows                             []faultRow
	}{C: c, LoadPercent: 100 * c.Load, Seed: c.scenarios[worst].Seed}
	for _, f := range c.scenarios[worst].Faults {
		data.FaultRows = append(data.FaultRows, faultRow{f.At / 1000, fmt.Sprintf("%s %s %s %.0f ms", f.Kind, f.Target, f.Peer, f.Duration)})
	}
	var err error
	steps := []struct {
		destination *template.HTML
		draw        func(p *plot.Plot) error
	}{
		{&data.Latency, c.plotLatency},
		{&data.Paired, c.plotPaired},
		{&data.Rejections, func(p *plot.Plot) error {
			p.Title.Text, p.Y.Label.Text = "refusals", "per second"
			return c.plotOverTime(p, worst, func(f *Figures) []float64 { return f.rejectedByBucket })
		}},
		{&data.Unserved, func(p *plot.Plot) error {
			p.Title.Text, p.Y.Label.Text = "requests not served", "per second"
			return c.plotOverTime(p, worst, func(f *Figures) []float64 {
				unserved := slices.Clone(f.requestsByBucket)
				for i := range unserved {
					unserved[i] -= f.servedByBucket[i]
				}
				return unserved
			})
		}},
	}
	for _, s := range steps {
		if *s.destination, err = renderSVG(s.draw); err != nil {
			return err
		}
	}
	return page.Execute(out, data)
}

// inTimeDifference returns by how much the fractions of requests served in time differ, as an absolute value.
func inTimeDifference(a, b *Figures) float64 {
	d := metrics[1].value(a) - metrics[1].value(b)
	return max(d, -d)
}

// renderSVG draws a plot and returns it as SVG.
func renderSVG(draw func(p *plot.Plot) error) (template.HTML, error) {
	p := plot.New()
	if err := draw(p); err != nil {
		return "", err
	}
	w, err := p.WriterTo(18*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	return template.HTML(svg[max(0, bytes.Index(svg, []byte("<svg"))):]), nil
}

// plotLatency draws the distribution of start latencies under both policies.
func (c *Comparison) plotLatency(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "ms", "part"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for i, all := range [][]*Figures{c.a, c.b} {
		var latencies []float64
		for _, f := range all {
			latencies = append(latencies, f.Latencies...)
		}
		slices.Sort(latencies)
		var pts plotter.XYs
		for q := 0.01; q < 0.9995; q += 0.005 {
			pts = append(pts, plotter.XY{X: max(1, quantile(latencies, q)), Y: q})
		}
		if len(latencies) == 0 {
			pts = plotter.XYs{{X: 1, Y: 0}, {X: 2, Y: 0}}
		}
		lines = append(lines, []string{c.A, c.B}[i], pts)
	}
	return plotutil.AddLines(p, lines...)
}

// plotPaired draws the differences of the fractions served in time, sorted.
func (c *Comparison) plotPaired(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "day", "difference"
	var pts plotter.XYs
	for i := range c.a {
		pts = append(pts, plotter.XY{X: float64(i), Y: metrics[1].value(c.b[i]) - metrics[1].value(c.a[i])})
	}
	slices.SortFunc(pts, func(x, y plotter.XY) int {
		if x.Y < y.Y {
			return -1
		}
		return 1
	})
	for i := range pts {
		pts[i].X = float64(i)
	}
	return plotutil.AddScatters(p, pts)
}

// plotOverTime draws a rate over the time of a day under both policies, with a dashed line at each fault.
func (c *Comparison) plotOverTime(p *plot.Plot, day int, counts func(f *Figures) []float64) error {
	p.X.Label.Text = "s"
	top := 1.0
	var lines []any
	for i, f := range []*Figures{c.a[day], c.b[day]} {
		var pts plotter.XYs
		for j, v := range counts(f) {
			pts = append(pts, plotter.XY{X: float64(j) * bucketMs / 1000, Y: v * 1000 / bucketMs})
			top = max(top, v*1000/bucketMs)
		}
		lines = append(lines, []string{c.A, c.B}[i], pts)
	}
	for _, f := range c.scenarios[day].Faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: f.At / 1000, Y: 0}, {X: f.At / 1000, Y: top}})
		if err != nil {
			return err
		}
		mark.Color, mark.Dashes = plotutil.Color(6), []vg.Length{vg.Points(2), vg.Points(3)}
		p.Add(mark)
	}
	return plotutil.AddLines(p, lines...)
}
