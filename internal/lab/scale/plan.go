package scale

import (
	"fmt"

	"ravenpond/internal/lab/scale/result"
)

// Sizes that stay as they are while another is varied.
const (
	baseNodes      = 500
	baseSchedulers = 30
	baseTasks      = 67 // of a real process: its share of 30 of 2,000
	teams          = 72
	zones          = 14
	regions        = 6
	configChanges  = 0 // a day: a process reads its configuration at the start
	taskShare      = 30
)

// Dimensions.
const (
	Nodes      = "nodes"
	Schedulers = "schedulers"
	Tasks      = "tasks"
	OffAxis    = "off-axis"
)

// Base is the point at which the dimensions meet.
func Base() result.Sizes {
	return result.Sizes{
		Nodes: baseNodes, Schedulers: baseSchedulers, RunningTasks: baseTasks, Teams: teams, Zones: zones, Regions: regions,
		ConfigChangesPerDay: configChanges,
	}
}

// totalTasks are the running tasks over all 30 schedulers.
var totalTasks = []int{2_000, 10_000, 50_000, 190_000}

// Points gives the sizes of a dimension, one at a time from the base; off the axes the two that the fitted model has to
// foretell.
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
			add(func(s *result.Sizes) { s.RunningTasks = n / taskShare })
		}
	case OffAxis:
		add(func(s *result.Sizes) { s.Nodes, s.Schedulers = 4_000, 200 })
		add(func(s *result.Sizes) { s.Nodes, s.Schedulers = 10_000, 60 })
	default:
		return nil, fmt.Errorf("dimension %q: one of %s, %s, %s, %s is expected", dimension, Nodes, Schedulers, Tasks, OffAxis)
	}
	return points, nil
}
