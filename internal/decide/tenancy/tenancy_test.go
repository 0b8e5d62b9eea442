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

// mustApply applies changes and fails the test if the last one is rejected.
func mustApply(t *testing.T, registry *Registry, now float64, changes ...Change) {
	t.Helper()
	if _, err := apply(registry, now, changes...); err != nil {
		t.Fatal(err)
	}
}

// apply applies changes and returns the last one's result.
func apply(registry *Registry, now float64, changes ...Change) (tenant Tenant, err *ChangeError) {
	for _, c := range changes {
		tenant, err = registry.Apply(now, c)
	}
	return tenant, err
}

func TestApply(t *testing.T) {
	add := Change{Kind: Add, Name: "a", Limits: validLimits}
	change := func(k Kind) Change { return Change{Kind: k, Name: "a", Limits: validLimits} }
	remove := func(e RemovalMode) Change { return Change{Kind: Remove, Name: "a", Removal: e} }
	for _, c := range []struct {
		name     string
		changes  []Change
		want     State
		wantErr  ErrorKind
		rejected bool
	}{
		{"added", []Change{add}, Active, 0, false},
		{"added twice", []Change{add, add}, Active, Exists, true},
		{"paused", []Change{add, change(Pause)}, Paused, 0, false},
		{"paused twice", []Change{add, change(Pause), change(Pause)}, Paused, 0, false},
		{"resumed", []Change{add, change(Pause), change(Resume)}, Active, 0, false},
		{"removed while paused", []Change{add, change(Pause), remove(FinishRunning)}, Removing, 0, false},
		{"resumed while being removed", []Change{add, remove(FinishRunning), change(Resume)}, Removing, NotAllowed, true},
		{"limited while being removed", []Change{add, remove(FinishRunning), change(Limit)}, Removing, NotAllowed, true},
		{"added while being removed", []Change{add, remove(FinishRunning), add}, Removing, Exists, true},
		{"removal made stricter", []Change{add, remove(FinishRunning), remove(StopRunning)}, Removing, 0, false},
		{"removal made less strict", []Change{add, remove(StopRunning), remove(FinishRunning)}, Removing, NotAllowed, true},
		{"unknown tenant", []Change{change(Pause)}, 0, NotFound, true},
		{"based on an older version", []Change{add, change(Pause), {Kind: Resume, Name: "a", Version: 1}}, Paused, Stale, true},
		{"based on the present version", []Change{add, change(Pause), {Kind: Resume, Name: "a", Version: 2}}, Active, 0, false},
		{"empty name", []Change{{Kind: Add, Limits: validLimits}}, 0, Invalid, true},
		{"name with a space", []Change{{Kind: Add, Name: "a b", Limits: validLimits}}, 0, Invalid, true},
		{"no share", []Change{{Kind: Add, Name: "a"}}, 0, Invalid, true},
		{"rate without a burst", []Change{{Kind: Add, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, Rate: 5}}}}, 0, Invalid, true},
		{"negative limit of open requests", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: -1}}}}, Active, Invalid, true},
		{"negative limit of connections", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: validLimits.Limits, MaxConns: -1}}}, Active, Invalid, true},
		{"bytes per second not a number", []Change{add, {Kind: Limit, Name: "a", Limits: Limits{Limits: validLimits.Limits, BytesPerSecond: math.NaN()}}}, Active, Invalid, true},
		{"unknown kind of change", []Change{add, {Kind: 9, Name: "a"}}, Active, Invalid, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := New(2)
			got, err := apply(registry, 0, c.changes...)
			if (err != nil) != c.rejected || err != nil && err.Kind != c.wantErr {
				t.Fatalf("got tenant %+v and error %v, want the error of the case", got, err)
			}
			if now, _ := registry.Get("a"); now.State != c.want {
				t.Errorf("got state %d, want %d", now.State, c.want)
			}
		})
	}
}

// TestSlots checks that a slot is assigned anew only after its quarantine, and never belongs to two tenants.
func TestSlots(t *testing.T) {
	registry := New(2)
	add := func(now float64, name string) *ChangeError {
		_, err := registry.Apply(now, Change{Kind: Add, Name: name, Limits: validLimits})
		return err
	}
	if add(0, "a") != nil || add(0, "b") != nil {
		t.Fatal("got a tenant rejected while slots are free, want it added")
	}
	if err := add(0, "c"); err == nil || err.Kind != NoCapacity {
		t.Fatal(err)
	}
	mustApply(t, registry, 10, Change{Kind: Remove, Name: "a"})
	if err := add(20, "c"); err == nil {
		t.Fatal("got a tenant added while all slots are in use, want an error")
	}
	if _, ok := registry.CompleteRemoval(30, "b"); ok {
		t.Error("got the removal completed of a tenant that is not being removed, want it refused")
	}
	if done, ok := registry.CompleteRemoval(30, "a"); !ok || done.State != Removed {
		t.Fatal("got the removal not completed, want the tenant removed")
	}
	if add(30+SlotQuarantine-1, "c") == nil {
		t.Error("got a slot assigned during its quarantine, want an error")
	}
	if err := add(30+SlotQuarantine, "c"); err != nil {
		t.Error(err)
	}
	if c, _ := registry.Get("c"); c.Slot != 0 {
		t.Errorf("got slot %d, want 0", c.Slot)
	}
	if _, ok := registry.Get("a"); ok {
		t.Error("got the removed tenant after its slot was assigned anew, want none")
	}
}

