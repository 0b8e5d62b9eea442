// Package line is the common ground of the project's line protocols: a message is a line of fields separated by single
// spaces; a connection opens with a greeting, an opening line with a header block after it.
//
// Reader reads messages from an io.Reader, Splitter from pieces of a stream; Fields takes the fields of a line one by one, and
// the Append functions write them. The package works on bytes alone: timeouts belong to the owner of the connection. No
// type is safe for concurrent use. Malformed input is returned as an error; the connection
// should then be closed.
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

// readAhead is how many bytes a Reader may read beyond a message.
const readAhead = 4096

// Errors of a stream.
var (
	// ErrTooLong is returned when a peer sends more than a message may hold without ending it.
	ErrTooLong      = errors.New("message too long")
	errEmptyField   = errors.New("empty field in a line")
	errTooFewFields = errors.New("too few fields")
)

// splitFields appends the fields of a line.
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

// isFieldByte tells whether a byte may stand in a field: printable ASCII but the space.
func isFieldByte(c byte) bool { return c >= 0x21 && c <= 0x7e }
