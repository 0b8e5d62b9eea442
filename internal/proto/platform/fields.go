package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"ravenpond/logic"
)

// Sizes of text values, in bytes; those that begin with max are limits.
const (
	maxNumberText  = 32
	maxNodeName    = 64
	serviceDigits  = 16 // number of hex digits of a service key
	maxQuotedInput = 40 // most of the input that an error quotes
)

// Kind returns the kind of a message that Next found.
func Kind(msg []byte) byte { return msg[0] }

// Task returns the task that a message names.
func Task(msg []byte) uint64 { return binary.BigEndian.Uint64(msg[1:]) }

// Param returns the value of a parameter. It reports false if the message lacks the parameter, or has it more than once, which would be
// ambiguous.
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

// CauseOf returns the cause that a message gives. It reports false if the message has no cause, or one that is not a single byte.
func CauseOf(msg []byte) (byte, bool) {
	if v, ok := Param(msg, ParamCause); ok && len(v) == 1 {
		return v[0], true
	}
	return 0, false
}

// HasDescription reports whether a message has a description that is not empty.
func HasDescription(msg []byte) bool {
	v, ok := Param(msg, ParamDescription)
	return ok && len(v) > 0
}

// Number returns the value of a parameter that holds a finite number as text. It reports false if there is no such value.
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

// Hex returns the value of a parameter, and whether it consists of the given number of hex digits.
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

// Demand describes the resources that a task needs and where it may already run.
type Demand struct {
	Cores, Memory float64
	Service       uint64
	RunsAt        string // name of the node on which the task already runs; empty for a new task
}

// demandFields is a set of fields of a demand.
type demandFields uint8

const (
	fieldCores demandFields = 1 << iota
	fieldMemory
	fieldService
	fieldRunsAt

	requiredFields = fieldCores | fieldMemory | fieldService
)

// ParseDemand parses the value of ParamDemand, which holds fields such as cores:1;memory:2;service:00000000b4d65521. The fields cores, memory
// and service are required. The field at gives the node on which the task already runs. Unknown fields are skipped. The error wraps
// ErrUnreadable.
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
		return Demand{}, fmt.Errorf("%w: demand lacks cores, memory or service", ErrUnreadable)
	}
	return d, nil
}

func demandError(field []byte) error {
	return fmt.Errorf("%w: invalid demand field %.*q", ErrUnreadable, maxQuotedInput, field)
}

// setField sets one field of a demand and returns it as a set, which is empty if the name is unknown. It reports false if the value is invalid.
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

// ParseReport appends the values of a load report to dst, in the order of fields. It appends nothing if a field is missing or invalid.
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

// reportValue returns the value of the first field with the given name.
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

// Names in the protocol, indexed by logic.Reason and logic.TaskMetric.
var (
	reasonNames = [...]string{"", "no_cores", "no_memory", "queue_full", "not_here", "evicted", "pushed_out", "sent_away"}
	noteNames   = [...]string{"", "runs", "cores", "memory", "served", "pressure"}
)

// ReasonOf returns the reason that an end message gives, or logic.ReasonUnknown if it gives no known one.
func ReasonOf(msg []byte) logic.Reason {
	v, _ := Param(msg, ParamReason)
	for i, w := range reasonNames {
		if string(v) == w {
			return logic.Reason(i)
		}
	}
	return logic.ReasonUnknown
}

// ParseNote returns the metric and the value of a note. It reports false if the kind of the note is unknown, or if the value is missing;
// only a note of logic.TaskRunning needs none.
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

// VerdictBeforeAnswer returns the outcome of an attempt that a node ended before it answered. Only two causes prove that the task never ran:
// CauseFull and CauseNotStarted.
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

// VerdictOfRunning returns the outcome of a running task whose end a node reports.
func VerdictOfRunning(cause byte) logic.Outcome {
	switch cause {
	case CauseNormal:
		return logic.Completed
	case CauseElsewhere:
		return logic.Cancelled
	}
	return logic.ConnectionLost
}
