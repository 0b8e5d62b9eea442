package membership

// OnNodeUnreachable records that this process no longer hears an incarnation of a node. The others are asked for it.
func (d *Detector) OnNodeUnreachable(now float64, node uint32, incarnation uint64) {
	d.nodeReachability.OnUnreachable(now, node, incarnation)
}

// OnNodeReachable records that this process hears a node again.
func (d *Detector) OnNodeReachable(node uint32) { d.nodeReachability.OnReachable(node) }

// IsNodeAlive reports whether others hear the incarnation of a node that is silent here.
func (d *Detector) IsNodeAlive(now float64, node uint32, incarnation uint64) bool {
	return d.nodeReachability.IsReachable(now, node, incarnation)
}

// EndedNodes yields each lost node once whose incarnation has ended according to others.
func (d *Detector) EndedNodes(yield func(node uint32, life uint64)) { d.nodeReachability.Ended(yield) }

// OnNodeList records an answer of this process's node list. Its changes are gossiped.
func (d *Detector) OnNodeList(now float64, version uint64, nodes func(yield func(node uint32, ready, gone bool))) {
	d.nodeGossip.OnList(now, version, nodes)
}

// UnreadyNodes returns, sorted, the nodes that are not ready according to others that know a later version of the node list.
func (d *Detector) UnreadyNodes(now float64) []uint32 { return d.nodeGossip.Unready(now) }
