package clusterstate

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	codec "ravenpond/internal/proto/clusterstate"
)

// proposer writes commands as processes do.
type proposer struct {
	t       interface{ Fatalf(string, ...any) }
	state   *State
	numbers map[string]uint64
	now     float64
}

func newProposer(t *testing.T, zones ...string) *proposer {
	h := &proposer{t: t, state: New(), numbers: map[string]uint64{}, now: 1e6}
	for _, z := range zones {
		h.activate("p-"+z, 1, z)
	}
	return h
}

func (h *proposer) apply(name string, incarnation uint64, change Change) Refusal {
	h.numbers[name]++
	c := Command{Proposer: name, Incarnation: incarnation, Number: h.numbers[name], ProposedAt: h.now, Change: change}
	refused, err := h.state.Apply(h.state.Version()+1, c.Append(nil))
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	return refused
}

func (h *proposer) activate(name string, incarnation uint64, zone string) Refusal {
	return h.apply(name, incarnation, Activate{name, zone, "r"})
}

func (h *proposer) setZoneState(by, zone string, to ZoneState) Refusal {
	return h.apply(by, 1, SetZoneState{zone, h.state.Zone(zone).Version, to, "for a test"})
}

func (h *proposer) expect(what string, got, want Refusal) {
	if got != want {
		h.t.Fatalf("%s: %s, want %s", what, got, want)
	}
}

func TestProcesses(t *testing.T) {
	h := newProposer(t, "a", "b")
	p, _ := h.state.Process("p-a")
	if p.Epoch != 1 || p.Incarnation != 1 || p.Zone != "a" {
		t.Errorf("%+v", p)
	}
	h.expect("the same again", h.activate("p-a", 1, "a"), Accepted)
	if again, _ := h.state.Process("p-a"); again.Epoch != 1 {
		t.Errorf("an epoch for nothing: %+v", again)
	}
	h.expect("a later life", h.activate("p-a", 3, "a"), Accepted)
	if p, _ = h.state.Process("p-a"); p.Epoch != 3 {
		t.Errorf("%+v", p)
	}
	h.expect("out under an older epoch", h.apply("p-b", 1, Deactivate{"p-a", 1}), UnknownProcess)
	h.expect("out", h.apply("p-b", 1, Deactivate{"p-a", 3}), Accepted)
	h.expect("out twice", h.apply("p-b", 1, Deactivate{"p-a", 3}), UnknownProcess)
	h.expect("back", h.activate("p-a", 4, "a"), Accepted)
	if p, _ = h.state.Process("p-a"); p.Inactive || p.Epoch != 4 {
		t.Errorf("%+v", p)
	}
	version := h.state.Version()
	h.expect("for another", h.apply("p-b", 1, Activate{"p-a", "z", "r"}), UnknownProcess)
	old := Command{Proposer: "p-a", Incarnation: 3, Number: 99, ProposedAt: h.now, Change: Activate{Process: "p-a", Zone: "z"}}
	if _, err := h.state.Apply(version+2, old.Append(nil)); err != nil {
		t.Fatal(err)
	}
	if p, _ = h.state.Process("p-a"); p.Zone != "a" || p.Incarnation != 4 {
		t.Errorf("an older life has spoken: %+v", p)
	}
	if _, err := h.state.Apply(version, nil); err == nil {
		t.Error("an older version was applied")
	}
}

// TestAgain has a command come again: it has no effect, and says what it said.
func TestAgain(t *testing.T) {
	h := newProposer(t, "a", "b")
	command := Command{Proposer: "p-a", Incarnation: 1, Number: 50, ProposedAt: h.now, Change: SetZoneState{"b", 0, Suspect, "x"}}
	c := command.Append(nil)
	for range 3 {
		before := h.state.Zone("b")
		refused, _ := h.state.Apply(h.state.Version()+1, c)
		if z := h.state.Zone("b"); refused != Accepted || z.State != Suspect || before.Version != 0 && z != before {
			t.Errorf("%s: %+v", refused, z)
		}
	}
	if number, refused, ok := h.state.LastResult("p-a", 1); number != 50 || refused != Accepted || !ok {
		t.Errorf("%d %s %v", number, refused, ok)
	}
}

func TestVerdicts(t *testing.T) {
	h := newProposer(t, "a", "b")
	h.expect("closed at once", h.setZoneState("p-a", "b", Closed), InvalidTransition)
	h.expect("suspect", h.setZoneState("p-a", "b", Suspect), Accepted)
	h.expect("by one who saw it open", h.apply("p-a", 1, SetZoneState{"b", 0, Suspect, "for a test"}), StaleZoneVersion)
	h.expect("closed", h.setZoneState("p-a", "b", Closed), Accepted)
	h.expect("suspect", h.setZoneState("p-b", "a", Suspect), Accepted)
	h.expect("the last one", h.setZoneState("p-b", "a", Closed), LastOpenZone)
	h.expect("before its rest is over", h.setZoneState("p-a", "b", Returning), HoldDown)
	h.now += minHoldDown
	h.expect("returning", h.setZoneState("p-a", "b", Returning), Accepted)
	h.expect("open", h.setZoneState("p-a", "b", Open), Accepted)
	h.expect("a name of its own", h.setZoneState("p-a", "", Suspect), InvalidTransition)
}

