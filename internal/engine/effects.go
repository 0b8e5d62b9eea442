package engine

import "ravenpond/logic"

// Effects carries out the engine's decisions in the order of the calls. The methods must not block and must not call
// back into the engine.
type Effects interface {
	NodeConnections
	NodeList
	Ownership
	Clients

	// Log writes a line to the operator's log.
	Log(line string)
}

// NodeConnections opens and closes connections to nodes and sends messages on them. A message to a node that is not
// connected is dropped.
type NodeConnections interface {
	// Dial connects to a node. The result is reported to Engine.OnConnected or Engine.OnDialFailed.
	Dial(node uint32, address string)
	// Disconnect closes the connection to a node. Its end is reported to Engine.OnDisconnected.
	Disconnect(node uint32, reason string)
	// Offer asks a node to start a task.
	Offer(node uint32, offer Offer)
	// Recall asks a node to return an attempt unless its task is running.
	Recall(node uint32, attempt AttemptID)
	// Stop asks a node to stop the task of an attempt.
	Stop(node uint32, attempt AttemptID)
	// Claim asks a node for the state of an attempt. A node that has not received the attempt will reject it from then on.
	Claim(node uint32, attempt AttemptID)
	// Probe asks a node for a load report.
	Probe(node uint32, sequence uint64)
}

// NodeList controls the subscription to the node list.
type NodeList interface {
	// WatchList starts or stops watching the list for changes.
	WatchList(active bool)
	// ReloadList requests the full list once.
	ReloadList()
}

// Ownership records which engine owns a task, so that two engines never act for the same task. A permission holds
// until the call returns and the permitted message has been sent.
type Ownership interface {
	// PermitAttempt reports whether an attempt may be sent. It may not if another engine owns the task by now.
	PermitAttempt(task OwnedTask, node uint32, attempt AttemptID) bool
	// RecordOutcome records the end of an attempt. neverRan is set if the task provably never ran.
	RecordOutcome(task OwnedTask, neverRan bool)
	// RecoverTask asks whether this engine should keep a task that it found running. If ok is true, the result holds the epoch under
	// which the engine owns the task, and the request whose client was told that the task runs.
	RecoverTask(running RunningTask) (recovered RecoveredTask, ok bool)
	// SetClient records which request is notified of the task's end from now on.
	SetClient(task OwnedTask, request RequestID)
	// ReleaseTask ends this engine's ownership of a task.
	ReleaseTask(task OwnedTask, service uint64)
	// PermitAnswer reports whether the final answer may be given, and records the answer. It may not if another engine owns the task by now.
	PermitAnswer(task OwnedTask, served bool) bool
}

// Clients sends messages to clients.
type Clients interface {
	// Answer sends the final answer to a request.
	Answer(request RequestID, answer Answer)
	// NotifyEnd notifies a client that a task whose request was answered with Served has ended.
	NotifyEnd(request RequestID, result logic.Outcome, reason logic.Reason)
	// ExpireRequest records that the deadline of a request passed before the request was answered. Nothing is sent to the client.
	ExpireRequest(request RequestID)
}
