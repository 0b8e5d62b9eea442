package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"ravenpond/internal/lab/scale/fit"
	"ravenpond/internal/lab/scale/result"
)

// TestScaleFit checks that lab scale-fit rejects an empty folder and an unknown dimension, and draws one plot of the results of a scenario.
func TestScaleFit(t *testing.T) {
	folder := t.TempDir()
	if err := (&scaleFitCommand{Folder: folder}).Run(); !errors.Is(err, errNoResults) {
		t.Errorf("empty folder: got error %v, want errNoResults", err)
	}
	var unknown *fit.UnknownDimensionError
	if err := (&scaleFitCommand{Folder: folder, At: map[string]float64{"nods": 1}}).Run(); !errors.As(err, &unknown) {
		t.Errorf("unknown dimension: got error %v, want an UnknownDimensionError", err)
	}
	for run, nodes := range []int{500, 2000, 6000, 14000} {
		r := &result.Result{
			Schema: result.Schema, Scenario: "rest", Dimension: "nodes", Run: run, Sizes: result.Sizes{Nodes: nodes},
			Readings: []result.Reading{{Part: "process", Name: "resident", Unit: result.Bytes, Value: 1000 * float64(nodes)}},
		}
		if err := r.Write(filepath.Join(folder, r.Scenario+string(rune('a'+run))+".json")); err != nil {
			t.Fatal(err)
		}
	}
	plots := filepath.Join(folder, "plots")
	if err := (&scaleFitCommand{Folder: folder, At: map[string]float64{"nodes": 50000}, Plots: plots}).Run(); err != nil {
		t.Fatal(err)
	}
	if drawn, err := os.ReadDir(plots); err != nil || len(drawn) != 1 {
		t.Errorf("got plots %v, error %v; want one plot", drawn, err)
	}
}
