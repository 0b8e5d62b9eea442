package tenancy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/quotalease"
)

var validLimits = Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: 10, MaxWaiting: 100}}

// mustApply applies changes.
func mustApply(t *testing.T, r *Registry, now float64, changes ...Change) {
	t.Helper()
	if _, err := apply(r, now, changes...); err != nil {
		t.Fatal(err)
	}
}

// apply applies changes and returns the last one's result.
func apply(b *Registry, now float64, all ...Change) (t Tenant, f *ChangeError) {
	for _, c := range all {
		t, f = b.Apply(now, c)
	}
	return t, f
}

func TestApply(t *testing.T) {
	add := Change{Kind: Add, Name: "a", Limits: validLimits}
	change := func(k Kind) Change { return Change{Kind: k, Name: "a", Limits: validLimits} }
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
		{"no name", []Change{{Kind: Add, Limits: validLimits}}, 0, Invalid, true},
		{"a name of spaces", []Change{{Kind: Add, Name: "a b", Limits: validLimits}}, 0, Invalid, true},
		{"no share", []Change{{Kind: Add, Name: "a"}}, 0, Invalid, true},
		{"a rate without a burst", []Change{{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, Rate: 5}}}}, 0, Invalid, true},
		{"negative open", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: -1}}}}, Active, Invalid, true},
		{"negative conns", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: validLimits.Limits, MaxConns: -1}}}, Active, Invalid, true},
		{"bytes that are no number", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: validLimits.Limits, BytesPerSecond: math.NaN()}}}, Active, Invalid, true},
		{"no such change", []Change{add, {Kind: 9, Name: "a"}}, Active, Invalid, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(2)
			got, f := apply(b, 0, c.changes...)
			if (f != nil) != c.bad || f != nil && f.Kind != c.fault {
				t.Fatalf("%+v, %v", got, f)
			}
			if now, _ := b.Get("a"); now.State != c.want {
				t.Errorf("is %d, want %d", now.State, c.want)
			}
		})
	}
}

// TestSlots checks that a slot is free only after its quarantine, and never belongs to two tenants.
func TestSlots(t *testing.T) {
	b := New(2)
	add := func(now float64, name string) *ChangeError {
		_, f := b.Apply(now, Change{Kind: Add, Name: name, Limits: validLimits})
		return f
	}
	if add(0, "a") != nil || add(0, "b") != nil {
		t.Fatal("not added")
	}
	if f := add(0, "c"); f == nil || f.Kind != NoCapacity {
		t.Fatal(f)
	}
	mustApply(t, b, 10, Change{Kind: Remove, Name: "a"})
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

// withLimits returns the tenant "a" with limits, after changes.
func withLimits(t *testing.T, limits Limits, changes ...Change) Tenant {
	t.Helper()
	r := New(1)
	mustApply(t, r, 0, append([]Change{{Kind: Add, Name: "a", Limits: limits}}, changes...)...)
	tenant, _ := r.Get("a")
	return tenant
}

func TestPolicy(t *testing.T) {
	for _, c := range []struct {
		name                             string
		changes                          []Change
		acceptsNew, abortOpen, stopTasks bool
	}{
		{"active", nil, true, false, false},
		{"paused", []Change{{Kind: Pause, Name: "a"}}, false, false, false},
		{"removed, runs out", []Change{{Kind: Remove, Name: "a"}}, false, true, false},
		{"removed, stopped", []Change{{Kind: Remove, Name: "a", Removal: StopRunning}}, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := Limits{Limits: fairqueue.Limits{Share: 1, Rate: 9, Burst: 6, MaxOpen: 8, MaxWaiting: 5}}
			tenant := withLimits(t, limits, c.changes...)
			open, rate := 0, 0.0
			for i := range 3 {
				p := tenant.PolicyFor(quotalease.Share{Places: 3, Index: i})
				if p.AcceptsNew != c.acceptsNew || p.AbortOpen != c.abortOpen || p.StopRunning != c.stopTasks || p.Limits.Blocked == c.acceptsNew {
					t.Errorf("%+v", p)
				}
				open, rate = open+p.Limits.MaxOpen, rate+p.Limits.Rate
			}
			if open != 8 || rate != 9 {
				t.Errorf("all processes may have %d open at %g per second", open, rate)
			}
		})
	}
}

