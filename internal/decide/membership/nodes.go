package membership

// NodeLost records that this process no longer hears an incarnation of a node. The others are asked for it.
func (d *Detector) NodeLost(now float64, node uint32, life uint64) {
	d.nodeReachability.OnUnreachable(now, node, life)
}

// NodeBack records that this process hears a node again.
func (d *Detector) NodeBack(node uint32) { d.nodeReachability.OnReachable(node) }

// NodeLives reports whether others hear the incarnation of a node that is silent here.
func (d *Detector) NodeLives(now float64, node uint32, life uint64) bool {
	return d.nodeReachability.IsReachable(now, node, life)
}

// NodesEnded yields each lost node once whose incarnation has ended according to others.
func (d *Detector) NodesEnded(yield func(node uint32, life uint64)) { d.nodeReachability.Ended(yield) }

// List records an answer of this process's node list. Its changes are gossiped.
func (d *Detector) List(now float64, version uint64, each func(yield func(node uint32, ready, gone bool))) {
	d.nodeGossip.OnList(now, version, each)
}

// Held returns, sorted, the nodes that are not ready according to others that know a later version of the node list.
func (d *Detector) Held(now float64) []uint32 { return d.nodeGossip.Unready(now) }
