// Package field reads and writes the fields of messages that are laid out as protobuf has it, without types of their own.
package field

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is of bytes that are no fields.
var ErrMalformed = errors.New("can't be read")

// AppendString appends a text, Whole a whole number and Real a decimal one, unless they are empty or 0.
func AppendString(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func AppendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func AppendFloat(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), math.Float64bits(v))
}

// AppendBytes appends bytes, a message's among them, empty ones too.
func AppendBytes(b []byte, field protowire.Number, m []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), m)
}

// ForEach gives each field of a message: numbers of either kind in v, all else in x. Unknown ones are given too. What each says
// is no field of the message makes it bad.
func ForEach(b []byte, handle func(field protowire.Number, v uint64, x []byte) bool) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var v uint64
		var x []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			x, n = protowire.ConsumeBytes(b)
		default:
			return ErrMalformed
		}
		if n < 0 || !handle(field, v, x) {
			return ErrMalformed
		}
		b = b[n:]
	}
	return nil
}
