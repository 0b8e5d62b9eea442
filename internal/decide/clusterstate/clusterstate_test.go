package clusterstate

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	codec "ravenpond/internal/proto/book"
)

// hand writes commands as processes do.
type hand struct {
	t       interface{ Fatalf(string, ...any) }
	b       *State
	numbers map[string]uint64
	now     float64
}

func begin(t *testing.T, zones ...string) *hand {
	h := &hand{t: t, b: New(), numbers: map[string]uint64{}, now: 1e6}
	for _, z := range zones {
		h.act("p-"+z, 1, z)
	}
	return h
}

func (h *hand) apply(name string, life uint64, kind uint32, subject, zone string, epoch uint64, to ZoneState, shares ...share) Refusal {
	h.numbers[name]++
	c := codec.AppendCommand(nil, name, life, h.numbers[name], h.now, kind, subject, zone, "r", epoch, uint32(to), "for a test")
	for _, s := range shares {
		c = codec.AppendShare(c, s.way.From, s.way.To, s.part)
	}
	refused, err := h.b.Apply(h.b.Version()+1, c)
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	return refused
}

func (h *hand) act(name string, life uint64, zone string) Refusal {
	return h.apply(name, life, codec.Act, name, zone, 0, 0)
}

func (h *hand) verdict(by, zone string, to ZoneState) Refusal {
	return h.apply(by, 1, codec.Verdict, zone, "", h.b.Zone(zone).Version, to)
}

func (h *hand) want(what string, got, want Refusal) {
	if got != want {
		h.t.Fatalf("%s: %s, want %s", what, got, want)
	}
}

func TestProcesses(t *testing.T) {
	h := begin(t, "a", "b")
	p, _ := h.b.Process("p-a")
	if p.Epoch != 1 || p.Life != 1 || p.Zone != "a" {
		t.Errorf("%+v", p)
	}
	h.want("the same again", h.act("p-a", 1, "a"), Taken)
	if again, _ := h.b.Process("p-a"); again.Epoch != 1 {
		t.Errorf("an epoch for nothing: %+v", again)
	}
	h.want("a later life", h.act("p-a", 3, "a"), Taken)
	if p, _ = h.b.Process("p-a"); p.Epoch != 3 {
		t.Errorf("%+v", p)
	}
	h.want("out under an older epoch", h.apply("p-b", 1, codec.Out, "p-a", "", 1, 0), NotThere)
	h.want("out", h.apply("p-b", 1, codec.Out, "p-a", "", 3, 0), Taken)
	h.want("out twice", h.apply("p-b", 1, codec.Out, "p-a", "", 3, 0), NotThere)
	h.want("back", h.act("p-a", 4, "a"), Taken)
	if p, _ = h.b.Process("p-a"); p.Out || p.Epoch != 4 {
		t.Errorf("%+v", p)
	}
	version := h.b.Version()
	h.want("for another", h.apply("p-b", 1, codec.Act, "p-a", "z", 0, 0), NotThere)
	old := codec.AppendCommand(nil, "p-a", 3, 99, h.now, codec.Act, "p-a", "z", "", 0, 0, "")
	if _, err := h.b.Apply(version+2, old); err != nil {
		t.Fatal(err)
	}
	if p, _ = h.b.Process("p-a"); p.Zone != "a" || p.Life != 4 {
		t.Errorf("an older life has spoken: %+v", p)
	}
	if _, err := h.b.Apply(version, nil); err == nil {
		t.Error("an older version was applied")
	}
}

// TestAgain has a command come again: it has no effect, and says what it said.
func TestAgain(t *testing.T) {
	h := begin(t, "a", "b")
	c := codec.AppendCommand(nil, "p-a", 1, 50, h.now, codec.Verdict, "b", "", "", 0, uint32(Suspect), "x")
	for range 3 {
		before := h.b.Zone("b")
		refused, _ := h.b.Apply(h.b.Version()+1, c)
		if z := h.b.Zone("b"); refused != Taken || z.State != Suspect || before.Version != 0 && z != before {
			t.Errorf("%s: %+v", refused, z)
		}
	}
	if number, refused, ok := h.b.LastResult("p-a", 1); number != 50 || refused != Taken || !ok {
		t.Errorf("%d %s %v", number, refused, ok)
	}
}

