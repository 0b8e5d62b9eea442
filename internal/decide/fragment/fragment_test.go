package fragment

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestCarry sends messages whose parts are lost, doubled and out of order: what comes out is what went in, at most once, and
// whole where nothing was lost.
func TestCarry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type part struct {
			number    uint64
			index, of int
			body      []byte
		}
		var w Reassembler
		var way []part
		sent, lost := map[uint64][]byte{}, map[uint64]bool{}
		for number := uint64(1); number <= uint64(rapid.IntRange(1, 5).Draw(t, "messages")); number++ {
			body := bytes.Repeat([]byte{byte(number)}, rapid.IntRange(0, 30).Draw(t, "bytes"))
			sent[number] = body
			parts := Split(body, 7)
			for i, p := range parts {
				for range rapid.IntRange(0, 2).Draw(t, "times") {
					way = append(way, part{number, i, len(parts), p})
				}
				lost[number] = lost[number] || len(way) == 0 || way[len(way)-1].number != number || way[len(way)-1].index != i
			}
		}
		got := map[uint64]int{}
		for _, p := range rapid.Permutation(way).Draw(t, "way") {
			if body, ok := w.Add("a", 1, p.number, p.index, p.of, p.body); ok {
				if got[p.number]++; got[p.number] > 1 || !bytes.Equal(body, sent[p.number]) {
					t.Fatalf("message %d came %d times as %v, sent as %v", p.number, got[p.number], body, sent[p.number])
				}
			}
		}
		for number := range sent {
			if !lost[number] && got[number] == 0 {
				t.Fatalf("message %d did not come", number)
			}
		}
	})
}

func TestBounds(t *testing.T) {
	var w Reassembler
	if Split(make([]byte, MaxFragments*10+1), 10) != nil || len(Split(nil, 10)) != 1 {
		t.Error("cut what is too long, or nothing into nothing")
	}
	for n := uint64(1); n <= 100; n++ { // begun and never ended
		w.Add("a", 1, n, 0, 2, nil)
	}
	if got := len(w.senders["a"].messages); got != maxIncomplete {
		t.Errorf("%d messages are kept", got)
	}
	if _, ok := w.Add("a", 2, 1, 0, 1, []byte("x")); !ok {
		t.Error("a message of the next life")
	}
	if _, ok := w.Add("a", 1, 200, 0, 1, nil); ok {
		t.Error("a message of the life before")
	}
	for i := range maxSenders + 50 {
		w.Add(string(rune(i+1000)), 1, 1, 0, 2, nil)
	}
	if len(w.senders) > maxSenders {
		t.Errorf("%d senders are kept", len(w.senders))
	}
}
