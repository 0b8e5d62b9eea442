package engine

import "ravenpond/logic"

// Effects carries out what the engine decides, in the order of the calls. The methods must neither block nor call the
// engine back.
type Effects interface {
	NodeConnections
	NodeList
	Ownership
	Clients

	// Log writes a diagnostic line.
	Log(line string)
}

// NodeConnections opens and closes connections to nodes and sends messages over them. A message to a node without a
// connection is dropped.
type NodeConnections interface {
	// Dial connects to a node; Engine.OnConnected or Engine.OnDialFailed reports the result.
	Dial(node uint32, address string)
	// Disconnect closes the connection to a node; Engine.OnDisconnected reports its end.
	Disconnect(node uint32, reason string)
	// Offer asks a node to start a task.
	Offer(node uint32, offer Offer)
	// Recall asks a node to hand an attempt back unless its task runs.
	Recall(node uint32, attempt AttemptID)
	// Stop asks a node to end the task of an attempt.
	Stop(node uint32, attempt AttemptID)
	// Claim asks a node what became of an attempt. A node that has not seen it rejects it from then on.
	Claim(node uint32, attempt AttemptID)
	// Probe asks a node for a load report.
	Probe(node uint32, sequence uint64)
}

// NodeList controls the subscription to the node list.
type NodeList interface {
	// WatchList starts or ends the watch on changes of the list.
	WatchList(active bool)
	// ReloadList requests the full list once.
	ReloadList()
}

// Ownership records which engine acts for a task, so that two engines never do. Its answers hold until the call
// returns and the effect that was permitted has been sent.
type Ownership interface {
	// PermitAttempt tells whether an attempt may be sent: not if another engine acts for the task by now.
	PermitAttempt(task OwnedTask, node uint32, attempt AttemptID) bool
	// RecordOutcome records the end of an attempt; neverRan says that its task provably never ran.
	RecordOutcome(task OwnedTask, neverRan bool)
	// RecoverTask asks whether this engine is to keep a task that it found running. If it is, the result names the epoch under
	// which it does, and the client that was told that the task runs.
	RecoverTask(running RunningTask) (recovered RecoveredTask, ok bool)
	// SetClient records that another request is the one to be notified of the task's end.
	SetClient(task OwnedTask, request RequestID)
	// ReleaseTask ends this engine's ownership of a task.
	ReleaseTask(task OwnedTask, service uint64)
	// PermitAnswer tells whether the final answer may be given, and records it: not if another engine acts for the task by now.
	PermitAnswer(task OwnedTask, served bool) bool
}

// Clients sends messages to the clients that requested allocations.
type Clients interface {
	// Answer sends the final answer to a request.
	Answer(request RequestID, answer Answer)
	// NotifyEnd sends the end of a task whose request was answered with Served.
	NotifyEnd(request RequestID, result logic.Outcome, reason logic.Reason)
	// ExpireRequest reports that the deadline of a request passed before it could be answered. Nothing is sent for it.
	ExpireRequest(request RequestID)
}
