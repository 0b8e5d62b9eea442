// Package field encodes and decodes the fields of protobuf messages one by one, for codecs that do not use generated types. The functions
// keep no state and are safe for concurrent use.
package field

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed means that the input is not an encoded message, or that the handler rejected a field.
var ErrMalformed = errors.New("malformed message")

// AppendString appends a string field, unless it is empty.
func AppendString(b []byte, number protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), s)
}

// AppendUint appends an unsigned integer field, unless it is 0.
func AppendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}

// AppendFloat appends a double field, unless it is 0.
func AppendFloat(b []byte, number protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), math.Float64bits(v))
}

// AppendBytes appends a bytes field or an encoded message, even if it is empty.
func AppendBytes(b []byte, number protowire.Number, content []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), content)
}

// ForEach calls handle with each field of a message in order, unknown ones included. Integers and the bits of doubles are passed as value, all
// other types as content, which refers to b. ForEach returns ErrMalformed if the message is malformed or handle returns false.
func ForEach(b []byte, handle func(number protowire.Number, value uint64, content []byte) bool) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var value uint64
		var content []byte
		switch kind {
		case protowire.VarintType:
			value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			content, n = protowire.ConsumeBytes(b)
		default:
			return ErrMalformed
		}
		if n < 0 || !handle(number, value, content) {
			return ErrMalformed
		}
		b = b[n:]
	}
	return nil
}
