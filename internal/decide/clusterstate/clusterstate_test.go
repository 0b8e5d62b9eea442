package clusterstate

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	codec "ravenpond/internal/proto/clusterstate"
)

// harness applies commands to a state, each with the next number of its proposer.
type harness struct {
	t       *testing.T
	state   *State
	numbers map[string]uint64
	now     float64 // ms
}

// newHarness returns a harness whose state has one active process, p-ZONE, in each zone.
func newHarness(t *testing.T, zones ...string) *harness {
	t.Helper()
	h := &harness{t: t, state: New(), numbers: map[string]uint64{}, now: 1e6}
	for _, z := range zones {
		h.activate("p-"+z, 1, z)
	}
	return h
}

func (h *harness) apply(proposer string, incarnation uint64, change Change) Refusal {
	h.t.Helper()
	h.numbers[proposer]++
	c := Command{Proposer: proposer, Incarnation: incarnation, Number: h.numbers[proposer], ProposedAt: h.now, Change: change}
	refusal, err := h.state.Apply(h.state.Version()+1, c.Append(nil))
	if err != nil {
		h.t.Fatalf("apply command: %v", err)
	}
	return refusal
}

func (h *harness) activate(process string, incarnation uint64, zone string) Refusal {
	h.t.Helper()
	return h.apply(process, incarnation, Activate{process, zone, "r"})
}

func (h *harness) setZoneState(proposer, zone string, to ZoneState) Refusal {
	h.t.Helper()
	return h.apply(proposer, 1, SetZoneState{zone, h.state.Zone(zone).Version, to, "for a test"})
}

func (h *harness) expect(command string, got, want Refusal) {
	h.t.Helper()
	if got != want {
		h.t.Fatalf("%s: got %s, want %s", command, got, want)
	}
}

func TestProcesses(t *testing.T) {
	h := newHarness(t, "a", "b")
	p, _ := h.state.Process("p-a")
	if p.Epoch != 1 || p.Incarnation != 1 || p.Zone != "a" {
		t.Errorf("after the first activation: %+v, want epoch 1, incarnation 1, zone a", p)
	}
	h.expect("repeated activation", h.activate("p-a", 1, "a"), Accepted)
	if repeated, _ := h.state.Process("p-a"); repeated.Epoch != 1 {
		t.Errorf("after a repeated activation: %+v, want epoch 1", repeated)
	}
	h.expect("activation of a later incarnation", h.activate("p-a", 3, "a"), Accepted)
	if p, _ = h.state.Process("p-a"); p.Epoch != 3 {
		t.Errorf("after the activation of a later incarnation: %+v, want epoch 3", p)
	}
	h.expect("deactivation with an older epoch", h.apply("p-b", 1, Deactivate{"p-a", 1}), UnknownProcess)
	h.expect("deactivation", h.apply("p-b", 1, Deactivate{"p-a", 3}), Accepted)
	h.expect("repeated deactivation", h.apply("p-b", 1, Deactivate{"p-a", 3}), UnknownProcess)
	h.expect("activation after deactivation", h.activate("p-a", 4, "a"), Accepted)
	if p, _ = h.state.Process("p-a"); p.Inactive || p.Epoch != 4 {
		t.Errorf("after deactivation and activation: %+v, want active with epoch 4", p)
	}
	version := h.state.Version()
	h.expect("activation of another process", h.apply("p-b", 1, Activate{"p-a", "z", "r"}), UnknownProcess)
	old := Command{Proposer: "p-a", Incarnation: 3, Number: 99, ProposedAt: h.now, Change: Activate{Process: "p-a", Zone: "z"}}
	if _, err := h.state.Apply(version+2, old.Append(nil)); err != nil {
		t.Fatal(err)
	}
	if p, _ = h.state.Process("p-a"); p.Zone != "a" || p.Incarnation != 4 {
		t.Errorf("after a command of an older incarnation: %+v, want zone a, incarnation 4", p)
	}
	if _, err := h.state.Apply(version, nil); err == nil {
		t.Error("got no error for a command with an older version")
	}
}

