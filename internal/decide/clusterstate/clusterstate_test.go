package clusterstate

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	codec "ravenpond/internal/proto/clusterstate"
)

// proposer applies commands to a state, each with the next number of its process.
type proposer struct {
	t       *testing.T
	state   *State
	numbers map[string]uint64
	now     float64
}

// newProposer returns a proposer to a state with one active process in each zone.
func newProposer(t *testing.T, zones ...string) *proposer {
	t.Helper()
	p := &proposer{t: t, state: New(), numbers: map[string]uint64{}, now: 1e6}
	for _, z := range zones {
		p.activate("p-"+z, 1, z)
	}
	return p
}

func (p *proposer) apply(name string, incarnation uint64, change Change) Refusal {
	p.t.Helper()
	p.numbers[name]++
	c := Command{Proposer: name, Incarnation: incarnation, Number: p.numbers[name], ProposedAt: p.now, Change: change}
	refused, err := p.state.Apply(p.state.Version()+1, c.Append(nil))
	if err != nil {
		p.t.Fatalf("%v", err)
	}
	return refused
}

func (p *proposer) activate(name string, incarnation uint64, zone string) Refusal {
	p.t.Helper()
	return p.apply(name, incarnation, Activate{name, zone, "r"})
}

func (p *proposer) setZoneState(by, zone string, to ZoneState) Refusal {
	p.t.Helper()
	return p.apply(by, 1, SetZoneState{zone, p.state.Zone(zone).Version, to, "for a test"})
}

func (p *proposer) expect(what string, got, want Refusal) {
	p.t.Helper()
	if got != want {
		p.t.Fatalf("%s: %s, want %s", what, got, want)
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
		t.Errorf("a new epoch without need: %+v", again)
	}
	h.expect("a later incarnation", h.activate("p-a", 3, "a"), Accepted)
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
		t.Errorf("a command of an older incarnation has an effect: %+v", p)
	}
	if _, err := h.state.Apply(version, nil); err == nil {
		t.Error("an older version was applied")
	}
}

