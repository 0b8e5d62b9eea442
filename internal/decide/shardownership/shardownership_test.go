package shardownership

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/logic"
)

var jobClasses = []logic.JobClass{
	{Semantics: logic.Restartable},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll},
	{Semantics: logic.AtMostOnce},
}

func TestFence(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(table *Table, id ID)
		want  [4]Disposition // by job class
	}{
		{"no attempt yet", func(*Table, ID) {}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"open attempt", func(table *Table, id ID) { table.PermitAttempt(Claim{id, 1, 1}, Attempt{}) }, [4]Disposition{Shed, Fail, Fail, Fail}},
		{"earlier attempt provably never ran", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.CompleteAttempt(Claim{id, 1, 1}, true)
		}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"earlier attempt may have run", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.CompleteAttempt(Claim{id, 1, 1}, false)
		}, [4]Disposition{Shed, Fail, Shed, Fail}},
		{"running", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.PermitAnswer(Claim{id, 1, 1}, true)
		}, [4]Disposition{Continue, Continue, Continue, Continue}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for jobClass, want := range c.want {
				table, id := NewTable(jobClasses, 1), ID{0, 7}
				table.Assign(id, 1, Request{JobClass: jobClass, Deadline: 5000})
				c.setup(table, id)
				orphans := table.Fence(1000, 1, 300)
				if len(orphans) != 1 || orphans[0].Disposition != want {
					t.Errorf("job class %d: got orphans %+v, want one with disposition %d", jobClass, orphans, want)
				}
				if table.PermitAttempt(Claim{id, 1, 1}, Attempt{}) || table.PermitAnswer(Claim{id, 1, 1}, true) {
					t.Errorf("job class %d: the fenced shard got a permit for an attempt or an answer", jobClass)
				}
			}
		})
	}
	t.Run("too little time left to reassign", func(t *testing.T) {
		table, id := NewTable(jobClasses, 1), ID{0, 7}
		table.Assign(id, 1, Request{JobClass: 3, Deadline: 1200})
		if orphans := table.Fence(1000, 1, 300); orphans[0].Disposition != Shed {
			t.Errorf("got orphans %+v, want one that is shed", orphans)
		}
	})
}

func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(table *Table, id ID)
		ok    bool
	}{
		{"no attempt yet", func(*Table, ID) {}, true},
		{"open attempt", func(table *Table, id ID) { table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5}) }, false},
		{"earlier attempt provably never ran", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.CompleteAttempt(Claim{id, 1, 1}, true)
		}, true},
		{"earlier attempt may have run", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.CompleteAttempt(Claim{id, 1, 1}, false)
		}, false},
		{"running", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.PermitAnswer(Claim{id, 1, 1}, true)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, id := NewTable(jobClasses, 1), ID{0, 7}
			table.Assign(id, 1, Request{JobClass: 3, Deadline: 5000, Client: 4, Ref: 9})
			c.setup(table, id)
			table.NextEpoch()
			epoch, ok := table.HandOver(Claim{id, 1, 1}, 2)
			if ok != c.ok || ok && epoch != 2 {
				t.Fatalf("got epoch %d, %v, want epoch 2 if the handover is allowed in this case", epoch, ok)
			}
			if _, again := table.HandOver(Claim{id, 1, 1}, 2); ok && again {
				t.Error("the old owner handed the allocation over a second time")
			}
			table.SetClient(Claim{id, 1, 1}, 5, 10) // this takes effect only if shard 1 still owns the allocation
			entry, want := table.entries[id], Entry{Request: Request{Client: 5}, Shard: 1}
			if ok {
				want = Entry{Request: Request{Client: 4}, Shard: 2}
			}
			if entry.Client != want.Client || entry.Shard != want.Shard {
				t.Errorf("got entry %+v, want client 4 at shard 2 after a handover, client 5 at shard 1 without", entry)
			}
			if shard, held := table.HolderOf(id, 5, 0); held && shard != entry.Shard || held != (entry.LastAttempt.Ticket == 5) {
				t.Errorf("HolderOf: got shard %d, %v, want the owner, and true only if ticket 5 is the last attempt", shard, held)
			}
		})
	}
}

func TestShedOverdue(t *testing.T) {
	table := NewTable(jobClasses, 1)
	for i, deadline := range []float64{1100, 1100, 5000, 1100} {
		table.Assign(ID{0, uint64(i)}, i/3, Request{JobClass: 3, Deadline: deadline})
	}
	table.PermitAttempt(Claim{ID{0, 1}, 0, 1}, Attempt{})
	orphans := table.ShedOverdue(1000, 0, 150)
	if len(orphans) != 2 || orphans[0].Disposition != Shed || orphans[1].Disposition != Fail {
		t.Errorf("got orphans %+v, want allocation 0 shed and allocation 1 failed", orphans)
	}
	if table.PermitAnswer(Claim{ID{0, 0}, 0, 1}, true) || table.PermitAttempt(Claim{ID{0, 0}, 0, 1}, Attempt{}) {
		t.Error("the shard got a permit for an allocation that was answered in its place")
	}
	if len(table.ShedOverdue(1000, 0, 150)) != 0 {
		t.Error("an allocation was returned as overdue twice, want once")
	}
}

