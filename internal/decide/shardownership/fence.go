package shardownership

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Disposition is what becomes of an allocation whose shard no longer acts for it.
type Disposition uint8

// Dispositions.
const (
	Reassign Disposition = iota // another shard goes on with it, under the next epoch
	Shed                        // the client may retry: no attempt is open, or a second run does no harm
	Fail                        // it may have run: nothing is promised
	Continue                    // the client has its answer; if it runs, its node will report it
)

// Orphan is an allocation whose shard no longer acts for it.
type Orphan struct {
	ID          ID
	Entry       Entry
	Disposition Disposition
}

// Fence takes all allocations from a shard and raises the epoch, so that the shard gets no further permit. It returns them in order of
// their IDs. Those to be reassigned need minTimeLeft milliseconds to their deadline, and are not in the table until they are assigned
// again.
//
// The outcome of an attempt that is open cannot be awaited, because the shard that would receive it is gone. A restartable allocation is
// shed; its client retries at once. Any other is barred until its deadline.
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

// isRetrySafe reports whether the client may retry an allocation without a risk of a second effect.
func (t *Table) isRetrySafe(entry *Entry) bool {
	class := &t.jobClasses[entry.JobClass]
	return outcome.IsRetrySafe(class.Semantics, class.IdempotencyScope, entry.AttemptOpen, entry.MayHaveRun)
}

// ShedOverdue marks the allocations of a silent shard as answered that have no answer and whose deadline is closer than within
// milliseconds, and returns them in order of their IDs: their answers cannot wait until the shard is fenced. The shard keeps its open
// attempts but gets no further permit for them.
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

// ExpireBars forgets the allocations that are barred no longer.
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
