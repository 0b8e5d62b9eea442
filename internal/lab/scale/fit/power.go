package fit

import (
	"fmt"
	"math"
)

// superlinearExponent is the exponent above which the whole confidence interval has to lie for growth to count as superlinear.
const superlinearExponent = 1.1

// Power is a power law, value = Factor * size^Exponent, fitted as a straight line to the logarithms. A straight line with a
// positive intercept has an exponent below one here: the exponent complements the line and does not replace it.
type Power struct {
	Factor           float64
	Exponent         float64
	ExponentInterval Interval
	Residual         float64 // residual standard error of the natural logarithms
}

// FitPower fits a power law. Its errors wrap ErrNotPositive, ErrTooFewSizes or ErrNotFinite.
func FitPower(points []Point) (Power, error) {
	logs := make([]Point, 0, len(points))
	for _, p := range points {
		if !(p.Size > 0) || !(p.Value > 0) {
			return Power{}, fmt.Errorf("%w: size %v, value %v", ErrNotPositive, p.Size, p.Value)
		}
		logs = append(logs, Point{Size: math.Log(p.Size), Value: math.Log(p.Value)})
	}
	line, err := FitLine(logs)
	if err != nil {
		return Power{}, err
	}
	return Power{
		Factor:           math.Exp(line.Intercept),
		Exponent:         line.Slope,
		ExponentInterval: line.SlopeInterval,
		Residual:         line.Residual,
	}, nil
}

// At returns the power law's value at a size.
func (p Power) At(size float64) float64 { return p.Factor * math.Pow(size, p.Exponent) }

// Superlinear reports whether the reading grows faster than a straight line, so that a line must not be extrapolated.
func (p Power) Superlinear() bool { return p.ExponentInterval.Low > superlinearExponent }
