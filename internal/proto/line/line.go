// Package line implements what the project's line protocols have in common: a message is a line of fields that are separated by single
// spaces; a connection opens with a greeting, which is an opening line followed by a header block.
//
// Reader reads messages from an io.Reader, and Splitter from a stream that arrives in pieces. Fields parses the fields of a line one by one,
// and the Append functions write them. The package only processes bytes: the owner of a connection sets its timeouts. No type is safe for
// concurrent use. Malformed input is returned as an error; the connection should then be closed.
package line

import (
	"errors"
	"fmt"
)

// Limits of one message.
const (
	MaxLine   = 1024 // bytes
	MaxHeader = 32   // lines of a header block
)

// readAhead is the maximum number of bytes that a Reader reads beyond a message.
const readAhead = 4096

// Errors of malformed input.
var (
	// ErrTooLong is returned for a message that is longer than the limits allow, complete or not.
	ErrTooLong      = errors.New("message too long")
	errEmptyField   = errors.New("empty field in a line")
	errTooFewFields = errors.New("too few fields")
)

// splitFields splits a line and appends its fields.
func splitFields(fields [][]byte, text []byte) ([][]byte, error) {
	for start := 0; start <= len(text); {
		end := start
		for end < len(text) && text[end] != ' ' {
			if c := text[end]; !isFieldByte(c) {
				return nil, fmt.Errorf("byte %#02x in a line", c)
			}
			end++
		}
		if end == start {
			return nil, errEmptyField
		}
		fields = append(fields, text[start:end])
		start = end + 1
	}
	return fields, nil
}

// isFieldByte returns whether a field may contain a byte: printable ASCII except the space.
func isFieldByte(c byte) bool { return c >= 0x21 && c <= 0x7e }
