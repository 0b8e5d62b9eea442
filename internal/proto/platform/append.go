package platform

import (
	"encoding/binary"
	"strconv"
)

// appendHeader appends the length field, as 0, and the header of a message. setLength sets the length once the message is complete.
func appendHeader(b []byte, kind byte, task uint64) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0, 0, kind), task)
}

func appendParam(b []byte, code byte, value []byte) []byte {
	return append(binary.BigEndian.AppendUint16(append(b, code), uint16(len(value))), value...)
}

// setLength sets the length field of the message that begins at start. A message longer than MaxMessage is dropped. None should be, as the
// parts of a message were received in messages within that limit.
func setLength(b []byte, start int) []byte {
	if len(b)-start > MaxMessage {
		return b[:start]
	}
	binary.BigEndian.PutUint16(b[start:], uint16(len(b)-start-lengthSize))
	return b
}

// SetUp is the request by which a scheduler places a task at a node.
type SetUp struct {
	Task        uint64
	JobClass    []byte
	Name        []byte
	Key         []byte // idempotency key, nil if the job class has none
	Description []byte
	TimeLeft    float64 // ms until the attempt times out; at least 1 is sent
}

// AppendSetUp appends a set-up message.
func AppendSetUp(b []byte, s *SetUp) []byte {
	start := len(b)
	b = appendParam(appendHeader(b, KindSetUp, s.Task), ParamJobClass, s.JobClass)
	b = appendParam(b, ParamTimeLeft, strconv.AppendInt(nil, int64(max(1, s.TimeLeft)), 10))
	b = appendParam(b, ParamName, s.Name)
	if s.Key != nil {
		b = appendParam(b, ParamKey, s.Key)
	}
	return setLength(appendParam(b, ParamDescription, s.Description), start)
}

// AppendAnswer appends the notice that a task runs, with the description that its node gave.
func AppendAnswer(b []byte, task uint64, description []byte) []byte {
	return setLength(appendParam(appendHeader(b, KindAnswer, task), ParamDescription, description), len(b))
}

// AppendEnd appends an end message. Its cause says whether it is a rejection, a failure, a cancellation or the end of a running task.
func AppendEnd(b []byte, task uint64, cause byte) []byte {
	return setLength(appendParam(appendHeader(b, KindEnd, task), ParamCause, []byte{cause}), len(b))
}

// AppendHealthCheck appends a health check, which may ask for a load report.
func AppendHealthCheck(b []byte, task uint64, wantReport bool) []byte {
	return appendFlag(b, KindHealthCheck, task, wantReport)
}

// AppendHealthCheckResult appends the result of a health check.
func AppendHealthCheckResult(b []byte, task uint64, passed bool) []byte {
	return appendFlag(b, KindHealthCheckResult, task, passed)
}

func appendFlag(b []byte, kind byte, task uint64, set bool) []byte {
	v := []byte{0}
	if set {
		v[0] = 1
	}
	return setLength(appendParam(appendHeader(b, kind, task), ParamCause, v), len(b))
}

// AppendMove appends the instruction that a client has to request a task again.
func AppendMove(b []byte, task uint64) []byte {
	return setLength(appendHeader(b, KindMove, task), len(b))
}
