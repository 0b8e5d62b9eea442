// Package engine runs one instance of the placement policy (package logic) and keeps the state of its allocations and
// of their placement attempts.
//
// An allocation is one request of a client to start a task. The policy places it by an attempt: an offer to one node. The
// engine carries the policy's decisions out, matches the answers of nodes to attempts, concludes what may have happened
// where an answer is missing (by the rules of package decide/outcome), and gives each client exactly one final answer
// before the client's deadline.
//
// Inputs are the methods of Engine: requests of clients, updates of the node list, messages of nodes, connections that
// were made or lost. Each takes the time at which it happened. Round advances the time, fires timers and lets the
// policy decide; NextRound says when the next round is due at the latest.
//
// Outputs are the methods of Effects, which the engine calls synchronously and in the order in which the effects have
// to take place. The package does no I/O, reads no clock and starts no goroutine; the same calls and the same seed
// lead to the same effects.
//
// Concurrency: an Engine has no lock. One goroutine at a time may call it. An implementation of Effects must neither
// block nor call the engine back from inside a call.
//
// Errors: a method that takes a message of a peer returns an error if the peer broke the protocol (a duplicate answer,
// an attempt that was never made). The caller should then close the connection to that peer; the engine's state is
// unchanged by the message.
//
// Times and durations are milliseconds on the caller's clock, which never goes back. The clocks of all schedulers agree
// to within some tens of milliseconds.
package engine
