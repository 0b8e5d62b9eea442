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

// Name is an allocation's, the same whoever asks for it.
type Name struct {
	Tenant int
	Token  uint64
}

// Ask is what is wanted, as its owner asked.
type Ask struct {
	Owner         uint32
	Ref           uint64
	Job           int
	Service       uint64
	Cores, Memory float64
	Expiry        float64 // the owner's
	Entered       float64 // when it was first given to a shard
}

// Try is a placement try as the ownership table knows it.
type Try struct {
	Node   uint32
	Ticket uint64
	No     uint8
}

// Entry is an allocation that a shard acts for.
type Entry struct {
	Ask
	Shard    int
	Epoch    uint32
	Out      bool // a try was sent and its outcome is not known
	MayHave  bool // an earlier one may have run
	Answered bool
	Served   bool // that was the answer, or it was found running
	Last     Try
}

// State says what is known of an allocation when it is asked for.
type State uint8

const (
	New     State = iota // nobody acts for it
	Known                // a shard does
	Barring              // a shard that was fenced may have started it: its outcome is waited for
)

// Table records which shard acts for each allocation, and by which epoch.
type Table struct {
	jobs    []logic.JobClass
	all     map[Name]*Entry
	barred  map[Name]float64 // those that were fenced with a try out, until its time is over
	spare   []*Entry
	open    int                                    // entries that are not answered
	Epoch   uint32                                 // of what is taken now; raised by every fence, never lower than in an earlier life
	Trusted bool                                   // for tests: gives leave to any epoch, which must be found
	Count   func(tenant, by int)                   // hears of entries that open and are answered, if it is not nil
	Held    func(tenant int, ask *Ask, by float64) // and of entries that come and go, by 1 or -1
}

// NewTable makes a table for job types, with a first epoch.
func NewTable(jobs []logic.JobClass, epoch uint32) *Table {
	return &Table{jobs: jobs, all: map[Name]*Entry{}, barred: map[Name]float64{}, Epoch: epoch}
}

// Len is the number of entries, Open that of those not answered yet.
func (t *Table) Len() int { return len(t.all) }

// Open is the number of entries that are not answered yet.
func (t *Table) Open() int { return t.open }

// Uses is the number of a tenant's entries that are not answered and whose owners still wait.
func (t *Table) Uses(now float64, tenant int) (n int) {
	for name, en := range t.all {
		if name.Tenant == tenant && !en.Answered && now < en.Expiry {
			n++
		}
	}
	return n
}

// Entry gives an allocation's entry, nil if there is none.
func (t *Table) Entry(n Name) *Entry { return t.all[n] }

// answered marks an entry.
func (t *Table) answered(n Name, en *Entry) {
	if !en.Answered {
		en.Answered = true
		t.count(n, -1)
	}
}

func (t *Table) hold(n Name, en *Entry, by float64) {
	if t.Held != nil {
		t.Held(n.Tenant, &en.Ask, by)
	}
}

func (t *Table) count(n Name, by int) {
	t.open += by
	if t.Count != nil {
		t.Count(n.Tenant, by)
	}
}

// Look tells the owner of an allocation.
func (t *Table) Look(now float64, n Name) (shard int, s State) {
	if en := t.all[n]; en != nil {
		return en.Shard, Known
	}
	if now < t.barred[n] {
		return 0, Barring
	}
	return 0, New
}

// Take gives an allocation that nobody acts for to a shard, and returns the epoch that its tries must name.
func (t *Table) Take(n Name, shard int, ask Ask) uint32 {
	delete(t.barred, n)
	var en *Entry
	if k := len(t.spare); k > 0 {
		en, t.spare = t.spare[k-1], t.spare[:k-1]
	} else {
		en = new(Entry)
	}
	*en = Entry{Ask: ask, Shard: shard, Epoch: t.Epoch}
	t.all[n] = en
	t.count(n, 1)
	t.hold(n, en, 1)
	return t.Epoch
}

// Send asks leave for a try. Without it the try must not leave: the shard no longer acts for the allocation.
func (t *Table) Send(n Name, shard int, epoch uint32, try Try) bool {
	en := t.all[n]
	if t.Trusted {
		if en != nil {
			en.Out, en.Last = true, try
		}
		return true
	}
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.Out || en.Answered {
		return false
	}
	if j := &t.jobs[en.Job]; en.MayHave && j.Semantics == logic.AtMostOnce {
		return false // whoever asks, a second try is never right
	}
	en.Out, en.Last = true, try
	return true
}

// ActsFor tells whether a shard acts for an allocation under an epoch.
func (t *Table) ActsFor(n Name, shard int, epoch uint32) bool {
	en := t.all[n]
	return en != nil && en.Shard == shard && en.Epoch == epoch
}

// Settle notes a try's outcome; never tells that it is proven not to have run.
func (t *Table) Settle(n Name, shard int, epoch uint32, never bool) {
	if en := t.all[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.Out = false
		en.MayHave = en.MayHave || !never
	}
}

