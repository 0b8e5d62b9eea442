package scale

import (
	"fmt"

	"ravenpond/internal/lab/scale/result"
)

// Base sizes, which are held constant while another size is varied.
const (
	baseNodes         = 500
	baseSchedulers    = 30
	baseTasks         = 67 // of a real process: its share of 2,000 tasks over 30 schedulers
	teams             = 72
	zones             = 14
	regions           = 6
	configChanges     = 0  // per day; a process reads its configuration only at its start
	sharingSchedulers = 30 // schedulers that share the running tasks of totalTasks
)

// Names of dimensions; OffAxis stands for runs that vary several sizes at once.
const (
	Nodes      = "nodes"
	Schedulers = "schedulers"
	Tasks      = "tasks"
	OffAxis    = "off-axis"
)

// Base returns the base sizes, at which the dimensions meet.
func Base() result.Sizes {
	return result.Sizes{
		Nodes: baseNodes, Schedulers: baseSchedulers, RunningTasks: baseTasks, Teams: teams, Zones: zones, Regions: regions,
		ConfigChangesPerDay: configChanges,
	}
}

// totalTasks lists the numbers of running tasks over all 30 schedulers.
var totalTasks = []int{2_000, 10_000, 50_000, 190_000}

// Points returns the points of a dimension, which vary one of the base sizes; for OffAxis it returns the two points at which the
// fitted model's predictions are checked.
func Points(dimension string) (points []result.Sizes, err error) {
	add := func(alter func(*result.Sizes)) {
		point := Base()
		alter(&point)
		points = append(points, point)
	}
	switch dimension {
	case Nodes:
		for _, n := range []int{500, 2_000, 6_000, 14_000} {
			add(func(s *result.Sizes) { s.Nodes = n })
		}
	case Schedulers:
		for _, n := range []int{30, 100, 300, 1_000} {
			add(func(s *result.Sizes) { s.Schedulers = n })
		}
	case Tasks:
		for _, n := range totalTasks {
			add(func(s *result.Sizes) { s.RunningTasks = n / sharingSchedulers })
		}
	case OffAxis:
		add(func(s *result.Sizes) { s.Nodes, s.Schedulers = 4_000, 200 })
		add(func(s *result.Sizes) { s.Nodes, s.Schedulers = 10_000, 60 })
	default:
		return nil, fmt.Errorf("unknown dimension %q, expected one of %s, %s, %s, %s", dimension, Nodes, Schedulers, Tasks, OffAxis)
	}
	return points, nil
}
