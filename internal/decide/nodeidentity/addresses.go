package nodeidentity

import "slices"

// maxFormer is the number of nodes that are remembered as former owners of an address.
const maxFormer = 8

// claim is a node's entry in the list for an address.
type claim struct {
	node      uint32
	startedAt float64 // as the list says; 0: long ago
}

// ownership is the node that has an address, and those that had it while they were listed, oldest first.
type ownership struct {
	owner  claim
	former []claim
}

// Addresses holds which listed node has which address. One process listens at an address: where the list names several nodes, it is that of the one
// that started last, and the others have ended, though the list does not show it yet.
type Addresses struct {
	owners map[string]*ownership
}

// NewAddresses returns a table without owners.
func NewAddresses() *Addresses { return &Addresses{owners: map[string]*ownership{}} }

// Claimed is the effect of a list entry on the ownership of its address.
type Claimed struct {
	Owns      bool   // the node of the entry has the address
	Displaced bool   // Former had it until now
	Former    uint32 // set if Displaced
}

// Claim records an entry of the list that names a node, in service or draining, at an address. Of two nodes with the same start time the one that was
// listed there last has it; that the entry of a former owner is repeated does not give the address back.
func (a *Addresses) Claim(address string, node uint32, startedAt float64) Claimed {
	o := a.owners[address]
	if o == nil {
		a.owners[address] = &ownership{owner: claim{node, startedAt}}
		return Claimed{Owns: true}
	}
	if o.owner.node == node {
		o.owner.startedAt = max(o.owner.startedAt, startedAt)
		return Claimed{Owns: true}
	}
	if startedAt < o.owner.startedAt || o.isRepeated(node, startedAt) {
		o.remember(claim{node, startedAt})
		return Claimed{}
	}
	former := o.owner
	o.remember(former)
	o.owner = claim{node, startedAt}
	return Claimed{Owns: true, Displaced: true, Former: former.node}
}

// isRepeated reports whether a node was a former owner already, without a later start.
func (o *ownership) isRepeated(node uint32, startedAt float64) bool {
	return slices.ContainsFunc(o.former, func(c claim) bool { return c.node == node && startedAt <= c.startedAt })
}

// remember adds a former owner. The oldest is dropped when there are too many.
func (o *ownership) remember(c claim) {
	o.former = slices.DeleteFunc(o.former, func(x claim) bool { return x.node == c.node })
	if len(o.former) >= maxFormer {
		o.former = slices.Delete(o.former, 0, 1)
	}
	o.former = append(o.former, c)
}

// Release records that a node is no longer listed at an address.
func (a *Addresses) Release(address string, node uint32) {
	if o := a.owners[address]; o != nil && o.owner.node == node {
		delete(a.owners, address)
	}
}

// Len returns the number of addresses with an owner.
func (a *Addresses) Len() int { return len(a.owners) }
