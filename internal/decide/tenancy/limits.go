package tenancy

import (
	"fmt"
	"math"
	"regexp"
)

// Bounds of the limits of a tenant.
const (
	minShare = 1e-6
	maxShare = 1e6
	maxRate  = 1e6 // requests per second
	maxCount = 1e7
	maxBytes = 1e9 // bytes per second
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func isValidName(name string) bool { return namePattern.MatchString(name) }

// checkLimits returns an error if limits are out of bounds.
func checkLimits(l Limits) *ChangeError {
	isCount := func(n int) bool { return n >= 0 && n <= maxCount }
	switch {
	case !isBetween(l.Share, minShare, maxShare):
		return &ChangeError{"share", Invalid, "must be a number above 0"}
	case !isBetween(l.Rate, 0, maxRate):
		return &ChangeError{"rate", Invalid, fmt.Sprintf("must be 0 to %g requests per second", maxRate)}
	case !isBetween(l.Burst, 0, maxRate) || l.Rate > 0 && l.Burst < 1:
		return &ChangeError{"burst", Invalid, "must be 1 or more if a rate is set"}
	case !isCount(l.MaxOpen):
		return &ChangeError{"open", Invalid, fmt.Sprintf("must be 0 to %g", maxCount)}
	case !isCount(l.MaxWaiting):
		return &ChangeError{"wait", Invalid, fmt.Sprintf("must be 0 to %g", maxCount)}
	case !isCount(l.MaxConns):
		return &ChangeError{"conns", Invalid, fmt.Sprintf("must be 0 to %g", maxCount)}
	case !isBetween(l.BytesPerSecond, 0, maxBytes):
		return &ChangeError{"bytes", Invalid, fmt.Sprintf("must be 0 to %g bytes per second", maxBytes)}
	case l.Blocked:
		return &ChangeError{"stop", Invalid, "cannot be set as a limit; pause the tenant instead"}
	}
	return nil
}

// isBetween reports whether a value is a number between low and high, inclusive.
func isBetween(value, low, high float64) bool {
	return value >= low && value <= high && !math.IsNaN(value)
}
