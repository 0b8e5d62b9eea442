package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// rawMessage builds a message with any length field and content, also invalid ones.
func rawMessage(length int, rest ...byte) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(length)), rest...)
}

func header(kind byte) []byte { return []byte{kind, 0, 0, 0, 0, 0, 0, 0, 7} }

func TestNext(t *testing.T) {
	end := AppendEnd(nil, 7, CauseFull)
	for _, c := range []struct {
		name string
		in   []byte
		took int
		bad  bool
	}{
		{"no input", nil, 0, false},
		{"truncated length field", end[:1], 0, false},
		{"incomplete message", end[:8], 0, false},
		{"one message", end, len(end), false},
		{"one message and a part of the next", append(append([]byte{}, end...), end[:5]...), len(end), false},
		{"no parameters", rawMessage(9, header(KindMove)...), 11, false},
		{"too short for a task", rawMessage(8, header(KindMove)[:8]...), 0, true},
		{"length of 0", rawMessage(0), 0, true},
		{"length above the limit", rawMessage(MaxMessage-1, header(KindMove)...), 0, true},
		{"longest message", append(rawMessage(MaxMessage-2, header(KindSetUp)...), append([]byte{9, byte((MaxMessage - 14) >> 8), byte((MaxMessage - 14) & 255)},
			make([]byte, MaxMessage-14)...)...), MaxMessage, false},
		{"unknown kind", rawMessage(9, header(77)...), 0, true},
		{"unknown kind of an incomplete message", rawMessage(5000, 77), 0, true},
		{"truncated parameter header", rawMessage(11, append(header(KindEnd), ParamCause, 0)...), 0, true},
		{"parameter longer than its message", rawMessage(13, append(header(KindEnd), ParamCause, 0, 9, 1)...), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			msg, size, err := Next(c.in)
			if size != c.took || errors.Is(err, ErrUnreadable) != c.bad || size > 0 && len(msg) != size-2 {
				t.Errorf("got size %d of %d bytes, error %v; want size %d, ErrUnreadable %v", size, len(c.in), err, c.took, c.bad)
			}
		})
	}
}

// TestAppend checks that Next returns the message that was appended after other bytes, with the same parameters.
func TestAppend(t *testing.T) {
	text := func(s string) []byte { return []byte(s) }
	for _, c := range []struct {
		name   string
		build  func(b []byte) []byte
		kind   byte
		params map[byte]string
	}{
		{"set-up", func(b []byte) []byte {
			return AppendSetUp(b, &SetUp{
				Task: 7, JobClass: text("batch"), Name: text("00ab"), Key: text("5c"), Description: text("d\r\n"), TimeLeft: 1499.7,
			})
		}, KindSetUp, map[byte]string{ParamJobClass: "batch", ParamTimeLeft: "1499", ParamName: "00ab", ParamKey: "5c", ParamDescription: "d\r\n"}},
		{
			"set-up without a key", func(b []byte) []byte {
				return AppendSetUp(b, &SetUp{Task: 7, JobClass: text("x"), Name: text("y"), Description: text("z"), TimeLeft: -3})
			},
			KindSetUp,
			map[byte]string{ParamJobClass: "x", ParamTimeLeft: "1", ParamName: "y", ParamDescription: "z"},
		},
		{"answer", func(b []byte) []byte { return AppendAnswer(b, 7, text("d")) }, KindAnswer, map[byte]string{ParamDescription: "d"}},
		{"end", func(b []byte) []byte { return AppendEnd(b, 7, CauseNotStarted) }, KindEnd, map[byte]string{ParamCause: "\x66"}},
		{"health check with a load report", func(b []byte) []byte { return AppendHealthCheck(b, 7, true) }, KindHealthCheck, map[byte]string{ParamCause: "\x01"}},
		{"failed health check", func(b []byte) []byte { return AppendHealthCheckResult(b, 7, false) }, KindHealthCheckResult, map[byte]string{ParamCause: "\x00"}},
		{"move", func(b []byte) []byte { return AppendMove(b, 7) }, KindMove, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := c.build([]byte("before"))
			msg, size, err := Next(b[6:])
			if err != nil || size != len(b)-6 || Kind(msg) != c.kind || Task(msg) != 7 {
				t.Fatalf("% x: got size %d, error %v, or another kind or task", b, size, err)
			}
			for code := range 64 {
				got, ok := Param(msg, byte(code))
				if want, has := c.params[byte(code)]; ok != has || string(got) != want {
					t.Errorf("parameter %d: got %q, present %v; want %q, present %v", code, got, ok, want, has)
				}
			}
		})
	}
	if b := AppendAnswer([]byte("before"), 7, make([]byte, MaxMessage)); string(b) != "before" {
		t.Errorf("got %d bytes after a message above the limit, want the 6 bytes before it", len(b))
	}
}

