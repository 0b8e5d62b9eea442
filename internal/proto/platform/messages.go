// Package platform is the protocol that the platform's owners, nodes and journal service speak, as
// docs/protocols/platform.md has it. It reads fields out of the bytes of a message and appends messages to bytes; a
// message has no type of its own. No length that a peer names is believed before so much has come.
package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"ravenpond/logic"
)

// MaxMessage is the size of the largest message, its length field included.
const MaxMessage = 16 << 10

const (
	lengthSize = 2
	headSize   = 1 + 8 // kind and task
	paramSize  = 1 + 2 // code and length of a parameter
)

// Kinds of messages.
const (
	KindSetUp    = 1
	KindProgress = 6
	KindAnswer   = 9
	KindEnd      = 12
	KindEndAck   = 16
	KindNote     = 44
	KindMove     = 51
	KindTest     = 52
	KindTested   = 53
)

// Codes of parameters.
const (
	ParamJobClass    = 3
	ParamTimeLeft    = 5
	ParamTenant      = 7
	ParamRepeat      = 9
	ParamName        = 11
	ParamDemand      = 13
	ParamReason      = 17
	ParamReport      = 21
	ParamValue       = 27
	ParamKey         = 29
	ParamCause       = 31
	ParamDescription = 33
)

// Causes of an end.
const (
	CauseNormal     = 16 // as it should, or given up
	CauseElsewhere  = 31
	CauseFull       = 34
	CauseReset      = 41
	CauseBusy       = 42
	CauseErrored    = 47
	CauseNotStarted = 102
)

// ErrUnreadable is what a message is that can't be read. The connection that it came on is of no further use.
var ErrUnreadable = errors.New("unreadable")

// Next finds the first message in b and how many bytes it takes with its length; 0 if it is not there in full.
func Next(b []byte) (msg []byte, size int, err error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	n := int(binary.BigEndian.Uint16(b))
	if n < headSize || n+lengthSize > MaxMessage {
		return nil, 0, fmt.Errorf("%w: a message of %d bytes", ErrUnreadable, n)
	}
	if len(b) < lengthSize+n {
		if len(b) > lengthSize && !isKnownKind(b[lengthSize]) { // no need to wait for the rest
			return nil, 0, fmt.Errorf("%w: a message of kind %d", ErrUnreadable, b[lengthSize])
		}
		return nil, 0, nil
	}
	msg = b[lengthSize : lengthSize+n]
	if !isKnownKind(msg[0]) {
		return nil, 0, fmt.Errorf("%w: a message of kind %d", ErrUnreadable, msg[0])
	}
	for p := msg[headSize:]; len(p) > 0; {
		if len(p) < paramSize {
			return nil, 0, fmt.Errorf("%w: half a parameter", ErrUnreadable)
		}
		size := paramSize + int(binary.BigEndian.Uint16(p[1:]))
		if len(p) < size {
			return nil, 0, fmt.Errorf("%w: parameter %d longer than its message", ErrUnreadable, p[0])
		}
		p = p[size:]
	}
	return msg, lengthSize + n, nil
}

func isKnownKind(kind byte) bool {
	switch kind {
	case KindSetUp, KindProgress, KindAnswer, KindEnd, KindEndAck, KindNote, KindMove, KindTest, KindTested:
		return true
	}
	return false
}

// Kind is the kind of a message that Next found.
func Kind(msg []byte) byte { return msg[0] }

// Task is the task that it names.
func Task(msg []byte) uint64 { return binary.BigEndian.Uint64(msg[1:]) }

// Param is the value of a parameter, which points into the message. One that is there twice is not there: nobody could
// tell which is meant.
func Param(msg []byte, code byte) (value []byte, ok bool) {
	for p := msg[headSize:]; len(p) >= paramSize; {
		size := paramSize + int(binary.BigEndian.Uint16(p[1:]))
		if p[0] == code {
			if ok {
				return nil, false
			}
			value, ok = p[paramSize:size], true
		}
		p = p[size:]
	}
	return value, ok
}

// CauseOf is the cause that a message gives; false if it gives none, or not one byte.
func CauseOf(msg []byte) (byte, bool) {
	if v, ok := Param(msg, ParamCause); ok && len(v) == 1 {
		return v[0], true
	}
	return 0, false
}

// HasDescription tells whether a message brings a description.
func HasDescription(msg []byte) bool {
	v, ok := Param(msg, ParamDescription)
	return ok && len(v) > 0
}

// Number is a parameter that holds a finite number as text.
func Number(msg []byte, code byte) (float64, bool) {
	v, ok := Param(msg, code)
	if !ok {
		return 0, false
	}
	return parseNumber(v)
}

