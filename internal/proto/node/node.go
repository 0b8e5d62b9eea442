// Package node is the protocol between a scheduler and a node, as docs/protocols/node.md has it. A decoder turns
// a line into one call; an appender turns a call into a line.
//
// A ticket names an allocation beyond the life of one scheduler process: the life's number in the upper half, the
// allocation's in the lower. A ticket and the number of a try name a placement try.
package node

import (
	"bytes"
	"fmt"

	"ravenpond/internal/proto/line"
	"ravenpond/logic"
)

// GreetingLine is the first line of both sides; the version is raised when an old peer would misread a line.
const GreetingLine = "RAVENPOND-NODE 1"

// Time-outs of the protocol, in ms. A scheduler pings when it has sent nothing for a while; either side ends a
// connection on which it has heard nothing for Silent.
const (
	PingInterval     = 2000
	SilenceTimeout   = 7000
	HandshakeTimeout = 2000 // from connecting to the end of the greeting
	WriteTimeout     = 4000 // a write that takes longer ends the connection
)

// MaxReportValues is the most values that a load report holds.
const MaxReportValues = 4

// OutcomeNames of a try as a node tells them. Refused and Barred prove that it never ran: a barred try had not been
// seen when it was claimed and will be turned away if it is seen yet.
var OutcomeNames = []string{"ended", "error", "refused", "barred", "lost", "stopped", "unknown"}

// Places in Outcomes.
const (
	OutcomeEnded = iota
	OutcomeErrored
	OutcomeRefused
	OutcomeBarred
	OutcomeLost
	OutcomeStopped
	OutcomeUnknown // a claim that the node can't answer any more: the try may have run
)

