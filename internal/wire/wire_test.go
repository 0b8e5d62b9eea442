package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
)

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const (
	emptyBatch = "00000010 00000001f568bf90 00000000"
	// timerBatch holds the start of a batch with one TimerFired record; 45 zero bytes and a tail of three bytes complete it.
	timerBatch = "0000004b 0000000000000007 00000001 0c 0003 000000000000004d"
)

func TestNext(t *testing.T) {
	timer := timerBatch + strings.Repeat("00", 45) + "616263"
	for _, c := range []struct {
		name, in string
		records  int
		fault    string // part of the expected error; empty if none is expected
	}{
		{"batch without records", emptyBatch, 0, ""},
		{"batch with one record and a tail", timer, 1, ""},
		{"end of input", "", 0, "EOF"},
		{"truncated header", "00000010 0000", 0, "truncated batch header"},
		{"truncated body", "00000048 0000000000000007 00000001 0c00", 0, "truncated batch"},
		{"length smaller than the header", "0000000f 0000000000000007 00000000", 0, "invalid batch"},
		{"more records than the length allows", "00000048 0000000000000007 00000002", 0, "invalid batch"},
		{"length above the limit", "ffffffff 0000000000000007 00000000", 0, "invalid batch"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(bytes.NewReader(decodeHex(t, c.in)))
			_, n, err := r.Next()
			if n != c.records || (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Fatalf("got %d records, error %v; want those of the test case", n, err)
			}
			if c.fault == "EOF" && !errors.Is(err, io.EOF) {
				t.Fatal("got another error than io.EOF at the end of input")
			}
		})
	}
}

func TestTail(t *testing.T) {
	r := NewReader(bytes.NewReader(decodeHex(t, timerBatch+strings.Repeat("00", 45)+"616263")))
	if _, _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if rec := r.Record(0); rec[0] != TimerFired || Uint16(rec, 1) != 3 || Uint64(rec, 3) != 0x4d {
		t.Errorf("got record %x, want TimerFired of instance 3 with key 0x4d", rec)
	}
	for _, c := range []struct {
		name, field string
		size        int
		want        string
	}{
		{"whole tail", "00000000 00000003", 1, "abc"},
		{"part of the tail", "00000001 00000001", 1, "b"},
		{"beyond the end", "00000001 00000003", 1, ""},
		{"entry beyond the end", "00000000 00000001", EntrySize, ""},
		{"largest position and count", "ffffffff ffffffff", EntrySize, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := r.Tail(decodeHex(t, c.field), 0, c.size)
			if string(got) != c.want || (err == nil) != (c.want != "") {
				t.Errorf("got %q, error %v; want those of the test case", got, err)
			}
		})
	}
}

func TestWriter(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	r := w.Action(StartAttempt, 3)
	PutUint32(r, 3, 0x5d3a91c4)
	PutUint32(r, 7, 0x03124a07)
	PutUint64(r, 11, 0x04c4b400)
	w.Text(Log, 5, "hi")
	for range 2 { // the second reply is empty
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	want := decodeHex(t, "00000002 0000003a 40 0003 5d3a91c4 03124a07 0000000004c4b400 0000000000"+
		"48 0005 00000000 00000002"+strings.Repeat("00", 13)+"6869"+"00000000 00000008")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}
