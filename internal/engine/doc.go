// Package engine runs one instance of the placement policy (package logic) and keeps the state of its allocations and
// their placement attempts.
//
// An allocation is created for a client's request to start a task. The policy places it by making attempts; each attempt
// is an offer to one node. The engine carries out the policy's decisions, matches the nodes' answers to attempts, infers
// what may have happened when an answer is missing (by the rules of package decide/outcome), and gives each client
// exactly one final answer before the client's deadline.
//
// Inputs are the methods of Engine: client requests, updates of the node list, messages from nodes, and connections that
// were made or lost. Each call carries the time of the event. Round advances the time, fires timers and lets the policy
// decide; NextRound returns the latest time at which the next round is due.
//
// Outputs are the methods of Effects, which the engine calls synchronously and in the order in which the effects must
// take place. The package does no I/O, reads no clock and starts no goroutines; the same calls with the same seed
// produce the same effects.
//
// Concurrency: an Engine has no lock and must be called by one goroutine at a time. An implementation of Effects must
// not block and must not call back into the engine.
//
// Errors: a method that handles a peer's message returns an error if the peer violated the protocol (a duplicate answer,
// an attempt that was never made). The caller should then close the connection to that peer; the message leaves the
// engine's state unchanged.
//
// Times and durations are in milliseconds on the caller's clock, which is monotonic. The clocks of all schedulers agree
// to within some tens of milliseconds.
package engine