func TestVerdicts(t *testing.T) {
	h := begin(t, "a", "b")
	h.want("closed at once", h.verdict("p-a", "b", Closed), NoWay)
	h.want("suspect", h.verdict("p-a", "b", Suspect), Taken)
	h.want("by one who saw it open", h.apply("p-a", 1, codec.Verdict, "b", "", 0, Suspect), Moved)
	h.want("closed", h.verdict("p-a", "b", Closed), Taken)
	h.want("suspect", h.verdict("p-b", "a", Suspect), Taken)
	h.want("the last one", h.verdict("p-b", "a", Closed), LastOne)
	h.want("before its rest is over", h.verdict("p-a", "b", Returning), Resting)
	h.now += restFirst
	h.want("returning", h.verdict("p-a", "b", Returning), Taken)
	h.want("open", h.verdict("p-a", "b", Open), Taken)
	h.want("a name of its own", h.verdict("p-a", "", Suspect), NoWay)
}

// TestComesAndGoes has a zone be lost and be back each 5 s for ten minutes, each time proposed at once: the rests that double
// bound the verdicts. Quiet for long, it is forgiven.
func TestComesAndGoes(t *testing.T) {
	h := begin(t, "a", "b")
	closings, from := 0, h.now
	for ; h.now < from+600e3; h.now += 250 {
		lost := int((h.now-from)/5000)%2 == 0
		switch z := h.b.Zone("b"); {
		case lost && (z.State == Open || z.State == Returning):
			if z.State == Open {
				h.verdict("p-a", "b", Suspect)
			}
			if h.verdict("p-a", "b", Closed) == Taken {
				closings++
			}
		case !lost && z.State == Closed:
			if h.verdict("p-a", "b", Returning) == Taken {
				h.verdict("p-a", "b", Open)
			}
		}
	}
	if closings < 4 || closings > 8 {
		t.Errorf("%d closings", closings)
	}
	h.now += restMost
	h.verdict("p-a", "b", Returning)
	h.verdict("p-a", "b", Open)
	for range 100 { // quiet, while the clock goes on
		h.now += forgiven / 10
		h.verdict("p-a", "a", []ZoneState{Suspect, Open}[h.b.Zone("a").State])
	}
	h.verdict("p-a", "b", Suspect)
	h.verdict("p-a", "b", Closed)
	if z := h.b.Zone("b"); z.Rest-h.b.Now() != restFirst {
		t.Errorf("not forgiven: rests %g ms, %+v", z.Rest-h.b.Now(), z)
	}
}

func TestPlan(t *testing.T) {
	h := begin(t, "a", "b", "c")
	plan := func(shares ...share) Refusal { return h.apply("p-a", 1, codec.Plan, "", "", 0, 0, shares...) }
	h.want("a plan", plan(share{Way{"a", "b"}, 400}, share{Way{"a", "c"}, 600}), Taken)
	h.want("of nothing", plan(share{Way{"a", "b"}, 0}), TooMuch)
	h.want("more than a zone has", plan(share{Way{"a", "b"}, codec.MostCores + 1}), Unreadable)
	h.want("to itself", plan(share{Way{"a", "a"}, 1}), TooMuch)
	h.want("twice", plan(share{Way{"a", "b"}, 1}, share{Way{"a", "b"}, 1}), TooMuch)
	if h.b.Share("a", "c") != 600 {
		t.Error("a refused plan has changed the one that stands")
	}
	h.verdict("p-b", "a", Suspect)
	h.verdict("p-b", "a", Open)
	if h.b.Share("a", "c") != 0 {
		t.Error("something still leaves a zone that is open")
	}
}

