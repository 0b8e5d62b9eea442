package fragment

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// draw splits messages of one sender into fragments, each of which may be lost or duplicated. It returns the fragments that arrive, the messages
// by number, and the numbers of messages of which a fragment is lost.
func draw(t *rapid.T) (sent []Fragment, messages map[uint64][]byte, lost map[uint64]bool) {
	messages, lost = map[uint64][]byte{}, map[uint64]bool{}
	for number := uint64(1); number <= uint64(rapid.IntRange(1, 5).Draw(t, "messages")); number++ {
		body := bytes.Repeat([]byte{byte(number)}, rapid.IntRange(0, 30).Draw(t, "bytes"))
		messages[number] = body
		fragments := Split(body, 7)
		for i, p := range fragments {
			copies := rapid.IntRange(0, 2).Draw(t, "copies")
			for range copies {
				sent = append(sent, Fragment{From: "a", Incarnation: 1, Number: number, Index: i, Total: len(fragments), Body: p})
			}
			lost[number] = lost[number] || copies == 0
		}
	}
	return sent, messages, lost
}

// TestReassembly sends messages whose fragments are lost, duplicated and reordered. Each message is reassembled as it was sent and at most once,
// and exactly once if no fragment was lost.
func TestReassembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, messages, lost := draw(t)
		var r Reassembler
		got := map[uint64]int{}
		for _, f := range rapid.Permutation(sent).Draw(t, "order") {
			if body, ok := r.Add(f); ok {
				if got[f.Number]++; got[f.Number] > 1 || !bytes.Equal(body, messages[f.Number]) {
					t.Fatalf("message %d was reassembled %d times, as %v; want once, as %v", f.Number, got[f.Number], body, messages[f.Number])
				}
			}
		}
		for number := range messages {
			if !lost[number] && got[number] == 0 {
				t.Fatalf("message %d was not reassembled, although no fragment was lost", number)
			}
		}
	})
}

func TestBounds(t *testing.T) {
	var r Reassembler
	if Split(make([]byte, MaxFragments*10+1), 10) != nil || len(Split(nil, 10)) != 1 {
		t.Error("a message that is too long was split, or an empty one did not result in one fragment")
	}
	for n := uint64(1); n <= 100; n++ { // the second fragment is missing
		r.Add(Fragment{From: "a", Incarnation: 1, Number: n, Total: 2})
	}
	if got := len(r.senders["a"].messages); got != maxIncomplete {
		t.Errorf("got %d incomplete messages, want maxIncomplete", got)
	}
	if _, ok := r.Add(Fragment{From: "a", Incarnation: 2, Number: 1, Total: 1, Body: []byte("x")}); !ok {
		t.Error("a message of the next incarnation was dropped, want it reassembled")
	}
	if _, ok := r.Add(Fragment{From: "a", Incarnation: 1, Number: 200, Total: 1}); ok {
		t.Error("a message of an earlier incarnation was reassembled, want it dropped")
	}
	for i := range maxSenders + 50 {
		r.Add(Fragment{From: string(rune(i + 1000)), Incarnation: 1, Number: 1, Total: 2})
	}
	if len(r.senders) > maxSenders {
		t.Errorf("got %d senders, want at most maxSenders", len(r.senders))
	}
}
