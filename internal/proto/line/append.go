package line

import (
	"math"
	"strconv"
)

const (
	maxExactInteger = 1e15 // absolute value below which a float64 that is an integer is written without decimals
	decimals        = 3    // enough for durations in ms and for shares
	maxText         = 200  // bytes of a text that EscapeText returns
)

// AppendGreeting appends a greeting: an opening line and header fields, which are given as names and values in turn.
func AppendGreeting(b []byte, opening string, fields ...string) []byte {
	b = append(append(b, opening...), "\r\n"...)
	for i := 0; i+1 < len(fields); i += 2 {
		b = append(b, fields[i]...)
		b = append(b, ": "...)
		b = append(b, fields[i+1]...)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// AppendNumber appends a space and a number: without decimals if it is an integer of an absolute value below 1e15, otherwise with three
// decimals.
func AppendNumber(b []byte, v float64) []byte {
	b = append(b, ' ')
	if v == math.Trunc(v) && math.Abs(v) < maxExactInteger {
		return strconv.AppendInt(b, int64(v), 10)
	}
	return strconv.AppendFloat(b, v, 'f', decimals, 64)
}

// AppendInt appends a space and an unsigned decimal number.
func AppendInt(b []byte, v uint64) []byte { return strconv.AppendUint(append(b, ' '), v, 10) }

// AppendHex appends a space and an unsigned hexadecimal number.
func AppendHex(b []byte, v uint64) []byte { return strconv.AppendUint(append(b, ' '), v, 16) }

// AppendText appends a space and a text that is a valid field, such as a keyword. EscapeText turns any text into a valid field.
func AppendText(b []byte, text string) []byte { return append(append(b, ' '), text...) }

// EscapeText turns any text into a valid field: the text is truncated to 200 bytes, spaces are replaced by dashes, and other bytes that a
// field must not contain by question marks. The empty text becomes a dash.
func EscapeText(text string) string {
	if text == "" {
		return "-"
	}
	b := []byte(text[:min(len(text), maxText)])
	for i, c := range b {
		switch {
		case c == ' ':
			b[i] = '-'
		case !isFieldByte(c):
			b[i] = '?'
		}
	}
	return string(b)
}
