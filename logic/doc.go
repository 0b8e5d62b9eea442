// Package logic decides which node runs each allocation of a cluster.
//
// A Scheduler receives events through the methods of EventHandler and acts through Effects (both in iface.go); the caller ends each round
// of events with Decide. A Scheduler keeps no clock and does no I/O: from the same calls and the same seed it makes the same decisions. It
// is not safe for concurrent use; calls come one at a time, never from inside an effect. No call returns an error: events about nodes or
// allocations that are not known are ignored.
//
// An allocation that needs a node passes a chain of stages (chain.go): is there time left to start it (queue.go), may it be attempted again
// (attempts.go), which node is best (placement.go), send the attempt (attempts.go). The outcome of an attempt passes the stages in reverse.
//
// The mechanisms, each in a file of its own:
//
//   - list.go, nodes.go: the node list and its polling; the table of nodes
//   - capacity.go, usage.go: what is believed to be allocated and in use on each node, from load reports and this scheduler's own changes
//   - filters.go: the conditions that exclude a node for an allocation
//   - scoring.go: the net benefit of a node (docs/design.md) and the order of nodes for a service
//   - survey.go: the load of the whole fleet, nodes beyond need, nodes reserved for large allocations
//   - placement.go: the draw among the best candidates
//   - attempts.go: retry rules, time-outs, final answers
//   - queue.go: allocations that wait for a node, highest priority weight first
//   - health.go: reachability, failures by job class, degraded service
//   - slowstart.go: this scheduler's part of the attempts that a node tolerates while it warms up
//   - probing.go: health checks and requests for load reports
//   - timers.go: timers and periodic work
//   - allocations.go: the tables of allocations and services
//   - histogram.go, random.go, resources.go: start times seen, random draws, amounts of cores and memory
//
// The design, the reason for each tuned value and its measured effect are in docs/design.md.
package logic