// Answer notes that the final answer leaves, and which; false if it must not, since another acts or it was given.
func (t *Table) Answer(n Name, shard int, epoch uint32, served bool) bool {
	en := t.all[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.Answered {
		return false
	}
	t.answered(n, en)
	en.Served = served
	return true
}

// Found gives what a node runs to a shard; false if another acts for it already.
func (t *Table) Found(n Name, shard int, ask Ask, try Try) (epoch uint32, ok bool) {
	en := t.all[n]
	if en != nil && en.Shard != shard {
		return 0, false
	}
	if en == nil {
		t.Take(n, shard, ask)
		en = t.all[n]
	}
	t.answered(n, en)
	en.Out, en.Served, en.Last = false, true, try
	return en.Epoch, true
}

// Hand gives an allocation from one shard to another, under an epoch of which the caller says that it begins with
// NextEpoch: not while a try is out, nor where an earlier one may have run and it is not answered, as what the
// present shard still may hear of that would be lost.
func (t *Table) Hand(n Name, from int, epoch uint32, to int) (uint32, bool) {
	en := t.all[n]
	if en == nil || en.Shard != from || en.Epoch != epoch {
		return 0, false
	}
	if !en.Answered && (en.Out || en.MayHave) && !t.Trusted {
		return 0, false
	}
	en.Shard, en.Epoch = to, t.Epoch
	return t.Epoch, true
}

// NextEpoch begins one.
func (t *Table) NextEpoch() { t.Epoch++ }

// Holder tells the shard that acts for an allocation by this very try.
func (t *Table) Holder(n Name, ticket uint64, no uint8) (shard int, ok bool) {
	en := t.all[n]
	if en == nil || en.Last.Ticket != ticket || en.Last.No != no {
		return 0, false
	}
	return en.Shard, true
}

// Owned notes who is told of an allocation from now on.
func (t *Table) Owned(n Name, shard int, epoch uint32, owner uint32, ref uint64) {
	if en := t.all[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.Owner, en.Ref = owner, ref
	}
}

// Drop ends an entry; false if another acts for the allocation.
func (t *Table) Drop(n Name, shard int, epoch uint32) bool {
	en := t.all[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch {
		return false
	}
	t.answered(n, en)
	t.hold(n, en, -1)
	delete(t.all, n)
	t.spare = append(t.spare, en)
	return true
}

// Fate is what becomes of an allocation whose shard is no more.
type Fate uint8

const (
	Moves     Fate = iota // another shard goes on with it, under the next epoch
	Declines              // no try is out, or a repeat does no harm: the owner may ask again
	Fails                 // it may have run: nothing is promised
	Continues             // it was answered; if it runs it will be found at its node
)

// Orphan is an entry of a fenced shard and its fate.
type Orphan struct {
	Name  Name
	Entry Entry
	Fate  Fate
}

// Fence ends all that a shard acts for. From now on it gets no leave for anything; its entries are returned in
// order of their names. What moves has the next epoch and stays out of the ownership table until it is taken again.
//
// A try that is out when its shard is fenced can't be waited for: the one who would hear of it is gone. A
// restartable allocation is declined, its owner asks again at once; one that must not take effect twice is
// barred until its try's time is over, unless its group drops the repeat.
func (t *Table) Fence(now float64, shard int, leastLeft float64) []Orphan {
	var all []Orphan
	for n, en := range t.all {
		if en.Shard == shard {
			all = append(all, Orphan{n, *en, t.fate(now, en, leastLeft)})
		}
	}
	slices.SortFunc(all, byName)
	for _, o := range all {
		t.answered(o.Name, t.all[o.Name])
		t.hold(o.Name, t.all[o.Name], -1)
		t.spare = append(t.spare, t.all[o.Name])
		delete(t.all, o.Name)
		if o.Entry.Out && t.jobs[o.Entry.Job].Semantics != logic.Restartable {
			t.barred[o.Name] = max(now, o.Entry.Expiry)
		}
	}
	t.Epoch++
	return all
}

// Overdue answers what a shard that gives no sign of life has not answered and whose expiry is within so many ms: an
// answer may not wait until the shard is fenced, or runs on. The shard keeps what it has out but gets no leave any more.
func (t *Table) Overdue(now float64, shard int, within float64) []Orphan {
	var all []Orphan
	for n, en := range t.all {
		if en.Shard == shard && !en.Answered && en.Expiry-now < within {
			t.answered(n, en)
			o := Orphan{Name: n, Entry: *en, Fate: Fails}
			if j := &t.jobs[en.Job]; outcome.Withdrawn(j.Semantics, j.IdempotencyScope, en.Out, en.MayHave) {
				o.Fate = Declines
			}
			all = append(all, o)
		}
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(x, y Orphan) int {
	return cmp.Or(cmp.Compare(x.Name.Tenant, y.Name.Tenant), cmp.Compare(x.Name.Token, y.Name.Token))
}

func (t *Table) fate(now float64, en *Entry, leastLeft float64) Fate {
	j := &t.jobs[en.Job]
	switch {
	case en.Answered:
		return Continues
	case !en.Out && !en.MayHave && en.Expiry-now > leastLeft:
		return Moves
	case outcome.Withdrawn(j.Semantics, j.IdempotencyScope, en.Out, en.MayHave):
		return Declines
	}
	return Fails
}

// Forget drops what is barred no longer.
func (t *Table) Forget(now float64) {
	for n, until := range t.barred {
		if now > until {
			delete(t.barred, n)
		}
	}
}
