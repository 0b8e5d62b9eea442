package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/proto/line"
)

// callRecorder records each call as a line of text. It implements the handlers of both sides.
type callRecorder struct{ lines []string }

func (h *callRecorder) record(format string, args ...any) error {
	h.lines = append(h.lines, fmt.Sprintf(format, args...))
	return nil
}

func (h *callRecorder) OnOffer(o Offer) error {
	t := o.Task
	return h.record("offer %x %d %d %g %g %d %d %x %x %g %g", o.Attempt.Ticket, o.Attempt.Number, o.Epoch, o.SentAt, o.Timeout,
		t.JobClass, t.Tenant, t.Service, t.Token, t.Cores, t.Memory)
}

func (h *callRecorder) OnRecall(a AttemptID) error {
	return h.record("recall %x %d", a.Ticket, a.Number)
}

func (h *callRecorder) OnStop(a AttemptID) error { return h.record("stop %x %d", a.Ticket, a.Number) }

func (h *callRecorder) OnClaim(a AttemptID) error { return h.record("claim %x %d", a.Ticket, a.Number) }
func (h *callRecorder) OnProbe(seq uint64) error  { return h.record("probe %d", seq) }
func (h *callRecorder) OnPing(sent float64) error { return h.record("ping %g", sent) }
func (h *callRecorder) OnResync() error           { return h.record("resync") }
func (h *callRecorder) OnPong() error             { return h.record("pong") }
func (h *callRecorder) OnHeldAll() error          { return h.record("held-all") }
func (h *callRecorder) OnBye(why string) error    { return h.record("bye %s", why) }
func (h *callRecorder) OnStarted(a AttemptID, took float64) error {
	return h.record("started %x %d %g", a.Ticket, a.Number, took)
}

func (h *callRecorder) OnOutcome(o Outcome) error {
	return h.record("settled %x %d %d %d %v", o.Attempt.Ticket, o.Attempt.Number, o.Result, o.Reason, o.Report)
}

func (h *callRecorder) OnNote(n Note) error {
	return h.record("noted %x %d %d %g", n.Attempt.Ticket, n.Attempt.Number, n.Kind, n.Value)
}

func (h *callRecorder) OnReport(seq uint64, report []float64) error {
	return h.record("reported %d %v", seq, report)
}

func (h *callRecorder) OnClaimAnswer(a ClaimAnswer) error {
	return h.record("claimed %x %d %d %d", a.Attempt.Ticket, a.Attempt.Number, a.Claim, a.Reason)
}

func (h *callRecorder) OnHeld(held HeldTask) error {
	t := held.Task
	return h.record("held %x %d %d %d %d %x %x %g %g", held.Attempt.Ticket, held.Attempt.Number, held.State,
		t.JobClass, t.Tenant, t.Service, t.Token, t.Cores, t.Memory)
}

// decodeAll decodes a stream as the scheduler or the node does, and returns the handler calls.
func decodeAll(stream []byte, atScheduler bool) ([]string, error) {
	h, reader := &callRecorder{}, line.NewReader(bytes.NewReader(stream))
	var buf [MaxReportValues]float64
	for {
		fields, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return h.lines, nil
		}
		if err == nil && atScheduler {
			err = DecodeNode(fields, h, buf[:])
		} else if err == nil {
			err = DecodeScheduler(fields, h)
		}
		if err != nil {
			return h.lines, err
		}
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := AttemptID{Ticket: rapid.Uint64().Draw(t, "ticket"), Number: rapid.Uint8().Draw(t, "try")}
		drawNumber := func(what string) float64 { return float64(rapid.Int64Range(1, 1e9).Draw(t, what)) / 8 }
		drawUint16 := func(what string) int { return rapid.IntRange(0, 65535).Draw(t, what) }
		first, second, third := drawNumber("first"), drawNumber("second"), drawNumber("third")
		job, tenant, epoch := drawUint16("job"), drawUint16("tenant"), rapid.Uint32().Draw(t, "epoch")
		service, token := rapid.Uint64().Draw(t, "service"), rapid.Uint64().Draw(t, "token")
		result, reason := drawUint16("outcome")%len(OutcomeNames), drawUint16("reason")%len(ReasonNames)
		claim, kind := drawUint16("claim")%len(ClaimNames), drawUint16("note")%len(NoteNames)
		task := Task{JobClass: job, Tenant: tenant, Service: service, Token: token, Cores: second, Memory: third}
		offer := Offer{Attempt: attempt, Epoch: epoch, SentAt: third, Timeout: first, Task: task}
		held := HeldTask{Attempt: attempt, State: claim % 2, Task: task}
		outcome := Outcome{Attempt: attempt, Result: result, Reason: reason, Report: []float64{second, -third}}
		note := Note{Attempt: attempt, Kind: kind, Value: third}
		answer := ClaimAnswer{Attempt: attempt, Claim: claim, Reason: reason}
		nodeCalls := &callRecorder{}
		toNode := AppendOffer(nil, offer)
		toNode = AppendClaim(AppendStop(AppendRecall(toNode, attempt), attempt), attempt)
		toNode = AppendBye(AppendPing(AppendProbe(toNode, token), second), "going away now")
		_ = nodeCalls.OnOffer(offer)
		_, _, _ = nodeCalls.OnRecall(attempt), nodeCalls.OnStop(attempt), nodeCalls.OnClaim(attempt)
		_, _, _ = nodeCalls.OnProbe(token), nodeCalls.OnPing(second), nodeCalls.OnBye("going-away-now")
		schedulerCalls := &callRecorder{}
		toScheduler := AppendHeldAll(AppendHeld(nil, held))
		toScheduler = AppendOutcome(AppendStarted(toScheduler, attempt, first), outcome)
		toScheduler = AppendPong(AppendClaimAnswer(AppendReport(AppendNote(toScheduler, note), token, []float64{first}), answer))
		_, _, _ = schedulerCalls.OnHeld(held), schedulerCalls.OnHeldAll(), schedulerCalls.OnStarted(attempt, first)
		_, _, _ = schedulerCalls.OnOutcome(outcome), schedulerCalls.OnNote(note), schedulerCalls.OnReport(token, []float64{first})
		_, _ = schedulerCalls.OnClaimAnswer(answer), schedulerCalls.OnPong()
		for _, side := range []struct {
			stream []byte
			want   []string
			sched  bool
		}{{toNode, nodeCalls.lines, false}, {toScheduler, schedulerCalls.lines, true}} {
			got, err := decodeAll(side.stream, side.sched)
			if err != nil || strings.Join(got, "\n") != strings.Join(side.want, "\n") {
				t.Fatalf("got error %v and calls\n%q, want calls\n%q", err, got, side.want)
			}
		}
	})
}

