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
<html><head><meta charset="utf-8"><title>{{.C.A}} against {{.C.B}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,td:last-child{text-align:left}</style></head>
<body><h1>{{.C.A}} against {{.C.B}}</h1>
<p>{{.C.Days}} days on the virtual clock (simulated), {{.C.Nodes}} nodes filled to {{printf "%.0f" .Filled}}%, the same seeds for both; the interval is of the paired differences, 95%.</p>
<table><tr><th></th><th>{{.C.A}}</th><th>{{.C.B}}</th><th>difference</th><th>interval</th><th></th></tr>
{{range .C.Rows}}<tr><td>{{.Name}}</td><td>{{printf "%.4f" .A}}</td><td>{{printf "%.4f" .B}}</td><td>{{printf "%+.4f" .Diff}}</td><td>{{printf "%+.4f to %+.4f" .Low .High}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>
<h2>Start latency</h2><p>Of all days together; the part of the served that started within a time.</p>{{.Latency}}
<h2>Each day</h2><p>Part of the asks served in time: {{.C.B}} less {{.C.A}}, days in order.</p>{{.Paired}}
<h2>One day: seed {{.Seed}}</h2><p>Refusals and asks not served, by the time of day; lines mark the troubles.</p>{{.Refusals}}{{.Unserved}}
<table>{{range .Troubles}}<tr><td>{{printf "%.1f" .At}} s</td><td>{{.What}}</td></tr>{{end}}</table>
</body></html>
`))

type trouble struct {
	At   float64
	What string
}

// Report writes the comparison as a page with plots.
func (c *Comparison) Report(out io.Writer) error {
	worst := 0 // the day on which they differ most
	for i := range c.a {
		if d := differ(c.a[i], c.b[i]); d > differ(c.a[worst], c.b[worst]) {
			worst = i
		}
	}
	data := struct {
		C                                   *Comparison
		Filled                              float64
		Seed                                uint64
		Latency, Paired, Refusals, Unserved template.HTML
		Troubles                            []trouble
	}{C: c, Filled: 100 * c.Load, Seed: c.scenarios[worst].Seed}
	for _, f := range c.scenarios[worst].Faults {
		data.Troubles = append(data.Troubles, trouble{f.At / 1000, fmt.Sprintf("%s %s %s %.0f ms", f.Kind, f.Target, f.Peer, f.Duration)})
	}
	var err error
	steps := []struct {
		into *template.HTML
		draw func(p *plot.Plot) error
	}{
		{&data.Latency, c.latency},
		{&data.Paired, c.paired},
		{&data.Refusals, func(p *plot.Plot) error {
			p.Title.Text, p.Y.Label.Text = "refusals", "a second"
			return c.overTime(p, worst, func(f *Figures) []float64 { return f.refusedAt })
		}},
		{&data.Unserved, func(p *plot.Plot) error {
			p.Title.Text, p.Y.Label.Text = "asks not served", "a second"
			return c.overTime(p, worst, func(f *Figures) []float64 {
				left := slices.Clone(f.askedAt)
				for i := range left {
					left[i] -= f.servedAt[i]
				}
				return left
			})
		}},
	}
	for _, s := range steps {
		if *s.into, err = drawn(s.draw); err != nil {
			return err
		}
	}
	return page.Execute(out, data)
}

func differ(a, b *Figures) float64 {
	d := metrics[1].of(a) - metrics[1].of(b)
	return max(d, -d)
}

// drawn gives a plot as SVG.
func drawn(draw func(p *plot.Plot) error) (template.HTML, error) {
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

func (c *Comparison) latency(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "ms", "part"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for i, all := range [][]*Figures{c.a, c.b} {
		var took []float64
		for _, f := range all {
			took = append(took, f.Latencies...)
		}
		slices.Sort(took)
		var pts plotter.XYs
		for q := 0.01; q < 0.9995; q += 0.005 {
			pts = append(pts, plotter.XY{X: max(1, quantile(took, q)), Y: q})
		}
		if len(took) == 0 {
			pts = plotter.XYs{{X: 1, Y: 0}, {X: 2, Y: 0}}
		}
		lines = append(lines, []string{c.A, c.B}[i], pts)
	}
	return plotutil.AddLines(p, lines...)
}

func (c *Comparison) paired(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "day", "difference"
	var pts plotter.XYs
	for i := range c.a {
		pts = append(pts, plotter.XY{X: float64(i), Y: metrics[1].of(c.b[i]) - metrics[1].of(c.a[i])})
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

func (c *Comparison) overTime(p *plot.Plot, day int, of func(f *Figures) []float64) error {
	p.X.Label.Text = "s"
	top := 1.0
	var lines []any
	for i, f := range []*Figures{c.a[day], c.b[day]} {
		var pts plotter.XYs
		for j, v := range of(f) {
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
