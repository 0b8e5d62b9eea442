// Package shardownership decides who may act for an allocation. Each open or running allocation has one owner among the
// shards and an epoch that is raised at every handover; a try needs the ledger's leave, which only the owner's
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

// Try is a placement try as the ledger knows it.
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

// Ledger is the table.
type Ledger struct {
	jobs    []logic.JobType
	all     map[Name]*Entry
	barred  map[Name]float64 // those that were fenced with a try out, until its time is over
	spare   []*Entry
	open    int                                    // entries that are not answered
	Epoch   uint32                                 // of what is taken now; raised by every fence, never lower than in an earlier life
	Trusted bool                                   // for tests: gives leave to any epoch, which must be found
	Count   func(tenant, by int)                   // hears of entries that open and are answered, if it is not nil
	Held    func(tenant int, ask *Ask, by float64) // and of entries that come and go, by 1 or -1
}

// Table makes a ledger for job types, with a first epoch.
func Table(jobs []logic.JobType, epoch uint32) *Ledger {
	return &Ledger{jobs: jobs, all: map[Name]*Entry{}, barred: map[Name]float64{}, Epoch: epoch}
}

// Len is the number of entries, Open that of those not answered yet.
func (l *Ledger) Len() int { return len(l.all) }

// Open is the number of entries that are not answered yet.
func (l *Ledger) Open() int { return l.open }

// Uses is the number of a tenant's entries that are not answered and whose owners still wait.
func (l *Ledger) Uses(now float64, tenant int) (n int) {
	for name, en := range l.all {
		if name.Tenant == tenant && !en.Answered && now < en.Expiry {
			n++
		}
	}
	return n
}

// Entry gives an allocation's entry, nil if there is none.
func (l *Ledger) Entry(n Name) *Entry { return l.all[n] }

// answered marks an entry.
func (l *Ledger) answered(n Name, en *Entry) {
	if !en.Answered {
		en.Answered = true
		l.count(n, -1)
	}
}

func (l *Ledger) hold(n Name, en *Entry, by float64) {
	if l.Held != nil {
		l.Held(n.Tenant, &en.Ask, by)
	}
}

func (l *Ledger) count(n Name, by int) {
	l.open += by
	if l.Count != nil {
		l.Count(n.Tenant, by)
	}
}

// Look tells the owner of an allocation.
func (l *Ledger) Look(now float64, n Name) (shard int, s State) {
	if en := l.all[n]; en != nil {
		return en.Shard, Known
	}
	if now < l.barred[n] {
		return 0, Barring
	}
	return 0, New
}

// Take gives an allocation that nobody acts for to a shard, and returns the epoch that its tries must name.
func (l *Ledger) Take(n Name, shard int, ask Ask) uint32 {
	delete(l.barred, n)
	var en *Entry
	if k := len(l.spare); k > 0 {
		en, l.spare = l.spare[k-1], l.spare[:k-1]
	} else {
		en = new(Entry)
	}
	*en = Entry{Ask: ask, Shard: shard, Epoch: l.Epoch}
	l.all[n] = en
	l.count(n, 1)
	l.hold(n, en, 1)
	return l.Epoch
}

// Send asks leave for a try. Without it the try must not leave: the shard no longer acts for the allocation.
func (l *Ledger) Send(n Name, shard int, epoch uint32, try Try) bool {
	en := l.all[n]
	if l.Trusted {
		if en != nil {
			en.Out, en.Last = true, try
		}
		return true
	}
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.Out || en.Answered {
		return false
	}
	if j := &l.jobs[en.Job]; en.MayHave && j.Effect == logic.RunOnce {
		return false // whoever asks, a second try is never right
	}
	en.Out, en.Last = true, try
	return true
}

// Settle notes a try's outcome; never tells that it is proven not to have run.
func (l *Ledger) Settle(n Name, shard int, epoch uint32, never bool) {
	if en := l.all[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.Out = false
		en.MayHave = en.MayHave || !never
	}
}