func TestBadInput(t *testing.T) {
	for _, c := range []struct{ name, in, fault string }{
		{"line without end", strings.Repeat("x", 1<<20), "too long"},
		{"long line", "BYE " + strings.Repeat("x", 2000) + "\n", "too long"},
		{"truncated line", "RECALL 12", "unexpected EOF"},
		{"unknown keyword", "HELLO 1\n", "unknown word"},
		{"malformed hexadecimal number", "RECALL 1g 0\n", "bad ticket"},
		{"number too large", "RECALL 1 256\n", "bad try"},
		{"too few fields", "RECALL 1\n", "too few"},
		{"too many fields", "RECALL 1 2 3\n", "too many"},
		{"empty field", "RECALL  1\n", "empty field"},
		{"empty line", "\n", "empty field"},
		{"control byte", "RECALL 1\x00 1\n", "byte 0x00"},
		{"timeout is NaN", "OFFER 1 0 1 5 NaN 0 0 1 1 1 1\n", "bad timeout"},
		{"infinite number of cores", "OFFER 1 0 1 5 1 0 0 1 1 Inf 1\n", "bad cores"},
		{"no cores", "OFFER 1 0 1 5 1 0 0 1 1 0 1\n", "impossible size"},
		{"negative timeout", "OFFER 1 0 1 5 -1 0 0 1 1 1 1\n", "impossible size"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodeAll([]byte(c.in), false); err == nil || !strings.Contains(err.Error(), c.fault) {
				t.Errorf("got error %v, want one that contains %q", err, c.fault)
			}
		})
	}
	if _, err := decodeAll([]byte("SETTLED 1 0 ended - 1 2 3 4 5\n"), true); err == nil {
		t.Error("a load report of five values is accepted, want an error")
	}
	t.Run("header without end", func(t *testing.T) {
		head := GreetingLine + "\r\n" + strings.Repeat("A: "+strings.Repeat("x", 500)+"\r\n", 1000)
		if _, err := line.NewReader(strings.NewReader(head)).Greeting(GreetingLine); err == nil {
			t.Error("the greeting is accepted, want an error")
		}
	})
	t.Run("greeting of another version", func(t *testing.T) {
		if _, err := line.NewReader(strings.NewReader("RAVENPOND-NODE 2\r\n\r\n")).Greeting(GreetingLine); err == nil {
			t.Error("the greeting is accepted, want an error")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("OFFER 1 0 1 5 0 0 1 1 1 1\nSETTLED 1 0 ended - 1 2\n"))
	f.Add([]byte("HELD 1 0 runs 0 0 1 1 1 1\nHELD-ALL\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, _ = decodeAll(in, true)
		_, _ = decodeAll(in, false)
	})
}

func BenchmarkOffer(b *testing.B) {
	h := &offerCounter{}
	offer := Offer{
		Attempt: AttemptID{Ticket: 1<<32 | 77, Number: 1}, Epoch: 1, SentAt: 5e9 + 0.125, Timeout: 1200,
		Task: Task{JobClass: 1, Tenant: 2, Service: 0xfeed, Token: 0xbeef, Cores: 1.5, Memory: 2.5},
	}
	var out []byte
	r := &staticReader{}
	in := line.NewReader(r)
	b.ReportAllocs()
	for b.Loop() {
		out = AppendOffer(out[:0], offer)
		r.b = out
		fields, err := in.Next()
		if err == nil {
			err = DecodeScheduler(fields, h)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

// staticReader returns the bytes that it holds.
type staticReader struct{ b []byte }

func (l *staticReader) Read(p []byte) (int, error) {
	n := copy(p, l.b)
	l.b = l.b[n:]
	return n, nil
}

// offerCounter counts offers.
type offerCounter struct {
	callRecorder
	n int
}

func (c *offerCounter) OnOffer(Offer) error {
	c.n++
	return nil
}