// TestComesAndGoes has a zone be lost and be back each 5 s for ten minutes, each time proposed at once: the rests that double
// bound the verdicts. Quiet for long, it is forgiven.
func TestComesAndGoes(t *testing.T) {
	h := newProposer(t, "a", "b")
	closings, from := 0, h.now
	for ; h.now < from+600e3; h.now += 250 {
		lost := int((h.now-from)/5000)%2 == 0
		switch z := h.state.Zone("b"); {
		case lost && (z.State == Open || z.State == Returning):
			if z.State == Open {
				h.setZoneState("p-a", "b", Suspect)
			}
			if h.setZoneState("p-a", "b", Closed) == Accepted {
				closings++
			}
		case !lost && z.State == Closed:
			if h.setZoneState("p-a", "b", Returning) == Accepted {
				h.setZoneState("p-a", "b", Open)
			}
		}
	}
	if closings < 4 || closings > 8 {
		t.Errorf("%d closings", closings)
	}
	h.now += maxHoldDown
	h.setZoneState("p-a", "b", Returning)
	h.setZoneState("p-a", "b", Open)
	for range 100 { // quiet, while the clock goes on
		h.now += closingDecay / 10
		h.setZoneState("p-a", "a", []ZoneState{Suspect, Open}[h.state.Zone("a").State])
	}
	h.setZoneState("p-a", "b", Suspect)
	h.setZoneState("p-a", "b", Closed)
	if z := h.state.Zone("b"); z.ClosedUntil-h.state.Now() != minHoldDown {
		t.Errorf("not forgiven: rests %g ms, %+v", z.ClosedUntil-h.state.Now(), z)
	}
}

func TestPlan(t *testing.T) {
	h := newProposer(t, "a", "b", "c")
	plan := func(shares ...Share) Refusal {
		return h.apply("p-a", 1, SetPlan{shares})
	}
	h.expect("a plan", plan(Share{"a", "b", 400}, Share{"a", "c", 600}), Accepted)
	h.expect("of nothing", plan(Share{"a", "b", 0}), InvalidShare)
	h.expect("more than a zone has", plan(Share{"a", "b", codec.MaxCores + 1}), Malformed)
	h.expect("to itself", plan(Share{"a", "a", 1}), InvalidShare)
	h.expect("twice", plan(Share{"a", "b", 1}, Share{"a", "b", 1}), InvalidShare)
	if h.state.Share("a", "c") != 600 {
		t.Error("a refused plan has changed the one that stands")
	}
	h.setZoneState("p-b", "a", Suspect)
	h.setZoneState("p-b", "a", Open)
	if h.state.Share("a", "c") != 0 {
		t.Error("something still leaves a zone that is open")
	}
}

func TestRead(t *testing.T) {
	h := newProposer(t, "a", "b")
	h.setZoneState("p-a", "b", Suspect)
	h.apply("p-a", 1, SetPlan{[]Share{{"a", "b", 7}}})
	text := h.state.Snapshot()
	again, err := Read(text)
	if err != nil || !bytes.Equal(again.Snapshot(), text) {
		t.Errorf("%v", err)
	}
	for i := range text { // cut anywhere: refused, or a book that holds
		if b, err := Read(text[:i]); err == nil && b.Check() != nil {
			t.Errorf("cut at %d: a broken book", i)
		}
	}
	twice := codec.AppendSnapshot(nil, &codec.Snapshot{Version: 3, LastEpoch: 2, Processes: []codec.Process{
		{Name: "x", Incarnation: 1, Epoch: 1, Zone: "a"}, {Name: "y", Incarnation: 1, Epoch: 1, Zone: "a"},
	}})
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
			kind := rapid.SampledFrom([]codec.CommandKind{codec.CommandActivate, codec.CommandActivate, codec.CommandDeactivate, codec.CommandSetZoneState, codec.CommandSetZoneState, codec.CommandSetPlan, 77}).Draw(t, "kind")
			name, subject := rapid.SampledFrom(names).Draw(t, "by"), rapid.SampledFrom(append(names, zones...)).Draw(t, "subject")
			epoch := rapid.Uint64Range(0, 9).Draw(t, "epoch")
			if kind == codec.CommandSetZoneState && rapid.Bool().Draw(t, "seen") {
				epoch = one.Zone(subject).Version
			}
			if kind == codec.CommandActivate && rapid.Bool().Draw(t, "own") {
				subject = name
			}
			at := rapid.SampledFrom([]float64{now, now, now, 0, math.Inf(1), math.NaN(), 1e300}).Draw(t, "at")
			command := codec.Command{
				Proposer: name, Incarnation: rapid.Uint64Range(0, 4).Draw(t, "life"), Number: rapid.Uint64Range(0, 30).Draw(t, "number"), ProposedAt: at,
				Kind: kind, Subject: subject, Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Region: "r", Epoch: epoch,
				State: rapid.Uint32Range(0, 5).Draw(t, "state"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "shares") {
				command.Shares = append(command.Shares, codec.Share{
					From: rapid.SampledFrom(zones).Draw(t, "from"), To: rapid.SampledFrom(zones).Draw(t, "to"), Cores: rapid.Uint32Range(0, 900).Draw(t, "part"),
				})
			}
			c := codec.AppendCommand(nil, &command)
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
			if one.lastEpoch < last {
				t.Fatalf("%d epochs after %d", one.lastEpoch, last)
			}
			last = one.lastEpoch
		}
	})
}
