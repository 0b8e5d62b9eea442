// Package shardownership records which shard of a process acts for each allocation. Each open or running allocation has one owner among
// the shards and an epoch, which is raised at every handover and fence. A shard asks the table for a permit before it sends an attempt or
// the final answer; only the owner under its present epoch gets one, so that a shard that was fenced or gave the allocation away can do no
// harm when it goes on.
//
// The table also keeps the state of each allocation's last attempt. When a shard is fenced, this state decides whether another shard goes
// on with the allocation, whether the client may retry, or whether nothing can be promised.
//
// The package does no I/O, starts no goroutines and returns no errors: a refused permit is false. A Table is not safe for concurrent use;
// package shardrouter wraps it, and its callers hold one lock for each call. All times are milliseconds on the caller's clock.
package shardownership

import "ravenpond/logic"

// ID identifies an allocation, whichever client asks for it.
type ID struct {
	Tenant int
	Token  uint64
}

// Request is a client's request for an allocation.
type Request struct {
	Client        uint32
	Ref           uint64 // the client's number of the request
	JobClass      int
	Service       uint64
	Cores, Memory float64
	Deadline      float64 // the client's, ms
	AssignedAt    float64 // when it was first given to a shard, ms
}

// Attempt identifies a placement attempt at a node.
type Attempt struct {
	Node   uint32
	Ticket uint64
	Number uint8
}

// RequestKey identifies a request by its client and the client's number of it.
type RequestKey struct {
	Client uint32
	Ref    uint64
}

// Claim states that a shard acts for an allocation under an epoch. The table grants nothing to a claim that does not hold.
type Claim struct {
	ID    ID
	Shard int
	Epoch uint32
}

// Entry is an allocation that a shard acts for.
type Entry struct {
	Request
	Shard       int
	Epoch       uint32
	AttemptOpen bool // an attempt was sent and its outcome is not known
	MayHaveRun  bool // an earlier attempt may have run
	Answered    bool // the client has the final answer
	Served      bool // the answer was that the allocation runs, or it was found running
	LastAttempt Attempt
}

// State is what the table knows of an allocation.
type State uint8

// States of an allocation.
const (
	Unassigned State = iota // no shard acts for it
	Assigned                // a shard acts for it
	Barred                  // a shard that was fenced may have started it: its outcome is awaited
)

// Table records which shard acts for each allocation, and under which epoch.
type Table struct {
	Epoch         uint32 // of allocations that are assigned now; raised by every fence, higher than in any earlier incarnation
	FaultAnyEpoch bool   // injected fault: any epoch gets a permit

	// OnOpenChange, if set, is called with 1 or -1 for each allocation that is opened or answered.
	OnOpenChange func(tenant, by int)
	// OnHeldChange, if set, is called with 1 or -1 for each entry that is added or removed.
	OnHeldChange func(tenant int, request *Request, by float64)

	jobClasses  []logic.JobClass
	entries     map[ID]*Entry
	barredUntil map[ID]float64 // allocations that were fenced with an open attempt
	free        []*Entry       // removed entries for reuse
	open        int            // entries that are not answered
}

