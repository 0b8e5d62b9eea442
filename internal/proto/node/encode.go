package node

import "ravenpond/internal/proto/line"

// AppendOffer appends an OFFER message, which asks a node to start a task.
func AppendOffer(b []byte, o Offer) []byte {
	b = appendAttempt(b, "OFFER", o.Attempt)
	b = line.AppendInt(b, uint64(o.Epoch))
	b = line.AppendNumber(b, o.SentAt)
	b = line.AppendNumber(b, o.Timeout)
	b = appendTask(b, &o.Task)
	return append(b, '\n')
}

// AppendRecall appends the request to withdraw an attempt unless its task already runs.
func AppendRecall(b []byte, attempt AttemptID) []byte {
	return append(appendAttempt(b, "RECALL", attempt), '\n')
}

// AppendStop appends the request to stop the task of an attempt, or to withdraw the attempt if the task does not run yet.
func AppendStop(b []byte, attempt AttemptID) []byte {
	return append(appendAttempt(b, "STOP", attempt), '\n')
}

// AppendClaim appends the query for the state or outcome of an attempt. An attempt that has not arrived becomes barred.
func AppendClaim(b []byte, attempt AttemptID) []byte {
	return append(appendAttempt(b, "CLAIM", attempt), '\n')
}

// AppendProbe appends the request for a load report.
func AppendProbe(b []byte, sequence uint64) []byte {
	return append(line.AppendInt(append(b, "PROBE"...), sequence), '\n')
}

// AppendResync appends the request to list all held tasks again.
func AppendResync(b []byte) []byte { return append(b, "TELL\n"...) }

// AppendPing appends a keep-alive request, which the node answers with a pong.
func AppendPing(b []byte, sentAt float64) []byte {
	return append(line.AppendNumber(append(b, "PING"...), sentAt), '\n')
}

// AppendPong appends the answer to a ping.
func AppendPong(b []byte) []byte { return append(b, "PONG\n"...) }

// AppendBye appends the reason for which the sender closes the connection.
func AppendBye(b []byte, reason string) []byte {
	return append(line.AppendText(append(b, "BYE"...), line.EscapeText(reason)), '\n')
}

// AppendStarted appends the notice that a task runs, and how long its start took.
func AppendStarted(b []byte, attempt AttemptID, startDuration float64) []byte {
	return append(line.AppendNumber(appendAttempt(b, "STARTED", attempt), startDuration), '\n')
}

// AppendOutcome appends the outcome of an attempt.
func AppendOutcome(b []byte, o Outcome) []byte {
	b = appendAttempt(b, "SETTLED", o.Attempt)
	b = line.AppendText(b, OutcomeNames[o.Result])
	b = line.AppendText(b, ReasonNames[o.Reason])
	return appendReportValues(b, o.Report)
}

// AppendNote appends a measurement that the node made of a running task.
func AppendNote(b []byte, n Note) []byte {
	b = line.AppendText(appendAttempt(b, "NOTED", n.Attempt), NoteNames[n.Kind])
	return append(line.AppendNumber(b, n.Value), '\n')
}

// AppendClaimAnswer appends the answer to a claim.
func AppendClaimAnswer(b []byte, a ClaimAnswer) []byte {
	b = line.AppendText(appendAttempt(b, "CLAIMED", a.Attempt), ClaimNames[a.Claim])
	return append(line.AppendText(b, ReasonNames[a.Reason]), '\n')
}

// AppendReport appends the answer to a probe.
func AppendReport(b []byte, sequence uint64, report []float64) []byte {
	return appendReportValues(line.AppendInt(append(b, "REPORTED"...), sequence), report)
}

// AppendHeld appends one entry of the list of tasks that the node holds for the scheduler.
func AppendHeld(b []byte, h HeldTask) []byte {
	b = line.AppendText(appendAttempt(b, "HELD", h.Attempt), StateNames[h.State])
	return append(appendTask(b, &h.Task), '\n')
}

// AppendHeldAll appends the end of the list of held tasks.
func AppendHeldAll(b []byte) []byte { return append(b, "HELD-ALL\n"...) }

// appendAttempt appends the keyword of a message and the ID of the attempt that it is about.
func appendAttempt(b []byte, keyword string, attempt AttemptID) []byte {
	b = append(b, keyword...)
	b = line.AppendHex(b, attempt.Ticket)
	return line.AppendInt(b, uint64(attempt.Number))
}

func appendTask(b []byte, t *Task) []byte {
	b = line.AppendInt(b, uint64(t.JobClass))
	b = line.AppendInt(b, uint64(t.Tenant))
	b = line.AppendHex(b, t.Service)
	b = line.AppendHex(b, t.Token)
	b = line.AppendNumber(b, t.Cores)
	return line.AppendNumber(b, t.Memory)
}

// appendReportValues appends the values of a load report and ends the line.
func appendReportValues(b []byte, report []float64) []byte {
	for _, value := range report {
		b = line.AppendNumber(b, value)
	}
	return append(b, '\n')
}
