package serve

import (
	"errors"
	"fmt"

	"ravenpond/internal/proto/list"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// maxListEntries is the maximum number of entries of one answer.
const maxListEntries = 1 << 20

var errListOrder = errors.New("list answer out of order")

// listAnswer is a complete answer of the list server. Its entries are valid until the next answer begins.
type listAnswer struct {
	kind    int // list.KindFull or list.KindChanges
	version uint64
	entries []state.Entry
}

// listKind returns the kind in the terms of the policy module.
func (a listAnswer) listKind() logic.ListKind {
	if a.kind == list.KindChanges {
		return logic.ListChanges
	}
	return logic.ListFull
}

// listAnswerReader collects the lines of an answer until the answer is complete. It implements list.Handler.
type listAnswerReader struct {
	complete func(listAnswer) error
	failed   func()

	open   bool // whether an answer has begun and not ended
	answer listAnswer
}

// OnBegin starts an answer.
func (r *listAnswerReader) OnBegin(kind int, version uint64) error {
	if r.open {
		return errListOrder
	}
	r.open, r.answer.kind, r.answer.version, r.answer.entries = true, kind, version, r.answer.entries[:0]
	return nil
}

// OnEntry adds one node to the answer.
func (r *listAnswerReader) OnEntry(e list.Entry) error {
	if !r.open || len(r.answer.entries) >= maxListEntries {
		return errListOrder
	}
	r.answer.entries = append(r.answer.entries, state.Entry{
		ID: e.ID, Address: e.Address, Availability: e.Availability, StartedAt: e.StartedAt,
		FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
	})
	return nil
}

// OnEnd completes an answer.
func (r *listAnswerReader) OnEnd() error {
	if !r.open {
		return errListOrder
	}
	r.open = false
	return r.complete(r.answer)
}

// OnFailed handles the list server's answer that a call has failed.
func (r *listAnswerReader) OnFailed(string) error {
	r.failed()
	return nil
}

// OnBye returns an error with the list server's reason for closing the connection.
func (r *listAnswerReader) OnBye(reason string) error {
	return fmt.Errorf("%w: %s", errFarewell, reason)
}
