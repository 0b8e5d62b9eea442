package membership

// OnNodeUnreachable records that this process has lost contact with an incarnation of a node. The other schedulers are asked about the
// node.
func (d *Detector) OnNodeUnreachable(now float64, node uint32, incarnation uint64) {
	d.nodeReachability.OnUnreachable(now, node, incarnation)
}

// OnNodeReachable records that this process is in contact with a node again.
func (d *Detector) OnNodeReachable(node uint32) { d.nodeReachability.OnReachable(node) }

// IsNodeAlive reports whether other schedulers are in contact with an incarnation of a node that this process cannot reach.
func (d *Detector) IsNodeAlive(now float64, node uint32, incarnation uint64) bool {
	return d.nodeReachability.IsReachable(now, node, incarnation)
}

// EndedNodes yields, once, each unreachable node whose incarnation has ended according to other schedulers.
func (d *Detector) EndedNodes(yield func(node uint32, incarnation uint64)) {
	d.nodeReachability.Ended(yield)
}

// OnNodeList records the node list that this process received. Nodes that are draining or removed are gossiped.
func (d *Detector) OnNodeList(now float64, version uint64, nodes func(yield func(node uint32, ready, removed bool))) {
	d.nodeGossip.OnList(now, version, nodes)
}

// UnreadyNodes returns the nodes that are draining or removed according to schedulers with a later version of the node list, sorted.
func (d *Detector) UnreadyNodes(now float64) []uint32 { return d.nodeGossip.Unready(now) }
