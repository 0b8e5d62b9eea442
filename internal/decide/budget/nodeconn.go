package budget

// Purpose is what a connection to a node is requested for.
type Purpose uint8

// Purposes.
const (
	ForPlacement   Purpose = iota // a placement request waits for it
	ForProbe                      // the placement module probes the node
	ForHealthCheck                // tasks run at a node that is silent
)

// healthCheckInterval is the time in ms between two health checks of a node that take another node's connection. More frequent ones would
// take each other's connections away in turn.
const healthCheckInterval = 3000

// NodeConnRequest is a request for a connection to a node, and the connections that are held.
type NodeConnRequest struct {
	Purpose    Purpose
	Held       int     // connections to nodes
	Idle       int     // of them, on which nothing is open
	Spare      int     // of the idle ones, more than one to their node, or to nodes where no task runs
	SinceCheck float64 // ms since the last health check of the node
}

// Action is the decision about a connection.
type Action uint8

// Actions.
const (
	Connect Action = iota // make it
	Replace               // close the connection that has been idle for longest, a spare one first, then make it
	Skip                  // make none: a later time will do, or the request counts as not sent
)

// DecideNodeConn decides about a connection to a node. The limit is never exceeded: a connection beyond the process's descriptors would
// fail and make the node look unreachable.
func (l Limits) DecideNodeConn(r NodeConnRequest) Action {
	mayReplaceIdle := r.Purpose != ForHealthCheck || r.SinceCheck >= healthCheckInterval
	switch {
	case r.Held < l.NodeConns:
		return Connect
	case r.Spare > 0 || r.Idle > 0 && mayReplaceIdle:
		return Replace
	}
	return Skip
}
