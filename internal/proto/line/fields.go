package line

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Fields takes the fields of a line one by one and keeps the first error, so that a decoder reads like the grammar.
type Fields struct {
	remaining [][]byte
	err       error
}

// NewFields begins after the keyword of a line.
func NewFields(fields [][]byte) Fields { return Fields{remaining: fields[1:]} }

// Remaining is the number of fields that are not taken yet.
func (f *Fields) Remaining() int { return len(f.remaining) }

// End returns the first error. Fields that are left are one.
func (f *Fields) End() error {
	if f.err == nil && len(f.remaining) > 0 {
		return fmt.Errorf("%d fields too many", len(f.remaining))
	}
	return f.err
}

// next takes a field, nil if there is none.
func (f *Fields) next() []byte {
	if len(f.remaining) == 0 {
		if f.err == nil {
			f.err = errTooFewFields
		}
		return nil
	}
	field := f.remaining[0]
	f.remaining = f.remaining[1:]
	return field
}

// recordError keeps the first error. The field is copied here alone: a string that is made of it in the methods below stays on the
// stack, so that decoding allocates nothing.
func (f *Fields) recordError(name string, field []byte, malformed bool) {
	if malformed && f.err == nil {
		f.err = fmt.Errorf("bad %s %.24q", name, bytes.Clone(field))
	}
}

// Uint takes an unsigned decimal number of at most so many bits.
func (f *Fields) Uint(name string, bits int) uint64 {
	field := f.next()
	v, err := strconv.ParseUint(string(field), 10, bits)
	f.recordError(name, field, err != nil)
	return v
}

// Hex takes an unsigned hexadecimal number of at most 64 bits.
func (f *Fields) Hex(name string) uint64 {
	field := f.next()
	v, err := strconv.ParseUint(string(field), 16, 64)
	f.recordError(name, field, err != nil)
	return v
}

// Float takes a finite decimal number.
func (f *Fields) Float(name string) float64 {
	field := f.next()
	v, err := strconv.ParseFloat(string(field), 64)
	f.recordError(name, field, err != nil || math.IsNaN(v) || math.IsInf(v, 0))
	return v
}

// Keyword takes one of the keywords and returns its place.
func (f *Fields) Keyword(name string, keywords []string) int {
	field := f.next()
	index := slices.Index(keywords, string(field))
	f.recordError(name, field, index < 0)
	return max(0, index)
}

// Text takes a field as it is.
func (f *Fields) Text() string { return string(f.next()) }
