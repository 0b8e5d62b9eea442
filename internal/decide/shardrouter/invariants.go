package shardrouter

import (
	"fmt"

	"ravenpond/internal/decide/shardownership"
)

// CheckInvariants returns an error if the allocations that the shards hold differ from the router's tables. claims must yield a claim for each
// allocation that a shard holds.
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
		return fmt.Errorf("shards hold %d allocations, but the ownership table has %d", len(held), r.ownership.Len())
	case open != r.ownership.Len():
		return fmt.Errorf("the placement table counts %d allocations, but the ownership table has %d", open, r.ownership.Len())
	}
	return nil
}

func (r *Router) checkClaim(c shardownership.Claim) error {
	entry := r.ownership.Entry(c.ID)
	switch {
	case entry == nil:
		return fmt.Errorf("shard %d holds allocation %x, which is not in the ownership table", c.Shard, c.ID.Token)
	case entry.Shard != c.Shard || entry.Epoch != c.Epoch:
		return fmt.Errorf("shard %d holds allocation %x under epoch %d, but the ownership table has shard %d and epoch %d", c.Shard, c.ID.Token, c.Epoch,
			entry.Shard, entry.Epoch)
	}
	return nil
}
