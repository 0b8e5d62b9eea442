// Package zones decides when a zone of the site is lost, and where its load goes.
//
// Each process counts the nodes of each zone that it can reach, and reports the counts (Summary) to the leader of the voters. From the
// reports of all processes, the leader's Controller derives proposals for the state of each zone (Proposal) and a plan that divides the load
// of closed zones among the others (Transfer). The caller commits both to the replicated cluster state. The Selector of each process derives
// from the cluster state to which fraction of each zone's nodes the process sends.
//
// The package guards against three faults. A broken network path does not close a zone: a zone counts as lost only if at least two other
// zones, and more than half of those that report, lost contact with most of its nodes; for nodes that only one process or one zone cannot
// reach, other packages decide node by node. Overload does not close a zone: only missing replies are evidence of a loss, and at most half of
// all zones are closed, so that the load of one closed zone does not close the next. Zones that fail repeatedly stay closed for longer: the
// cluster state doubles their hold-down.
//
// The package does no I/O and returns no errors. Controller and Selector are not safe for concurrent use. All times are milliseconds on
// the caller's clock.
package zones

// Summary is one process's observation of a zone.
type Summary struct {
	Nodes     int     // number of nodes that the process probes
	Reachable int     // number of these nodes that replied recently
	Capacity  float64 // cores of all nodes of the zone that are ready in the node list
	Used      float64 // number of these cores in use
}

const (
	lostFraction    = 0.25 // a zone is lost if at most this fraction of its nodes is reachable
	healthyFraction = 0.75 // a zone is healthy if at least this fraction of its nodes is reachable

	// maxUtilization is the utilization of a zone up to which it takes load from other zones.
	maxUtilization = 0.85
)

// isLost reports whether at most lostFraction of the zone's nodes are reachable.
func (s Summary) isLost() bool {
	return s.Nodes > 0 && float64(s.Reachable) <= lostFraction*float64(s.Nodes)
}

// isHealthy reports whether at least healthyFraction of the zone's nodes are reachable.
func (s Summary) isHealthy() bool {
	return s.Nodes > 0 && float64(s.Reachable) >= healthyFraction*float64(s.Nodes)
}

// Location names a zone and its region as in the site file.
type Location struct{ Name, Region string }