// ReasonNames in the order of the module's.
var ReasonNames = []string{"-", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// NoteNames in the order of the module's kinds.
var NoteNames = []string{"-", "runs", "cores", "memory", "served", "node-memory"}

// StateNames of what a node holds.
var StateNames = []string{"waits", "runs"}

// ClaimNames are the answers to a claim: a state, or an outcome at its place plus ClaimedOutcome.
var ClaimNames = append(append([]string{}, StateNames...), OutcomeNames...)

// Places in Claims.
const (
	ClaimWaiting = iota
	ClaimRunning
	ClaimOutcome
)

// Verdicts gives the module's word for each outcome: what must not be tried again unless it provably never ran rests on it.
var Verdicts = [...]logic.Outcome{
	OutcomeEnded: logic.Completed, OutcomeErrored: logic.Errored, OutcomeRefused: logic.Rejected, OutcomeBarred: logic.Rejected,
	OutcomeLost: logic.ConnectionLost, OutcomeStopped: logic.Cancelled, OutcomeUnknown: logic.ConnectionLost,
}

// SchedulerHandler is what a node hears.
type SchedulerHandler interface {
	OnOffer(ticket uint64, try uint8, epoch uint32, sent, timeout float64, jobType, tenant int, service, token uint64,
		cores, memory float64) error
	OnRecall(ticket uint64, try uint8) error
	OnStop(ticket uint64, try uint8) error
	OnClaim(ticket uint64, try uint8) error
	OnProbe(seq uint64) error
	OnPing(sent float64) error
	OnResync() error
	OnBye(why string) error
}

// NodeHandler is what a scheduler hears.
type NodeHandler interface {
	OnStarted(ticket uint64, try uint8, took float64) error
	OnOutcome(ticket uint64, try uint8, outcome, reason int, report []float64) error
	OnNote(ticket uint64, try uint8, kind int, value float64) error
	OnReport(seq uint64, report []float64) error
	OnClaimAnswer(ticket uint64, try uint8, claim, reason int) error
	OnHeld(ticket uint64, try uint8, state, jobType, tenant int, service, token uint64, cores, memory float64) error
	OnHeldAll() error
	OnPong() error
	OnBye(why string) error
}

// AppendOffer appends an offer: the node may start it within the timeout, in ms from when it was sent by the
// scheduler's clock, which a node follows as docs/protocols/node.md has it.
func AppendOffer(b []byte, ticket uint64, try uint8, epoch uint32, sent, timeout float64, jobType, tenant int,
	service, token uint64, cores, memory float64,
) []byte {
	b = appendAttempt(b, "OFFER", ticket, try)
	b = line.AppendInt(b, uint64(epoch))
	b = line.AppendNumber(line.AppendNumber(b, sent), timeout)
	b = appendTask(b, jobType, tenant, service, token, cores, memory)
	return append(b, '\n')
}

func appendTask(b []byte, jobType, tenant int, service, token uint64, cores, memory float64) []byte {
	b = line.AppendInt(b, uint64(jobType))
	b = line.AppendInt(b, uint64(tenant))
	b = line.AppendHex(b, service)
	b = line.AppendHex(b, token)
	b = line.AppendNumber(b, cores)
	return line.AppendNumber(b, memory)
}

func appendAttempt(b []byte, keyword string, ticket uint64, try uint8) []byte {
	b = append(b, keyword...)
	b = line.AppendHex(b, ticket)
	return line.AppendInt(b, uint64(try))
}

// AppendRecall asks a node to hand a try back if it does not run yet.
func AppendRecall(b []byte, ticket uint64, try uint8) []byte {
	return append(appendAttempt(b, "RECALL", ticket, try), '\n')
}

// AppendStop asks a node to stop what runs, or to hand back what does not run yet.
func AppendStop(b []byte, ticket uint64, try uint8) []byte {
	return append(appendAttempt(b, "STOP", ticket, try), '\n')
}

// AppendClaim asks what became of a try; one never seen is barred.
func AppendClaim(b []byte, ticket uint64, try uint8) []byte {
	return append(appendAttempt(b, "CLAIM", ticket, try), '\n')
}

// AppendProbe asks for a load report.
func AppendProbe(b []byte, seq uint64) []byte {
	return append(line.AppendInt(append(b, "PROBE"...), seq), '\n')
}

// AppendResync asks the node to tell again all that it holds.
func AppendResync(b []byte) []byte { return append(b, "TELL\n"...) }

// AppendPing asks for a sign of life, AppendPong gives it.
func AppendPing(b []byte, sent float64) []byte {
	return append(line.AppendNumber(append(b, "PING"...), sent), '\n')
}

// AppendPong answers a ping.
func AppendPong(b []byte) []byte { return append(b, "PONG\n"...) }

// AppendBye says why the connection is closed.
func AppendBye(b []byte, why string) []byte {
	return append(line.AppendText(append(b, "BYE"...), line.EscapeText(why)), '\n')
}

// AppendStarted tells that a try runs, and how long its start took in ms.
func AppendStarted(b []byte, ticket uint64, try uint8, took float64) []byte {
	return append(line.AppendNumber(appendAttempt(b, "STARTED", ticket, try), took), '\n')
}

// AppendOutcome tells a try's outcome, with the node's load report if there is one.
func AppendOutcome(b []byte, ticket uint64, try uint8, outcome, reason int, report []float64) []byte {
	b = appendAttempt(b, "SETTLED", ticket, try)
	b = line.AppendText(b, OutcomeNames[outcome])
	b = line.AppendText(b, ReasonNames[reason])
	return appendReportValues(b, report)
}

func appendReportValues(b []byte, report []float64) []byte {
	for _, v := range report {
		b = line.AppendNumber(b, v)
	}
	return append(b, '\n')
}

// AppendNote tells something of a running allocation.
func AppendNote(b []byte, ticket uint64, try uint8, kind int, value float64) []byte {
	b = line.AppendText(appendAttempt(b, "NOTED", ticket, try), NoteNames[kind])
	return append(line.AppendNumber(b, value), '\n')
}

// AppendClaimAnswer answers a claim, whatever was answered for the try before.
func AppendClaimAnswer(b []byte, ticket uint64, try uint8, claim, reason int) []byte {
	b = line.AppendText(appendAttempt(b, "CLAIMED", ticket, try), ClaimNames[claim])
	return append(line.AppendText(b, ReasonNames[reason]), '\n')
}

// AppendReport answers a probe.
func AppendReport(b []byte, seq uint64, report []float64) []byte {
	return appendReportValues(line.AppendInt(append(b, "REPORTED"...), seq), report)
}

// AppendHeld tells one thing that the node holds for the scheduler.
func AppendHeld(b []byte, ticket uint64, try uint8, state, jobType, tenant int, service, token uint64,
	cores, memory float64,
) []byte {
	b = line.AppendText(appendAttempt(b, "HELD", ticket, try), StateNames[state])
	return append(appendTask(b, jobType, tenant, service, token, cores, memory), '\n')
}

// AppendHeldAll closes the list of what is held.
func AppendHeldAll(b []byte) []byte { return append(b, "HELD-ALL\n"...) }

func readAttempt(f *line.Fields) (ticket uint64, try uint8) {
	return f.Hex("ticket"), uint8(f.Uint("try", 8))
}

// readTask takes the shape of an allocation: job type, tenant, service, token, cores, memory.
func readTask(f *line.Fields) (jobType, tenant int, service, token uint64, cores, memory float64) {
	jobType, tenant = int(f.Uint("job type", 16)), int(f.Uint("tenant", 16))
	service, token = f.Hex("service"), f.Hex("token")
	cores, memory = f.Float("cores"), f.Float("memory")
	return
}

func readReport(f *line.Fields, into []float64) ([]float64, error) {
	if f.Remaining() > MaxReportValues {
		return nil, fmt.Errorf("report of %d values, at most %d", f.Remaining(), MaxReportValues)
	}
	for f.Remaining() > 0 {
		into = append(into, f.Float("report value"))
	}
	return into, f.End()
}

// DecodeScheduler hands a scheduler's line to a node.
func DecodeScheduler(fields [][]byte, to SchedulerHandler) error {
	f := line.NewFields(fields)
	switch string(fields[0]) {
	case "OFFER":
		ticket, try := readAttempt(&f)
		epoch, sent, timeout := uint32(f.Uint("epoch", 32)), f.Float("time"), f.Float("timeout")
		jobType, tenant, service, token, cores, memory := readTask(&f)
		if err := f.End(); err != nil {
			return fmt.Errorf("OFFER: %w", err)
		}
		if cores <= 0 || memory < 0 || timeout < 0 {
			return fmt.Errorf("OFFER: impossible size %g, %g or time-out %g", cores, memory, timeout)
		}
		return to.OnOffer(ticket, try, epoch, sent, timeout, jobType, tenant, service, token, cores, memory)
	case "RECALL", "STOP", "CLAIM":
		ticket, try := readAttempt(&f)
		if err := f.End(); err != nil {
			return fmt.Errorf("%s: %w", bytes.Clone(fields[0]), err)
		}
		switch string(fields[0]) {
		case "RECALL":
			return to.OnRecall(ticket, try)
		case "STOP":
			return to.OnStop(ticket, try)
		}
		return to.OnClaim(ticket, try)
	case "PROBE":
		seq := f.Uint("sequence", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("PROBE: %w", err)
		}
		return to.OnProbe(seq)
	case "PING":
		sent := f.Float("time")
		if err := f.End(); err != nil {
			return fmt.Errorf("PING: %w", err)
		}
		return to.OnPing(sent)
	case "TELL":
		return to.OnResync()
	case "BYE":
		return to.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", bytes.Clone(fields[0]))
	}
}

// DecodeNode hands a node's line to a scheduler. The report slice is reused by the caller's buffer.
func DecodeNode(fields [][]byte, to NodeHandler, buf []float64) error {
	f := line.NewFields(fields)
	switch string(fields[0]) {
	case "STARTED":
		ticket, try := readAttempt(&f)
		took := f.Float("time")
		if err := f.End(); err != nil {
			return fmt.Errorf("STARTED: %w", err)
		}
		return to.OnStarted(ticket, try, took)
	case "SETTLED":
		ticket, try := readAttempt(&f)
		outcome, reason := f.Keyword("outcome", OutcomeNames), f.Keyword("reason", ReasonNames)
		report, err := readReport(&f, buf[:0])
		if err != nil {
			return fmt.Errorf("SETTLED: %w", err)
		}
		return to.OnOutcome(ticket, try, outcome, reason, report)
	case "CLAIMED":
		ticket, try := readAttempt(&f)
		claim, reason := f.Keyword("claim", ClaimNames), f.Keyword("reason", ReasonNames)
		if err := f.End(); err != nil {
			return fmt.Errorf("CLAIMED: %w", err)
		}
		return to.OnClaimAnswer(ticket, try, claim, reason)
	case "NOTED":
		ticket, try := readAttempt(&f)
		kind, value := f.Keyword("note", NoteNames), f.Float("value")
		if err := f.End(); err != nil {
			return fmt.Errorf("NOTED: %w", err)
		}
		return to.OnNote(ticket, try, kind, value)
	case "REPORTED":
		seq := f.Uint("sequence", 64)
		report, err := readReport(&f, buf[:0])
		if err != nil {
			return fmt.Errorf("REPORTED: %w", err)
		}
		return to.OnReport(seq, report)
	case "HELD":
		ticket, try := readAttempt(&f)
		state := f.Keyword("state", StateNames)
		jobType, tenant, service, token, cores, memory := readTask(&f)
		if err := f.End(); err != nil {
			return fmt.Errorf("HELD: %w", err)
		}
		return to.OnHeld(ticket, try, state, jobType, tenant, service, token, cores, memory)
	case "HELD-ALL":
		return to.OnHeldAll()
	case "PONG":
		return to.OnPong()
	case "BYE":
		return to.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", bytes.Clone(fields[0]))
	}
}
