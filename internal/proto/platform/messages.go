// Package platform is the codec of the protocol that the platform's clients, nodes and journal service speak, as described in
// docs/protocols/platform.md.
//
// A message has no type of its own: Next finds one in received bytes, Kind, Task, Param and the Parse functions read its fields, and the
// Append functions write one behind other bytes. Values that are returned point into the message and are valid as long as it is.
//
// Input is never trusted: no length is used before that many bytes have been received, and every violation is an error that wraps
// ErrUnreadable. The package holds no state, so all of it is safe for concurrent use.
package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxMessage is the size of the largest message in bytes, its length field included.
const MaxMessage = 16 << 10

// Sizes of the parts of a message in bytes.
const (
	lengthSize      = 2     // length of what follows it, big-endian
	headerSize      = 1 + 8 // kind and task
	paramHeaderSize = 1 + 2 // code and length of a parameter
)

// Kinds of messages.
const (
	KindSetUp    = 1  // a client requests a task, or a scheduler sends an attempt to a node
	KindProgress = 6  // ignored
	KindAnswer   = 9  // the task runs
	KindEnd      = 12 // a rejection, a failure, a cancellation or the end of a task, by its cause
	KindEndAck   = 16 // ignored
	KindNote     = 44 // a measurement of a task
	KindMove     = 51 // the client is to request the task anew
	KindTest     = 52 // a health check
	KindTested   = 53 // the answer to a health check
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
	ParamDescription = 33 // bytes that are passed on unchanged
)

// Causes of an end.
const (
	CauseNormal     = 16 // the task completed, or the request is cancelled
	CauseElsewhere  = 31 // stopped, as it runs or ends elsewhere
	CauseFull       = 34 // rejected by a node: it never ran
	CauseReset      = 41 // failed: it may have run
	CauseBusy       = 42 // shed: a retry does no harm
	CauseErrored    = 47 // failed, or the request is invalid
	CauseNotStarted = 102
)

// ErrUnreadable reports a message that violates the protocol. The connection on which it came can't be used any more.
var ErrUnreadable = errors.New("unreadable")

// Next finds the first message in b and returns it with its size in bytes, the length field included. The size is 0 while the message is
// incomplete. The error wraps ErrUnreadable.
func Next(b []byte) (msg []byte, size int, err error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	n := int(binary.BigEndian.Uint16(b))
	if n < headerSize || n+lengthSize > MaxMessage {
		return nil, 0, fmt.Errorf("%w: a message of %d bytes", ErrUnreadable, n)
	}
	if len(b) > lengthSize && !isKnownKind(b[lengthSize]) { // no need to wait for the rest
		return nil, 0, fmt.Errorf("%w: a message of kind %d", ErrUnreadable, b[lengthSize])
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

// checkParams checks that the parameters fill their part of the message exactly.
func checkParams(params []byte) error {
	for len(params) > 0 {
		if len(params) < paramHeaderSize {
			return fmt.Errorf("%w: half a parameter", ErrUnreadable)
		}
		size := paramSize(params)
		if len(params) < size {
			return fmt.Errorf("%w: parameter %d longer than its message", ErrUnreadable, params[0])
		}
		params = params[size:]
	}
	return nil
}

// paramSize returns the size of the first parameter, its header included.
func paramSize(params []byte) int { return paramHeaderSize + int(binary.BigEndian.Uint16(params[1:])) }

func isKnownKind(kind byte) bool {
	switch kind {
	case KindSetUp, KindProgress, KindAnswer, KindEnd, KindEndAck, KindNote, KindMove, KindTest, KindTested:
		return true
	}
	return false
}