func parseNumber(v []byte) (float64, bool) {
	if len(v) == 0 || len(v) > 32 {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}

// Hex is a parameter of just so many hex digits.
func Hex(msg []byte, code byte, digits int) ([]byte, bool) {
	v, ok := Param(msg, code)
	return v, ok && isHex(v, digits)
}

func isHex(v []byte, digits int) bool {
	if len(v) != digits {
		return false
	}
	for _, c := range v {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// ParseDemand reads what a set-up asks for. at names the node that holds the task already, if one does.
func ParseDemand(text []byte) (cores, memory float64, service uint64, at string, err error) {
	var has [3]bool
	for len(text) > 0 {
		var field []byte
		field, text, _ = bytes.Cut(text, []byte(";"))
		word, value, ok := bytes.Cut(field, []byte(":"))
		if !ok {
			return 0, 0, 0, "", fmt.Errorf("%w: figure %.40q", ErrUnreadable, field)
		}
		place := -1
		switch string(word) {
		case "cores":
			cores, ok = parseNumber(value)
			place, ok = 0, ok && cores > 0
		case "memory":
			memory, ok = parseNumber(value)
			place, ok = 1, ok && memory > 0
		case "service":
			if ok = isHex(value, 16); ok {
				service, err = strconv.ParseUint(string(value), 16, 64)
			}
			place = 2
		case "at":
			if at != "" || len(value) == 0 || len(value) > 64 {
				ok = false
			}
			at = string(value)
		}
		if !ok || err != nil || place >= 0 && has[place] {
			return 0, 0, 0, "", fmt.Errorf("%w: figure %.40q", ErrUnreadable, field)
		}
		if place >= 0 {
			has[place] = true
		}
	}
	if has != [3]bool{true, true, true} {
		return 0, 0, 0, "", fmt.Errorf("%w: cores, memory or service missing", ErrUnreadable)
	}
	return cores, memory, service, at, nil
}

// ParseReport reads a load report's values in the order of the fields, appended to into; nothing if one is missing.
func ParseReport(msg []byte, fields []string, into []float64) []float64 {
	text, ok := Param(msg, ParamReport)
	if !ok || len(fields) == 0 {
		return into
	}
	from := len(into)
	for _, f := range fields {
		found := false
		for rest := text; len(rest) > 0 && !found; {
			var field []byte
			field, rest, _ = bytes.Cut(rest, []byte(";"))
			if word, value, _ := bytes.Cut(field, []byte(":")); string(word) == f {
				var v float64
				if v, found = parseNumber(value); found {
					into = append(into, v)
				}
				break
			}
		}
		if !found {
			return into[:from]
		}
	}
	return into
}

// reasons and notes are the words of the module's, in its order.
var (
	reasonWords = [...]string{"", "no_cores", "no_memory", "queue_full", "not_here", "evicted", "pushed_out", "sent_away"}
	noteWords   = [...]string{"", "runs", "cores", "memory", "served", "pressure"}
)

// ReasonOf is the reason that an end gives.
func ReasonOf(msg []byte) logic.Reason {
	v, _ := Param(msg, ParamReason)
	for i, w := range reasonWords {
		if string(v) == w {
			return logic.Reason(i)
		}
	}
	return logic.ReasonUnknown
}

// ParseNote reads a note: its kind and figure; false if it is none that is known.
func ParseNote(msg []byte) (logic.TaskMetric, float64, bool) {
	v, _ := Param(msg, ParamReason)
	for i, w := range noteWords {
		if i > 0 && string(v) == w {
			f, ok := Number(msg, ParamValue)
			return logic.TaskMetric(i), f, ok || i == int(logic.TaskRunning)
		}
	}
	return 0, 0, false
}

// VerdictBeforeAnswer is what an end by a node tells about a try that it had not answered. Only two causes prove that it never ran.
func VerdictBeforeAnswer(cause byte) logic.Outcome {
	switch cause {
	case CauseFull:
		return logic.Rejected
	case CauseNotStarted:
		return logic.NotSent
	case CauseErrored:
		return logic.Errored
	}
	return logic.ConnectionLost
}

// VerdictOfRunning is what it tells about a task that stood.
func VerdictOfRunning(cause byte) logic.Outcome {
	switch cause {
	case CauseNormal:
		return logic.Completed
	case CauseElsewhere:
		return logic.Cancelled
	}
	return logic.ConnectionLost
}

// appendHead appends a message's head; close sets its length. A message that would be too long is left out: what its parts
// came in was no longer, so none should be.
func appendHead(b []byte, kind byte, task uint64) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0, 0, kind), task)
}

func appendParam(b []byte, code byte, value []byte) []byte {
	return append(binary.BigEndian.AppendUint16(append(b, code), uint16(len(value))), value...)
}

func setLength(b []byte, at int) []byte {
	if len(b)-at > MaxMessage {
		return b[:at]
	}
	binary.BigEndian.PutUint16(b[at:], uint16(len(b)-at-lengthSize))
	return b
}

// AppendSetUp appends an owner's set-up as a node wants it. No key is given where it has none.
func AppendSetUp(b []byte, task uint64, jobType, name, key, description []byte, left float64) []byte {
	at := len(b)
	b = appendParam(appendHead(b, KindSetUp, task), ParamJobClass, jobType)
	b = appendParam(b, ParamTimeLeft, strconv.AppendInt(nil, int64(max(1, left)), 10))
	b = appendParam(b, ParamName, name)
	if key != nil {
		b = appendParam(b, ParamKey, key)
	}
	return setLength(appendParam(b, ParamDescription, description), at)
}

// AppendAnswer appends that a task stands, with a node's description.
func AppendAnswer(b []byte, task uint64, description []byte) []byte {
	return setLength(appendParam(appendHead(b, KindAnswer, task), ParamDescription, description), len(b))
}

// AppendEnd appends an end: a refusal, a failure, a giving up or a release, by its cause.
func AppendEnd(b []byte, task uint64, cause byte) []byte {
	return setLength(appendParam(appendHead(b, KindEnd, task), ParamCause, []byte{cause}), len(b))
}

// AppendTest appends a test, which asks for a report if it is so wanted.
func AppendTest(b []byte, task uint64, report bool) []byte {
	return appendFlag(b, KindTest, task, report)
}

// AppendTested appends how a test went.
func AppendTested(b []byte, task uint64, passed bool) []byte {
	return appendFlag(b, KindTested, task, passed)
}

func appendFlag(b []byte, kind byte, task uint64, set bool) []byte {
	v := []byte{0}
	if set {
		v[0] = 1
	}
	return setLength(appendParam(appendHead(b, kind, task), ParamCause, v), len(b))
}

// AppendMove appends that a task is to be asked for again.
func AppendMove(b []byte, task uint64) []byte {
	return setLength(appendHead(b, KindMove, task), len(b))
}
