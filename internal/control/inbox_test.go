package control

import (
	"testing"

	"ravenpond/internal/decide/consensus"
)

// TestInbox checks that an inbox keeps messages and calls in order, up to MaxPendingMessages of each, and is empty once they are taken.
func TestInbox(t *testing.T) {
	var i inbox
	called := 0
	for n := range MaxPendingMessages + 5 {
		i.putMessage(message{from: "a", body: []byte("xyz"), version: uint64(n)})
		i.putCall(func(*consensus.Replica) { called++ })
	}
	want := Footprint{PendingMessages: MaxPendingMessages, PendingMessageBytes: 3 * MaxPendingMessages, PendingCalls: MaxPendingMessages}
	if got := i.footprint(); got != want {
		t.Errorf("footprint %+v, want %+v", got, want)
	}
	messages, calls := i.takeAll()
	for n, m := range messages {
		if m.version != uint64(n) {
			t.Fatalf("got message %d at position %d, want them in order", m.version, n)
		}
	}
	for _, f := range calls {
		f(nil)
	}
	if len(messages) != MaxPendingMessages || called != MaxPendingMessages {
		t.Errorf("%d messages, %d calls, want %d of each", len(messages), called, MaxPendingMessages)
	}
	if got := i.footprint(); got != (Footprint{}) {
		t.Errorf("footprint %+v after all were taken, want zero", got)
	}
}
