package settings

import (
	"fmt"
	"slices"
)

// FieldError says what is wrong with a field of the settings.
type FieldError struct {
	Field   string // its key, with the keys and indexes that lead to it
	Problem string
}

// Error returns the field and its problem in one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Bounds of figures. A figure beyond them is a mistake, and nothing that follows from it would be right.
const (
	maxDurationNs = 31 * 24 * 3600e9 // a month
	maxValue      = 1e9              // of a count or a size
	minPositive   = 1e-9             // of a size that must not be 0
)

// validator checks figures and keeps the first error.
type validator struct{ err error }

// checkRange checks that a figure is within bounds.
func (v *validator) checkRange(field string, value, low, high float64) {
	if v.err == nil && !(value >= low && value <= high) { // NaN is out of bounds
		v.err = fieldErrorf(field, "%g, from %g to %g is possible", value, low, high)
	}
}

// checkTime checks a time in ns. It may be absent, or 0, unless it is required.
func (v *validator) checkTime(field string, ns float64, required bool) {
	low := 0.0
	if required {
		low = 1
	}
	v.checkRange(field, ns, low, maxDurationNs)
}

// checkCount checks a count that has a lower bound.
func (v *validator) checkCount(field string, value, low float64) {
	v.checkRange(field, value, low, maxValue)
}

// checkPositive checks a size that must not be 0.
func (v *validator) checkPositive(field string, value float64) {
	v.checkRange(field, value, minPositive, maxValue)
}

// checkDistinct checks that names are neither empty nor used twice.
func checkDistinct(list string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return fieldErrorf(fmt.Sprintf("%s %d name", list, i), "%q is empty or another's", name)
		}
	}
	return nil
}

// enumIndex returns the position of a word of the settings among those that are possible.
func enumIndex(field, value string, values []string) (int, error) {
	i := slices.Index(values, value)
	if i < 0 {
		return 0, fieldErrorf(field, "unknown word %q, expected one of %q", value, values)
	}
	return i, nil
}

// serviceField names a field of a service.
func serviceField(i int, name, field string) string {
	return fmt.Sprintf("services %d (%s) %s", i, name, field)
}