// buildMessage builds a message, without its length field, from pairs of a parameter's code and value.
func buildMessage(kind byte, params ...any) []byte {
	b := appendHeader(nil, kind, 7)
	for i := 0; i < len(params); i += 2 {
		b = appendParam(b, byte(params[i].(int)), []byte(params[i+1].(string)))
	}
	return setLength(b, 0)[2:]
}

func TestParam(t *testing.T) {
	if v, ok := Param(buildMessage(KindEnd, ParamCause, "a", ParamCause, "b"), ParamCause); ok {
		t.Errorf("parameter given twice: got %q, want none", v)
	}
	if _, ok := CauseOf(buildMessage(KindEnd, ParamCause, "ab")); ok {
		t.Error("a cause of two bytes is accepted, want none")
	}
	for text, want := range map[string]bool{
		"1": true, "1.5e3": true, "-2": true, "": false, "NaN": false, "inf": false, "1e999": false,
		"0x10": false, "7 ": false, strings.Repeat("1", 33): false,
	} {
		if _, ok := Number(buildMessage(KindSetUp, ParamTimeLeft, text), ParamTimeLeft); ok != want {
			t.Errorf("number %q: got accepted %v, want the opposite", text, ok)
		}
	}
	for text, want := range map[string]bool{"0123456789abcDEF": true, "0123456789abcde": false, "0123456789abcdeg": false} {
		if _, ok := Hex(buildMessage(KindSetUp, ParamName, text), ParamName, 16); ok != want {
			t.Errorf("hex digits %q: got accepted %v, want the opposite", text, ok)
		}
	}
}

func TestParseDemand(t *testing.T) {
	const service = "service:00000000b4d65521"
	for _, c := range []struct{ text, want string }{
		{"cores:1;memory:2;" + service, "1 2 b4d65521 "},
		{"memory:0.5;again:1;cores:20;" + service + ";at:s-00c41f7a", "20 0.5 b4d65521 s-00c41f7a"},
		{"cores:1;memory:2", "lacks"},
		{"", "lacks"},
		{"cores:1;cores:2;memory:2;" + service, "cores:2"},
		{"cores:-1;memory:2;" + service, "cores:-1"},
		{"cores:0;memory:2;" + service, "cores:0"},
		{"cores:NaN;memory:2;" + service, "cores:NaN"},
		{"cores:1;memory:1e400;" + service, "memory:1e400"},
		{"cores:1;memory:2;service:b4d65521", "service:b4d65521"},
		{"cores:1;memory:2;service:00000000b4d6552z", "service:"},
		{"cores;memory:2;" + service, `"cores"`},
		{"cores:1;memory:2;" + service + ";at:", "at:"},
		{"cores:1;memory:2;" + service + ";at:a;at:b", "at:b"},
	} {
		d, err := ParseDemand([]byte(c.text))
		got := fmt.Sprintf("%g %g %x %s", d.Cores, d.Memory, d.Service, d.RunsAt)
		if err != nil {
			if got = err.Error(); !errors.Is(err, ErrUnreadable) || !strings.Contains(got, c.want) {
				t.Errorf("%q: got error %v, want one that contains %q", c.text, err, c.want)
			}
		} else if got != c.want {
			t.Errorf("%q: got demand %q, want %q", c.text, got, c.want)
		}
	}
}

