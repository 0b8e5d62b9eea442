// Package shardownership decides who may act for an allocation. Each open or running allocation has one owner among the
// shards and an epoch that is raised at every handover; a try needs the ownership table's leave, which only the owner's
// present epoch gets. What a shard has sent and not proven harmless is held here too, so that another can go on
// where a shard stopped, or end what must not be tried again.
//
// It is a table without goroutines; whoever shares it among cores holds it by one lock for each call.
package shardownership

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// ID is an allocation's, the same whoever asks for it.
type ID struct {
	Tenant int
	Token  uint64
}

// Request is what is wanted, as its owner asked.
type Request struct {
	Client        uint32
	Ref           uint64
	JobClass      int
	Service       uint64
	Cores, Memory float64
	Deadline      float64 // the owner's
	AssignedAt    float64 // when it was first given to a shard
}

// Attempt is a placement try as the ownership table knows it.
type Attempt struct {
	Node   uint32
	Ticket uint64
	Number uint8
}

// Entry is an allocation that a shard acts for.
type Entry struct {
	Request
	Shard       int
	Epoch       uint32
	AttemptOpen bool // a try was sent and its outcome is not known
	MayHaveRun  bool // an earlier one may have run
	Answered    bool
	Served      bool // that was the answer, or it was found running
	LastAttempt Attempt
}

// State says what is known of an allocation when it is asked for.
type State uint8

const (
	Unassigned State = iota // nobody acts for it
	Assigned                // a shard does
	Barred                  // a shard that was fenced may have started it: its outcome is waited for
)

// Table records which shard acts for each allocation, and by which epoch.
type Table struct {
	jobClasses    []logic.JobClass
	entries       map[ID]*Entry
	barred        map[ID]float64 // those that were fenced with a try out, until its time is over
	spare         []*Entry
	open          int                                        // entries that are not answered
	Epoch         uint32                                     // of what is taken now; raised by every fence, never lower than in an earlier life
	FaultAnyEpoch bool                                       // for tests: gives leave to any epoch, which must be found
	OnOpenChange  func(tenant, by int)                       // hears of entries that open and are answered, if it is not nil
	OnHeldChange  func(tenant int, ask *Request, by float64) // and of entries that come and go, by 1 or -1
}

// NewTable makes a table for job types, with a first epoch.
func NewTable(jobs []logic.JobClass, epoch uint32) *Table {
	return &Table{jobClasses: jobs, entries: map[ID]*Entry{}, barred: map[ID]float64{}, Epoch: epoch}
}

// Len is the number of entries, Open that of those not answered yet.
func (t *Table) Len() int { return len(t.entries) }

// Open is the number of entries that are not answered yet.
func (t *Table) Open() int { return t.open }

// TenantOpen is the number of a tenant's entries that are not answered and whose owners still wait.
func (t *Table) TenantOpen(now float64, tenant int) (n int) {
	for name, en := range t.entries {
		if name.Tenant == tenant && !en.Answered && now < en.Deadline {
			n++
		}
	}
	return n
}

// Entry gives an allocation's entry, nil if there is none.
func (t *Table) Entry(n ID) *Entry { return t.entries[n] }

// markAnswered marks an entry.
func (t *Table) markAnswered(n ID, en *Entry) {
	if !en.Answered {
		en.Answered = true
		t.addOpen(n, -1)
	}
}

func (t *Table) notifyHeld(n ID, en *Entry, by float64) {
	if t.OnHeldChange != nil {
		t.OnHeldChange(n.Tenant, &en.Request, by)
	}
}

func (t *Table) addOpen(n ID, by int) {
	t.open += by
	if t.OnOpenChange != nil {
		t.OnOpenChange(n.Tenant, by)
	}
}

// Lookup tells the owner of an allocation.
func (t *Table) Lookup(now float64, n ID) (shard int, s State) {
	if en := t.entries[n]; en != nil {
		return en.Shard, Assigned
	}
	if now < t.barred[n] {
		return 0, Barred
	}
	return 0, Unassigned
}

