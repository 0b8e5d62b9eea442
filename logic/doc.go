// Package logic decides which node runs each allocation of a cluster.
//
// A Scheduler receives events through the methods of EventHandler and acts through Effects (both in iface.go); the caller ends each round
// of events with Decide. A Scheduler reads no clock and performs no I/O: the same calls with the same seed give the same decisions. It is
// not safe for concurrent use: the caller makes one call at a time, and none from inside an effect. No call returns an error: events about
// unknown nodes or allocations are ignored.
//
// An allocation that needs a node passes through a pipeline of stages (pipeline.go), which check that enough time is left to start it
// (queue.go), check that it may be attempted again (attempts.go), choose a node (placement.go) and send the attempt (attempts.go). The
// outcome of the attempt passes through the same stages in reverse order.
//
// Each mechanism has its own file:
//
//   - list.go, nodes.go: the node list and its polling; the table of nodes
//   - capacity.go, usage.go: estimates of what is allocated and in use on each node, from load reports and this scheduler's own changes
//   - estimate.go: access to these estimates, to compare them with load reports
//   - filters.go: the conditions that exclude a node for an allocation
//   - scoring.go: the net benefit of a node (docs/design.md) and each service's ranking of the nodes
//   - fleet.go: the load of the whole fleet, surplus nodes, nodes reserved for large allocations
//   - placement.go: the random choice among the best candidates
//   - attempts.go: retry rules, time-outs, final answers
//   - queue.go: allocations that wait for a node, highest priority weight first
//   - health.go: reachability, failures by job class, degraded service
//   - slowstart.go: this scheduler's share of the attempts that a node accepts while it warms up
//   - probing.go: health checks and requests for load reports
//   - timers.go: timers and periodic work
//   - allocations.go: the tables of allocations and services
//   - histogram.go, random.go, resources.go: observed start times, random numbers, amounts of cores and memory
//
// The design, the reason for each tuned value and its measured effect are in docs/design.md.
package logic