func TestParseReport(t *testing.T) {
	fields := []string{"x0", "x1"}
	for _, c := range []struct {
		text string
		want []float64
	}{
		{"x0:12;x1:40.5;queue:3", []float64{12, 40.5}},
		{"x1:-40;x0:1", []float64{1, -40}},
		{"x0:12", nil},
		{"x0:12;x1:", nil},
		{"x0:a;x1:1", nil},
		{"", nil},
	} {
		if got := ParseReport(buildMessage(KindEnd, ParamReport, c.text), fields, nil); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%q: got values %v, want %v", c.text, got, c.want)
		}
	}
	if got := ParseReport(buildMessage(KindEnd), fields, nil); got != nil {
		t.Errorf("no report: got values %v, want none", got)
	}
}

// TestOutcomesOfCauses checks the outcomes that follow from the causes of a node's end message: only two causes prove that an attempt never ran.
func TestOutcomesOfCauses(t *testing.T) {
	wantBefore := map[int]logic.Outcome{34: logic.Rejected, 102: logic.NotSent, 47: logic.Errored}
	wantRunning := map[int]logic.Outcome{16: logic.Completed, 31: logic.Cancelled}
	wantOutcome := func(of map[int]logic.Outcome, cause int) logic.Outcome {
		if want, ok := of[cause]; ok {
			return want
		}
		return logic.ConnectionLost
	}
	for cause := range 256 {
		if got, want := VerdictBeforeAnswer(byte(cause)), wantOutcome(wantBefore, cause); got != want {
			t.Errorf("cause %d before the answer: got outcome %d, want %d", cause, got, want)
		}
		if got, want := VerdictOfRunning(byte(cause)), wantOutcome(wantRunning, cause); got != want {
			t.Errorf("cause %d of a running task: got outcome %d, want %d", cause, got, want)
		}
	}
	for i, w := range []string{"x", "no_cores", "no_memory", "queue_full", "not_here", "evicted", "pushed_out", "sent_away"} {
		if got := ReasonOf(buildMessage(KindEnd, ParamReason, w)); got != logic.Reason(i) {
			t.Errorf("reason %s: got %d, want its index", w, got)
		}
	}
	for i, w := range []string{"x", "runs", "cores", "memory", "served", "pressure"} {
		kind, v, ok := ParseNote(buildMessage(KindNote, ParamReason, w, ParamValue, "0.5"))
		if ok != (i > 0) || ok && (kind != logic.TaskMetric(i) || v != 0.5) {
			t.Errorf("note %s: got metric %d, value %g, known %v", w, kind, v, ok)
		}
	}
	if _, _, ok := ParseNote(buildMessage(KindNote, ParamReason, "cores", ParamValue, "NaN")); ok {
		t.Error("a note whose value is NaN is accepted, want an error")
	}
}

// FuzzNext checks that no message causes a panic or is read beyond its end.
func FuzzNext(f *testing.F) {
	f.Add(AppendSetUp(nil, &SetUp{
		Task: 7, JobClass: []byte("batch"), Name: []byte("00ab"), Key: []byte("5c"), Description: []byte("d"), TimeLeft: 100,
	}))
	f.Add(AppendEnd(nil, 7, CauseFull))
	f.Add(rawMessage(11, append(header(KindEnd), ParamCause, 0)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, size, err := Next(b)
		if size == 0 || err != nil {
			return
		}
		if !bytes.Equal(msg, b[2:size]) {
			t.Fatal("the message that Next returned is not the part of the input after the length field")
		}
		for code := range 256 {
			Param(msg, byte(code))
		}
		text, _ := Param(msg, ParamDemand)
		_, _ = ParseDemand(text)
		CauseOf(msg)
		ParseNote(msg)
		ReasonOf(msg)
		ParseReport(msg, []string{"x0"}, nil)
		Task(msg)
	})
}
