package tenancy

import (
	"fmt"
	"math"
	"regexp"
)

// Bounds of limits.
const (
	minShare = 1e-6
	maxShare = 1e6
	maxRate  = 1e6 // requests per second
	maxCount = 1e7
	maxBytes = 1e9 // per second
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func isValidName(name string) bool { return namePattern.MatchString(name) }

// checkLimits returns what is wrong with limits, nil if nothing is.
func checkLimits(l Limits) *ChangeError {
	isCount := func(n int) bool { return n >= 0 && n <= maxCount }
	switch {
	case !isBetween(l.Share, minShare, maxShare):
		return &ChangeError{"share", Invalid, "a number above 0 is expected"}
	case !isBetween(l.Rate, 0, maxRate):
		return &ChangeError{"rate", Invalid, fmt.Sprintf("0 to %g asks a second are expected", maxRate)}
	case !isBetween(l.Burst, 0, maxRate) || l.Rate > 0 && l.Burst < 1:
		return &ChangeError{"burst", Invalid, "1 or more is expected where there is a rate"}
	case !isCount(l.MaxOpen):
		return &ChangeError{"open", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case !isCount(l.MaxWaiting):
		return &ChangeError{"wait", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case !isCount(l.MaxConns):
		return &ChangeError{"conns", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case !isBetween(l.BytesPerSecond, 0, maxBytes):
		return &ChangeError{"bytes", Invalid, fmt.Sprintf("0 to %g a second are expected", maxBytes)}
	case l.Blocked:
		return &ChangeError{"stop", Invalid, "is not a limit: pause the tenant"}
	}
	return nil
}

// isBetween reports whether a value is a number from low to high.
func isBetween(value, low, high float64) bool {
	return value >= low && value <= high && !math.IsNaN(value)
}
