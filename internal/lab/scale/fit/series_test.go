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

// rig makes the results of runs along nodes and schedulers, and of two points off the axes, of two processes each, as a
// formula of one reading has it.
func rig(formula func(nodes, schedulers float64) float64) (results []*result.Result) {
	add := func(dimension string, nodes, schedulers int) {
		for run := range runs {
			for process := range 2 {
				r := &result.Result{Schema: result.Schema, Scenario: "rest", Dimension: dimension, Run: run + 1, Process: fmt.Sprint("s", process)}
				r.Sizes = corner
				r.Sizes.Nodes, r.Sizes.Schedulers = nodes, schedulers
				apart := 1 - 2*float64(process) // the mean of the processes is the formula's
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
	for _, schedulers := range []int{100, 300, 1000} { // the corner is on the axis of nodes already
		add("schedulers", corner.Nodes, schedulers)
	}
	add(OffAxis, 4000, 200)
	add(OffAxis, 10000, 60)
	return results
}

func find(t *testing.T, all []Series, name string) Series {
	t.Helper()
	for _, s := range all {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no reading %s", name)
	return Series{}
}

// TestSeries fits results of a rig: both axes, the corner that they share, processes taken together, points off the axes.
func TestSeries(t *testing.T) {
	s := find(t, All(rig(plane)), "memory")
	if len(s.Axes) != 2 || s.ModelErr != nil || len(s.OffPoints) != 2 {
		t.Fatalf("%+v", s)
	}
	for i, slope := range []float64{0.02, 0.7} {
		axis := s.Axes[i]
		if axis.LineErr != nil || !near(axis.Line.Slope, slope, 1e-9) || axis.Line.Sizes != 4 || axis.Line.MinRuns != runs || len(axis.Varied) > 0 {
			t.Errorf("%+v", axis)
		}
	}
	for _, p := range s.OffPoints {
		if !near(p.RelativeError, 0, 1e-9) || p.Runs != runs || len(p.Beyond) > 0 {
			t.Errorf("%+v", p)
		}
	}
	all, err := s.AtAll(map[string]float64{"nodes": 60000, "schedulers": 100})
	if err != nil || !near(all.Value, plane(60000, 100), 1e-9) || !all.Extrapolated {
		t.Errorf("%+v, %v", all, err)
	}
	one, err := s.AtAll(map[string]float64{"nodes": 6000})
	if err != nil || !near(one.Value, plane(6000, 30), 1e-9) {
		t.Errorf("%+v, %v", one, err)
	}
	var unknown *UnknownDimensionError
	if _, err := s.AtAll(map[string]float64{"teams": 80}); !errors.As(err, &unknown) {
		t.Errorf("a dimension that was not varied: %v", err)
	}
	idle := find(t, All(rig(plane)), "idle")
	if !errors.Is(idle.Axes[0].PowerErr, ErrNotPositive) || idle.Axes[0].Line.Slope != 0 {
		t.Errorf("%+v", idle.Axes[0])
	}
}

// TestVaried names a size that was not held along an axis, and one off the axes that the model does not cover.
func TestVaried(t *testing.T) {
	results := rig(plane)
	for _, r := range results {
		if r.Dimension == "nodes" {
			r.Sizes.RunningTasks = r.Sizes.Nodes * 10
		}
		if r.Dimension == OffAxis {
			r.Sizes.Teams = 500
		}
	}
	s := find(t, All(results), "memory")
	if got := s.Axes[0].Varied; len(got) != 1 || got[0] != "tasks" {
		t.Errorf("varied with nodes: %v", got)
	}
	results = rig(plane)
	for _, r := range results {
		if r.Dimension == OffAxis {
			r.Sizes.Teams = 500
		}
	}
	s = find(t, All(results), "memory")
	if got := s.OffPoints[0].Beyond; len(got) != 1 || got[0] != "teams" {
		t.Errorf("not covered: %v", got)
	}
}

// TestSeriesInteraction reports the error off the axes where nodes and schedulers multiply: no axis shows it.
func TestSeriesInteraction(t *testing.T) {
	truth := func(nodes, schedulers float64) float64 {
		return plane(nodes, schedulers) + 1e-3*(nodes-2000)*(schedulers-30)
	}
	s := find(t, All(rig(truth)), "memory")
	for _, axis := range s.Axes {
		if axis.Line.Residual > 1e-9 {
			t.Errorf("an axis shows it: %+v", axis.Line)
		}
	}
	for i, sizes := range [][2]float64{{4000, 200}, {10000, 60}} {
		measured := truth(sizes[0], sizes[1])
		want := (plane(sizes[0], sizes[1]) - measured) / measured
		if p := s.OffPoints[i]; !near(p.RelativeError, want, 1e-9) || p.RelativeError > -0.4 {
			t.Errorf("%+v, want an error of %.3f", p, want)
		}
	}
}

// TestReport reads a folder of results and writes the tables and plots; a planted wrong run is in them.
func TestReport(t *testing.T) {
	folder := t.TempDir()
	results := rig(plane)
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
		t.Fatalf("%d of %d results, %v", len(read), len(results), err)
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
			t.Errorf("%q is not in\n%s", want, text.String())
		}
	}
	paths, err := WritePlots(filepath.Join(folder, "plots"), all)
	if err != nil || len(paths) != 4 { // two dimensions of two units
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		if drawn, err := os.ReadFile(path); err != nil || !strings.Contains(string(drawn), "<svg") {
			t.Errorf("%s: %v", path, err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "broken.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadDir(folder); err == nil {
		t.Error("half a file was read")
	}
}
