package fit

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

var measuredSizes = []float64{500, 2000, 6000, 14000}

const runs = 3

// made gives points at the measured sizes by a formula, with normally distributed noise by a seed.
func made(formula func(size float64) float64, noise float64, seed uint64) (points []Point) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, size := range measuredSizes {
		for range runs {
			points = append(points, Point{Size: size, Value: formula(size) + noise*rng.NormFloat64()})
		}
	}
	return points
}

func near(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance*max(1, math.Abs(want))
}

func straight(size float64) float64 { return 40 + 0.25*size }

func mustLine(t *testing.T, points []Point) Line {
	t.Helper()
	line, err := FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// TestExactLine recovers a line without noise.
func TestExactLine(t *testing.T) {
	line := mustLine(t, made(straight, 0, 1))
	if !near(line.Intercept, 40, 1e-9) || !near(line.Slope, 0.25, 1e-12) || line.Residual > 1e-9 || !near(line.RSquared, 1, 1e-12) {
		t.Errorf("%+v", line)
	}
	if line.Sizes != 4 || line.MinRuns != runs || line.Points != 12 || line.Smallest != 500 || line.Largest != 14000 {
		t.Errorf("%+v", line)
	}
	far := line.Predict(50000)
	if !near(far.Value, straight(50000), 1e-9) || !far.Extrapolated || !near(far.Factor, 50000.0/14000, 1e-12) {
		t.Errorf("%+v", far)
	}
	if within := line.Predict(3 * 14000); within.Extrapolated {
		t.Errorf("three times the largest is not beyond it: %+v", within)
	}
}

// TestTextbookLine holds the standard error against a published example: Anscombe's first set has a slope of 0.500 with a
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
		if !near(c.got, c.want, 2e-4) {
			t.Errorf("%s is %v, want %v", c.name, c.got, c.want)
		}
	}
}

// TestNoise counts how often the true slope lies in the interval: the stated 95% of many seeds, within chance.
func TestNoise(t *testing.T) {
	const trials = 400
	contained := 0
	for seed := range uint64(trials) {
		line := mustLine(t, made(straight, 100, seed))
		if line.SlopeInterval.Contains(0.25) {
			contained++
		}
		if line.Residual < 30 || line.Residual > 250 || line.Repetition < 20 || line.Repetition > 250 {
			t.Errorf("seed %d: noise of 100 is seen as a residual of %.1f, between runs %.1f", seed, line.Residual, line.Repetition)
		}
	}
	if part := float64(contained) / trials; part < 0.91 || part > 0.99 {
		t.Errorf("the true slope lies in %.3f of the intervals", part)
	}
}

// TestExponent tells a square from a line, and does not take a line for more than it is.
func TestExponent(t *testing.T) {
	square, err := FitPower(made(func(size float64) float64 { return 3e-4 * size * size }, 0, 1))
	if err != nil || !near(square.Exponent, 2, 1e-9) || !near(square.Factor, 3e-4, 1e-9) || !square.Superlinear() {
		t.Errorf("%+v, %v", square, err)
	}
	for seed := range uint64(50) {
		noisy, err := FitPower(made(func(size float64) float64 { return 3e-4 * size * size }, 3, seed))
		if err != nil || !noisy.Superlinear() || !near(noisy.Exponent, 2, 0.05) {
			t.Errorf("seed %d: a square has exponent %+v, %v", seed, noisy, err)
		}
		line, err := FitPower(made(func(size float64) float64 { return 0.25 * size }, 3, seed))
		if err != nil || line.Superlinear() || !near(line.Exponent, 1, 0.05) {
			t.Errorf("seed %d: a line has exponent %+v, %v", seed, line, err)
		}
	}
	if _, err := FitPower(made(func(float64) float64 { return 0 }, 0, 1)); !errors.Is(err, ErrNotPositive) {
		t.Errorf("zeros: %v", err)
	}
}

// TestPlantedPoint has one wrong point stand out: it is named, and the residual grows by much.
func TestPlantedPoint(t *testing.T) {
	points := made(straight, 5, 1)
	before := mustLine(t, points)
	points[4].Value *= 2
	after := mustLine(t, points)
	if after.Worst != points[4] || after.WorstResidual < 250 || after.Residual < 10*before.Residual {
		t.Errorf("before %+v, after %+v, planted %+v", before, after, points[4])
	}
}

// TestRefused refuses what no line can be fitted to.
func TestRefused(t *testing.T) {
	few := made(straight, 0, 1)[:3*runs]
	if _, err := FitLine(few); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("three sizes: %v", err)
	}
	bad := made(straight, 0, 1)
	bad[2].Value = math.NaN()
	if _, err := FitLine(bad); !errors.Is(err, ErrNotFinite) {
		t.Errorf("not a number: %v", err)
	}
	if _, err := FitAdditive(nil); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("nothing: %v", err)
	}
}