// TestRepeatedCommand applies a command repeatedly: the repetitions have no effect and return the result of the first time.
func TestRepeatedCommand(t *testing.T) {
	h := newHarness(t, "a", "b")
	command := Command{Proposer: "p-a", Incarnation: 1, Number: 50, ProposedAt: h.now, Change: SetZoneState{"b", 0, Suspect, "x"}}
	encoded := command.Append(nil)
	for range 3 {
		before := h.state.Zone("b")
		refusal, _ := h.state.Apply(h.state.Version()+1, encoded)
		if z := h.state.Zone("b"); refusal != Accepted || z.State != Suspect || before.Version != 0 && z != before {
			t.Errorf("got %s, zone %+v, want an accepted command and an unchanged suspect zone", refusal, z)
		}
	}
	if number, refusal, ok := h.state.LastResult("p-a", 1); number != 50 || refusal != Accepted || !ok {
		t.Errorf("got last result %d, %s, %v, want number 50, accepted", number, refusal, ok)
	}
}

func TestSetZoneState(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.expect("open to closed", h.setZoneState("p-a", "b", Closed), InvalidTransition)
	h.expect("open to suspect", h.setZoneState("p-a", "b", Suspect), Accepted)
	h.expect("by a proposer that saw the zone open", h.apply("p-a", 1, SetZoneState{"b", 0, Suspect, "for a test"}), StaleZoneVersion)
	h.expect("suspect to closed", h.setZoneState("p-a", "b", Closed), Accepted)
	h.expect("open to suspect, other zone", h.setZoneState("p-b", "a", Suspect), Accepted)
	h.expect("suspect to closed, last open zone", h.setZoneState("p-b", "a", Closed), LastOpenZone)
	h.expect("closed to returning during the hold-down", h.setZoneState("p-a", "b", Returning), HoldDown)
	h.now += minHoldDown
	h.expect("closed to returning after the hold-down", h.setZoneState("p-a", "b", Returning), Accepted)
	h.expect("returning to open", h.setZoneState("p-a", "b", Open), Accepted)
	h.expect("a zone without a name", h.setZoneState("p-a", "", Suspect), InvalidTransition)
}

// TestFlappingZone simulates a zone that is lost and recovers alternately every 5 s for ten minutes, each change being proposed at once: the
// doubling hold-down limits the number of closings. After a long time without a closing, the hold-down is as short as at first.
func TestFlappingZone(t *testing.T) {
	h := newHarness(t, "a", "b")
	closings, start := 0, h.now
	for ; h.now < start+600e3; h.now += 250 {
		lost := int((h.now-start)/5000)%2 == 0
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
		t.Errorf("got %d closings, want 4 to 8", closings)
	}
	h.now += maxHoldDown
	h.setZoneState("p-a", "b", Returning)
	h.setZoneState("p-a", "b", Open)
	for range 100 { // time passes without a closing of zone b; commands about zone a advance the state's clock
		h.now += closingDecay / 10
		h.setZoneState("p-a", "a", []ZoneState{Suspect, Open}[h.state.Zone("a").State])
	}
	h.setZoneState("p-a", "b", Suspect)
	h.setZoneState("p-a", "b", Closed)
	if z := h.state.Zone("b"); z.ClosedUntil-h.state.Now() != minHoldDown {
		t.Errorf("got a hold-down of %g ms, want minHoldDown; zone %+v", z.ClosedUntil-h.state.Now(), z)
	}
}

func TestPlan(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	plan := func(shares ...Share) Refusal {
		return h.apply("p-a", 1, SetPlan{shares})
	}
	h.expect("a valid plan", plan(Share{"a", "b", 400}, Share{"a", "c", 600}), Accepted)
	h.expect("a share of no cores", plan(Share{"a", "b", 0}), InvalidShare)
	h.expect("a share of more than MaxCores", plan(Share{"a", "b", codec.MaxCores + 1}), Malformed)
	h.expect("a share from a zone to itself", plan(Share{"a", "a", 1}), InvalidShare)
	h.expect("two shares of one route", plan(Share{"a", "b", 1}, Share{"a", "b", 1}), InvalidShare)
	if h.state.Share("a", "c") != 600 {
		t.Error("a refused plan has changed the current one")
	}
	h.setZoneState("p-b", "a", Suspect)
	h.setZoneState("p-b", "a", Open)
	if h.state.Share("a", "c") != 0 {
		t.Error("the plan still has a share from zone a, which is open again")
	}
}