// Assign gives an allocation that nobody acts for to a shard, and returns the epoch that its tries must name.
func (t *Table) Assign(n ID, shard int, ask Request) uint32 {
	delete(t.barred, n)
	var en *Entry
	if k := len(t.spare); k > 0 {
		en, t.spare = t.spare[k-1], t.spare[:k-1]
	} else {
		en = new(Entry)
	}
	*en = Entry{Request: ask, Shard: shard, Epoch: t.Epoch}
	t.entries[n] = en
	t.addOpen(n, 1)
	t.notifyHeld(n, en, 1)
	return t.Epoch
}

// PermitAttempt asks leave for a try. Without it the try must not leave: the shard no longer acts for the allocation.
func (t *Table) PermitAttempt(n ID, shard int, epoch uint32, try Attempt) bool {
	en := t.entries[n]
	if t.FaultAnyEpoch {
		if en != nil {
			en.AttemptOpen, en.LastAttempt = true, try
		}
		return true
	}
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.AttemptOpen || en.Answered {
		return false
	}
	if j := &t.jobClasses[en.JobClass]; en.MayHaveRun && j.Semantics == logic.AtMostOnce {
		return false // whoever asks, a second try is never right
	}
	en.AttemptOpen, en.LastAttempt = true, try
	return true
}

// IsOwner tells whether a shard acts for an allocation under an epoch.
func (t *Table) IsOwner(n ID, shard int, epoch uint32) bool {
	en := t.entries[n]
	return en != nil && en.Shard == shard && en.Epoch == epoch
}

// CompleteAttempt notes a try's outcome; never tells that it is proven not to have run.
func (t *Table) CompleteAttempt(n ID, shard int, epoch uint32, never bool) {
	if en := t.entries[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.AttemptOpen = false
		en.MayHaveRun = en.MayHaveRun || !never
	}
}