// withLimits returns tenant "a" with the given limits after changes.
func withLimits(t *testing.T, limits Limits, changes ...Change) Tenant {
	t.Helper()
	registry := New(1)
	mustApply(t, registry, 0, append([]Change{{Kind: Add, Name: "a", Limits: limits}}, changes...)...)
	tenant, _ := registry.Get("a")
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
		{"being removed, running tasks finish", []Change{{Kind: Remove, Name: "a"}}, false, true, false},
		{"being removed, running tasks are stopped", []Change{{Kind: Remove, Name: "a", Removal: StopRunning}}, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := Limits{Limits: fairqueue.Limits{Share: 1, Rate: 9, Burst: 6, MaxOpen: 8, MaxWaiting: 5}}
			tenant := withLimits(t, limits, c.changes...)
			open, rate := 0, 0.0
			for i := range 3 {
				p := tenant.PolicyFor(quotalease.Share{Processes: 3, Index: i})
				if p.AcceptsNew != c.acceptsNew || p.AbortOpen != c.abortOpen || p.StopRunning != c.stopTasks || p.Limits.Blocked == c.acceptsNew {
					t.Errorf("got policy %+v, want that of the case", p)
				}
				open, rate = open+p.Limits.MaxOpen, rate+p.Limits.Rate
			}
			if open != 8 || rate != 9 {
				t.Errorf("got %d open requests and %g per second for all processes together, want 8 and 9", open, rate)
			}
		})
	}
}

func TestPolicyConnections(t *testing.T) {
	tenant := withLimits(t, Limits{Limits: fairqueue.Limits{Share: 2}, MaxConns: 7, BytesPerSecond: 900})
	conns, bytes := 0, 0.0
	for i := range 3 {
		limits := tenant.PolicyFor(quotalease.Share{Processes: 3, Index: i}).Connections
		conns, bytes = conns+limits.MaxConns, bytes+limits.BytesPerSecond
		if limits.Share != 2 {
			t.Errorf("got share %g of connections, want 2", limits.Share)
		}
	}
	if conns != 7 || bytes != 900 {
		t.Errorf("got %d connections and %g bytes per second for all processes together, want 7 and 900", conns, bytes)
	}
	if limits := tenant.PolicyFor(quotalease.Share{Processes: 9, Index: 8}).Connections; limits.MaxConns != 1 {
		t.Errorf("got %d connections for a process if there are more processes than connections, want 1", limits.MaxConns)
	}
}

func TestPolicyWithMaxOpenBelowProcesses(t *testing.T) {
	tenant := withLimits(t, Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: 1}})
	first, second := tenant.PolicyFor(quotalease.Share{Processes: 2, Index: 0}), tenant.PolicyFor(quotalease.Share{Processes: 2, Index: 1})
	if !first.AcceptsNew || second.AcceptsNew {
		t.Error("limit of one open request: got new requests accepted by none, both or the second of two processes, want the first")
	}
}

// TestRandomChanges makes random changes. It checks that a registry that is stored and restored is the same, that versions grow, that no two
// tenants have the same slot, and that a removal is never reversed.
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

// step makes a random change or completes a removal.
func (m *registryModel) step() {
	m.now += float64(rapid.IntRange(0, 2).Draw(m.t, "half quarantines")) * SlotQuarantine / 2
	name := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(m.t, "name"))
	before, existed := m.registry.Get(name)
	var after Tenant
	if rapid.IntRange(0, 6).Draw(m.t, "complete removal") == 0 {
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
		m.t.Fatalf("got %+v changed to %+v, want the version raised if and only if something changed", before, after)
	}
	if before.State == Removing && after.State < Removing {
		m.t.Fatal("got a removal reversed")
	}
}

// change makes a random change and returns the changed tenant, or the zero value if the change is rejected.
func (m *registryModel) change(name string) Tenant {
	before, existed := m.registry.Get(name)
	limits := validLimits
	limits.MaxOpen = rapid.IntRange(-1, 5).Draw(m.t, "max open")
	after, err := m.registry.Apply(m.now, Change{
		Kind: Kind(rapid.IntRange(1, 5).Draw(m.t, "kind")), Name: name, Limits: limits,
		Removal: RemovalMode(rapid.IntRange(0, 1).Draw(m.t, "removal")), Version: uint64(rapid.IntRange(0, 3).Draw(m.t, "version")),
	})
	if err == nil {
		return after
	}
	if now, _ := m.registry.Get(name); existed && now != before {
		m.t.Fatalf("got %+v changed to %+v by a rejected change, want it unchanged", before, now)
	}
	return Tenant{}
}

// checkRestored checks that the registry is the same after it has been stored and restored.
func (m *registryModel) checkRestored() {
	restored := New(3)
	slots := map[int]bool{}
	for _, tenant := range m.registry.All() {
		if err := restored.Restore(tenant); err != nil {
			m.t.Fatal(err)
		}
		if slots[tenant.Slot] {
			m.t.Fatalf("got slot %d for two tenants", tenant.Slot)
		}
		slots[tenant.Slot] = true
	}
	if len(restored.All()) != len(m.registry.All()) {
		m.t.Fatal("got another number of tenants in the restored registry, want the same")
	}
}
