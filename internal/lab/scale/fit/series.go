package fit

import (
	"cmp"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"ravenpond/internal/lab/scale/result"
)

// OffAxis stands in place of a dimension's name in results of runs that vary several sizes at once.
const OffAxis = "off-axis"

// ReadDir reads all results, the files *.json, in a folder and its subfolders.
func ReadDir(folder string) (results []*result.Result, err error) {
	err = filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		r, err := result.Read(path)
		if err != nil {
			return err
		}
		results = append(results, r)
		return nil
	})
	return results, err
}

// Key identifies what is fitted: one reading of one scenario.
type Key struct {
	Scenario, Part, Name, Unit string
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Scenario, other.Scenario), cmp.Compare(k.Part, other.Part), cmp.Compare(k.Name, other.Name),
		cmp.Compare(k.Unit, other.Unit))
}

// Axis holds the points of a reading along one dimension and the fits to them.
type Axis struct {
	Dimension Dimension
	Points    []Point
	Held      result.Sizes // the other sizes, of the first run
	Varied    []string     // other dimensions that were not held constant: the slope is the effect of all of them together
	Line      Line
	LineErr   error // if not nil, Line is not set
	Power     Power
	PowerErr  error // if not nil, Power is not set
}

// OffAxisPoint compares the mean reading of the runs of the same sizes off the axes with the additive model's prediction there.
type OffAxisPoint struct {
	Sizes      result.Sizes
	Runs       int
	NotModeled []string // dimensions that the model does not cover and whose sizes differ from those held on the axes
	Comparison
}

// Series is one reading of one scenario over all runs.
type Series struct {
	Key
	Axes          []Axis
	Dimensions    []Dimension // that the model covers
	Model         Additive
	ModelErr      error // if not nil, Model is not set and OffAxisPoints is empty
	OffAxisPoints []OffAxisPoint
}

// observation is a reading of one run: the mean over its processes.
type observation struct {
	dimension string
	sizes     result.Sizes
	run       int
	seed      uint64
	value     float64
	processes int
}

// All fits all readings of results and returns them sorted by key.
func All(results []*result.Result) (all []Series) {
	for key, observations := range groupByKey(results) {
		all = append(all, fitSeries(key, observations))
	}
	slices.SortFunc(all, func(a, b Series) int { return a.compare(b.Key) })
	return all
}

// groupByKey groups readings by key and takes the mean over the processes of one run, because they are not independent repetitions.
func groupByKey(results []*result.Result) map[Key][]*observation {
	all := map[Key][]*observation{}
	for _, r := range results {
		for _, reading := range r.Readings {
			key := Key{Scenario: r.Scenario, Part: reading.Part, Name: reading.Name, Unit: reading.Unit}
			same := func(o *observation) bool {
				return o.dimension == r.Dimension && o.sizes == r.Sizes && o.run == r.Run && o.seed == r.Seed
			}
			at := slices.IndexFunc(all[key], same)
			if at < 0 {
				at = len(all[key])
				all[key] = append(all[key], &observation{dimension: r.Dimension, sizes: r.Sizes, run: r.Run, seed: r.Seed})
			}
			o := all[key][at]
			o.value = (o.value*float64(o.processes) + reading.Value) / float64(o.processes+1)
			o.processes++
		}
	}
	return all
}

func fitSeries(key Key, observations []*observation) Series {
	s := Series{Key: key}
	for _, d := range Dimensions {
		if axis, ok := axisAlong(d, observations); ok {
			s.Axes = append(s.Axes, axis)
		}
	}
	s.fitModel(observations)
	if s.ModelErr == nil {
		s.compareOffAxis(observations)
	}
	return s
}

// axisAlong returns the axis of a dimension: the runs that vary it, and runs of other axes that differ from them in this dimension
// alone, such as the corner where the axes meet.
func axisAlong(d Dimension, observations []*observation) (axis Axis, ok bool) {
	first := slices.IndexFunc(observations, func(o *observation) bool { return o.dimension == d.Name })
	if first < 0 {
		return Axis{}, false
	}
	axis = Axis{Dimension: d, Held: d.Held(observations[first].sizes)}
	for _, o := range observations {
		onAxis := o.dimension == d.Name || o.dimension != OffAxis && d.Held(o.sizes) == axis.Held
		if !onAxis {
			continue
		}
		axis.Points = append(axis.Points, Point{Size: d.Size(o.sizes), Value: o.value})
		for _, other := range Dimensions {
			moved := other.Name != d.Name && other.Size(o.sizes) != other.Size(axis.Held)
			if moved && !slices.Contains(axis.Varied, other.Name) {
				axis.Varied = append(axis.Varied, other.Name)
			}
		}
	}
	axis.Line, axis.LineErr = FitLine(axis.Points)
	axis.Power, axis.PowerErr = FitPower(axis.Points)
	return axis, true
}

