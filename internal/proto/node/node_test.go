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

// heard writes every call down as one line, for both sides.
type heard struct{ lines []string }

func (h *heard) put(format string, args ...any) error {
	h.lines = append(h.lines, fmt.Sprintf(format, args...))
	return nil
}

func (h *heard) OnOffer(ticket uint64, try uint8, epoch uint32, sent, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64,
) error {
	return h.put("offer %x %d %d %g %g %d %d %x %x %g %g", ticket, try, epoch, sent, timeout, jobType, tenant, service, token, cores, memory)
}
func (h *heard) OnRecall(t uint64, n uint8) error { return h.put("recall %x %d", t, n) }
func (h *heard) OnStop(t uint64, n uint8) error   { return h.put("stop %x %d", t, n) }
func (h *heard) OnClaim(t uint64, n uint8) error  { return h.put("claim %x %d", t, n) }
func (h *heard) OnProbe(seq uint64) error         { return h.put("probe %d", seq) }
func (h *heard) OnPing(sent float64) error        { return h.put("ping %g", sent) }
func (h *heard) OnResync() error                  { return h.put("tell") }
func (h *heard) OnPong() error                    { return h.put("pong") }
func (h *heard) OnHeldAll() error                 { return h.put("held-all") }
func (h *heard) OnBye(why string) error           { return h.put("bye %s", why) }
func (h *heard) OnStarted(t uint64, n uint8, took float64) error {
	return h.put("started %x %d %g", t, n, took)
}

func (h *heard) OnOutcome(t uint64, n uint8, o, r int, report []float64) error {
	return h.put("settled %x %d %d %d %v", t, n, o, r, report)
}

func (h *heard) OnNote(t uint64, n uint8, k int, v float64) error {
	return h.put("noted %x %d %d %g", t, n, k, v)
}

func (h *heard) OnReport(seq uint64, report []float64) error {
	return h.put("reported %d %v", seq, report)
}

func (h *heard) OnClaimAnswer(t uint64, n uint8, c, r int) error {
	return h.put("claimed %x %d %d %d", t, n, c, r)
}

func (h *heard) OnHeld(t uint64, n uint8, state, job, tenant int, service, token uint64, cores, memory float64) error {
	return h.put("held %x %d %d %d %d %x %x %g %g", t, n, state, job, tenant, service, token, cores, memory)
}

// hear decodes a stream as one side does.
func hear(stream []byte, scheduler bool) ([]string, error) {
	h, in := &heard{}, line.NewReader(bytes.NewReader(stream))
	var buf [MaxReportValues]float64
	for {
		fields, err := in.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return h.lines, nil
		}
		if err == nil && scheduler {
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
		ticket, try := rapid.Uint64().Draw(t, "ticket"), rapid.Uint8().Draw(t, "try")
		num := func(what string) float64 { return float64(rapid.Int64Range(1, 1e9).Draw(t, what)) / 8 }
		small := func(what string) int { return rapid.IntRange(0, 65535).Draw(t, what) }
		a, c, d := num("a"), num("c"), num("d")
		job, tenant, epoch := small("job"), small("tenant"), rapid.Uint32().Draw(t, "epoch")
		service, token := rapid.Uint64().Draw(t, "service"), rapid.Uint64().Draw(t, "token")
		outcome, reason := small("o")%len(OutcomeNames), small("r")%len(ReasonNames)
		claim, note := small("cl")%len(ClaimNames), small("n")%len(NoteNames)
		want := &heard{}
		var b []byte
		b = AppendOffer(b, ticket, try, epoch, d, a, job, tenant, service, token, c, d)
		b = AppendBye(AppendPing(AppendProbe(AppendClaim(AppendStop(AppendRecall(b, ticket, try), ticket, try),
			ticket, try), token), c), "all is said")
		_ = want.OnOffer(ticket, try, epoch, d, a, job, tenant, service, token, c, d)
		_, _, _ = want.OnRecall(ticket, try), want.OnStop(ticket, try), want.OnClaim(ticket, try)
		_, _, _ = want.OnProbe(token), want.OnPing(c), want.OnBye("all-is-said")
		n := &heard{}
		x := AppendHeldAll(AppendHeld(nil, ticket, try, claim%2, job, tenant, service, token, c, d))
		x = AppendOutcome(AppendStarted(x, ticket, try, a), ticket, try, outcome, reason, []float64{c, -d})
		x = AppendPong(AppendClaimAnswer(AppendReport(AppendNote(x, ticket, try, note, d), token, []float64{a}), ticket, try, claim, reason))
		_ = n.OnHeld(ticket, try, claim%2, job, tenant, service, token, c, d)
		_, _ = n.OnHeldAll(), n.OnStarted(ticket, try, a)
		_ = n.OnOutcome(ticket, try, outcome, reason, []float64{c, -d})
		_, _ = n.OnNote(ticket, try, note, d), n.OnReport(token, []float64{a})
		_, _ = n.OnClaimAnswer(ticket, try, claim, reason), n.OnPong()
		for _, side := range []struct {
			stream []byte
			want   []string
			sched  bool
		}{{b, want.lines, false}, {x, n.lines, true}} {
			got, err := hear(side.stream, side.sched)
			if err != nil || strings.Join(got, "\n") != strings.Join(side.want, "\n") {
				t.Fatalf("%v\n%q\n%q", err, got, side.want)
			}
		}
	})
}

