package shardownership

import "ravenpond/logic"

// PermitAttempt permits an attempt and records it as open. Without a permit the attempt must not be sent: the shard does not act for the
// allocation any more, another attempt is open, the client has its answer, or a second attempt is never right.
func (t *Table) PermitAttempt(c Claim, a Attempt) bool {
	entry := t.owned(c)
	if t.FaultAnyEpoch {
		if entry = t.entries[c.ID]; entry != nil {
			entry.AttemptOpen, entry.LastAttempt = true, a
		}
		return true
	}
	if entry == nil || entry.AttemptOpen || entry.Answered {
		return false
	}
	if entry.MayHaveRun && t.jobClasses[entry.JobClass].Semantics == logic.AtMostOnce {
		return false
	}
	entry.AttemptOpen, entry.LastAttempt = true, a
	return true
}

// CompleteAttempt records the outcome of the open attempt. neverRan says that it provably did not run.
func (t *Table) CompleteAttempt(c Claim, neverRan bool) {
	if entry := t.owned(c); entry != nil {
		entry.AttemptOpen = false
		entry.MayHaveRun = entry.MayHaveRun || !neverRan
	}
}

// PermitAnswer permits the final answer and records whether it is that the allocation runs; false if the claim does not hold or the
// client was answered.
func (t *Table) PermitAnswer(c Claim, served bool) bool {
	entry := t.owned(c)
	if entry == nil || entry.Answered {
		return false
	}
	t.markAnswered(c.ID, entry)
	entry.Served = served
	return true
}

// Recover gives an allocation that a node reports as running to a shard; false if another shard acts for it.
func (t *Table) Recover(id ID, shard int, request Request, attempt Attempt) (epoch uint32, ok bool) {
	entry := t.entries[id]
	if entry != nil && entry.Shard != shard {
		return 0, false
	}
	if entry == nil {
		t.Assign(id, shard, request)
		entry = t.entries[id]
	}
	t.markAnswered(id, entry)
	entry.AttemptOpen, entry.Served, entry.LastAttempt = false, true, attempt
	return entry.Epoch, true
}

// HolderOf returns the shard that acts for an allocation by a given attempt.
func (t *Table) HolderOf(id ID, ticket uint64, number uint8) (shard int, ok bool) {
	entry := t.entries[id]
	if entry == nil || entry.LastAttempt.Ticket != ticket || entry.LastAttempt.Number != number {
		return 0, false
	}
	return entry.Shard, true
}
