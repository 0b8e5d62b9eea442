package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Objective is the service level that has to hold under a load.
type Objective struct {
	StartP99       time.Duration // of the start latency, counted from the request's scheduled time
	ServedFraction float64       // minimum fraction of the requests that are served
}

// IsMet reports whether figures meet the objective.
func (s Objective) IsMet(f *Figures) bool {
	all := f.Served + f.Other
	return all > 0 && float64(f.Served) >= s.ServedFraction*float64(all) && float64(f.Served) >= s.ServedFraction*float64(f.Requests) &&
		time.Duration(f.StartLatency.ValueAtQuantile(99))*time.Microsecond <= s.StartP99
}

// FindCapacity finds the highest load, in requests per second, under which an objective is met. It doubles the load from a first one as long as
// the objective is met, then bisects until the interval is at most the fraction precision of its lower end. A load that fails is tried once more,
// as the machine may have stalled for a moment. try runs a trial.
func FindCapacity(ctx context.Context, first, precision float64, s Objective, try func(rate float64) (*Figures, error), out io.Writer) (float64, error) {
	meets := func(rate float64) (bool, error) {
		for range 2 {
			f, err := try(rate)
			if err != nil {
				return false, err
			}
			PrintRow(out, rate, f)
			if s.IsMet(f) || ctx.Err() != nil {
				return ctx.Err() == nil, nil
			}
		}
		return false, nil
	}
	low, high := 0.0, first
	for {
		ok, err := meets(high)
		if err != nil {
			return low, err
		}
		if !ok {
			break
		}
		low, high = high, high*2
	}
	if low == 0 {
		return 0, fmt.Errorf("the objective is not met at the first rate of %.0f requests per second", first)
	}
	for high-low > precision*low && ctx.Err() == nil {
		mid := (low + high) / 2
		ok, err := meets(mid)
		if err != nil {
			return low, err
		}
		if ok {
			low = mid
		} else {
			high = mid
		}
	}
	return low, ctx.Err()
}
