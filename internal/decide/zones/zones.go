// Package zones decides when a zone of the site is lost and what follows from it.
//
// Each process counts which nodes of each zone it reaches and reports the counts (Summary) to the leader of the voters. The leader's
// Controller turns the reports of all processes into proposals for the state of each zone (Proposal) and into a plan that divides the load
// of closed zones among the others (Transfer). The caller commits both to the replicated cluster state. Each process has a Selector, which
// derives from the cluster state to which fraction of each zone's nodes this process sends.
//
// The package guards against three faults. A broken network path closes nothing: a zone counts as lost only if at least two other zones,
// and more than half of those that report, lost most of its nodes; what one process or one zone does not reach is judged node by node in
// other packages. Overload closes nothing: only missing replies count as evidence, and at most half of all zones are closed, so that the
// load of one closed zone does not close the next. Zones that fail repeatedly stay closed longer: the cluster state doubles their rest.
//
// The package does no I/O and returns no errors. Controller and Selector are not safe for concurrent use. All times are milliseconds on
// the caller's clock.
package zones

// Summary is what one process observes of a zone.
type Summary struct {
	Nodes     int     // nodes that the process probes
	Reachable int     // those of them that answered lately
	Capacity  float64 // cores of all nodes of the zone that the node list has ready
	Used      float64 // cores of them that are taken
}

const (
	lostFraction    = 0.25 // highest fraction of reachable nodes at which a zone is lost
	healthyFraction = 0.75 // lowest fraction of reachable nodes at which a zone is healthy

	// maxUtilization is the fraction of a zone's capacity that load from other zones may fill.
	maxUtilization = 0.85
)

// isLost reports whether most of the zone's nodes are unreachable.
func (s Summary) isLost() bool {
	return s.Nodes > 0 && float64(s.Reachable) <= lostFraction*float64(s.Nodes)
}

// isHealthy reports whether most of the zone's nodes are reachable.
func (s Summary) isHealthy() bool {
	return s.Nodes > 0 && float64(s.Reachable) >= healthyFraction*float64(s.Nodes)
}

// Location is a zone and the region that it belongs to, as the site file names them.
type Location struct{ Name, Region string }
