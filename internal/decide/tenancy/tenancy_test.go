package tenancy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/quotalease"
)

var some = Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: 10, MaxWaiting: 100}}

// at applies changes and gives the last one's outcome.
func at(b *Registry, now float64, all ...Change) (t Tenant, f *ChangeError) {
	for _, c := range all {
		t, f = b.Apply(now, c)
	}
	return t, f
}

func TestLife(t *testing.T) {
	add := Change{Kind: Add, Name: "a", Limits: some}
	change := func(k Kind) Change { return Change{Kind: k, Name: "a", Limits: some} }
	remove := func(e RemovalMode) Change { return Change{Kind: Remove, Name: "a", Removal: e} }
	for _, c := range []struct {
		name    string
		changes []Change
		want    State
		fault   ErrorKind
		bad     bool
	}{
		{"added", []Change{add}, Active, 0, false},
		{"added twice", []Change{add, add}, Active, Exists, true},
		{"paused", []Change{add, change(Pause)}, Paused, 0, false},
		{"paused twice", []Change{add, change(Pause), change(Pause)}, Paused, 0, false},
		{"resumed", []Change{add, change(Pause), change(Resume)}, Active, 0, false},
		{"removed while paused", []Change{add, change(Pause), remove(FinishRunning)}, Removing, 0, false},
		{"resumed while removed", []Change{add, remove(FinishRunning), change(Resume)}, Removing, NotAllowed, true},
		{"limited while removed", []Change{add, remove(FinishRunning), change(Limit)}, Removing, NotAllowed, true},
		{"added while removed", []Change{add, remove(FinishRunning), add}, Removing, Exists, true},
		{"removed harder", []Change{add, remove(FinishRunning), remove(StopRunning)}, Removing, 0, false},
		{"removed softer", []Change{add, remove(StopRunning), remove(FinishRunning)}, Removing, NotAllowed, true},
		{"unknown", []Change{change(Pause)}, 0, NotFound, true},
		{"decided on an older version", []Change{add, change(Pause), {Kind: Resume, Name: "a", Version: 1}}, Paused, Stale, true},
		{"decided on this version", []Change{add, change(Pause), {Kind: Resume, Name: "a", Version: 2}}, Active, 0, false},
		{"no name", []Change{{Kind: Add, Limits: some}}, 0, Invalid, true},
		{"a name of spaces", []Change{{Kind: Add, Name: "a b", Limits: some}}, 0, Invalid, true},
		{"no share", []Change{{Kind: Add, Name: "a"}}, 0, Invalid, true},
		{"a rate without a burst", []Change{{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, Rate: 5}}}}, 0, Invalid, true},
		{"negative open", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: -1}}}}, Active, Invalid, true},
		{"negative conns", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: some.Limits, MaxConns: -1}}}, Active, Invalid, true},
		{"bytes that are no number", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: some.Limits, BytesPerSecond: math.NaN()}}}, Active, Invalid, true},
		{"no such change", []Change{add, {Kind: 9, Name: "a"}}, Active, Invalid, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(2)
			got, f := at(b, 0, c.changes...)
			if (f != nil) != c.bad || f != nil && f.Kind != c.fault {
				t.Fatalf("%+v, %v", got, f)
			}
			if now, _ := b.Get("a"); now.State != c.want {
				t.Errorf("is %d, want %d", now.State, c.want)
			}
		})
	}
}

// TestSlots frees a slot only after its rest, and never gives one to two tenants.
func TestSlots(t *testing.T) {
	b := New(2)
	add := func(now float64, name string) *ChangeError {
		_, f := b.Apply(now, Change{Kind: Add, Name: name, Limits: some})
		return f
	}
	if add(0, "a") != nil || add(0, "b") != nil {
		t.Fatal("not added")
	}
	if f := add(0, "c"); f == nil || f.Kind != NoCapacity {
		t.Fatal(f)
	}
	at(b, 10, Change{Kind: Remove, Name: "a"})
	if f := add(20, "c"); f == nil {
		t.Fatal("a slot in use was given away")
	}
	if _, ok := b.CompleteRemoval(30, "b"); ok {
		t.Error("finished what is not removed")
	}
	if done, ok := b.CompleteRemoval(30, "a"); !ok || done.State != Removed {
		t.Fatal("not finished")
	}
	if add(30+SlotQuarantine-1, "c") == nil {
		t.Error("a slot was given away before its rest was over")
	}
	if f := add(30+SlotQuarantine, "c"); f != nil {
		t.Error(f)
	}
	if c, _ := b.Get("c"); c.Slot != 0 {
		t.Errorf("slot %d", c.Slot)
	}
	if _, ok := b.Get("a"); ok {
		t.Error("whose slot was given away is still there")
	}
}

