package serve

import (
	"errors"
	"testing"

	"ravenpond/internal/proto/list"
	"ravenpond/logic"
)

// TestListAnswerReader reads a complete answer, a failed call, a closing line, and lines out of order.
func TestListAnswerReader(t *testing.T) {
	var answers []listAnswer
	failures := 0
	r := listAnswerReader{
		complete: func(a listAnswer) error { answers = append(answers, a); return nil },
		failed:   func() { failures++ },
	}
	entry := func() error {
		return r.OnEntry(list.Entry{
			ID: 7, Address: "node:1", Availability: 1, FreeCores: 4, FreeMemory: 8, Zone: "east", Cell: "c", Kind: "plain",
		})
	}
	t.Run("out of order", func(t *testing.T) {
		if err := entry(); !errors.Is(err, errListOrder) {
			t.Errorf("entry outside of an answer: got error %v, want errListOrder", err)
		}
		if err := r.OnEnd(); !errors.Is(err, errListOrder) {
			t.Errorf("end outside of an answer: got error %v, want errListOrder", err)
		}
	})
	t.Run("complete", func(t *testing.T) {
		if err := errors.Join(r.OnBegin(list.KindChanges, 5), entry(), r.OnEnd()); err != nil {
			t.Fatal(err)
		}
		if len(answers) != 1 || answers[0].version != 5 || answers[0].listKind() != logic.ListChanges || len(answers[0].entries) != 1 || answers[0].entries[0].ID != 7 {
			t.Errorf("got answers %+v, want one of version 5 with changes of node 7", answers)
		}
	})
	t.Run("second begin within an answer", func(t *testing.T) {
		if err := errors.Join(r.OnBegin(list.KindFull, 6), r.OnBegin(list.KindFull, 6)); !errors.Is(err, errListOrder) {
			t.Error(err)
		}
	})
	t.Run("failed call and closing line", func(t *testing.T) {
		if err := r.OnFailed("busy"); err != nil || failures != 1 {
			t.Errorf("failed call: got error %v and %d failures, want no error and 1", err, failures)
		}
		if err := r.OnBye("restart"); !errors.Is(err, errFarewell) {
			t.Error(err)
		}
	})
}