func TestBarredAfterFence(t *testing.T) {
	for jobClass, want := range []State{Unassigned, Barred, Barred, Barred} {
		table, id := NewTable(jobClasses, 1), ID{0, 7}
		table.Assign(id, 1, Request{JobClass: jobClass, Deadline: 5000})
		table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
		table.Fence(1000, 1, 300)
		if _, state := table.Lookup(2000, id); state != want {
			t.Errorf("job class %d: got state %d before the deadline, want %d", jobClass, state, want)
		}
		if _, state := table.Lookup(6000, id); state != Unassigned {
			t.Errorf("job class %d: got state %d after the deadline, want unassigned", jobClass, state)
		}
		if epoch := table.Assign(id, 2, Request{JobClass: jobClass}); epoch != 2 {
			t.Errorf("got epoch %d after one fence, want 2", epoch)
		}
	}
}

// TestOneOwner makes random calls by three shards whose views may be outdated. The table must not permit two attempts of one allocation at
// once, and must not permit a second answer. With the injected fault, the test must detect a violation.
func TestOneOwner(t *testing.T) {
	detected := false
	for _, anyEpoch := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			m := newOwnershipModel(t, anyEpoch)
			defer m.checkOpen()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				m.step()
			}
			detected = detected || m.detected
		})
	}
	if !detected {
		t.Error("no violation was detected in a table that permits any epoch")
	}
}

// ownershipModel holds three shards and their views, which may be outdated, of one allocation.
type ownershipModel struct {
	t          *rapid.T
	table      *Table
	id         ID
	jobClass   int
	now        float64
	views      [3]shardView
	answers    int
	mayHaveRun bool // an attempt may have run
	detected   bool // the injected fault caused a violation
}

// shardView is what a shard knows of the allocation.
type shardView struct {
	epoch uint32
	open  bool // an attempt is open
}

func newOwnershipModel(t *rapid.T, anyEpoch bool) *ownershipModel {
	m := &ownershipModel{t: t, table: NewTable(jobClasses, 1), id: ID{0, 1}, jobClass: rapid.IntRange(0, 3).Draw(t, "job class")}
	m.table.FaultAnyEpoch = anyEpoch
	return m
}

// reportViolation records a violation if there is one. It fails the test unless the fault is injected.
func (m *ownershipModel) reportViolation(isViolated bool, violation string) {
	if !isViolated {
		return
	}
	m.detected = true
	if !m.table.FaultAnyEpoch {
		m.t.Fatal(violation)
	}
}

// step makes a random call of a random shard.
func (m *ownershipModel) step() {
	m.now += 10
	shard := rapid.IntRange(0, 2).Draw(m.t, "shard")
	switch rapid.IntRange(0, 6).Draw(m.t, "call") {
	case 0:
		m.assign(shard)
	case 1:
		m.attempt(shard)
	case 2, 3:
		m.complete(shard)
	case 4:
		m.answer(shard)
	case 5:
		m.fence(shard)
	case 6:
		m.handOver(shard)
	}
}

func (m *ownershipModel) claim(shard int) Claim { return Claim{m.id, shard, m.views[shard].epoch} }

func (m *ownershipModel) assign(shard int) {
	if _, state := m.table.Lookup(m.now, m.id); state == Unassigned {
		m.views[shard] = shardView{epoch: m.table.Assign(m.id, shard, Request{JobClass: m.jobClass, Deadline: 1e6})}
		m.answers, m.mayHaveRun = 0, false
	}
}

func (m *ownershipModel) attempt(shard int) {
	if !m.table.PermitAttempt(m.claim(shard), Attempt{}) {
		return
	}
	for _, view := range m.views {
		m.reportViolation(view.open, "an attempt was permitted while another one is open")
	}
	m.reportViolation(m.mayHaveRun && jobClasses[m.jobClass].Semantics == logic.AtMostOnce, "a second attempt of an at-most-once allocation")
	m.views[shard].open = true
}

func (m *ownershipModel) complete(shard int) {
	if !m.views[shard].open {
		return
	}
	neverRan := rapid.Bool().Draw(m.t, "never ran")
	m.views[shard].open = false
	m.mayHaveRun = m.mayHaveRun || !neverRan
	m.table.CompleteAttempt(m.claim(shard), neverRan)
}

func (m *ownershipModel) answer(shard int) {
	if !m.table.PermitAnswer(m.claim(shard), true) {
		return
	}
	if m.answers++; m.answers > 1 {
		m.t.Fatal("a second answer was permitted")
	}
}

// fence fences a shard. Nodes check the epoch, so that the attempts of a fenced shard end: no view has an open attempt afterwards.
func (m *ownershipModel) fence(shard int) {
	for _, orphan := range m.table.Fence(m.now, shard, 0) {
		m.reportViolation(orphan.Disposition == Reassign && m.views[shard].open, "an allocation with an open attempt was reassigned")
		m.now = max(m.now, orphan.Entry.Deadline+1)
		m.mayHaveRun = false
	}
	for i := range m.views {
		m.views[i].open = false
	}
}

func (m *ownershipModel) handOver(shard int) {
	to := (shard + 1) % len(m.views)
	m.table.NextEpoch()
	claim := m.claim(shard)
	epoch, ok := m.table.HandOver(claim, to)
	if !ok {
		return
	}
	view := &m.views[shard]
	m.reportViolation(view.open && m.answers == 0, "an allocation with an open attempt was handed over")
	m.views[to] = shardView{epoch: epoch, open: view.open}
	view.open = false
	if m.table.PermitAttempt(claim, Attempt{}) && !m.table.FaultAnyEpoch || m.table.PermitAnswer(claim, true) {
		m.t.Fatal("the old owner got a permit after the handover")
	}
}

// checkOpen checks that the table's count of open entries is right.
func (m *ownershipModel) checkOpen() {
	open := 0
	for _, entry := range m.table.entries {
		if !entry.Answered {
			open++
		}
	}
	if open != m.table.Open() {
		m.t.Fatalf("want %d open entries, got a count of %d", open, m.table.Open())
	}
}
