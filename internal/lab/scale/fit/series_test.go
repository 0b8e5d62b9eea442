package fit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ravenpond/internal/lab/scale/result"
)

var corner = result.Sizes{Nodes: 2000, Schedulers: 30, Teams: 72, Zones: 14, Regions: 6}

// syntheticResults returns results of runs along nodes and schedulers and at two points off the axes, with two processes each; the reading
// "memory" follows a formula.
func syntheticResults(formula func(nodes, schedulers float64) float64) (results []*result.Result) {
	add := func(dimension string, nodes, schedulers int) {
		for run := range runs {
			for process := range 2 {
				r := &result.Result{Schema: result.Schema, Scenario: "rest", Dimension: dimension, Run: run + 1, Process: fmt.Sprint("s", process)}
				r.Sizes = corner
				r.Sizes.Nodes, r.Sizes.Schedulers = nodes, schedulers
				apart := 1 - 2*float64(process) // the mean over the processes is the formula's value
				r.Readings = []result.Reading{
					{Part: "control", Name: "memory", Unit: result.Bytes, Value: formula(float64(nodes), float64(schedulers)) + apart},
					{Part: "control", Name: "idle", Unit: result.Cores},
				}
				results = append(results, r)
			}
		}
	}
	for _, nodes := range measuredSizes {
		add("nodes", int(nodes), corner.Schedulers)
	}
	for _, schedulers := range []int{100, 300, 1000} { // the corner is already on the axis of nodes
		add("schedulers", corner.Nodes, schedulers)
	}
	add(OffAxis, 4000, 200)
	add(OffAxis, 10000, 60)
	return results
}

