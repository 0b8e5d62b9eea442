package budget

// Purpose is the purpose of a requested connection to a node.
type Purpose uint8

// Purposes of connections.
const (
	ForPlacement   Purpose = iota // a placement request waits for the connection
	ForProbe                      // the placement module probes the node
	ForHealthCheck                // the node is silent and runs tasks
)

// healthCheckInterval is the minimum time in ms between two health checks of a node that may replace another node's connection. More frequent
// health checks would close each other's connections in turn.
const healthCheckInterval = 3000

// NodeConnRequest is a request for a connection to a node, with the numbers of present connections.
type NodeConnRequest struct {
	Purpose    Purpose
	Held       int     // connections to all nodes
	Idle       int     // of these, connections without an open request
	Spare      int     // of the idle ones, further connections to the same node or connections to nodes that run no task
	SinceCheck float64 // ms since the last health check of the node
	Ending     bool    // the process is about to exit, and has answered all requests
}

// Action is the decision about a connection.
type Action uint8

// Actions.
const (
	Connect Action = iota // open the connection
	Replace               // close the connection that has been idle for longest, a spare one if there is one, then open the new one
	Skip                  // open none: try again later, or treat the request as not sent
)

// DecideNodeConn decides about a connection to a node. The limit is never exceeded, because a connection for which the process has no
// descriptor would fail and make the node look unreachable. A process that is about to exit makes none that no request needs: a node reports
// ends of tasks on the next connection that is opened, and the process that opens it has to live long enough to notify clients.
func (l Limits) DecideNodeConn(r NodeConnRequest) Action {
	mayReplaceIdle := r.Purpose != ForHealthCheck || r.SinceCheck >= healthCheckInterval
	switch {
	case r.Ending && r.Purpose != ForPlacement:
		return Skip
	case r.Held < l.NodeConns:
		return Connect
	case r.Spare > 0 || r.Idle > 0 && mayReplaceIdle:
		return Replace
	}
	return Skip
}
