package fit

import (
	"errors"
	"testing"
)

// axes gives samples along two axes from a common corner, by a formula.
func axes(formula func(nodes, schedulers float64) float64) (samples []Sample) {
	const cornerNodes, cornerSchedulers = 2000, 30
	add := func(nodes, schedulers float64) {
		samples = append(samples, Sample{Sizes: []float64{nodes, schedulers}, Value: formula(nodes, schedulers)})
	}
	for range runs {
		for _, nodes := range measuredSizes {
			add(nodes, cornerSchedulers)
		}
		for _, schedulers := range []float64{30, 100, 300, 1000} {
			add(cornerNodes, schedulers)
		}
	}
	return samples
}

func plane(nodes, schedulers float64) float64 { return 5 + 0.02*nodes + 0.7*schedulers }

// TestAdditive recovers a plane, and foretells points off the axes of it.
func TestAdditive(t *testing.T) {
	model, err := FitAdditive(axes(plane))
	if err != nil {
		t.Fatal(err)
	}
	if !near(model.Slopes[0], 0.02, 1e-9) || !near(model.Slopes[1], 0.7, 1e-9) || !near(model.Baseline, plane(500, 30), 1e-9) || model.Residual > 1e-9 {
		t.Errorf("%+v", model)
	}
	off := model.Foretell(Sample{Sizes: []float64{10000, 200}, Value: plane(10000, 200)})
	if !near(off.RelativeError, 0, 1e-9) || off.Extrapolated {
		t.Errorf("%+v", off)
	}
	if far := model.Foretell(Sample{Sizes: []float64{10000, 3100}, Value: plane(10000, 3100)}); !far.Extrapolated || !near(far.Factor, 3.1, 1e-9) {
		t.Errorf("%+v", far)
	}
}

// TestInteraction reports the error off the axes where dimensions multiply: nothing along the axes shows it.
func TestInteraction(t *testing.T) {
	truth := func(nodes, schedulers float64) float64 {
		return plane(nodes, schedulers) + 1e-4*(nodes-2000)*(schedulers-30)
	}
	model, err := FitAdditive(axes(truth))
	if err != nil || model.Residual > 1e-9 {
		t.Fatalf("%+v, %v", model, err)
	}
	measured := truth(10000, 200)
	off := model.Foretell(Sample{Sizes: []float64{10000, 200}, Value: measured})
	want := (plane(10000, 200) - measured) / measured
	if !near(off.RelativeError, want, 1e-6) || off.RelativeError > -0.2 {
		t.Errorf("%+v, want an error of %.3f", off, want)
	}
}

// TestUndetermined refuses dimensions that only grew together.
func TestUndetermined(t *testing.T) {
	var samples []Sample
	for _, nodes := range measuredSizes {
		for range runs {
			samples = append(samples, Sample{Sizes: []float64{nodes, nodes / 10}, Value: nodes})
		}
	}
	if _, err := FitAdditive(samples); !errors.Is(err, ErrUndetermined) {
		t.Errorf("%v", err)
	}
}
