package line

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Fields parses the fields of a line one by one and keeps the first error, so that a decoder can check for errors once, after the last field.
type Fields struct {
	remaining [][]byte
	err       error
}

// NewFields returns the fields of a line that follow its keyword.
func NewFields(fields [][]byte) Fields { return Fields{remaining: fields[1:]} }

// Remaining returns the number of fields that have not been parsed yet.
func (f *Fields) Remaining() int { return len(f.remaining) }

// End returns the first error, or an error if fields remain.
func (f *Fields) End() error {
	if f.err == nil && len(f.remaining) > 0 {
		return fmt.Errorf("%d fields too many", len(f.remaining))
	}
	return f.err
}

// next returns the next field, or nil if there is none.
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

// recordError keeps the first error if the field is malformed. Only this function copies the field: the strings that the methods below
// convert it to stay on the stack, so that decoding a valid line does not allocate.
func (f *Fields) recordError(name string, field []byte, malformed bool) {
	if malformed && f.err == nil {
		f.err = fmt.Errorf("bad %s %.24q", name, bytes.Clone(field))
	}
}

// Uint parses the next field as an unsigned decimal number of at most the given number of bits.
func (f *Fields) Uint(name string, bits int) uint64 {
	field := f.next()
	v, err := strconv.ParseUint(string(field), 10, bits)
	f.recordError(name, field, err != nil)
	return v
}

// Hex parses the next field as an unsigned hexadecimal number of at most 64 bits.
func (f *Fields) Hex(name string) uint64 {
	field := f.next()
	v, err := strconv.ParseUint(string(field), 16, 64)
	f.recordError(name, field, err != nil)
	return v
}

// Float parses the next field as a finite decimal number.
func (f *Fields) Float(name string) float64 {
	field := f.next()
	v, err := strconv.ParseFloat(string(field), 64)
	f.recordError(name, field, err != nil || math.IsNaN(v) || math.IsInf(v, 0))
	return v
}

// Keyword parses the next field as one of the keywords and returns its index, or 0 if it is none of them.
func (f *Fields) Keyword(name string, keywords []string) int {
	field := f.next()
	index := slices.Index(keywords, string(field))
	f.recordError(name, field, index < 0)
	return max(0, index)
}

// Text returns the next field unchanged.
func (f *Fields) Text() string { return string(f.next()) }
