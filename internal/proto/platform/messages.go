// Package platform encodes and decodes the messages of the protocol of the platform's clients, nodes and journal service, which
// docs/protocols/platform.md describes.
//
// There is no message type; a message is a byte slice. Next returns the first message in received bytes; Kind, Task, Param and the Parse
// functions read its fields; the Append functions append a message to a buffer. Byte slices that are returned refer to the message and are
// valid as long as it is.
//
// Input is not trusted: a length is used only once that many bytes have been received, and a violation of the format is returned as an error
// that wraps ErrUnreadable. The package holds no state, so its functions are safe for concurrent use.
package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxMessage is the maximum size of a message in bytes, its length field included.
const MaxMessage = 16 << 10

// Sizes of the parts of a message in bytes.
const (
	lengthSize      = 2     // length of the rest of the message, big-endian
	headerSize      = 1 + 8 // kind and task
	paramHeaderSize = 1 + 2 // code and length of a parameter
)

// Kinds of messages.
const (
	KindSetUp             = 1  // a client requests a task, or a scheduler sends an attempt to a node
	KindProgress          = 6  // ignored
	KindAnswer            = 9  // the task runs
	KindEnd               = 12 // a rejection, a failure, a cancellation or the end of a task, depending on its cause
	KindEndAck            = 16 // ignored
	KindNote              = 44 // a measurement of a task
	KindMove              = 51 // the client has to request the task again
	KindHealthCheck       = 52 // a health check
	KindHealthCheckResult = 53 // the result of a health check
)

// Codes of parameters.
const (
	ParamJobClass    = 3
	ParamTimeLeft    = 5 // ms until the client stops waiting
	ParamTenant      = 7
	ParamRepeat      = 9
	ParamName        = 11 // name of the task, 16 hex digits
	ParamDemand      = 13 // what the task needs, see ParseDemand
	ParamReason      = 17 // reason of an end, or kind of a note
	ParamReport      = 21 // load report, see ParseReport
	ParamValue       = 27 // value of a note
	ParamKey         = 29 // idempotency key, 32 hex digits
	ParamCause       = 31 // one byte
	ParamDescription = 33 // bytes that are forwarded unchanged
)

// Causes of an end.
const (
	CauseNormal     = 16  // the task completed, or the request is cancelled
	CauseElsewhere  = 31  // stopped, as the task runs or has ended elsewhere
	CauseFull       = 34  // rejected by a node: the task never ran
	CauseReset      = 41  // failed: the task may have run
	CauseBusy       = 42  // shed: a retry is safe
	CauseErrored    = 47  // failed, or the request is invalid
	CauseNotStarted = 102 // not started: the task never ran
)

// ErrUnreadable means that a message violates the protocol. The connection on which the message came can't be used any more.
var ErrUnreadable = errors.New("unreadable")

// Next returns the first message in b, without its length field, and the message's size in bytes, including that field. The size is 0 while
// the message is incomplete. The error wraps ErrUnreadable.
func Next(b []byte) (msg []byte, size int, err error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	n := int(binary.BigEndian.Uint16(b))
	if n < headerSize || n+lengthSize > MaxMessage {
		return nil, 0, fmt.Errorf("%w: message length of %d bytes is out of range", ErrUnreadable, n)
	}
	if len(b) > lengthSize && !isKnownKind(b[lengthSize]) { // no need to wait for the rest
		return nil, 0, fmt.Errorf("%w: unknown message kind %d", ErrUnreadable, b[lengthSize])
	}
	if len(b) < lengthSize+n {
		return nil, 0, nil
	}
	msg = b[lengthSize : lengthSize+n]
	if err := checkParams(msg[headerSize:]); err != nil {
		return nil, 0, err
	}
	return msg, lengthSize + n, nil
}

// checkParams checks that the parameters end exactly at the end of the message.
func checkParams(params []byte) error {
	for len(params) > 0 {
		if len(params) < paramHeaderSize {
			return fmt.Errorf("%w: truncated parameter header", ErrUnreadable)
		}
		size := paramSize(params)
		if len(params) < size {
			return fmt.Errorf("%w: parameter %d is longer than its message", ErrUnreadable, params[0])
		}
		params = params[size:]
	}
	return nil
}

// paramSize returns the size of the first parameter, its header included.
func paramSize(params []byte) int { return paramHeaderSize + int(binary.BigEndian.Uint16(params[1:])) }

func isKnownKind(kind byte) bool {
	switch kind {
	case KindSetUp, KindProgress, KindAnswer, KindEnd, KindEndAck, KindNote, KindMove, KindHealthCheck, KindHealthCheckResult:
		return true
	}
	return false
}
