package fit

import (
	"fmt"
	"strings"

	"ravenpond/internal/lab/scale/result"
)

// Dimension is a size of a run that can be varied while the other sizes are held constant.
type Dimension struct {
	Name string // name in results and in predictions
	size func(*result.Sizes) float64
	// clear sets the size to zero, so that the other sizes can be compared.
	clear func(*result.Sizes)
}

// Size returns a run's size along the dimension.
func (d Dimension) Size(sizes result.Sizes) float64 { return d.size(&sizes) }

// Held returns a run's sizes along all other dimensions.
func (d Dimension) Held(sizes result.Sizes) result.Sizes {
	d.clear(&sizes)
	return sizes
}

// Dimensions lists all dimensions of a run, in the order of the result file.
var Dimensions = []Dimension{
	countDimension("nodes", func(s *result.Sizes) *int { return &s.Nodes }),
	countDimension("schedulers", func(s *result.Sizes) *int { return &s.Schedulers }),
	countDimension("tasks", func(s *result.Sizes) *int { return &s.RunningTasks }),
	countDimension("teams", func(s *result.Sizes) *int { return &s.Teams }),
	countDimension("zones", func(s *result.Sizes) *int { return &s.Zones }),
	countDimension("regions", func(s *result.Sizes) *int { return &s.Regions }),
	rateDimension("config-changes", func(s *result.Sizes) *float64 { return &s.ConfigChangesPerDay }),
	rateDimension("starts", func(s *result.Sizes) *float64 { return &s.StartsPerSecond }),
}

func countDimension(name string, field func(*result.Sizes) *int) Dimension {
	return Dimension{
		Name:  name,
		size:  func(s *result.Sizes) float64 { return float64(*field(s)) },
		clear: func(s *result.Sizes) { *field(s) = 0 },
	}
}

func rateDimension(name string, field func(*result.Sizes) *float64) Dimension {
	return Dimension{
		Name:  name,
		size:  func(s *result.Sizes) float64 { return *field(s) },
		clear: func(s *result.Sizes) { *field(s) = 0 },
	}
}

// UnknownDimensionError is the error for a name that no dimension has.
type UnknownDimensionError struct{ Name string }

func (e *UnknownDimensionError) Error() string {
	names := make([]string, 0, len(Dimensions))
	for _, d := range Dimensions {
		names = append(names, d.Name)
	}
	return fmt.Sprintf("unknown dimension %q, expected one of %s", e.Name, strings.Join(names, ", "))
}

// DimensionNamed returns the dimension with a name, or an *UnknownDimensionError if there is none.
func DimensionNamed(name string) (Dimension, error) {
	for _, d := range Dimensions {
		if d.Name == name {
			return d, nil
		}
	}
	return Dimension{}, &UnknownDimensionError{Name: name}
}