func TestPolicyOfConnections(t *testing.T) {
	tenant := withLimits(t, Limits{Limits: fairqueue.Limits{Share: 2}, MaxConns: 7, BytesPerSecond: 900})
	conns, bytes := 0, 0.0
	for i := range 3 {
		limits := tenant.PolicyFor(quotalease.Share{Places: 3, Index: i}).Connections
		conns, bytes = conns+limits.MaxConns, bytes+limits.BytesPerSecond
		if limits.Share != 2 {
			t.Errorf("share %g of connections", limits.Share)
		}
	}
	if conns != 7 || bytes != 900 {
		t.Errorf("all processes accept %d connections and %g bytes per second", conns, bytes)
	}
	if limits := tenant.PolicyFor(quotalease.Share{Places: 9, Index: 8}).Connections; limits.MaxConns != 1 {
		t.Errorf("%d connections where there are more processes than connections", limits.MaxConns)
	}
}

func TestPolicyOfOneOpen(t *testing.T) {
	tenant := withLimits(t, Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: 1}})
	first, second := tenant.PolicyFor(quotalease.Share{Places: 2, Index: 0}), tenant.PolicyFor(quotalease.Share{Places: 2, Index: 1})
	if !first.AcceptsNew || second.AcceptsNew {
		t.Error("one that may be open in all is open at none or both of two processes")
	}
}

// TestRandomChanges makes random changes: a registry that was stored and restored is the same, versions grow, no two tenants have one slot,
// and a removal is never reversed.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{t: t, registry: New(3)}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			m.step()
			m.checkRestored()
		}
	})
}

type registryModel struct {
	t        *rapid.T
	registry *Registry
	now      float64
}

// step makes a random change, or completes a removal.
func (m *registryModel) step() {
	m.now += float64(rapid.IntRange(0, 2).Draw(m.t, "time")) * SlotQuarantine / 2
	name := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(m.t, "name"))
	before, existed := m.registry.Get(name)
	var after Tenant
	if rapid.IntRange(0, 6).Draw(m.t, "finish") == 0 {
		if tenant, ok := m.registry.CompleteRemoval(m.now, name); ok {
			after = tenant
		}
	} else {
		after = m.change(name)
	}
	if after.Name == "" || !existed || before.State == Removed {
		return
	}
	if after.Version < before.Version || (after.Version == before.Version) != (after == before) {
		m.t.Fatalf("%+v to %+v", before, after)
	}
	if before.State == Removing && after.State < Removing {
		m.t.Fatal("a removal was reversed")
	}
}

// change makes a random change and returns the tenant after it, the zero value if it is not taken.
func (m *registryModel) change(name string) Tenant {
	before, existed := m.registry.Get(name)
	limits := validLimits
	limits.MaxOpen = rapid.IntRange(-1, 5).Draw(m.t, "open")
	after, err := m.registry.Apply(m.now, Change{
		Kind: Kind(rapid.IntRange(1, 5).Draw(m.t, "kind")), Name: name, Limits: limits,
		Removal: RemovalMode(rapid.IntRange(0, 1).Draw(m.t, "ending")), Version: uint64(rapid.IntRange(0, 3).Draw(m.t, "version")),
	})
	if err == nil {
		return after
	}
	if now, _ := m.registry.Get(name); existed && now != before {
		m.t.Fatalf("a change that was not taken changed %+v to %+v", before, now)
	}
	return Tenant{}
}

// checkRestored checks that the registry is the same when it is stored and restored.
func (m *registryModel) checkRestored() {
	restored := New(3)
	slots := map[int]bool{}
	for _, tenant := range m.registry.All() {
		if err := restored.Restore(tenant); err != nil {
			m.t.Fatal(err)
		}
		if slots[tenant.Slot] {
			m.t.Fatalf("slot %d twice", tenant.Slot)
		}
		slots[tenant.Slot] = true
	}
	if len(restored.All()) != len(m.registry.All()) {
		m.t.Fatal("not the same when restored")
	}
}