func TestRead(t *testing.T) {
	h := begin(t, "a", "b")
	h.verdict("p-a", "b", Suspect)
	h.apply("p-a", 1, codec.Plan, "", "", 0, 0, share{Way{"a", "b"}, 7})
	text := h.b.Snapshot()
	again, err := Read(text)
	if err != nil || !bytes.Equal(again.Snapshot(), text) {
		t.Errorf("%v", err)
	}
	for i := range text { // cut anywhere: refused, or a book that holds
		if b, err := Read(text[:i]); err == nil && b.Check() != nil {
			t.Errorf("cut at %d: a broken book", i)
		}
	}
	twice := codec.AppendProcess(codec.AppendHead(nil, 3, 0, 2, 0), "x", 1, 1, "a", "", false, 0, 0, 0)
	twice = codec.AppendProcess(twice, "y", 1, 1, "a", "", false, 0, 0, 0)
	if _, err := Read(twice); !errors.Is(err, ErrInvalid) {
		t.Errorf("two under one epoch: %v", err)
	}
	if _, err := Read([]byte{8, 99}); !errors.Is(err, codec.ErrNewer) {
		t.Errorf("a later form: %v", err)
	}
}

// TestRandom drives the book by random commands, some of them damaged: what must hold holds after each, epochs only grow, the
// same commands give the same bytes, and a snapshot in between changes nothing.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New(), New()
		names, zones := []string{"p", "q", "r"}, []string{"a", "b", "c"}
		last, now := uint64(0), 1e6
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Float64Range(-1000, 20000).Draw(t, "passes")
			kind := rapid.SampledFrom([]uint32{codec.Act, codec.Act, codec.Out, codec.Verdict, codec.Verdict, codec.Plan, 77}).Draw(t, "kind")
			name, subject := rapid.SampledFrom(names).Draw(t, "by"), rapid.SampledFrom(append(names, zones...)).Draw(t, "subject")
			epoch := rapid.Uint64Range(0, 9).Draw(t, "epoch")
			if kind == codec.Verdict && rapid.Bool().Draw(t, "seen") {
				epoch = one.Zone(subject).Version
			}
			if kind == codec.Act && rapid.Bool().Draw(t, "own") {
				subject = name
			}
			at := rapid.SampledFrom([]float64{now, now, now, 0, math.Inf(1), math.NaN(), 1e300}).Draw(t, "at")
			c := codec.AppendCommand(nil, name, rapid.Uint64Range(0, 4).Draw(t, "life"), rapid.Uint64Range(0, 30).Draw(t, "number"), at, kind,
				subject, rapid.SampledFrom(zones).Draw(t, "zone"), "r", epoch, rapid.Uint32Range(0, 5).Draw(t, "state"), "")
			for range rapid.IntRange(0, 3).Draw(t, "shares") {
				c = codec.AppendShare(c, rapid.SampledFrom(zones).Draw(t, "from"), rapid.SampledFrom(zones).Draw(t, "to"), rapid.Uint32Range(0, 900).Draw(t, "part"))
			}
			if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 && len(c) > 0 {
				c[rapid.IntRange(0, len(c)-1).Draw(t, "where")] ^= byte(rapid.IntRange(1, 255).Draw(t, "how"))
			}
			version := one.Version() + rapid.Uint64Range(1, 3).Draw(t, "step")
			r1, err := one.Apply(version, c)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				again, err := Read(two.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				two = again
			}
			if r2, _ := two.Apply(version, c); r1 != r2 || !bytes.Equal(one.Snapshot(), two.Snapshot()) {
				t.Fatalf("%s and %s; %x and %x", r1, r2, one.Snapshot(), two.Snapshot())
			}
			if err := one.Check(); err != nil {
				t.Fatal(err)
			}
			if one.epochs < last {
				t.Fatalf("%d epochs after %d", one.epochs, last)
			}
			last = one.epochs
		}
	})
}