// Answer notes that the final answer leaves, and which; false if it must not, since another acts or it was given.
func (l *Ledger) Answer(n Name, shard int, epoch uint32, served bool) bool {
	en := l.all[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch || en.Answered {
		return false
	}
	l.answered(n, en)
	en.Served = served
	return true
}

// Found gives what a node runs to a shard; false if another acts for it already.
func (l *Ledger) Found(n Name, shard int, ask Ask, try Try) (epoch uint32, ok bool) {
	en := l.all[n]
	if en != nil && en.Shard != shard {
		return 0, false
	}
	if en == nil {
		l.Take(n, shard, ask)
		en = l.all[n]
	}
	l.answered(n, en)
	en.Out, en.Served, en.Last = false, true, try
	return en.Epoch, true
}

// Hand gives an allocation from one shard to another, under an epoch of which the caller says that it begins with
// NextEpoch: not while a try is out, nor where an earlier one may have run and it is not answered, as what the
// present shard still may hear of that would be lost.
func (l *Ledger) Hand(n Name, from int, epoch uint32, to int) (uint32, bool) {
	en := l.all[n]
	if en == nil || en.Shard != from || en.Epoch != epoch {
		return 0, false
	}
	if !en.Answered && (en.Out || en.MayHave) && !l.Trusted {
		return 0, false
	}
	en.Shard, en.Epoch = to, l.Epoch
	return l.Epoch, true
}

// NextEpoch begins one.
func (l *Ledger) NextEpoch() { l.Epoch++ }

// Holder tells the shard that acts for an allocation by this very try.
func (l *Ledger) Holder(n Name, ticket uint64, no uint8) (shard int, ok bool) {
	en := l.all[n]
	if en == nil || en.Last.Ticket != ticket || en.Last.No != no {
		return 0, false
	}
	return en.Shard, true
}

// Owned notes who is told of an allocation from now on.
func (l *Ledger) Owned(n Name, shard int, epoch uint32, owner uint32, ref uint64) {
	if en := l.all[n]; en != nil && en.Shard == shard && en.Epoch == epoch {
		en.Owner, en.Ref = owner, ref
	}
}

// Drop ends an entry; false if another acts for the allocation.
func (l *Ledger) Drop(n Name, shard int, epoch uint32) bool {
	en := l.all[n]
	if en == nil || en.Shard != shard || en.Epoch != epoch {
		return false
	}
	l.answered(n, en)
	l.hold(n, en, -1)
	delete(l.all, n)
	l.spare = append(l.spare, en)
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
// order of their names. What moves has the next epoch and stays out of the ledger until it is taken again.
//
// A try that is out when its shard is fenced can't be waited for: the one who would hear of it is gone. A
// restartable allocation is declined, its owner asks again at once; one that must not take effect twice is
// barred until its try's time is over, unless its group drops the repeat.
func (l *Ledger) Fence(now float64, shard int, leastLeft float64) []Orphan {
	var all []Orphan
	for n, en := range l.all {
		if en.Shard == shard {
			all = append(all, Orphan{n, *en, l.fate(now, en, leastLeft)})
		}
	}
	slices.SortFunc(all, byName)
	for _, o := range all {
		l.answered(o.Name, l.all[o.Name])
		l.hold(o.Name, l.all[o.Name], -1)
		l.spare = append(l.spare, l.all[o.Name])
		delete(l.all, o.Name)
		if o.Entry.Out && l.jobs[o.Entry.Job].Effect != logic.Restartable {
			l.barred[o.Name] = max(now, o.Entry.Expiry)
		}
	}
	l.Epoch++
	return all
}

// Overdue answers what a shard that gives no sign of life has not answered and whose expiry is within so many ms: an
// answer may not wait until the shard is fenced, or runs on. The shard keeps what it has out but gets no leave any more.
func (l *Ledger) Overdue(now float64, shard int, within float64) []Orphan {
	var all []Orphan
	for n, en := range l.all {
		if en.Shard == shard && !en.Answered && en.Expiry-now < within {
			l.answered(n, en)
			o := Orphan{Name: n, Entry: *en, Fate: Fails}
			if j := &l.jobs[en.Job]; outcome.Withdrawn(j.Effect, j.Group, en.Out, en.MayHave) {
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

func (l *Ledger) fate(now float64, en *Entry, leastLeft float64) Fate {
	j := &l.jobs[en.Job]
	switch {
	case en.Answered:
		return Continues
	case !en.Out && !en.MayHave && en.Expiry-now > leastLeft:
		return Moves
	case outcome.Withdrawn(j.Effect, j.Group, en.Out, en.MayHave):
		return Declines
	}
	return Fails
}

// Forget drops what is barred no longer.
func (l *Ledger) Forget(now float64) {
	for n, until := range l.barred {
		if now > until {
			delete(l.barred, n)
		}
	}
}
