package settings

import (
	"fmt"
	"slices"
)

// FieldError reports an invalid field of the settings.
type FieldError struct {
	Field   string // path of the field: its key, preceded by the keys and indexes of the objects that contain it
	Problem string
}

// Error returns the field and the problem in one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Bounds of numbers. A number beyond them can only be a mistake that would make every value derived from it wrong.
const (
	maxDurationNs = 31 * 24 * 3600e9 // one month of 31 days
	maxValue      = 1e9              // upper bound of a count or a size
	minPositive   = 1e-9             // lower bound of a size that must not be 0
)

// validator checks numbers and keeps the first error.
type validator struct{ err error }

// checkRange checks that a number is within bounds.
func (v *validator) checkRange(field string, value, low, high float64) {
	if v.err == nil && !(value >= low && value <= high) { // written so that NaN is out of range
		v.err = fieldErrorf(field, "%g is out of range, want %g to %g", value, low, high)
	}
}

// checkTime checks a time in ns. It may be 0 or absent, unless it is required.
func (v *validator) checkTime(field string, ns float64, required bool) {
	low := 0.0
	if required {
		low = 1
	}
	v.checkRange(field, ns, low, maxDurationNs)
}

// checkCount checks a count against a lower bound and maxValue.
func (v *validator) checkCount(field string, value, low float64) {
	v.checkRange(field, value, low, maxValue)
}

// checkPositive checks a size that must be greater than 0.
func (v *validator) checkPositive(field string, value float64) {
	v.checkRange(field, value, minPositive, maxValue)
}

// checkDistinct checks that no name is empty or a duplicate of another.
func checkDistinct(list string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return fieldErrorf(fmt.Sprintf("%s %d name", list, i), "%q is empty or a duplicate", name)
		}
	}
	return nil
}

// enumIndex returns the position of an enum value among the allowed values.
func enumIndex(field, value string, values []string) (int, error) {
	i := slices.Index(values, value)
	if i < 0 {
		return 0, fieldErrorf(field, "unknown value %q, expected one of %q", value, values)
	}
	return i, nil
}

// serviceField returns the path of a field of a service.
func serviceField(i int, name, field string) string {
	return fmt.Sprintf("services %d (%s) %s", i, name, field)
}
