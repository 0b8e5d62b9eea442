package fit

import (
	"errors"
	"testing"
)

// axisSamples returns samples along two axes that meet in a corner; their values follow a formula.
func axisSamples(formula func(nodes, schedulers float64) float64) (samples []Sample) {
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

// TestAdditive fits a plane and predicts points of it off the axes.
func TestAdditive(t *testing.T) {
	model, err := FitAdditive(axisSamples(plane))
	if err != nil {
		t.Fatal(err)
	}
	if !approxEqual(model.Slopes[0], 0.02, 1e-9) || !approxEqual(model.Slopes[1], 0.7, 1e-9) || !approxEqual(model.Baseline, plane(500, 30), 1e-9) || model.Residual > 1e-9 {
		t.Errorf("got model %+v, want slopes 0.02 and 0.7, baseline 36 and no residual", model)
	}
	off := model.Compare(Sample{Sizes: []float64{10000, 200}, Value: plane(10000, 200)})
	if !approxEqual(off.RelativeError, 0, 1e-9) || off.Extrapolated {
		t.Errorf("got %+v, want no relative error and no extrapolation", off)
	}
	if far := model.Compare(Sample{Sizes: []float64{10000, 3100}, Value: plane(10000, 3100)}); !far.Extrapolated || !approxEqual(far.Factor, 3.1, 1e-9) {
		t.Errorf("got %+v, want an extrapolation by a factor of 3.1", far)
	}
}

// TestInteraction expects the relative error off the axes to show an interaction of two dimensions: the residuals along the axes
// do not show it.
func TestInteraction(t *testing.T) {
	truth := func(nodes, schedulers float64) float64 {
		return plane(nodes, schedulers) + 1e-4*(nodes-2000)*(schedulers-30)
	}
	model, err := FitAdditive(axisSamples(truth))
	if err != nil || model.Residual > 1e-9 {
		t.Fatalf("got model %+v, error %v, want no residual and no error", model, err)
	}
	measured := truth(10000, 200)
	off := model.Compare(Sample{Sizes: []float64{10000, 200}, Value: measured})
	want := (plane(10000, 200) - measured) / measured
	if !approxEqual(off.RelativeError, want, 1e-6) || off.RelativeError > -0.2 {
		t.Errorf("got %+v, want a relative error of %.3f", off, want)
	}
}

// TestUndetermined expects an error if two dimensions only grew together.
func TestUndetermined(t *testing.T) {
	var samples []Sample
	for _, nodes := range measuredSizes {
		for range runs {
			samples = append(samples, Sample{Sizes: []float64{nodes, nodes / 10}, Value: nodes})
		}
	}
	if _, err := FitAdditive(samples); !errors.Is(err, ErrUndetermined) {
		t.Errorf("got error %v, want ErrUndetermined", err)
	}
}