func TestRead(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.setZoneState("p-a", "b", Suspect)
	h.apply("p-a", 1, SetPlan{[]Share{{"a", "b", 7}}})
	snapshot := h.state.Snapshot()
	decoded, err := ReadSnapshot(snapshot)
	if err != nil || !bytes.Equal(decoded.Snapshot(), snapshot) {
		t.Errorf("decoded and encoded again: error %v, or other bytes", err)
	}
	for i := range snapshot { // a truncated snapshot is either rejected or a valid state
		if state, err := ReadSnapshot(snapshot[:i]); err == nil && state.Check() != nil {
			t.Errorf("truncated to %d bytes: got an invalid state and no error", i)
		}
	}
	duplicateEpoch := codec.AppendSnapshot(nil, &codec.Snapshot{Version: 3, LastEpoch: 2, Processes: []codec.Process{
		{Name: "x", Incarnation: 1, Epoch: 1, Zone: "a"}, {Name: "y", Incarnation: 1, Epoch: 1, Zone: "a"},
	}})
	if _, err := ReadSnapshot(duplicateEpoch); !errors.Is(err, ErrInvalid) {
		t.Errorf("two processes with the same epoch: got error %v, want ErrInvalid", err)
	}
	if _, err := ReadSnapshot([]byte{8, 99}); !errors.Is(err, codec.ErrNewer) {
		t.Errorf("a later format: got error %v, want ErrNewer", err)
	}
}

// draw draws an encoded command for a state. The command may be malformed.
func draw(t *rapid.T, state *State, now float64) []byte {
	names, zones := []string{"p", "q", "r"}, []string{"a", "b", "c"}
	c := codec.Command{Region: "r"}
	c.Kind = rapid.SampledFrom([]codec.CommandKind{
		codec.CommandActivate, codec.CommandActivate, codec.CommandDeactivate, codec.CommandSetZoneState, codec.CommandSetZoneState, codec.CommandSetPlan,
		77, // unknown
	}).Draw(t, "kind")
	c.Proposer, c.Subject = rapid.SampledFrom(names).Draw(t, "proposer"), rapid.SampledFrom(append(names, zones...)).Draw(t, "subject")
	c.Epoch = rapid.Uint64Range(0, 9).Draw(t, "epoch")
	if c.Kind == codec.CommandSetZoneState && rapid.Bool().Draw(t, "current version") {
		c.Epoch = state.Zone(c.Subject).Version
	}
	if c.Kind == codec.CommandActivate && rapid.Bool().Draw(t, "own process") {
		c.Subject = c.Proposer
	}
	c.ProposedAt = rapid.SampledFrom([]float64{now, now, now, 0, math.Inf(1), math.NaN(), 1e300}).Draw(t, "proposed at")
	c.Incarnation, c.Number = rapid.Uint64Range(0, 4).Draw(t, "incarnation"), rapid.Uint64Range(0, 30).Draw(t, "number")
	c.Zone, c.State = rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Uint32Range(0, 5).Draw(t, "state")
	for range rapid.IntRange(0, 3).Draw(t, "shares") {
		c.Shares = append(c.Shares, codec.Share{
			From: rapid.SampledFrom(zones).Draw(t, "from"), To: rapid.SampledFrom(zones).Draw(t, "to"), Cores: rapid.Uint32Range(0, 900).Draw(t, "cores"),
		})
	}
	b := codec.AppendCommand(nil, &c)
	if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 && len(b) > 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "damaged byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bit mask"))
	}
	return b
}

// TestRandom applies random commands, some of them malformed, to two states: the invariants hold after each command, epochs never decrease,
// the same commands lead to the same encoded state, and encoding and decoding a state in between changes nothing.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state1, state2 := New(), New()
		lastEpoch, now := uint64(0), 1e6
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Float64Range(-1000, 20000).Draw(t, "elapsed")
			command := draw(t, state1, now)
			version := state1.Version() + rapid.Uint64Range(1, 3).Draw(t, "step")
			refusal1, err := state1.Apply(version, command)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				if state2, err = ReadSnapshot(state2.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if refusal2, _ := state2.Apply(version, command); refusal1 != refusal2 || !bytes.Equal(state1.Snapshot(), state2.Snapshot()) {
				t.Fatalf("the same commands lead to results %s and %s, and to states %x and %x", refusal1, refusal2, state1.Snapshot(), state2.Snapshot())
			}
			if err := state1.Check(); err != nil {
				t.Fatal(err)
			}
			if state1.lastEpoch < lastEpoch {
				t.Fatalf("got last epoch %d after %d, want no decrease", state1.lastEpoch, lastEpoch)
			}
			lastEpoch = state1.lastEpoch
		}
	})
}