func findSeries(t *testing.T, all []Series, name string) Series {
	t.Helper()
	for _, s := range all {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("got no reading %q, want one", name)
	return Series{}
}

// TestSeries fits synthetic results: both axes with their common corner, the mean over processes, and the points off the axes.
func TestSeries(t *testing.T) {
	s := findSeries(t, All(syntheticResults(plane)), "memory")
	if len(s.Axes) != 2 || s.ModelErr != nil || len(s.OffAxisPoints) != 2 {
		t.Fatalf("got %+v, want 2 axes, a model and 2 points off the axes", s)
	}
	for i, slope := range []float64{0.02, 0.7} {
		axis := s.Axes[i]
		if axis.LineErr != nil || !approxEqual(axis.Line.Slope, slope, 1e-9) || axis.Line.Sizes != 4 || axis.Line.MinRuns != runs || len(axis.Varied) > 0 {
			t.Errorf("got %+v, want slopes 0.02 and 0.7 in turn, 4 sizes and 3 runs of each", axis)
		}
	}
	for _, p := range s.OffAxisPoints {
		if !approxEqual(p.RelativeError, 0, 1e-9) || p.Runs != runs || len(p.NotModeled) > 0 {
			t.Errorf("got %+v, want no relative error, 3 runs and no dimension beyond the model", p)
		}
	}
	all, err := s.PredictAll(map[string]float64{"nodes": 60000, "schedulers": 100})
	if err != nil || !approxEqual(all.Value, plane(60000, 100), 1e-9) || !all.Extrapolated {
		t.Errorf("got %+v, error %v, want value 1275, extrapolated", all, err)
	}
	one, err := s.PredictAll(map[string]float64{"nodes": 6000})
	if err != nil || !approxEqual(one.Value, plane(6000, 30), 1e-9) {
		t.Errorf("got %+v, error %v, want value 146", one, err)
	}
	var unknown *UnknownDimensionError
	if _, err := s.PredictAll(map[string]float64{"teams": 80}); !errors.As(err, &unknown) {
		t.Errorf("a dimension that was not varied: got error %v, want an UnknownDimensionError", err)
	}
	idle := findSeries(t, All(syntheticResults(plane)), "idle")
	if !errors.Is(idle.Axes[0].PowerErr, ErrNotPositive) || idle.Axes[0].Line.Slope != 0 {
		t.Errorf("got %+v, want slope 0 and ErrNotPositive for the power law", idle.Axes[0])
	}
}

// TestVaried expects the names of a dimension that was not held constant along an axis, and of one that differs off the axes and
// that the model does not cover.
func TestVaried(t *testing.T) {
	results := syntheticResults(plane)
	for _, r := range results {
		if r.Dimension == "nodes" {
			r.Sizes.RunningTasks = r.Sizes.Nodes * 10
		}
		if r.Dimension == OffAxis {
			r.Sizes.Teams = 500
		}
	}
	s := findSeries(t, All(results), "memory")
	if got := s.Axes[0].Varied; len(got) != 1 || got[0] != "tasks" {
		t.Errorf("varied with nodes: got %q, want only tasks", got)
	}
	results = syntheticResults(plane)
	for _, r := range results {
		if r.Dimension == OffAxis {
			r.Sizes.Teams = 500
		}
	}
	s = findSeries(t, All(results), "memory")
	if got := s.OffAxisPoints[0].NotModeled; len(got) != 1 || got[0] != "teams" {
		t.Errorf("not covered by the model: got %q, want only teams", got)
	}
}

// TestSeriesInteraction expects the relative error off the axes to show an interaction of nodes and schedulers: the residuals
// along the axes do not show it.
func TestSeriesInteraction(t *testing.T) {
	truth := func(nodes, schedulers float64) float64 {
		return plane(nodes, schedulers) + 1e-3*(nodes-2000)*(schedulers-30)
	}
	s := findSeries(t, All(syntheticResults(truth)), "memory")
	for _, axis := range s.Axes {
		if axis.Line.Residual > 1e-9 {
			t.Errorf("got %+v along an axis, want no residual", axis.Line)
		}
	}
	for i, sizes := range [][2]float64{{4000, 200}, {10000, 60}} {
		measured := truth(sizes[0], sizes[1])
		want := (plane(sizes[0], sizes[1]) - measured) / measured
		if p := s.OffAxisPoints[i]; !approxEqual(p.RelativeError, want, 1e-9) || p.RelativeError > -0.4 {
			t.Errorf("got %+v, want a relative error of %.3f", p, want)
		}
	}
}

// TestReport reads a folder of results and writes the tables and plots, which show one run with a wrong value; a truncated file
// is an error.
func TestReport(t *testing.T) {
	folder := t.TempDir()
	results := syntheticResults(plane)
	for i, r := range results {
		if r.Dimension == "nodes" && r.Sizes.Nodes == 6000 && r.Run == 2 {
			r.Readings[0].Value = 7777
		}
		if err := r.Write(filepath.Join(folder, fmt.Sprintf("run-%03d.json", i))); err != nil {
			t.Fatal(err)
		}
	}
	read, err := ReadDir(folder)
	if err != nil || len(read) != len(results) {
		t.Fatalf("got %d results, want %d; error %v", len(read), len(results), err)
	}
	all := All(read)
	var text strings.Builder
	if err := WriteMarkdown(&text, all, map[string]float64{"nodes": 60000, "schedulers": 100}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"### rest", "7777 at 6000", "nodes 4000, schedulers 200", "| all together | control memory | B |", "extrapolated",
		"no slope told from zero",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got no %q, want it in\n%s", want, text.String())
		}
	}
	paths, err := WritePlots(filepath.Join(folder, "plots"), all)
	if err != nil || len(paths) != 4 { // two dimensions of two units
		t.Fatalf("got paths %q, error %v, want 4 paths", paths, err)
	}
	for _, path := range paths {
		if drawn, err := os.ReadFile(path); err != nil || !strings.Contains(string(drawn), "<svg") {
			t.Errorf("%s: got error %v or no <svg element, want a plot", path, err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "broken.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadDir(folder); err == nil {
		t.Error("a truncated file: got no error, want one")
	}
}
