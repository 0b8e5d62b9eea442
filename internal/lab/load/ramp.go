package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Objective is what a load must leave to be carried.
type Objective struct {
	StartP99       time.Duration // of starts, from when they were meant to be asked for
	ServedFraction float64       // part of the asks
}

// IsMet tells whether figures are of a load that is carried.
func (s Objective) IsMet(f *Figures) bool {
	all := f.Served + f.Other
	return all > 0 && float64(f.Served) >= s.ServedFraction*float64(all) && float64(f.Served) >= s.ServedFraction*float64(f.Requests) &&
		time.Duration(f.StartLatency.ValueAtQuantile(99))*time.Microsecond <= s.StartP99
}

// FindCapacity looks for the highest load, asks a second, that keeps a service: doubled from a first one as long as it does, then
// halved in until the next step is less than a part of it. One trial that fails is tried once more, as machines have
// hiccups. try runs a trial.
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
		return 0, fmt.Errorf("%.0f asks a second are too many already", first)
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
