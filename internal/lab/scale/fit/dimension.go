package fit

import (
	"fmt"
	"strings"

	"ravenpond/internal/lab/scale/result"
)

// Dimension is a size of a run that can be varied while the others are held.
type Dimension struct {
	Name string // as runs name it, and as it is named in a prediction
	size func(*result.Sizes) float64
	// clear sets the size to zero, so that the sizes that are held can be compared.
	clear func(*result.Sizes)
}

// Size is a run's size along the dimension.
func (d Dimension) Size(sizes result.Sizes) float64 { return d.size(&sizes) }

// Held are a run's other sizes.
func (d Dimension) Held(sizes result.Sizes) result.Sizes {
	d.clear(&sizes)
	return sizes
}

// Dimensions are all that a run has, in the order of the result file.
var Dimensions = []Dimension{
	counted("nodes", func(s *result.Sizes) *int { return &s.Nodes }),
	counted("schedulers", func(s *result.Sizes) *int { return &s.Schedulers }),
	counted("tasks", func(s *result.Sizes) *int { return &s.RunningTasks }),
	counted("teams", func(s *result.Sizes) *int { return &s.Teams }),
	counted("zones", func(s *result.Sizes) *int { return &s.Zones }),
	counted("regions", func(s *result.Sizes) *int { return &s.Regions }),
	rated("config-changes", func(s *result.Sizes) *float64 { return &s.ConfigChangesPerDay }),
	rated("starts", func(s *result.Sizes) *float64 { return &s.StartsPerSecond }),
}

func counted(name string, field func(*result.Sizes) *int) Dimension {
	return Dimension{
		Name:  name,
		size:  func(s *result.Sizes) float64 { return float64(*field(s)) },
		clear: func(s *result.Sizes) { *field(s) = 0 },
	}
}

func rated(name string, field func(*result.Sizes) *float64) Dimension {
	return Dimension{
		Name:  name,
		size:  func(s *result.Sizes) float64 { return *field(s) },
		clear: func(s *result.Sizes) { *field(s) = 0 },
	}
}

// UnknownDimensionError is of a name that no dimension has.
type UnknownDimensionError struct{ Name string }

func (e *UnknownDimensionError) Error() string {
	names := make([]string, 0, len(Dimensions))
	for _, d := range Dimensions {
		names = append(names, d.Name)
	}
	return fmt.Sprintf("dimension %q: one of %s is expected", e.Name, strings.Join(names, ", "))
}

// DimensionNamed is the dimension of a name. It returns an *UnknownDimensionError if there is none.
func DimensionNamed(name string) (Dimension, error) {
	for _, d := range Dimensions {
		if d.Name == name {
			return d, nil
		}
	}
	return Dimension{}, &UnknownDimensionError{Name: name}
}