// NewTable returns an empty table for job classes, with a first epoch.
func NewTable(jobClasses []logic.JobClass, epoch uint32) *Table {
	return &Table{jobClasses: jobClasses, entries: map[ID]*Entry{}, barredUntil: map[ID]float64{}, Epoch: epoch}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Open returns the number of entries that are not answered.
func (t *Table) Open() int { return t.open }

// TenantOpen returns the number of a tenant's entries that are not answered and whose clients still wait.
func (t *Table) TenantOpen(now float64, tenant int) (n int) {
	for id, entry := range t.entries {
		if id.Tenant == tenant && !entry.Answered && now < entry.Deadline {
			n++
		}
	}
	return n
}

// OpenRequests returns the requests of the allocations that a shard acts for and that have no answer.
func (t *Table) OpenRequests(shard int) map[RequestKey]bool {
	open := map[RequestKey]bool{}
	for _, entry := range t.entries {
		if entry.Shard == shard && !entry.Answered {
			open[RequestKey{entry.Client, entry.Ref}] = true
		}
	}
	return open
}

// CountService returns how many allocations of a service a shard acts for, and whether one of them is of a job class that isSpread selects.
func (t *Table) CountService(shard int, service uint64, isSpread func(jobClass int) bool) (count int, spread bool) {
	for _, entry := range t.entries {
		if entry.Shard == shard && entry.Service == service {
			count++
			spread = spread || isSpread(entry.JobClass)
		}
	}
	return count, spread
}

// Entry returns an allocation's entry, nil if there is none. The caller must not change it.
func (t *Table) Entry(id ID) *Entry { return t.entries[id] }

// Lookup returns the state of an allocation, and its shard if one acts for it.
func (t *Table) Lookup(now float64, id ID) (shard int, state State) {
	if entry := t.entries[id]; entry != nil {
		return entry.Shard, Assigned
	}
	if now < t.barredUntil[id] {
		return 0, Barred
	}
	return 0, Unassigned
}

// Assign gives an allocation for which no shard acts to a shard. It returns the epoch that the shard's claims must name.
func (t *Table) Assign(id ID, shard int, request Request) uint32 {
	delete(t.barredUntil, id)
	var entry *Entry
	if last := len(t.free) - 1; last >= 0 {
		entry, t.free = t.free[last], t.free[:last]
	} else {
		entry = new(Entry)
	}
	*entry = Entry{Request: request, Shard: shard, Epoch: t.Epoch}
	t.entries[id] = entry
	t.addOpen(id, 1)
	t.notifyHeld(id, entry, 1)
	return t.Epoch
}

// NextEpoch raises the epoch. The caller does so before it hands allocations over.
func (t *Table) NextEpoch() { t.Epoch++ }

// IsOwner reports whether a claim holds.
func (t *Table) IsOwner(c Claim) bool { return t.owned(c) != nil }

// owned returns the entry of a claim that holds, nil for any other.
func (t *Table) owned(c Claim) *Entry {
	entry := t.entries[c.ID]
	if entry == nil || entry.Shard != c.Shard || entry.Epoch != c.Epoch {
		return nil
	}
	return entry
}

// SetClient changes the client that is notified of an allocation.
func (t *Table) SetClient(c Claim, client uint32, ref uint64) {
	if entry := t.owned(c); entry != nil {
		entry.Client, entry.Ref = client, ref
	}
}

// HandOver gives an allocation to another shard under the present epoch, which the caller has raised by NextEpoch. It refuses while an
// attempt is open, and where an earlier one may have run and the client has no answer, because the outcome would reach the old shard.
func (t *Table) HandOver(c Claim, to int) (epoch uint32, ok bool) {
	entry := t.owned(c)
	if entry == nil {
		return 0, false
	}
	if !entry.Answered && (entry.AttemptOpen || entry.MayHaveRun) && !t.FaultAnyEpoch {
		return 0, false
	}
	entry.Shard, entry.Epoch = to, t.Epoch
	return t.Epoch, true
}

// Remove ends an entry; false if the claim does not hold.
func (t *Table) Remove(c Claim) bool {
	entry := t.owned(c)
	if entry == nil {
		return false
	}
	t.remove(c.ID, entry)
	return true
}

func (t *Table) remove(id ID, entry *Entry) {
	t.markAnswered(id, entry)
	t.notifyHeld(id, entry, -1)
	delete(t.entries, id)
	t.free = append(t.free, entry)
}

func (t *Table) markAnswered(id ID, entry *Entry) {
	if !entry.Answered {
		entry.Answered = true
		t.addOpen(id, -1)
	}
}

func (t *Table) addOpen(id ID, by int) {
	t.open += by
	if t.OnOpenChange != nil {
		t.OnOpenChange(id.Tenant, by)
	}
}

func (t *Table) notifyHeld(id ID, entry *Entry, by float64) {
	if t.OnHeldChange != nil {
		t.OnHeldChange(id.Tenant, &entry.Request, by)
	}
}
