package shardrouter

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
)

// CheckInvariants compares what the shards hold with the router's tables. claims yields one claim for each allocation that a shard holds.
func (r *Router) CheckInvariants(claims func(yield func(shardownership.Claim))) error {
	held := map[shardownership.ID]bool{}
	var err error
	claims(func(c shardownership.Claim) {
		held[c.ID] = true
		if err == nil {
			err = r.checkClaim(c)
		}
	})
	if err != nil {
		return err
	}
	open := 0
	for i := range r.config.MaxShards {
		open += r.placement.Open(i)
	}
	switch {
	case len(held) != r.ownership.Len():
		return fmt.Errorf("shards hold %d allocations, the ownership table %d", len(held), r.ownership.Len())
	case open != r.ownership.Len():
		return fmt.Errorf("the table of shards counts %d allocations, the ownership table %d", open, r.ownership.Len())
	}
	return nil
}

func (r *Router) checkClaim(c shardownership.Claim) error {
	entry := r.ownership.Entry(c.ID)
	switch {
	case entry == nil:
		return fmt.Errorf("shard %d holds allocation %x that the ownership table does not know", c.Shard, c.ID.Token)
	case entry.Shard != c.Shard || entry.Epoch != c.Epoch:
		return fmt.Errorf("shard %d holds allocation %x by epoch %d, the ownership table has it at %d by %d", c.Shard, c.ID.Token, c.Epoch,
			entry.Shard, entry.Epoch)
	}
	return nil
}