// TestRepeatedCommand applies a command repeatedly: it has no effect and the same result.
func TestRepeatedCommand(t *testing.T) {
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

func TestSetZoneState(t *testing.T) {
	h := newProposer(t, "a", "b")
	h.expect("closed at once", h.setZoneState("p-a", "b", Closed), InvalidTransition)
	h.expect("suspect", h.setZoneState("p-a", "b", Suspect), Accepted)
	h.expect("by a proposer that saw it open", h.apply("p-a", 1, SetZoneState{"b", 0, Suspect, "for a test"}), StaleZoneVersion)
	h.expect("closed", h.setZoneState("p-a", "b", Closed), Accepted)
	h.expect("suspect", h.setZoneState("p-b", "a", Suspect), Accepted)
	h.expect("the last one", h.setZoneState("p-b", "a", Closed), LastOpenZone)
	h.expect("before the hold-down is over", h.setZoneState("p-a", "b", Returning), HoldDown)
	h.now += minHoldDown
	h.expect("returning", h.setZoneState("p-a", "b", Returning), Accepted)
	h.expect("open", h.setZoneState("p-a", "b", Open), Accepted)
	h.expect("without a name", h.setZoneState("p-a", "", Suspect), InvalidTransition)
}

// TestFlappingZone has a zone be lost and be back each 5 s for ten minutes, each change proposed at once: the hold-down that doubles bounds
// the closings. After a long time without one it is as short as at first.
func TestFlappingZone(t *testing.T) {
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
	for range 100 { // no closing, while the clock goes on
		h.now += closingDecay / 10
		h.setZoneState("p-a", "a", []ZoneState{Suspect, Open}[h.state.Zone("a").State])
	}
	h.setZoneState("p-a", "b", Suspect)
	h.setZoneState("p-a", "b", Closed)
	if z := h.state.Zone("b"); z.ClosedUntil-h.state.Now() != minHoldDown {
		t.Errorf("the hold-down is still %g ms, %+v", z.ClosedUntil-h.state.Now(), z)
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
		t.Error("a refused plan has changed the present one")
	}
	h.setZoneState("p-b", "a", Suspect)
	h.setZoneState("p-b", "a", Open)
	if h.state.Share("a", "c") != 0 {
		t.Error("load still leaves a zone that is open")
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
	for i := range text { // cut off anywhere: refused, or a valid state
		if b, err := Read(text[:i]); err == nil && b.Check() != nil {
			t.Errorf("cut off at %d: an invalid state", i)
		}
	}
	twice := codec.AppendSnapshot(nil, &codec.Snapshot{Version: 3, LastEpoch: 2, Processes: []codec.Process{
		{Name: "x", Incarnation: 1, Epoch: 1, Zone: "a"}, {Name: "y", Incarnation: 1, Epoch: 1, Zone: "a"},
	}})
	if _, err := Read(twice); !errors.Is(err, ErrInvalid) {
		t.Errorf("two processes under one epoch: %v", err)
	}
	if _, err := Read([]byte{8, 99}); !errors.Is(err, codec.ErrNewer) {
		t.Errorf("a later format: %v", err)
	}
}

// draw draws an encoded command for a state; it may be malformed.
func draw(t *rapid.T, state *State, now float64) []byte {
	names, zones := []string{"p", "q", "r"}, []string{"a", "b", "c"}
	c := codec.Command{Region: "r"}
	c.Kind = rapid.SampledFrom([]codec.CommandKind{
		codec.CommandActivate, codec.CommandActivate, codec.CommandDeactivate, codec.CommandSetZoneState, codec.CommandSetZoneState, codec.CommandSetPlan,
		77, // unknown
	}).Draw(t, "kind")
	c.Proposer, c.Subject = rapid.SampledFrom(names).Draw(t, "by"), rapid.SampledFrom(append(names, zones...)).Draw(t, "subject")
	c.Epoch = rapid.Uint64Range(0, 9).Draw(t, "epoch")
	if c.Kind == codec.CommandSetZoneState && rapid.Bool().Draw(t, "seen") {
		c.Epoch = state.Zone(c.Subject).Version
	}
	if c.Kind == codec.CommandActivate && rapid.Bool().Draw(t, "own") {
		c.Subject = c.Proposer
	}
	c.ProposedAt = rapid.SampledFrom([]float64{now, now, now, 0, math.Inf(1), math.NaN(), 1e300}).Draw(t, "at")
	c.Incarnation, c.Number = rapid.Uint64Range(0, 4).Draw(t, "incarnation"), rapid.Uint64Range(0, 30).Draw(t, "number")
	c.Zone, c.State = rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Uint32Range(0, 5).Draw(t, "state")
	for range rapid.IntRange(0, 3).Draw(t, "shares") {
		c.Shares = append(c.Shares, codec.Share{
			From: rapid.SampledFrom(zones).Draw(t, "from"), To: rapid.SampledFrom(zones).Draw(t, "to"), Cores: rapid.Uint32Range(0, 900).Draw(t, "cores"),
		})
	}
	b := codec.AppendCommand(nil, &c)
	if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 && len(b) > 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "where")] ^= byte(rapid.IntRange(1, 255).Draw(t, "how"))
	}
	return b
}

// TestRandom applies random commands, some of them malformed: the invariants hold after each, epochs only grow, the same commands give the
// same bytes, and a snapshot in between changes nothing.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New(), New()
		last, now := uint64(0), 1e6
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Float64Range(-1000, 20000).Draw(t, "passes")
			command := draw(t, one, now)
			version := one.Version() + rapid.Uint64Range(1, 3).Draw(t, "step")
			r1, err := one.Apply(version, command)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				if two, err = Read(two.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if r2, _ := two.Apply(version, command); r1 != r2 || !bytes.Equal(one.Snapshot(), two.Snapshot()) {
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
