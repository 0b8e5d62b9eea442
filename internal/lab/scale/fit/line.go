// Package fit fits models to the readings of scale runs. For each scenario, dimension and reading it fits a straight line by
// ordinary least squares, with the confidence interval of its slope, and a power law. Over all dimensions it fits an additive
// model, whose error is measured with runs off the axes. It writes the fits as Markdown tables and as plots.
package fit

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// MinSizes is the minimum number of distinct sizes for a fit.
	MinSizes = 4
	// MaxFactor is the quotient of a size and the largest measured size above which a prediction counts as extrapolated.
	MaxFactor = 3
	// confidence is the level of all confidence intervals, which are two-sided.
	confidence = 0.95
)

var (
	// ErrTooFewSizes is returned if fewer than MinSizes distinct sizes were measured.
	ErrTooFewSizes = errors.New("too few sizes")
	// ErrNotFinite is returned if a size or a value is not a finite number.
	ErrNotFinite = errors.New("not a finite number")
	// ErrNotPositive is returned by FitPower if a size or a value is not above zero and thus has no logarithm.
	ErrNotPositive = errors.New("not a positive number")
)

// Point is one reading at one size. A size that was measured in several runs has several points.
type Point struct {
	Size, Value float64
}

// Interval is the two-sided 95% confidence interval of an estimate.
type Interval struct {
	Low, High float64
}

// Contains reports whether a value lies within the interval.
func (i Interval) Contains(value float64) bool { return value >= i.Low && value <= i.High }

// Line is a straight line fitted to points by ordinary least squares (Draper and Smith, Applied Regression Analysis, chapter 1).
type Line struct {
	Intercept     float64
	Slope         float64 // in the reading's unit per unit of size
	SlopeError    float64 // standard error of the slope
	SlopeInterval Interval
	Residual      float64 // residual standard error, in the reading's unit
	RunDeviation  float64 // pooled standard deviation between runs of the same size; 0 if no size was repeated
	RSquared      float64 // fraction of the variance that the line explains; 1 if all values are the same
	Worst         Point   // the point furthest from the line
	WorstResidual float64 // its value minus the line's, in the reading's unit

	Sizes             int     // number of distinct sizes
	MinRuns           int     // smallest number of points at any size
	Points            int     // number of points
	Smallest, Largest float64 // sizes

	meanSize float64
	sumXX    float64 // sum of the squared deviations of the sizes from their mean
}

// FitLine fits a straight line. Its errors wrap ErrTooFewSizes or ErrNotFinite.
func FitLine(points []Point) (Line, error) {
	if err := checkPoints(points); err != nil {
		return Line{}, err
	}
	xs, ys := columns(points)
	var l Line
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.Points = len(points)
	l.Smallest, l.Largest = slices.Min(xs), slices.Max(xs)
	l.meanSize = stat.Mean(xs, nil)
	var squares, total float64
	meanValue := stat.Mean(ys, nil)
	for _, p := range points {
		l.sumXX += (p.Size - l.meanSize) * (p.Size - l.meanSize)
		total += (p.Value - meanValue) * (p.Value - meanValue)
		residual := p.Value - l.At(p.Size)
		squares += residual * residual
		if math.Abs(residual) >= math.Abs(l.WorstResidual) {
			l.Worst, l.WorstResidual = p, residual
		}
	}
	l.RSquared = 1
	if total > 0 {
		l.RSquared = 1 - squares/total
	}
	l.Residual = math.Sqrt(squares / l.degreesOfFreedom())
	l.SlopeError = l.Residual / math.Sqrt(l.sumXX)
	l.SlopeInterval = interval(l.Slope, l.SlopeError, l.degreesOfFreedom())
	l.Sizes, l.MinRuns, l.RunDeviation = repetitions(points)
	return l, nil
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// degreesOfFreedom returns the number of degrees of freedom of the residuals.
func (l Line) degreesOfFreedom() float64 { return float64(l.Points - 2) }

// Prediction is a model's prediction at a size.
type Prediction struct {
	Size         float64
	Value        float64
	Interval     Interval // of the mean value at the size, provided that the model holds there
	Factor       float64  // the size divided by the largest measured size
	Extrapolated bool     // Factor is above MaxFactor
}

// Predict predicts the mean reading at a size.
func (l Line) Predict(size float64) Prediction {
	distance := size - l.meanSize
	meanError := l.Residual * math.Sqrt(1/float64(l.Points)+distance*distance/l.sumXX)
	factor := size / l.Largest
	return Prediction{
		Size:         size,
		Value:        l.At(size),
		Interval:     interval(l.At(size), meanError, l.degreesOfFreedom()),
		Factor:       factor,
		Extrapolated: factor > MaxFactor,
	}
}

// interval returns the confidence interval of an estimate by Student's t-distribution.
func interval(estimate, standardError, freedom float64) Interval {
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile((1 + confidence) / 2)
	return Interval{Low: estimate - t*standardError, High: estimate + t*standardError}
}

// checkPoints returns an error if a line can't be fitted to the points.
func checkPoints(points []Point) error {
	sizes := map[float64]bool{}
	for _, p := range points {
		if !finite(p.Size) || !finite(p.Value) {
			return fmt.Errorf("%w: size %v, value %v", ErrNotFinite, p.Size, p.Value)
		}
		sizes[p.Size] = true
	}
	if len(sizes) < MinSizes {
		return fmt.Errorf("%w: %d, at least %d are needed", ErrTooFewSizes, len(sizes), MinSizes)
	}
	return nil
}

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// columns returns the sizes and the values of points.
func columns(points []Point) (sizes, values []float64) {
	for _, p := range points {
		sizes = append(sizes, p.Size)
		values = append(values, p.Value)
	}
	return sizes, values
}

// repetitions returns the number of distinct sizes, the smallest number of runs at any size, and the pooled standard deviation
// between runs of the same size.
func repetitions(points []Point) (sizes, minRuns int, deviation float64) {
	bySize := map[float64][]float64{}
	for _, p := range points {
		bySize[p.Size] = append(bySize[p.Size], p.Value)
	}
	minRuns = len(points)
	var squares, freedom float64
	for _, values := range bySize {
		minRuns = min(minRuns, len(values))
		if len(values) > 1 {
			runs := float64(len(values) - 1)
			squares += runs * stat.Variance(values, nil)
			freedom += runs
		}
	}
	if freedom > 0 {
		deviation = math.Sqrt(squares / freedom)
	}
	return len(bySize), minRuns, deviation
}