// fitModel fits the additive model over all dimensions for which a line could be fitted.
func (s *Series) fitModel(observations []*observation) {
	var names []string
	for _, axis := range s.Axes {
		if axis.LineErr == nil {
			s.Dimensions = append(s.Dimensions, axis.Dimension)
			names = append(names, axis.Dimension.Name)
		}
	}
	var samples []Sample
	for _, o := range observations {
		if slices.Contains(names, o.dimension) {
			samples = append(samples, Sample{Sizes: s.sizesOf(o.sizes), Value: o.value})
		}
	}
	s.Model, s.ModelErr = FitAdditive(samples)
}

// sizesOf returns a run's sizes along the dimensions of the model.
func (s *Series) sizesOf(sizes result.Sizes) (along []float64) {
	for _, d := range s.Dimensions {
		along = append(along, d.Size(sizes))
	}
	return along
}

// compareOffAxis compares the mean of the runs at each point off the axes with the model's prediction.
func (s *Series) compareOffAxis(observations []*observation) {
	bySizes := map[result.Sizes][]*observation{}
	var order []result.Sizes
	for _, o := range observations {
		if o.dimension != OffAxis {
			continue
		}
		if bySizes[o.sizes] == nil {
			order = append(order, o.sizes)
		}
		bySizes[o.sizes] = append(bySizes[o.sizes], o)
	}
	for _, sizes := range order {
		runs := bySizes[sizes]
		sum := 0.0
		for _, o := range runs {
			sum += o.value
		}
		point := OffAxisPoint{Sizes: sizes, Runs: len(runs), NotModeled: s.notModeled(sizes)}
		point.Comparison = s.Model.Compare(Sample{Sizes: s.sizesOf(sizes), Value: sum / float64(len(runs))})
		s.OffAxisPoints = append(s.OffAxisPoints, point)
	}
}

// notModeled returns the names of dimensions for which the model has no slope and whose size differs from that held on every axis.
func (s *Series) notModeled(sizes result.Sizes) (names []string) {
	for _, d := range Dimensions {
		if slices.ContainsFunc(s.Dimensions, func(covered Dimension) bool { return covered.Name == d.Name }) {
			continue
		}
		held := func(axis Axis) bool { return d.Size(axis.Held) == d.Size(sizes) }
		if !slices.ContainsFunc(s.Axes, held) {
			names = append(names, d.Name)
		}
	}
	return names
}

// Predict returns the prediction along the axis of a dimension, with the other sizes as they were held, or false if there is no line.
func (s *Series) Predict(dimension string, size float64) (Prediction, bool) {
	for _, axis := range s.Axes {
		if axis.Dimension.Name == dimension && axis.LineErr == nil {
			return axis.Line.Predict(size), true
		}
	}
	return Prediction{}, false
}

// PredictAll returns the additive model's prediction at the given sizes, with the other sizes as they were held; it has no interval.
// It returns an *UnknownDimensionError for a dimension that the model does not cover.
func (s *Series) PredictAll(named map[string]float64) (Prediction, error) {
	if s.ModelErr != nil {
		return Prediction{}, fmt.Errorf("no additive model: %w", s.ModelErr)
	}
	sizes := s.corner()
	for d, dimension := range s.Dimensions {
		if size, ok := named[dimension.Name]; ok {
			sizes[d] = size
		}
	}
	for name := range named {
		if !slices.ContainsFunc(s.Dimensions, func(d Dimension) bool { return d.Name == name }) {
			return Prediction{}, &UnknownDimensionError{Name: name}
		}
	}
	p := Prediction{Value: s.Model.At(sizes), Factor: s.Model.Factor(sizes)}
	p.Extrapolated = p.Factor > MaxFactor
	return p, nil
}

// corner returns the point where the axes meet: along each dimension the size that is held on the other axes.
func (s *Series) corner() []float64 {
	sizes := slices.Clone(s.Model.Origin)
	for d, dimension := range s.Dimensions {
		for _, axis := range s.Axes {
			if axis.Dimension.Name != dimension.Name {
				sizes[d] = dimension.Size(axis.Held)
				break
			}
		}
	}
	return sizes
}
