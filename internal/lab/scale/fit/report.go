package fit

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ravenpond/internal/lab/scale/result"
)

// significantDigits is the number of significant digits of printed figures.
const significantDigits = 4

// WriteMarkdown writes Markdown tables of the fits of all readings, of the additive model's predictions off the axes, and of
// predictions at the given sizes by name of dimension, if there are any.
func WriteMarkdown(w io.Writer, all []Series, at map[string]float64) error {
	out := &markdown{w: w}
	scenarios := []string{}
	for _, s := range all {
		if !slices.Contains(scenarios, s.Scenario) {
			scenarios = append(scenarios, s.Scenario)
		}
	}
	for _, scenario := range scenarios {
		var some []Series
		for _, s := range all {
			if s.Scenario == scenario {
				some = append(some, s)
			}
		}
		out.line("### %s", scenario)
		out.lines(some)
		out.offAxis(some)
		out.predictions(some, at)
	}
	return out.err
}

// markdown writes lines until a write fails.
type markdown struct {
	w   io.Writer
	err error
}

func (m *markdown) line(format string, args ...any) {
	if m.err == nil {
		_, m.err = fmt.Fprintf(m.w, format+"\n", args...)
	}
}

// row writes one row of a table.
func (m *markdown) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	m.line("| %s |", strings.Join(cells, " | "))
}

// head writes the head of a table: the first columns, as many as texts says, hold text and the others figures.
func (m *markdown) head(texts int, names ...string) {
	m.line("")
	m.row(names...)
	rule := make([]string, 0, len(names))
	for i := range names {
		if i < texts {
			rule = append(rule, "---")
		} else {
			rule = append(rule, "---:")
		}
	}
	m.row(rule...)
}

// lines writes the table of the straight lines, one for each dimension and reading.
func (m *markdown) lines(some []Series) {
	m.head(3, "dimension", "reading", "unit", "sizes", "runs", "intercept", "slope", "slope's 95% interval", "residual", "R²",
		"furthest point (residual)", "exponent", "note")
	for _, d := range Dimensions {
		for _, s := range some {
			for _, axis := range s.Axes {
				if axis.Dimension.Name == d.Name {
					m.axis(s, axis)
				}
			}
		}
	}
	m.line("")
}

func (m *markdown) axis(s Series, axis Axis) {
	reading := s.Part + " " + s.Name
	if axis.LineErr != nil {
		m.row(axis.Dimension.Name, reading, s.Unit, "", "", "", "", "", "", "", "", "", "not fitted: "+axis.LineErr.Error())
		return
	}
	line := axis.Line
	exponent := "-"
	if axis.PowerErr == nil {
		exponent = fmt.Sprintf("%.2f (%.2f to %.2f)", axis.Power.Exponent, axis.Power.ExponentInterval.Low, axis.Power.ExponentInterval.High)
	}
	m.row(axis.Dimension.Name, reading, s.Unit,
		fmt.Sprintf("%d, %s to %s", line.Sizes, figure(line.Smallest), figure(line.Largest)),
		fmt.Sprintf("%d, %d a size at least", line.Points, line.MinRuns),
		figure(line.Intercept), figure(line.Slope),
		fmt.Sprintf("%s to %s", figure(line.SlopeInterval.Low), figure(line.SlopeInterval.High)),
		figure(line.Residual), fmt.Sprintf("%.3f", line.RSquared),
		fmt.Sprintf("%s at %s (%s)", figure(line.Worst.Value), figure(line.Worst.Size), figure(line.WorstResidual)),
		exponent, strings.Join(notes(axis), "; "))
}

// notes returns what a reader has to know before using a line.
func notes(axis Axis) (notes []string) {
	if axis.PowerErr == nil && axis.Power.Superlinear() {
		notes = append(notes, "grows faster than a line")
	}
	if axis.Line.SlopeInterval.Contains(0) {
		notes = append(notes, "no slope told from zero")
	}
	if axis.Line.MinRuns < 2 {
		notes = append(notes, "a size was run once")
	}
	if len(axis.Varied) > 0 {
		notes = append(notes, "varied with it: "+strings.Join(axis.Varied, ", "))
	}
	return notes
}

// offAxis writes the table that compares the additive model's predictions with the measured values.
func (m *markdown) offAxis(some []Series) {
	if !slices.ContainsFunc(some, func(s Series) bool { return len(s.OffAxisPoints) > 0 }) {
		return
	}
	m.line("Foretold off the axes by the additive model:")
	m.head(3, "sizes", "reading", "unit", "runs", "measured", "foretold", "relative error", "factor", "note")
	for _, s := range some {
		for _, p := range s.OffAxisPoints {
			var notes []string
			if p.Extrapolated {
				notes = append(notes, "extrapolated")
			}
			if len(p.NotModeled) > 0 {
				notes = append(notes, "not in the model: "+strings.Join(p.NotModeled, ", "))
			}
			m.row(sizesText(s.Dimensions, p.Sizes), s.Part+" "+s.Name, s.Unit, strconv.Itoa(p.Runs), figure(p.Measured), figure(p.Predicted),
				fmt.Sprintf("%+.1f%%", 100*p.RelativeError), fmt.Sprintf("%.2f", p.Factor), strings.Join(notes, "; "))
		}
	}
	m.line("")
}

// predictions writes the lines' predictions at each given size and, if there are several sizes, the additive model's prediction
// at all of them together.
func (m *markdown) predictions(some []Series, at map[string]float64) {
	if len(at) == 0 {
		return
	}
	m.line("Predicted:")
	m.head(3, "at", "reading", "unit", "value", "95% interval", "factor", "note")
	for _, name := range slices.Sorted(maps.Keys(at)) {
		for _, s := range some {
			if p, ok := s.Predict(name, at[name]); ok {
				m.row(name+" "+figure(at[name]), s.Part+" "+s.Name, s.Unit, figure(p.Value),
					fmt.Sprintf("%s to %s", figure(p.Interval.Low), figure(p.Interval.High)), fmt.Sprintf("%.2f", p.Factor), extrapolationNote(p))
			}
		}
	}
	if len(at) > 1 {
		for _, s := range some {
			if p, err := s.PredictAll(at); err == nil {
				m.row("all together", s.Part+" "+s.Name, s.Unit, figure(p.Value), "-", fmt.Sprintf("%.2f", p.Factor), extrapolationNote(p))
			}
		}
	}
	m.line("")
}

func extrapolationNote(p Prediction) string {
	if p.Extrapolated {
		return "extrapolated"
	}
	return ""
}

// sizesText formats sizes with the names of their dimensions.
func sizesText(dimensions []Dimension, sizes result.Sizes) string {
	var texts []string
	for _, d := range dimensions {
		texts = append(texts, d.Name+" "+figure(d.Size(sizes)))
	}
	return strings.Join(texts, ", ")
}

// figure formats a number with a few significant digits.
func figure(value float64) string {
	short, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if err != nil {
		return strconv.FormatFloat(value, 'g', significantDigits, 64)
	}
	if size := max(short, -short); size == 0 || size >= 1e-4 && size < 1e9 {
		return strconv.FormatFloat(short, 'f', -1, 64)
	}
	return strconv.FormatFloat(short, 'g', -1, 64)
}
