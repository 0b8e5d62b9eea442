package shardownership

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Disposition is the decision about an allocation that its shard no longer owns.
type Disposition uint8

// Dispositions.
const (
	Reassign Disposition = iota // another shard takes it over, under the next epoch
	Shed                        // the client may retry: no attempt can have run, or a second run does no harm
	Fail                        // it may have run, and a second run could do harm: the client gets no promise
	Continue                    // the client has its answer; if the allocation runs, its node will report it
)

// Orphan is an allocation that its shard no longer owns.
type Orphan struct {
	ID          ID
	Entry       Entry
	Disposition Disposition
}

// Fence removes all allocations of a shard from the table and raises the epoch, so that the shard gets no further permit. It returns the
// allocations in order of their IDs. One is reassigned only if more than minTimeLeft milliseconds are left until its deadline, and is not in
// the table until the caller assigns it again.
//
// The outcome of an open attempt cannot be awaited, because the shard that would receive it is gone. A restartable allocation with an open
// attempt is shed, and its client may retry at once. Any other allocation with an open attempt is barred until its deadline.
func (t *Table) Fence(now float64, shard int, minTimeLeft float64) []Orphan {
	var orphans []Orphan
	for id, entry := range t.entries {
		if entry.Shard == shard {
			orphans = append(orphans, Orphan{id, *entry, t.disposition(now, entry, minTimeLeft)})
		}
	}
	slices.SortFunc(orphans, compareOrphans)
	for _, o := range orphans {
		t.remove(o.ID, t.entries[o.ID])
		if o.Entry.AttemptOpen && t.jobClasses[o.Entry.JobClass].Semantics != logic.Restartable {
			t.barredUntil[o.ID] = max(now, o.Entry.Deadline)
		}
	}
	t.Epoch++
	return orphans
}

func (t *Table) disposition(now float64, entry *Entry, minTimeLeft float64) Disposition {
	switch {
	case entry.Answered:
		return Continue
	case !entry.AttemptOpen && !entry.MayHaveRun && entry.Deadline-now > minTimeLeft:
		return Reassign
	case t.isRetrySafe(entry):
		return Shed
	}
	return Fail
}

// isRetrySafe reports whether the client may retry an allocation without the risk of a second effect.
func (t *Table) isRetrySafe(entry *Entry) bool {
	class := &t.jobClasses[entry.JobClass]
	return outcome.IsRetrySafe(class.Semantics, class.IdempotencyScope, entry.AttemptOpen, entry.MayHaveRun)
}

// ShedOverdue returns, in order of their IDs, the unanswered allocations of a silent shard whose deadline is less than within milliseconds
// away, and marks them as answered: their answers cannot wait until the shard is fenced. The shard remains the owner and may complete open
// attempts, but gets no further permit for these allocations.
func (t *Table) ShedOverdue(now float64, shard int, within float64) []Orphan {
	var orphans []Orphan
	for id, entry := range t.entries {
		if entry.Shard != shard || entry.Answered || entry.Deadline-now >= within {
			continue
		}
		t.markAnswered(id, entry)
		orphan := Orphan{ID: id, Entry: *entry, Disposition: Fail}
		if t.isRetrySafe(entry) {
			orphan.Disposition = Shed
		}
		orphans = append(orphans, orphan)
	}
	slices.SortFunc(orphans, compareOrphans)
	return orphans
}

// ExpireBars deletes the bars that have ended.
func (t *Table) ExpireBars(now float64) {
	for id, until := range t.barredUntil {
		if now > until {
			delete(t.barredUntil, id)
		}
	}
}

func compareOrphans(x, y Orphan) int {
	return cmp.Or(cmp.Compare(x.ID.Tenant, y.ID.Tenant), cmp.Compare(x.ID.Token, y.ID.Token))
}
