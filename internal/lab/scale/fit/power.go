package fit

import (
	"fmt"
	"math"
)

// steeper is the exponent that a power law's interval must lie above for the growth to count as steeper than a line.
const steeper = 1.1

// Power is a power law, value = Factor * size^Exponent, fitted as a straight line through the logarithms. A line that does not
// pass through zero has an exponent below one here: the exponent stands beside the line, not in its place.
type Power struct {
	Factor           float64
	Exponent         float64
	ExponentInterval Interval
	Residual         float64 // residual standard error of the natural logarithms
}

// FitPower fits a power law. It returns ErrNotPositive, ErrTooFewSizes or ErrNotFinite, wrapped.
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

// At is the power law's value at a size.
func (p Power) At(size float64) float64 { return p.Factor * math.Pow(size, p.Exponent) }

// Superlinear tells whether the reading grows faster than a line: a straight line must not be extrapolated then.
func (p Power) Superlinear() bool { return p.ExponentInterval.Low > steeper }
