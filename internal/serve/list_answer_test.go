package serve

import (
	"errors"
	"testing"

	"ravenpond/internal/proto/list"
	"ravenpond/logic"
)

// TestListAnswerReader reads an answer, a failure, and lines out of order.
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
			t.Errorf("an entry outside of an answer: %v", err)
		}
		if err := r.OnEnd(); !errors.Is(err, errListOrder) {
			t.Errorf("an end outside of an answer: %v", err)
		}
	})
	t.Run("complete", func(t *testing.T) {
		if err := errors.Join(r.OnBegin(list.KindChanges, 5), entry(), r.OnEnd()); err != nil {
			t.Fatal(err)
		}
		if len(answers) != 1 || answers[0].version != 5 || answers[0].listKind() != logic.ListChanges || len(answers[0].entries) != 1 || answers[0].entries[0].ID != 7 {
			t.Errorf("%+v", answers)
		}
	})
	t.Run("begun twice", func(t *testing.T) {
		if err := errors.Join(r.OnBegin(list.KindFull, 6), r.OnBegin(list.KindFull, 6)); !errors.Is(err, errListOrder) {
			t.Error(err)
		}
	})
	t.Run("failure and farewell", func(t *testing.T) {
		if err := r.OnFailed("busy"); err != nil || failures != 1 {
			t.Errorf("%v, %d failures", err, failures)
		}
		if err := r.OnBye("restart"); !errors.Is(err, errFarewell) {
			t.Error(err)
		}
	})
}
