package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"ravenpond/logic"
)

// Bounds of values that are text, in bytes.
const (
	maxNumberText  = 32
	maxNodeName    = 64
	serviceDigits  = 16 // hex digits of a service key
	maxQuotedInput = 40 // of input that an error quotes
)

// Kind returns the kind of a message that Next found.
func Kind(msg []byte) byte { return msg[0] }

// Task returns the task that a message names.
func Task(msg []byte) uint64 { return binary.BigEndian.Uint64(msg[1:]) }

// Param returns the value of a parameter. It reports false if the message has none, or has it twice, as nobody could tell which is meant.
func Param(msg []byte, code byte) (value []byte, ok bool) {
	for p := msg[headerSize:]; len(p) >= paramHeaderSize; {
		size := paramSize(p)
		if p[0] == code {
			if ok {
				return nil, false
			}
			value, ok = p[paramHeaderSize:size], true
		}
		p = p[size:]
	}
	return value, ok
}

// CauseOf returns the cause that a message gives. It reports false if there is none, or if it is not one byte.
func CauseOf(msg []byte) (byte, bool) {
	if v, ok := Param(msg, ParamCause); ok && len(v) == 1 {
		return v[0], true
	}
	return 0, false
}

// HasDescription reports whether a message carries a description that is not empty.
func HasDescription(msg []byte) bool {
	v, ok := Param(msg, ParamDescription)
	return ok && len(v) > 0
}

// Number returns a parameter that holds a finite number as text.
func Number(msg []byte, code byte) (float64, bool) {
	v, ok := Param(msg, code)
	if !ok {
		return 0, false
	}
	return parseNumber(v)
}

func parseNumber(v []byte) (float64, bool) {
	if len(v) == 0 || len(v) > maxNumberText {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}

// Hex returns a parameter and whether it consists of the given number of hex digits.
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

// Demand is what a task needs.
type Demand struct {
	Cores, Memory float64
	Service       uint64
	RunsAt        string // name of the node that runs the task already; empty for a new task
}

// demandFields is a set of the fields of a demand.
type demandFields uint8

const (
	fieldCores demandFields = 1 << iota
	fieldMemory
	fieldService
	fieldRunsAt

	requiredFields = fieldCores | fieldMemory | fieldService
)

// ParseDemand reads the parameter ParamDemand: fields such as cores:1;memory:2;service:00000000b4d65521. Cores, memory and service are
// required, at names the node of a running task, and unknown fields are skipped. The error wraps ErrUnreadable.
func ParseDemand(text []byte) (Demand, error) {
	var d Demand
	var seen demandFields
	for len(text) > 0 {
		var field []byte
		field, text, _ = bytes.Cut(text, []byte(";"))
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok {
			return Demand{}, demandError(field)
		}
		parsed, ok := d.setField(string(name), value)
		if !ok || seen&parsed != 0 {
			return Demand{}, demandError(field)
		}
		seen |= parsed
	}
	if seen&requiredFields != requiredFields {
		return Demand{}, fmt.Errorf("%w: cores, memory or service missing", ErrUnreadable)
	}
	return d, nil
}

func demandError(field []byte) error {
	return fmt.Errorf("%w: figure %.*q", ErrUnreadable, maxQuotedInput, field)
}

// setField sets one field of a demand and returns which, none if the name is unknown. It reports false if the value is invalid.
func (d *Demand) setField(name string, value []byte) (field demandFields, ok bool) {
	switch name {
	case "cores":
		d.Cores, ok = parseNumber(value)
		return fieldCores, ok && d.Cores > 0
	case "memory":
		d.Memory, ok = parseNumber(value)
		return fieldMemory, ok && d.Memory > 0
	case "service":
		if !isHex(value, serviceDigits) {
			return fieldService, false
		}
		d.Service, _ = strconv.ParseUint(string(value), 16, 64) // 16 hex digits always fit
		return fieldService, true
	case "at":
		d.RunsAt = string(value)
		return fieldRunsAt, len(value) > 0 && len(value) <= maxNodeName
	}
	return 0, true
}

// ParseReport appends the values of a load report to dst, in the order of the fields. It appends nothing if a field is missing.
func ParseReport(msg []byte, fields []string, dst []float64) []float64 {
	text, ok := Param(msg, ParamReport)
	if !ok {
		return dst
	}
	start := len(dst)
	for _, field := range fields {
		value, ok := reportValue(text, field)
		if !ok {
			return dst[:start]
		}
		dst = append(dst, value)
	}
	return dst
}

// reportValue returns the value of the first field with a name.
func reportValue(text []byte, name string) (float64, bool) {
	for len(text) > 0 {
		var field []byte
		field, text, _ = bytes.Cut(text, []byte(";"))
		if fieldName, value, _ := bytes.Cut(field, []byte(":")); string(fieldName) == name {
			return parseNumber(value)
		}
	}
	return 0, false
}

// Words of the protocol, indexed by the values of the logic package.
var (
	reasonNames = [...]string{"", "no_cores", "no_memory", "queue_full", "not_here", "evicted", "pushed_out", "sent_away"}
	noteNames   = [...]string{"", "runs", "cores", "memory", "served", "pressure"}
)

// ReasonOf returns the reason that an end gives, logic.ReasonUnknown if it gives none that is known.
func ReasonOf(msg []byte) logic.Reason {
	v, _ := Param(msg, ParamReason)
	for i, w := range reasonNames {
		if string(v) == w {
			return logic.Reason(i)
		}
	}
	return logic.ReasonUnknown
}

// ParseNote returns what a note measures and the value. It reports false if the note is of no known kind, or lacks the value.
func ParseNote(msg []byte) (metric logic.TaskMetric, value float64, ok bool) {
	v, _ := Param(msg, ParamReason)
	for i, w := range noteNames {
		if i > 0 && string(v) == w {
			value, ok = Number(msg, ParamValue)
			metric = logic.TaskMetric(i)
			return metric, value, ok || metric == logic.TaskRunning
		}
	}
	return 0, 0, false
}

// VerdictBeforeAnswer returns the outcome of an attempt that a node ended before it answered. Only two causes prove that it never ran.
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

// VerdictOfRunning returns the outcome of a running task that a node ended.
func VerdictOfRunning(cause byte) logic.Outcome {
	switch cause {
	case CauseNormal:
		return logic.Completed
	case CauseElsewhere:
		return logic.Cancelled
	}
	return logic.ConnectionLost
}
