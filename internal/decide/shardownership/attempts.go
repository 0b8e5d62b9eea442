package shardownership

import "ravenpond/logic"

// PermitAttempt reports whether an attempt may be sent, and records it as open if so. It refuses the permit if the claim is not valid, another
// attempt is open, the client has its answer, or an earlier attempt of an at-most-once allocation may have run.
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

// CompleteAttempt records the outcome of the open attempt. neverRan is true if the attempt provably did not run.
func (t *Table) CompleteAttempt(c Claim, neverRan bool) {
	if entry := t.owned(c); entry != nil {
		entry.AttemptOpen = false
		entry.MayHaveRun = entry.MayHaveRun || !neverRan
	}
}

// PermitAnswer reports whether the final answer may be sent, and records it as sent if so. It refuses the permit if the claim is not valid or
// the client was already answered. served is true if the answer says that the allocation runs.
func (t *Table) PermitAnswer(c Claim, served bool) bool {
	entry := t.owned(c)
	if entry == nil || entry.Answered {
		return false
	}
	t.markAnswered(c.ID, entry)
	entry.Served = served
	return true
}

// Recover makes a shard the owner of an allocation that a node reports as running. It returns false if another shard owns it.
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

// HolderOf returns the owner of an allocation if the given attempt is the allocation's last one.
func (t *Table) HolderOf(id ID, ticket uint64, number uint8) (shard int, ok bool) {
	entry := t.entries[id]
	if entry == nil || entry.LastAttempt.Ticket != ticket || entry.LastAttempt.Number != number {
		return 0, false
	}
	return entry.Shard, true
}
