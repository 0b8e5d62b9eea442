// Package shardownership records which shard of a process owns each allocation. Each open or running allocation has one owner among the
// shards and an epoch, which is raised at every handover and fence. A shard asks the table for a permit before it sends an attempt or the
// final answer. Only the owner gets one, under its current epoch, so that a shard that continues to run after it was fenced or has handed the
// allocation over can do no harm.
//
// The table also keeps the state of each allocation's last attempt. When a shard is fenced, this state decides whether another shard takes
// the allocation over, whether the client may retry, or whether the outcome is unknown to the client.
//
// The package does no I/O, starts no goroutines and returns no errors: a refused permit is false. A Table is not safe for concurrent use.
// Package shardrouter wraps it, and the callers of shardrouter hold one lock during each call. All times are milliseconds on the caller's clock.
package shardownership

import "ravenpond/logic"

// ID identifies an allocation, whichever client requests it.
type ID struct {
	Tenant int
	Token  uint64
}

// Request is a client's request for an allocation.
type Request struct {
	Client        uint32
	Ref           uint64 // number that the client gave the request
	JobClass      int
	Service       uint64
	Cores, Memory float64
	Deadline      float64 // ms; by then the client needs the answer
	AssignedAt    float64 // ms; when it was assigned to a shard first
}

// Attempt identifies an attempt to place an allocation at a node.
type Attempt struct {
	Node   uint32
	Ticket uint64
	Number uint8
}

// RequestKey identifies a request by its client and the number that the client gave it.
type RequestKey struct {
	Client uint32
	Ref    uint64
}

// Claim states that a shard owns an allocation under an epoch. It is valid if the table says the same; the table permits nothing to an invalid
// claim.
type Claim struct {
	ID    ID
	Shard int
	Epoch uint32
}

// Entry is the table's record of an allocation that a shard owns.
type Entry struct {
	Request
	Shard       int
	Epoch       uint32
	AttemptOpen bool // an attempt has a permit, and its outcome is not known
	MayHaveRun  bool // an earlier attempt may have run
	Answered    bool // the client has the final answer
	Served      bool // the answer says that the allocation runs, or a node reported it as running
	LastAttempt Attempt
}

// State is the state of an allocation in the table.
type State uint8

// States of an allocation.
const (
	Unassigned State = iota // no shard owns it
	Assigned                // a shard owns it
	Barred                  // a fenced shard may have started it: it must not be assigned again before its deadline
)

// Table records which shard owns each allocation, and under which epoch.
type Table struct {
	Epoch         uint32 // epoch of new assignments; raised by every fence and handover, and higher than in any earlier incarnation
	FaultAnyEpoch bool   // injected fault: a claim under any epoch gets a permit

	// OnOpenChange, if set, is called with by = 1 for each entry that is opened, and by = -1 for each that is answered.
	OnOpenChange func(tenant, by int)
	// OnHeldChange, if set, is called with by = 1 for each entry that is added, and by = -1 for each that is removed.
	OnHeldChange func(tenant int, request *Request, by float64)

	jobClasses  []logic.JobClass
	entries     map[ID]*Entry
	barredUntil map[ID]float64 // by allocation with an open attempt at a fence: when its bar ends, ms
	free        []*Entry       // removed entries for reuse
	open        int            // entries that are not answered
}

// NewTable returns an empty table whose first assignments are under epoch.
func NewTable(jobClasses []logic.JobClass, epoch uint32) *Table {
	return &Table{jobClasses: jobClasses, entries: map[ID]*Entry{}, barredUntil: map[ID]float64{}, Epoch: epoch}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Open returns the number of entries that are not answered.
func (t *Table) Open() int { return t.open }

// TenantOpen returns the number of a tenant's entries that are not answered and whose deadline has not passed, so that their clients still
// wait.
func (t *Table) TenantOpen(now float64, tenant int) (n int) {
	for id, entry := range t.entries {
		if id.Tenant == tenant && !entry.Answered && now < entry.Deadline {
			n++
		}
	}
	return n
}

// OpenRequests returns the requests of the allocations that a shard owns and that are not answered.
func (t *Table) OpenRequests(shard int) map[RequestKey]bool {
	open := map[RequestKey]bool{}
	for _, entry := range t.entries {
		if entry.Shard == shard && !entry.Answered {
			open[RequestKey{entry.Client, entry.Ref}] = true
		}
	}
	return open
}

// CountService returns how many allocations of a service a shard owns, and whether isSpread is true for the job class of any of them.
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

// Lookup returns the state of an allocation, and its owner if it has one.
func (t *Table) Lookup(now float64, id ID) (shard int, state State) {
	if entry := t.entries[id]; entry != nil {
		return entry.Shard, Assigned
	}
	if now < t.barredUntil[id] {
		return 0, Barred
	}
	return 0, Unassigned
}

// Assign makes a shard the owner of an allocation that has none. It returns the epoch that the shard's claims must name.
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

// NextEpoch raises the epoch. The caller must call it before it hands allocations over.
func (t *Table) NextEpoch() { t.Epoch++ }

// IsOwner reports whether a claim is valid.
func (t *Table) IsOwner(c Claim) bool { return t.owned(c) != nil }

// owned returns the entry that a claim names, nil if the claim is not valid.
func (t *Table) owned(c Claim) *Entry {
	entry := t.entries[c.ID]
	if entry == nil || entry.Shard != c.Shard || entry.Epoch != c.Epoch {
		return nil
	}
	return entry
}

// SetClient changes the client that is notified of an allocation, if the claim is valid.
func (t *Table) SetClient(c Claim, client uint32, ref uint64) {
	if entry := t.owned(c); entry != nil {
		entry.Client, entry.Ref = client, ref
	}
}

// HandOver makes another shard the owner of an allocation, under the current epoch, which the caller has raised by NextEpoch. While the client
// has no answer, it refuses if an attempt is open or an earlier one may have run, because the outcome would reach the old owner.
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

// Remove removes an entry. It returns false if the claim is not valid.
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
