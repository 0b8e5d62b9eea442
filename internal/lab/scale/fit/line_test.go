package fit

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

var measuredSizes = []float64{500, 2000, 6000, 14000}

const runs = 3

// generatePoints returns points at the measured sizes whose values follow a formula, with normally distributed noise from a seed.
func generatePoints(formula func(size float64) float64, noise float64, seed uint64) (points []Point) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, size := range measuredSizes {
		for range runs {
			points = append(points, Point{Size: size, Value: formula(size) + noise*rng.NormFloat64()})
		}
	}
	return points
}

func approxEqual(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance*max(1, math.Abs(want))
}

func linear(size float64) float64 { return 40 + 0.25*size }

func mustLine(t *testing.T, points []Point) Line {
	t.Helper()
	line, err := FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// TestExactLine fits a line to points without noise.
func TestExactLine(t *testing.T) {
	line := mustLine(t, generatePoints(linear, 0, 1))
	if !approxEqual(line.Intercept, 40, 1e-9) || !approxEqual(line.Slope, 0.25, 1e-12) || line.Residual > 1e-9 || !approxEqual(line.RSquared, 1, 1e-12) {
		t.Errorf("got %+v, want intercept 40, slope 0.25, no residual and an R squared of 1", line)
	}
	if line.Sizes != 4 || line.MinRuns != runs || line.Points != 12 || line.Smallest != 500 || line.Largest != 14000 {
		t.Errorf("got %+v, want 12 points, 3 runs at each of 4 sizes from 500 to 14000", line)
	}
	far := line.Predict(50000)
	if !approxEqual(far.Value, linear(50000), 1e-9) || !far.Extrapolated || !approxEqual(far.Factor, 50000.0/14000, 1e-12) {
		t.Errorf("got %+v, want value 12540, extrapolated by a factor of 3.57", far)
	}
	if within := line.Predict(3 * 14000); within.Extrapolated {
		t.Errorf("got %+v, want no extrapolation at three times the largest size", within)
	}
}

// TestTextbookLine compares a fit with a published example: Anscombe's first set has a slope of 0.500 with a
// standard error of 0.118, an intercept of 3.00 and a residual standard error of 1.237.
func TestTextbookLine(t *testing.T) {
	xs := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	ys := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	var points []Point
	for i := range xs {
		points = append(points, Point{Size: xs[i], Value: ys[i]})
	}
	line := mustLine(t, points)
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"slope", line.Slope, 0.5001},
		{"intercept", line.Intercept, 3.0001},
		{"standard error", line.SlopeError, 0.1179},
		{"residual", line.Residual, 1.2366},
		{"R squared", line.RSquared, 0.6665},
		{"interval", line.SlopeInterval.Low, 0.5001 - 2.2622*0.1179},
	} {
		if !approxEqual(c.got, c.want, 2e-4) {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
}

// TestNoise checks for many seeds that the confidence interval contains the true slope in about the stated 95% of cases.
func TestNoise(t *testing.T) {
	const trials = 400
	contained := 0
	for seed := range uint64(trials) {
		line := mustLine(t, generatePoints(linear, 100, seed))
		if line.SlopeInterval.Contains(0.25) {
			contained++
		}
		if line.Residual < 30 || line.Residual > 250 || line.RunDeviation < 20 || line.RunDeviation > 250 {
			t.Errorf("seed %d: noise of 100 gives a residual of %.1f, want 30 to 250, and a deviation between runs of %.1f, want 20 to 250", seed, line.Residual, line.RunDeviation)
		}
	}
	if part := float64(contained) / trials; part < 0.91 || part > 0.99 {
		t.Errorf("the true slope lies in %.3f of the intervals, want 0.91 to 0.99", part)
	}
}

// TestExponent checks that a quadratic formula counts as superlinear and a linear one does not.
func TestExponent(t *testing.T) {
	square, err := FitPower(generatePoints(func(size float64) float64 { return 3e-4 * size * size }, 0, 1))
	if err != nil || !approxEqual(square.Exponent, 2, 1e-9) || !approxEqual(square.Factor, 3e-4, 1e-9) || !square.Superlinear() {
		t.Errorf("square: got %+v, error %v, want exponent 2, factor 3e-4, superlinear", square, err)
	}
	for seed := range uint64(50) {
		noisy, err := FitPower(generatePoints(func(size float64) float64 { return 3e-4 * size * size }, 3, seed))
		if err != nil || !noisy.Superlinear() || !approxEqual(noisy.Exponent, 2, 0.05) {
			t.Errorf("seed %d: square: got %+v, error %v, want exponent 2, superlinear", seed, noisy, err)
		}
		line, err := FitPower(generatePoints(func(size float64) float64 { return 0.25 * size }, 3, seed))
		if err != nil || line.Superlinear() || !approxEqual(line.Exponent, 1, 0.05) {
			t.Errorf("seed %d: line: got %+v, error %v, want exponent 1, not superlinear", seed, line, err)
		}
	}
	if _, err := FitPower(generatePoints(func(float64) float64 { return 0 }, 0, 1)); !errors.Is(err, ErrNotPositive) {
		t.Errorf("zeros: got error %v, want ErrNotPositive", err)
	}
}

// TestOutlier doubles the value of one point: the fit names it as the furthest point, and the residual grows tenfold at least.
func TestOutlier(t *testing.T) {
	points := generatePoints(linear, 5, 1)
	before := mustLine(t, points)
	points[4].Value *= 2
	after := mustLine(t, points)
	if after.Worst != points[4] || after.WorstResidual < 250 || after.Residual < 10*before.Residual {
		t.Errorf("got %+v before and %+v after the change, want %+v as the furthest point", before, after, points[4])
	}
}

// TestUnfittable expects errors for input to which no model can be fitted.
func TestUnfittable(t *testing.T) {
	few := generatePoints(linear, 0, 1)[:3*runs]
	if _, err := FitLine(few); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("three sizes: got error %v, want ErrTooFewSizes", err)
	}
	bad := generatePoints(linear, 0, 1)
	bad[2].Value = math.NaN()
	if _, err := FitLine(bad); !errors.Is(err, ErrNotFinite) {
		t.Errorf("not a number: got error %v, want ErrNotFinite", err)
	}
	if _, err := FitAdditive(nil); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("no samples: got error %v, want ErrTooFewSizes", err)
	}
}
