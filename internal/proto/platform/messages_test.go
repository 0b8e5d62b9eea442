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

// rawMessage builds a message with a false length or odd parameters.
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
		{"nothing", nil, 0, false},
		{"half a length", end[:1], 0, false},
		{"half a message", end[:8], 0, false},
		{"a message", end, len(end), false},
		{"a message and half of the next", append(append([]byte{}, end...), end[:5]...), len(end), false},
		{"no parameters", rawMessage(9, header(KindMove)...), 11, false},
		{"too short to name a task", rawMessage(8, header(KindMove)[:8]...), 0, true},
		{"no bytes", rawMessage(0), 0, true},
		{"longer than any", rawMessage(MaxMessage-1, header(KindMove)...), 0, true},
		{"the longest", append(rawMessage(MaxMessage-2, header(KindSetUp)...), append([]byte{9, byte((MaxMessage - 14) >> 8), byte((MaxMessage - 14) & 255)},
			make([]byte, MaxMessage-14)...)...), MaxMessage, false},
		{"a kind that nobody sends", rawMessage(9, header(77)...), 0, true},
		{"such a kind, and the rest is still to come", rawMessage(5000, 77), 0, true},
		{"half a parameter", rawMessage(11, append(header(KindEnd), ParamCause, 0)...), 0, true},
		{"a parameter longer than its message", rawMessage(13, append(header(KindEnd), ParamCause, 0, 9, 1)...), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			msg, size, err := Next(c.in)
			if size != c.took || errors.Is(err, ErrUnreadable) != c.bad || size > 0 && len(msg) != size-2 {
				t.Errorf("took %d of %d, %v; want %d, unreadable %v", size, len(c.in), err, c.took, c.bad)
			}
		})
	}
}

// TestAppend reads back what was appended, behind other bytes.
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
		{"test for a report", func(b []byte) []byte { return AppendTest(b, 7, true) }, KindTest, map[byte]string{ParamCause: "\x01"}},
		{"test failed", func(b []byte) []byte { return AppendTested(b, 7, false) }, KindTested, map[byte]string{ParamCause: "\x00"}},
		{"move", func(b []byte) []byte { return AppendMove(b, 7) }, KindMove, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := c.build([]byte("before"))
			msg, size, err := Next(b[6:])
			if err != nil || size != len(b)-6 || Kind(msg) != c.kind || Task(msg) != 7 {
				t.Fatalf("% x: took %d, %v", b, size, err)
			}
			for code := range 64 {
				got, ok := Param(msg, byte(code))
				if want, has := c.params[byte(code)]; ok != has || string(got) != want {
					t.Errorf("parameter %d: %q %v, want %q %v", code, got, ok, want, has)
				}
			}
		})
	}
	if b := AppendAnswer([]byte("before"), 7, make([]byte, MaxMessage)); string(b) != "before" {
		t.Errorf("a message that is too long was appended: %d bytes", len(b))
	}
}

// buildMessage builds a message with parameters.
func buildMessage(kind byte, params ...any) []byte {
	b := appendHeader(nil, kind, 7)
	for i := 0; i < len(params); i += 2 {
		b = appendParam(b, byte(params[i].(int)), []byte(params[i+1].(string)))
	}
	return setLength(b, 0)[2:]
}

func TestParam(t *testing.T) {
	if v, ok := Param(buildMessage(KindEnd, ParamCause, "a", ParamCause, "b"), ParamCause); ok {
		t.Errorf("one that is there twice: %q", v)
	}
	if _, ok := CauseOf(buildMessage(KindEnd, ParamCause, "ab")); ok {
		t.Error("a cause of two bytes")
	}
	for text, want := range map[string]bool{
		"1": true, "1.5e3": true, "-2": true, "": false, "NaN": false, "inf": false, "1e999": false,
		"0x10": false, "7 ": false, strings.Repeat("1", 33): false,
	} {
		if _, ok := Number(buildMessage(KindSetUp, ParamTimeLeft, text), ParamTimeLeft); ok != want {
			t.Errorf("number %q: %v", text, ok)
		}
	}
	for text, want := range map[string]bool{"0123456789abcDEF": true, "0123456789abcde": false, "0123456789abcdeg": false} {
		if _, ok := Hex(buildMessage(KindSetUp, ParamName, text), ParamName, 16); ok != want {
			t.Errorf("hex %q: %v", text, ok)
		}
	}
}

func TestParseDemand(t *testing.T) {
	const service = "service:00000000b4d65521"
	for _, c := range []struct{ text, want string }{
		{"cores:1;memory:2;" + service, "1 2 b4d65521 "},
		{"memory:0.5;again:1;cores:20;" + service + ";at:s-00c41f7a", "20 0.5 b4d65521 s-00c41f7a"},
		{"cores:1;memory:2", "missing"},
		{"", "missing"},
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
				t.Errorf("%q: %v, want %q", c.text, err, c.want)
			}
		} else if got != c.want {
			t.Errorf("%q: %q, want %q", c.text, got, c.want)
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
			t.Errorf("%q: %v, want %v", c.text, got, c.want)
		}
	}
	if got := ParseReport(buildMessage(KindEnd), fields, nil); got != nil {
		t.Errorf("no report: %v", got)
	}
}

// TestOutcomesOfCauses checks what the causes of a node's end prove: two prove that an attempt never ran, and those alone.
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
			t.Errorf("before, cause %d: %d, want %d", cause, got, want)
		}
		if got, want := VerdictOfRunning(byte(cause)), wantOutcome(wantRunning, cause); got != want {
			t.Errorf("after, cause %d: %d, want %d", cause, got, want)
		}
	}
	for i, w := range []string{"x", "no_cores", "no_memory", "queue_full", "not_here", "evicted", "pushed_out", "sent_away"} {
		if got := ReasonOf(buildMessage(KindEnd, ParamReason, w)); got != logic.Reason(i) {
			t.Errorf("%s: %d", w, got)
		}
	}
	for i, w := range []string{"x", "runs", "cores", "memory", "served", "pressure"} {
		kind, v, ok := ParseNote(buildMessage(KindNote, ParamReason, w, ParamValue, "0.5"))
		if ok != (i > 0) || ok && (kind != logic.TaskMetric(i) || v != 0.5) {
			t.Errorf("%s: %d %g %v", w, kind, v, ok)
		}
	}
	if _, _, ok := ParseNote(buildMessage(KindNote, ParamReason, "cores", ParamValue, "NaN")); ok {
		t.Error("a note without a number")
	}
}

// FuzzNext looks for messages that panic, or are read past their end.
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
			t.Fatal("not the message")
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
