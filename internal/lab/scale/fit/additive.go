package fit

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// ErrUndetermined is returned where the runs don't tell the effects of the dimensions apart.
var ErrUndetermined = errors.New("the runs don't tell the dimensions apart")

// maxCondition is the condition number of the scaled design matrix above which a model counts as undetermined.
const maxCondition = 1e8

// Sample is one reading at one size along each of several dimensions.
type Sample struct {
	Sizes []float64 // one for each dimension
	Value float64
}

// Additive is a model in which each dimension adds its own slope and none depends on another:
// value = Baseline + sum of Slopes[d] * (size[d] - Origin[d]).
type Additive struct {
	Origin   []float64 // the smallest size along each dimension
	Baseline float64   // the value there
	Slopes   []float64
	Largest  []float64
	Residual float64 // residual standard error, in the reading's unit
}

// FitAdditive fits an additive model to runs along the axes by ordinary least squares, as a QR decomposition solves it (Golub
// and Van Loan, Matrix Computations, chapter 5). It returns ErrTooFewSizes, ErrNotFinite or ErrUndetermined, wrapped.
func FitAdditive(samples []Sample) (Additive, error) {
	if err := checkSamples(samples); err != nil {
		return Additive{}, err
	}
	m := span(samples)
	dimensions := len(m.Origin)
	design := mat.NewDense(len(samples), 1+dimensions, nil)
	values := mat.NewVecDense(len(samples), nil)
	for row, s := range samples {
		design.Set(row, 0, 1)
		for d, size := range s.Sizes {
			design.Set(row, 1+d, (size-m.Origin[d])/(m.Largest[d]-m.Origin[d])) // from 0 to 1, so that the matrix is well scaled
		}
		values.SetVec(row, s.Value)
	}
	var qr mat.QR
	qr.Factorize(design)
	if condition := qr.Cond(); !(condition < maxCondition) {
		return Additive{}, fmt.Errorf("%w: condition number %.1e", ErrUndetermined, condition)
	}
	var solution mat.VecDense
	if err := qr.SolveVecTo(&solution, false, values); err != nil {
		return Additive{}, fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	m.Baseline = solution.AtVec(0)
	for d := range dimensions {
		m.Slopes[d] = solution.AtVec(1+d) / (m.Largest[d] - m.Origin[d])
	}
	var squares float64
	for _, s := range samples {
		residual := s.Value - m.At(s.Sizes)
		squares += residual * residual
	}
	m.Residual = math.Sqrt(squares / float64(len(samples)-1-dimensions))
	return m, nil
}

// At is the model's value at a size along each dimension.
func (m Additive) At(sizes []float64) float64 {
	value := m.Baseline
	for d, size := range sizes {
		value += m.Slopes[d] * (size - m.Origin[d])
	}
	return value
}

// Factor is how far a point lies beyond what was measured: the largest quotient, over the dimensions, of its size and the
// largest measured one.
func (m Additive) Factor(sizes []float64) (factor float64) {
	for d, size := range sizes {
		factor = max(factor, size/m.Largest[d])
	}
	return factor
}

// Foretold is a run off the axes beside what the model foretold of it.
type Foretold struct {
	Measured, Predicted float64
	RelativeError       float64 // (Predicted - Measured) / Measured; infinite where nothing was measured but something foretold
	Factor              float64
	Extrapolated        bool
}

// Foretell holds a measured value off the axes against the model.
func (m Additive) Foretell(s Sample) Foretold {
	f := Foretold{Measured: s.Value, Predicted: m.At(s.Sizes), Factor: m.Factor(s.Sizes)}
	f.Extrapolated = f.Factor > MaxFactor
	if f.Predicted != f.Measured {
		f.RelativeError = (f.Predicted - f.Measured) / math.Abs(f.Measured)
	}
	return f
}

// checkSamples returns an error if the samples can't be fitted.
func checkSamples(samples []Sample) error {
	if len(samples) == 0 || len(samples[0].Sizes) == 0 {
		return fmt.Errorf("%w: no runs", ErrTooFewSizes)
	}
	for d := range samples[0].Sizes {
		points := make([]Point, 0, len(samples))
		for _, s := range samples {
			if len(s.Sizes) != len(samples[0].Sizes) {
				return fmt.Errorf("%w: runs of %d and of %d dimensions", ErrUndetermined, len(samples[0].Sizes), len(s.Sizes))
			}
			points = append(points, Point{Size: s.Sizes[d], Value: s.Value})
		}
		if err := check(points); err != nil {
			return fmt.Errorf("dimension %d: %w", d, err)
		}
	}
	return nil
}

// span is a model without values over the sizes of samples.
func span(samples []Sample) (m Additive) {
	m.Origin = append(m.Origin, samples[0].Sizes...)
	m.Largest = append(m.Largest, samples[0].Sizes...)
	m.Slopes = make([]float64, len(m.Origin))
	for _, s := range samples {
		for d, size := range s.Sizes {
			m.Origin[d] = min(m.Origin[d], size)
			m.Largest[d] = max(m.Largest[d], size)
		}
	}
	return m
}
