package fit

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// ErrUndetermined is returned if the effects of the dimensions can't be separated, as when two of them grow together in all runs.
var ErrUndetermined = errors.New("the effects of the dimensions can't be separated")

// maxCondition is the condition number of the scaled design matrix above which a model counts as undetermined.
const maxCondition = 1e8

// Sample is one reading, with the size of its run along each of several dimensions.
type Sample struct {
	Sizes []float64 // one for each dimension
	Value float64
}

// Additive is a linear model without interactions: each dimension contributes its own slope, and none depends on another:
// value = Baseline + sum of Slopes[d] * (size[d] - Origin[d]).
type Additive struct {
	Origin   []float64 // the smallest size along each dimension
	Baseline float64   // the value at Origin
	Slopes   []float64
	Largest  []float64 // the largest size along each dimension
	Residual float64   // residual standard error, in the reading's unit
}

// FitAdditive fits an additive model to runs along the axes by ordinary least squares, solved with a QR decomposition (Golub
// and Van Loan, Matrix Computations, chapter 5). Its errors wrap ErrTooFewSizes, ErrNotFinite or ErrUndetermined.
func FitAdditive(samples []Sample) (Additive, error) {
	if err := checkSamples(samples); err != nil {
		return Additive{}, err
	}
	m := sizeRange(samples)
	dimensions := len(m.Origin)
	design := mat.NewDense(len(samples), 1+dimensions, nil)
	values := mat.NewVecDense(len(samples), nil)
	for row, s := range samples {
		design.Set(row, 0, 1)
		for d, size := range s.Sizes {
			design.Set(row, 1+d, (size-m.Origin[d])/(m.Largest[d]-m.Origin[d])) // sizes are scaled to 0 to 1, so that the matrix is well conditioned
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

// At returns the model's value at a size along each dimension.
func (m Additive) At(sizes []float64) float64 {
	value := m.Baseline
	for d, size := range sizes {
		value += m.Slopes[d] * (size - m.Origin[d])
	}
	return value
}

// Factor returns how far a point lies beyond the measured sizes: the maximum, over the dimensions, of the quotient of its size
// and the largest measured size.
func (m Additive) Factor(sizes []float64) (factor float64) {
	for d, size := range sizes {
		factor = max(factor, size/m.Largest[d])
	}
	return factor
}

// Comparison compares the measured value of a run off the axes with the model's prediction.
type Comparison struct {
	Measured, Predicted float64
	RelativeError       float64 // (Predicted - Measured) / |Measured|; infinite if Measured is 0 and Predicted is not
	Factor              float64 // as given by Additive.Factor
	Extrapolated        bool    // Factor is above MaxFactor
}

// Compare compares a value that was measured off the axes with the model's prediction.
func (m Additive) Compare(s Sample) Comparison {
	f := Comparison{Measured: s.Value, Predicted: m.At(s.Sizes), Factor: m.Factor(s.Sizes)}
	f.Extrapolated = f.Factor > MaxFactor
	if f.Predicted != f.Measured {
		f.RelativeError = (f.Predicted - f.Measured) / math.Abs(f.Measured)
	}
	return f
}

// checkSamples returns an error if an additive model can't be fitted to the samples.
func checkSamples(samples []Sample) error {
	if len(samples) == 0 || len(samples[0].Sizes) == 0 {
		return fmt.Errorf("%w: no runs", ErrTooFewSizes)
	}
	for d := range samples[0].Sizes {
		points := make([]Point, 0, len(samples))
		for _, s := range samples {
			if len(s.Sizes) != len(samples[0].Sizes) {
				return fmt.Errorf("%w: runs have %d and %d dimensions", ErrUndetermined, len(samples[0].Sizes), len(s.Sizes))
			}
			points = append(points, Point{Size: s.Sizes[d], Value: s.Value})
		}
		if err := checkPoints(points); err != nil {
			return fmt.Errorf("dimension %d: %w", d, err)
		}
	}
	return nil
}

// sizeRange returns a model that has the range of the samples' sizes, but no baseline and zero slopes.
func sizeRange(samples []Sample) (m Additive) {
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
