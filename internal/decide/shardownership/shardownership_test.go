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
		name string
		do   func(table *Table, id ID)
		want [4]Disposition // by job class
	}{
		{"no attempt yet", func(*Table, ID) {}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"an open attempt", func(table *Table, id ID) { table.PermitAttempt(Claim{id, 1, 1}, Attempt{}) }, [4]Disposition{Shed, Fail, Fail, Fail}},
		{"an earlier one provably never ran", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.CompleteAttempt(Claim{id, 1, 1}, true)
		}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"an earlier one may have run", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.CompleteAttempt(Claim{id, 1, 1}, false)
		}, [4]Disposition{Shed, Fail, Shed, Fail}},
		{"it runs", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
			table.PermitAnswer(Claim{id, 1, 1}, true)
		}, [4]Disposition{Continue, Continue, Continue, Continue}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for jobClass, want := range c.want {
				table, id := NewTable(jobClasses, 1), ID{0, 7}
				table.Assign(id, 1, Request{JobClass: jobClass, Deadline: 5000})
				c.do(table, id)
				all := table.Fence(1000, 1, 300)
				if len(all) != 1 || all[0].Disposition != want {
					t.Errorf("job class %d: %+v, want disposition %d", jobClass, all, want)
				}
				if table.PermitAttempt(Claim{id, 1, 1}, Attempt{}) || table.PermitAnswer(Claim{id, 1, 1}, true) {
					t.Errorf("job class %d: the fenced shard got a permit", jobClass)
				}
			}
		})
	}
	t.Run("too late to move", func(t *testing.T) {
		table, id := NewTable(jobClasses, 1), ID{0, 7}
		table.Assign(id, 1, Request{JobClass: 3, Deadline: 1200})
		if all := table.Fence(1000, 1, 300); all[0].Disposition != Shed {
			t.Errorf("%+v", all)
		}
	})
}

func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(table *Table, id ID)
		ok   bool
	}{
		{"never tried", func(*Table, ID) {}, true},
		{"an open attempt", func(table *Table, id ID) { table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5}) }, false},
		{"it provably never ran", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.CompleteAttempt(Claim{id, 1, 1}, true)
		}, true},
		{"it may have run", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.CompleteAttempt(Claim{id, 1, 1}, false)
		}, false},
		{"it runs", func(table *Table, id ID) {
			table.PermitAttempt(Claim{id, 1, 1}, Attempt{Ticket: 5})
			table.PermitAnswer(Claim{id, 1, 1}, true)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, id := NewTable(jobClasses, 1), ID{0, 7}
			table.Assign(id, 1, Request{JobClass: 3, Deadline: 5000, Client: 4, Ref: 9})
			c.do(table, id)
			table.NextEpoch()
			epoch, ok := table.HandOver(Claim{id, 1, 1}, 2)
			if ok != c.ok || ok && epoch != 2 {
				t.Fatalf("epoch %d, %v", epoch, ok)
			}
			if _, again := table.HandOver(Claim{id, 1, 1}, 2); ok && again {
				t.Error("handed over twice")
			}
			table.SetClient(Claim{id, 1, 1}, 5, 10) // only the owner may
			entry, want := table.entries[id], Entry{Request: Request{Client: 5}, Shard: 1}
			if ok {
				want = Entry{Request: Request{Client: 4}, Shard: 2}
			}
			if entry.Client != want.Client || entry.Shard != want.Shard {
				t.Errorf("%+v", entry)
			}
			if shard, held := table.HolderOf(id, 5, 0); held && shard != entry.Shard || held != (entry.LastAttempt.Ticket == 5) {
				t.Errorf("held by %d, %v", shard, held)
			}
		})
	}
}

func TestShedOverdue(t *testing.T) {
	table := NewTable(jobClasses, 1)
	for i, expiry := range []float64{1100, 1100, 5000, 1100} {
		table.Assign(ID{0, uint64(i)}, i/3, Request{JobClass: 3, Deadline: expiry})
	}
	table.PermitAttempt(Claim{ID{0, 1}, 0, 1}, Attempt{})
	all := table.ShedOverdue(1000, 0, 150)
	if len(all) != 2 || all[0].Disposition != Shed || all[1].Disposition != Fail {
		t.Errorf("%+v", all)
	}
	if table.PermitAnswer(Claim{ID{0, 0}, 0, 1}, true) || table.PermitAttempt(Claim{ID{0, 0}, 0, 1}, Attempt{}) {
		t.Error("a permit after the answer was given")
	}
	if len(table.ShedOverdue(1000, 0, 150)) != 0 {
		t.Error("answered twice")
	}
}