func TestDuty(t *testing.T) {
	for _, c := range []struct {
		name                string
		changes             []Change
		takes, answer, stop bool
	}{
		{"active", nil, true, false, false},
		{"paused", []Change{{Kind: Pause, Name: "a"}}, false, false, false},
		{"removed, runs out", []Change{{Kind: Remove, Name: "a"}}, false, true, false},
		{"removed, stopped", []Change{{Kind: Remove, Name: "a", Removal: StopRunning}}, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(1)
			at(b, 0, append([]Change{{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, Rate: 9, Burst: 6, MaxOpen: 8, MaxWaiting: 5}}}}, c.changes...)...)
			a, _ := b.Get("a")
			open, rate := 0, 0.0
			for i := range 3 {
				d := a.PolicyFor(quotalease.Share{Places: 3, Index: i})
				if d.AcceptsNew != c.takes || d.AbortOpen != c.answer || d.StopRunning != c.stop || d.Limits.Blocked == c.takes {
					t.Errorf("%+v", d)
				}
				open, rate = open+d.Limits.MaxOpen, rate+d.Limits.Rate
			}
			if open != 8 || rate != 9 {
				t.Errorf("all processes may have %d open at %g a second", open, rate)
			}
		})
	}
	b := New(1)
	at(b, 0, Change{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 2}, MaxConns: 7, BytesPerSecond: 900}})
	a, _ := b.Get("a")
	conns, bytes := 0, 0.0
	for i := range 3 {
		d := a.PolicyFor(quotalease.Share{Places: 3, Index: i}).Connections
		conns, bytes = conns+d.MaxConns, bytes+d.BytesPerSecond
		if d.Share != 2 {
			t.Errorf("share %g at the door", d.Share)
		}
	}
	if conns != 7 || bytes != 900 {
		t.Errorf("all processes let in %d connections and %g bytes a second", conns, bytes)
	}
	if d := a.PolicyFor(quotalease.Share{Places: 9, Index: 8}).Connections; d.MaxConns != 1 {
		t.Errorf("%d connections where there are more processes than connections", d.MaxConns)
	}
	b = New(1)
	at(b, 0, Change{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: 1}}})
	a, _ = b.Get("a")
	if first, second := a.PolicyFor(quotalease.Share{Places: 2, Index: 0}), a.PolicyFor(quotalease.Share{Places: 2, Index: 1}); !first.AcceptsNew || second.AcceptsNew {
		t.Error("one that may be open in all is open at none or both of two processes")
	}
}

// TestAnyChanges draws changes: a book that was kept and read again is the same, versions grow, no two have one slot, and a
// removal never goes back.
func TestAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(3), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			now += float64(rapid.IntRange(0, 2).Draw(t, "time")) * SlotQuarantine / 2
			name := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "name"))
			before, was := b.Get(name)
			var after Tenant
			if rapid.IntRange(0, 6).Draw(t, "finish") == 0 {
				if got, ok := b.CompleteRemoval(now, name); ok {
					after = got
				}
			} else {
				limits := some
				limits.MaxOpen = rapid.IntRange(-1, 5).Draw(t, "open")
				got, f := b.Apply(now, Change{
					Kind: Kind(rapid.IntRange(1, 5).Draw(t, "kind")), Name: name, Limits: limits,
					Removal: RemovalMode(rapid.IntRange(0, 1).Draw(t, "ending")), Version: uint64(rapid.IntRange(0, 3).Draw(t, "version")),
				})
				if f == nil {
					after = got
				} else if now, _ := b.Get(name); was && now != before {
					t.Fatalf("a change that was not taken changed %+v to %+v", before, now)
				}
			}
			if after.Name != "" && was && before.State < Removed {
				if after.Version < before.Version || (after.Version == before.Version) != (after == before) {
					t.Fatalf("%+v to %+v", before, after)
				}
				if before.State == Removing && after.State < Removing {
					t.Fatal("a removal went back")
				}
			}
			again := New(3)
			slots := map[int]bool{}
			for _, x := range b.All() {
				if err := again.Restore(x); err != nil {
					t.Fatal(err)
				}
				if slots[x.Slot] {
					t.Fatalf("slot %d twice", x.Slot)
				}
				slots[x.Slot] = true
			}
			if len(again.All()) != len(b.All()) {
				t.Fatal("not the same when read again")
			}
		}
	})
}