func TestBadInput(t *testing.T) {
	for _, c := range []struct{ name, in, fault string }{
		{"endless line", strings.Repeat("x", 1<<20), "too long"},
		{"long line", "BYE " + strings.Repeat("x", 2000) + "\n", "too long"},
		{"cut line", "RECALL 12", "unexpected EOF"},
		{"unknown word", "HELLO 1\n", "unknown word"},
		{"wrong number", "RECALL 1g 0\n", "bad ticket"},
		{"number too large", "RECALL 1 256\n", "bad try"},
		{"too few fields", "RECALL 1\n", "too few"},
		{"too many fields", "RECALL 1 2 3\n", "too many"},
		{"empty field", "RECALL  1\n", "empty field"},
		{"empty line", "\n", "empty field"},
		{"control byte", "RECALL 1\x00 1\n", "byte 0x00"},
		{"not a number", "OFFER 1 0 1 5 NaN 0 0 1 1 1 1\n", "bad timeout"},
		{"infinite", "OFFER 1 0 1 5 1 0 0 1 1 Inf 1\n", "bad cores"},
		{"no size", "OFFER 1 0 1 5 1 0 0 1 1 0 1\n", "impossible size"},
		{"negative time", "OFFER 1 0 1 5 -1 0 0 1 1 1 1\n", "impossible size"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := hear([]byte(c.in), false); err == nil || !strings.Contains(err.Error(), c.fault) {
				t.Errorf("error %v, want %q", err, c.fault)
			}
		})
	}
	if _, err := hear([]byte("SETTLED 1 0 ended - 1 2 3 4 5\n"), true); err == nil {
		t.Error("a report of five values passes")
	}
	t.Run("endless header", func(t *testing.T) {
		head := GreetingLine + "\r\n" + strings.Repeat("A: "+strings.Repeat("x", 500)+"\r\n", 1000)
		if _, err := line.NewReader(strings.NewReader(head)).Greeting(GreetingLine); err == nil {
			t.Error("passes")
		}
	})
	t.Run("other version", func(t *testing.T) {
		if _, err := line.NewReader(strings.NewReader("RAVENPOND-NODE 2\r\n\r\n")).Greeting(GreetingLine); err == nil {
			t.Error("passes")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("OFFER 1 0 1 5 0 0 1 1 1 1\nSETTLED 1 0 ended - 1 2\n"))
	f.Add([]byte("HELD 1 0 runs 0 0 1 1 1 1\nHELD-ALL\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, _ = hear(in, true)
		_, _ = hear(in, false)
	})
}

func BenchmarkOffer(b *testing.B) {
	h := &count{}
	var out []byte
	r := &loop{}
	in := line.NewReader(r)
	b.ReportAllocs()
	for b.Loop() {
		out = AppendOffer(out[:0], 1<<32|77, 1, 1, 5e9+0.125, 1200, 1, 2, 0xfeed, 0xbeef, 1.5, 2.5)
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

type loop struct{ b []byte }

func (l *loop) Read(p []byte) (int, error) {
	n := copy(p, l.b)
	l.b = l.b[n:]
	return n, nil
}

type count struct {
	heard
	n int
}

func (c *count) OnOffer(uint64, uint8, uint32, float64, float64, int, int, uint64, uint64, float64, float64) error {
	c.n++
	return nil
}