func TestBarredAfterFence(t *testing.T) {
	for job, want := range []State{Unassigned, Barred, Barred, Barred} {
		table, id := NewTable(jobClasses, 1), ID{0, 7}
		table.Assign(id, 1, Request{JobClass: job, Deadline: 5000})
		table.PermitAttempt(Claim{id, 1, 1}, Attempt{})
		table.Fence(1000, 1, 300)
		if _, s := table.Lookup(2000, id); s != want {
			t.Errorf("job class %d: %d, want %d", job, s, want)
		}
		if _, s := table.Lookup(6000, id); s != Unassigned {
			t.Errorf("job class %d: still %d after its time", job, s)
		}
		if epoch := table.Assign(id, 2, Request{JobClass: job}); epoch != 2 {
			t.Errorf("epoch %d after a fence", epoch)
		}
	}
}

// TestOneOwner makes random calls by three shards with outdated views: no two attempts of one allocation are permitted at once, and no
// answer is permitted twice. The injected fault must be detected.
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
		t.Error("the table that permits any epoch was not detected")
	}
}

// ownershipModel is three shards with outdated views of one allocation.
type ownershipModel struct {
	t        *rapid.T
	table    *Table
	id       ID
	jobClass int
	now      float64
	views    [3]shardView
	answers  int
	ran      bool // an attempt may have run
	detected bool // the injected fault
}

// shardView is what a shard believes of the allocation.
type shardView struct {
	epoch uint32
	open  bool // an attempt is open
}

func newOwnershipModel(t *rapid.T, anyEpoch bool) *ownershipModel {
	m := &ownershipModel{t: t, table: NewTable(jobClasses, 1), id: ID{0, 1}, jobClass: rapid.IntRange(0, 3).Draw(t, "job")}
	m.table.FaultAnyEpoch = anyEpoch
	return m
}

// violated records a violation, which only the injected fault may cause.
func (m *ownershipModel) violated(isViolated bool, what string) {
	if !isViolated {
		return
	}
	m.detected = true
	if !m.table.FaultAnyEpoch {
		m.t.Fatal(what)
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
		m.answers, m.ran = 0, false
	}
}

func (m *ownershipModel) attempt(shard int) {
	if !m.table.PermitAttempt(m.claim(shard), Attempt{}) {
		return
	}
	for _, view := range m.views {
		m.violated(view.open, "two attempts open")
	}
	m.violated(m.ran && jobClasses[m.jobClass].Semantics == logic.AtMostOnce, "a second attempt of a run-once job")
	m.views[shard].open = true
}

func (m *ownershipModel) complete(shard int) {
	if !m.views[shard].open {
		return
	}
	never := rapid.Bool().Draw(m.t, "never")
	m.views[shard].open = false
	m.ran = m.ran || !never
	m.table.CompleteAttempt(m.claim(shard), never)
}

func (m *ownershipModel) answer(shard int) {
	if !m.table.PermitAnswer(m.claim(shard), true) {
		return
	}
	if m.answers++; m.answers > 1 {
		m.t.Fatal("answered twice")
	}
}

// fence fences a shard: its attempts end by the epoch check of their nodes.
func (m *ownershipModel) fence(shard int) {
	for _, o := range m.table.Fence(m.now, shard, 0) {
		m.violated(o.Disposition == Reassign && m.views[shard].open, "moved with an open attempt")
		m.now = max(m.now, o.Entry.Deadline+1)
		m.ran = false
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
	m.violated(view.open && m.answers == 0, "handed over with an open attempt")
	m.views[to] = shardView{epoch: epoch, open: view.open}
	view.open = false
	if m.table.PermitAttempt(claim, Attempt{}) && !m.table.FaultAnyEpoch || m.table.PermitAnswer(claim, true) {
		m.t.Fatal("a permit after it was handed over")
	}
}

// checkOpen compares the number of open entries with the table's count.
func (m *ownershipModel) checkOpen() {
	open := 0
	for _, entry := range m.table.entries {
		if !entry.Answered {
			open++
		}
	}
	if open != m.table.Open() {
		m.t.Fatalf("%d open, counted %d", open, m.table.Open())
	}
}
