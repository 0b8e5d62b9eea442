package node

import (
	"bytes"
	"fmt"

	"ravenpond/internal/proto/line"
)

// DecodeScheduler decodes a line that a scheduler sent and calls the handler's method for the message.
func DecodeScheduler(fields [][]byte, handler SchedulerHandler) error {
	f := line.NewFields(fields)
	switch string(fields[0]) {
	case "OFFER":
		return decodeOffer(&f, handler)
	case "RECALL", "STOP", "CLAIM":
		return decodeAttemptRequest(&f, fields[0], handler)
	case "PROBE":
		sequence := f.Uint("sequence", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("PROBE: %w", err)
		}
		return handler.OnProbe(sequence)
	case "PING":
		sentAt := f.Float("time")
		if err := f.End(); err != nil {
			return fmt.Errorf("PING: %w", err)
		}
		return handler.OnPing(sentAt)
	case "TELL":
		return handler.OnResync()
	case "BYE":
		return handler.OnBye(f.Text())
	default:
		return unknownKeyword(fields[0])
	}
}

func decodeOffer(f *line.Fields, handler SchedulerHandler) error {
	o := Offer{Attempt: readAttempt(f)}
	o.Epoch, o.SentAt, o.Timeout = uint32(f.Uint("epoch", 32)), f.Float("time"), f.Float("timeout")
	o.Task = readTask(f)
	if err := f.End(); err != nil {
		return fmt.Errorf("OFFER: %w", err)
	}
	if o.Task.Cores <= 0 || o.Task.Memory < 0 || o.Timeout < 0 {
		return fmt.Errorf("OFFER: impossible size %g, %g or time-out %g", o.Task.Cores, o.Task.Memory, o.Timeout)
	}
	return handler.OnOffer(o)
}

// decodeAttemptRequest decodes a message whose only fields are those of an attempt ID.
func decodeAttemptRequest(f *line.Fields, keyword []byte, handler SchedulerHandler) error {
	attempt := readAttempt(f)
	if err := f.End(); err != nil {
		return fmt.Errorf("%s: %w", bytes.Clone(keyword), err)
	}
	switch string(keyword) {
	case "RECALL":
		return handler.OnRecall(attempt)
	case "STOP":
		return handler.OnStop(attempt)
	default:
		return handler.OnClaim(attempt)
	}
}

// DecodeNode decodes a line that a node sent and calls the handler's method for the message. Load reports are read into the buffer, which the
// caller may reuse for the next line.
func DecodeNode(fields [][]byte, handler Handler, buffer []float64) error {
	f := line.NewFields(fields)
	switch string(fields[0]) {
	case "STARTED":
		return decodeStarted(&f, handler)
	case "SETTLED":
		return decodeOutcome(&f, handler, buffer)
	case "CLAIMED":
		return decodeClaimAnswer(&f, handler)
	case "NOTED":
		return decodeNote(&f, handler)
	case "REPORTED":
		return decodeReport(&f, handler, buffer)
	case "HELD":
		return decodeHeld(&f, handler)
	case "HELD-ALL":
		return handler.OnHeldAll()
	case "PONG":
		return handler.OnPong()
	case "BYE":
		return handler.OnBye(f.Text())
	default:
		return unknownKeyword(fields[0])
	}
}

func decodeStarted(f *line.Fields, handler Handler) error {
	attempt := readAttempt(f)
	startDuration := f.Float("time")
	if err := f.End(); err != nil {
		return fmt.Errorf("STARTED: %w", err)
	}
	return handler.OnStarted(attempt, startDuration)
}

func decodeOutcome(f *line.Fields, handler Handler, buffer []float64) error {
	o := Outcome{Attempt: readAttempt(f)}
	o.Result, o.Reason = f.Keyword("outcome", OutcomeNames), f.Keyword("reason", ReasonNames)
	var err error
	if o.Report, err = readReport(f, buffer[:0]); err != nil {
		return fmt.Errorf("SETTLED: %w", err)
	}
	return handler.OnOutcome(o)
}

func decodeClaimAnswer(f *line.Fields, handler Handler) error {
	a := ClaimAnswer{Attempt: readAttempt(f)}
	a.Claim, a.Reason = f.Keyword("claim", ClaimNames), f.Keyword("reason", ReasonNames)
	if err := f.End(); err != nil {
		return fmt.Errorf("CLAIMED: %w", err)
	}
	return handler.OnClaimAnswer(a)
}

func decodeNote(f *line.Fields, handler Handler) error {
	n := Note{Attempt: readAttempt(f)}
	n.Kind, n.Value = f.Keyword("note", NoteNames), f.Float("value")
	if err := f.End(); err != nil {
		return fmt.Errorf("NOTED: %w", err)
	}
	return handler.OnNote(n)
}

func decodeReport(f *line.Fields, handler Handler, buffer []float64) error {
	sequence := f.Uint("sequence", 64)
	report, err := readReport(f, buffer[:0])
	if err != nil {
		return fmt.Errorf("REPORTED: %w", err)
	}
	return handler.OnReport(sequence, report)
}

func decodeHeld(f *line.Fields, handler Handler) error {
	h := HeldTask{Attempt: readAttempt(f)}
	h.State = f.Keyword("state", StateNames)
	h.Task = readTask(f)
	if err := f.End(); err != nil {
		return fmt.Errorf("HELD: %w", err)
	}
	return handler.OnHeld(h)
}

func readAttempt(f *line.Fields) AttemptID {
	return AttemptID{Ticket: f.Hex("ticket"), Number: uint8(f.Uint("try", 8))}
}

func readTask(f *line.Fields) Task {
	return Task{
		JobClass: int(f.Uint("job type", 16)),
		Tenant:   int(f.Uint("tenant", 16)),
		Service:  f.Hex("service"),
		Token:    f.Hex("token"),
		Cores:    f.Float("cores"),
		Memory:   f.Float("memory"),
	}
}

// readReport appends the remaining fields of a line, which are the values of a load report, to the buffer.
func readReport(f *line.Fields, buffer []float64) ([]float64, error) {
	if f.Remaining() > MaxReportValues {
		return nil, fmt.Errorf("report of %d values, at most %d", f.Remaining(), MaxReportValues)
	}
	for f.Remaining() > 0 {
		buffer = append(buffer, f.Float("report value"))
	}
	return buffer, f.End()
}

func unknownKeyword(keyword []byte) error {
	return fmt.Errorf("unknown word %.20q", bytes.Clone(keyword))
}