// PermitAnswer notes that the final answer leaves, and which; false if it must not, since another acts or it was given.
func (t *Table) PermitAnswer(n ID, shard int, epoch uint32, served bool) bool {
	en := t.entries[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.Answered {
		return false
	}
	t.markAnswered(n, en)
	en.Served = served
	return true
}

// Recover gives what a node runs to a shard; false if another acts for it already.
func (t *Table) Recover(n ID, shard int, ask Request, try Attempt) (epoch uint32, ok bool) {
	en := t.entries[n]
	if en != nil && en.Shard != shard {
		return 0, false
	}
	if en == nil {
		t.Assign(n, shard, ask)
		en = t.entries[n]
	}
	t.markAnswered(n, en)
	en.AttemptOpen, en.Served, en.LastAttempt = false, true, try
	return en.Epoch, true
}

// HandOver gives an allocation from one shard to another, under an epoch of which the caller says that it begins with
// NextEpoch: not while a try is out, nor where an earlier one may have run and it is not answered, as what the
// present shard still may hear of that would be lost.
func (t *Table) HandOver(n ID, from int, epoch uint32, to int) (uint32, bool) {
	en := t.entries[n]
	if en == nil || en.Shard != from || en.Epoch != epoch {
		return 0, false
	}
	if !en.Answered && (en.AttemptOpen || en.MayHaveRun) && !t.FaultAnyEpoch {
		return 0, false
	}
	en.Shard, en.Epoch = to, t.Epoch
	return t.Epoch, true
}

// NextEpoch begins one.
func (t *Table) NextEpoch() { t.Epoch++ }

// Holder tells the shard that acts for an allocation by this very try.
func (t *Table) Holder(n ID, ticket uint64, no uint8) (shard int, ok bool) {
	en := t.entries[n]
	if en == nil || en.LastAttempt.Ticket != ticket || en.LastAttempt.Number != no {
		return 0, false
	}
	return en.Shard, true
}

// SetClient notes who is told of an allocation from now on.
func (t *Table) SetClient(n ID, shard int, epoch uint32, owner uint32, ref uint64) {
	if en := t.entries[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.Client, en.Ref = owner, ref
	}
}

// Remove ends an entry; false if another acts for the allocation.
func (t *Table) Remove(n ID, shard int, epoch uint32) bool {
	en := t.entries[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch {
		return false
	}
	t.markAnswered(n, en)
	t.notifyHeld(n, en, -1)
	delete(t.entries, n)
	t.spare = append(t.spare, en)
	return true
}

// Disposition is what becomes of an allocation whose shard is no more.
type Disposition uint8

const (
	Reassign Disposition = iota // another shard goes on with it, under the next epoch
	Shed                        // no try is out, or a repeat does no harm: the owner may ask again
	Fail                        // it may have run: nothing is promised
	Continue                    // it was answered; if it runs it will be found at its node
)

// Orphan is an entry of a fenced shard and its fate.
type Orphan struct {
	ID          ID
	Entry       Entry
	Disposition Disposition
}

// Fence ends all that a shard acts for. From now on it gets no leave for anything; its entries are returned in
// order of their names. What moves has the next epoch and stays out of the ownership table until it is taken again.
//
// A try that is out when its shard is fenced can't be waited for: the one who would hear of it is gone. A
// restartable allocation is declined, its owner asks again at once; one that must not take effect twice is
// barred until its try's time is over, unless its group drops the repeat.
func (t *Table) Fence(now float64, shard int, leastLeft float64) []Orphan {
	var all []Orphan
	for n, en := range t.entries {
		if en.Shard == shard {
			all = append(all, Orphan{n, *en, t.disposition(now, en, leastLeft)})
		}
	}
	slices.SortFunc(all, compareID)
	for _, o := range all {
		t.markAnswered(o.ID, t.entries[o.ID])
		t.notifyHeld(o.ID, t.entries[o.ID], -1)
		t.spare = append(t.spare, t.entries[o.ID])
		delete(t.entries, o.ID)
		if o.Entry.AttemptOpen && t.jobClasses[o.Entry.JobClass].Semantics != logic.Restartable {
			t.barred[o.ID] = max(now, o.Entry.Deadline)
		}
	}
	t.Epoch++
	return all
}

// ShedOverdue answers what a shard that gives no sign of life has not answered and whose expiry is within so many ms: an
// answer may not wait until the shard is fenced, or runs on. The shard keeps what it has out but gets no leave any more.
func (t *Table) ShedOverdue(now float64, shard int, within float64) []Orphan {
	var all []Orphan
	for n, en := range t.entries {
		if en.Shard == shard && !en.Answered && en.Deadline-now < within {
			t.markAnswered(n, en)
			o := Orphan{ID: n, Entry: *en, Disposition: Fail}
			if j := &t.jobClasses[en.JobClass]; outcome.IsRetrySafe(j.Semantics, j.IdempotencyScope, en.AttemptOpen, en.MayHaveRun) {
				o.Disposition = Shed
			}
			all = append(all, o)
		}
	}
	slices.SortFunc(all, compareID)
	return all
}

func compareID(x, y Orphan) int {
	return cmp.Or(cmp.Compare(x.ID.Tenant, y.ID.Tenant), cmp.Compare(x.ID.Token, y.ID.Token))
}

func (t *Table) disposition(now float64, en *Entry, leastLeft float64) Disposition {
	j := &t.jobClasses[en.JobClass]
	switch {
	case en.Answered:
		return Continue
	case !en.AttemptOpen && !en.MayHaveRun && en.Deadline-now > leastLeft:
		return Reassign
	case outcome.IsRetrySafe(j.Semantics, j.IdempotencyScope, en.AttemptOpen, en.MayHaveRun):
		return Shed
	}
	return Fail
}

// ExpireBars drops what is barred no longer.
func (t *Table) ExpireBars(now float64) {
	for n, until := range t.barred {
		if now > until {
			delete(t.barred, n)
		}
	}
}
