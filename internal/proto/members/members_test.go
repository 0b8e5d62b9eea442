package members

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// recorder is a DatagramHandler that records its calls.
type recorder struct {
	lines []string
	stop  bool
}

func (r *recorder) record(values ...any) { r.lines = append(r.lines, fmt.Sprint(values...)) }

func (r *recorder) OnHeader(h Header) bool {
	r.record(h.From, h.Address, h.Incarnation, h.Count, h.ReceiverIncarnation, h.Kind, h.Number, h.Target, h.Digest, h.After, h.Until)
	return !r.stop
}

func (r *recorder) OnLease(l Lease) {
	r.record("lease ", l.Place, l.Granted, l.Counted, l.QuotaGranted, l.QuotaCounted)
}

func (r *recorder) OnNodeState(node uint32, version uint64, removed bool) {
	r.record("node state ", node, version, removed)
}

func (r *recorder) OnStateVersion(version uint64) { r.record("state version ", version) }

func (r *recorder) OnFragment(index, total int, body []byte) {
	r.record("fragment ", index, total, len(body))
}

func (r *recorder) OnNodeQuery(node uint32) { r.record("node query ", node) }

func (r *recorder) OnNodeReply(node uint32, incarnation uint64, ago float64) {
	r.record("node reply ", node, incarnation, ago)
}

func (r *recorder) OnMember(m Member) {
	r.record(m.Name, m.Address, m.Incarnation, m.Version, m.State, m.By)
}

var key = []byte("a member key of some length")

func datagram() []byte {
	b := AppendHeader(nil, "site", Header{
		From: "s1", Address: "1.2.3.4:5", Incarnation: 7, Count: 9, ReceiverIncarnation: 3, Kind: Ping, Number: 11, Target: "s2", Digest: 0xfeed,
		After: "a", Until: "b",
	})
	b = AppendLease(b, Lease{Place: 4, Granted: true, Counted: []byte{3, 1}, QuotaGranted: true, QuotaCounted: []byte{5}})
	b, _ = AppendMember(b, Member{Name: "s3", Address: "1.2.3.5:5", Incarnation: 4, Version: 6, State: Suspect, By: "s1"})
	b, _ = AppendMember(b, Member{Name: "s4", Address: "1.2.3.6:5", Incarnation: 1, Version: 0, State: Alive})
	b, _ = AppendNodeState(b, 1<<32-1, 77, true)
	b, _ = AppendNodeQuery(b, 1<<32-1)
	b, _ = AppendNodeReply(b, 7, 1<<63, 1234.5)
	return b
}

func TestRoundTrip(t *testing.T) {
	var x recorder
	if err := Open(Seal(datagram(), key, "9.9.9.9:1"), key, "site", "9.9.9.9:1", &x); err != nil {
		t.Fatal(err)
	}
	want := []string{
		fmt.Sprint("s1", "1.2.3.4:5", 7, 9, 3, Ping, 11, "s2", 0xfeed, "a", "b"),
		"lease 4 true [3 1] true [5]",
		fmt.Sprint("s3", "1.2.3.5:5", 4, 6, Suspect, "s1"),
		fmt.Sprint("s4", "1.2.3.6:5", 1, 0, Alive, ""),
		fmt.Sprint("node state ", 1<<32-1, 77, true),
		fmt.Sprint("node query ", uint32(1<<32-1)),
		fmt.Sprint("node reply ", 7, uint64(1<<63), 1235.0),
	}
	if !slices.Equal(x.lines, want) {
		t.Errorf("handler calls %q, want %q", x.lines, want)
	}
	x = recorder{stop: true}
	if err := Open(Seal(datagram(), key, "r"), key, "site", "r", &x); err != nil || len(x.lines) != 1 {
		t.Errorf("error %v and handler calls %q after OnHeader returned false, want no error and the header alone", err, x.lines)
	}
}

// header encodes the header of a ping.
func header(site, from string, incarnation uint64) []byte {
	return AppendHeader(nil, site, Header{From: from, Address: "a", Incarnation: incarnation, Count: 1, ReceiverIncarnation: 1, Kind: Ping, Number: 1})
}

// TestInvalidDatagramIsRejected checks that datagrams that are malformed, or not sealed for this receiver with this site's key, are rejected.
func TestInvalidDatagramIsRejected(t *testing.T) {
	good := Seal(datagram(), key, "r")
	for _, c := range []struct {
		name string
		b    []byte
		key  string
		site string
		to   string
	}{
		{"another key", good, "another", "site", "r"},
		{"another receiver", good, string(key), "site", "q"},
		{"another site", good, string(key), "other", "r"},
		{"empty", nil, string(key), "site", "r"},
		{"truncated", good[:len(good)-1], string(key), "site", "r"},
		{"too long", Seal(append(datagram(), make([]byte, MaxDatagramBytes)...), key, "r"), string(key), "site", "r"},
		{"no sender", Seal(header("site", "", 1), key, "r"), string(key), "site", "r"},
		{"no incarnation", Seal(header("site", "s", 0), key, "r"), string(key), "site", "r"},
		{
			"sender's name too long", Seal(header("site", strings.Repeat("s", 65), 1), key, "r"), string(key),
			"site", "r",
		},
	} {
		var x recorder
		if err := Open(c.b, []byte(c.key), c.site, c.to, &x); err == nil || len(x.lines) > 0 {
			t.Errorf("%s: error %v and handler calls %q, want an error and no call", c.name, err, x.lines)
		}
	}
	for i := range good {
		bad := append([]byte{}, good...)
		bad[i] ^= 1
		if err := Open(bad, key, "site", "r", &recorder{}); err == nil {
			t.Errorf("datagram with byte %d changed was accepted", i)
		}
	}
}

// TestUpdatesFitDatagram checks that a datagram that is filled with updates is at most MaxDatagramBytes long with its seal.
func TestUpdatesFitDatagram(t *testing.T) {
	b, n := datagram(), 0
	for ok := true; ok; n++ {
		b, ok = AppendMember(b, Member{
			Name: fmt.Sprint("scheduler-", n), Address: "127.0.0.1:12345", Incarnation: 1, Version: 2, State: Alive, By: "scheduler-1",
		})
	}
	if b = Seal(b, key, "r"); len(b) > MaxDatagramBytes || n < 20 {
		t.Errorf("got %d updates in %d bytes, want at least 20 updates in at most MaxDatagramBytes", n, len(b))
	}
	if err := Open(b, key, "site", "r", &recorder{}); err != nil {
		t.Error(err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(datagram())
	f.Fuzz(func(_ *testing.T, b []byte) { _ = Open(Seal(b, key, "r"), key, "site", "r", &recorder{}) })
}

// TestLongestFragmentFitsDatagram checks that the longest fragment fits a datagram with the longest header, and is decoded as it was encoded.
func TestLongestFragmentFitsDatagram(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes)
	b := AppendHeader(nil, long, Header{
		From: long, Address: long, Incarnation: 1 << 63, Count: 1 << 63, ReceiverIncarnation: 1 << 63, Kind: Fragment, Number: 1 << 63,
		Target: long, Digest: 1 << 63, After: long, Until: long,
	})
	b = AppendFragment(AppendStateVersion(b, 1<<63), 62, 64, make([]byte, MaxFragmentBytes))
	if b = Seal(b, key, "9.9.9.9:1"); len(b) > MaxDatagramBytes {
		t.Errorf("sealed datagram is %d bytes long, want at most MaxDatagramBytes", len(b))
	}
	var x recorder
	if err := Open(b, key, long, "9.9.9.9:1", &x); err != nil || len(x.lines) != 3 || x.lines[1] != fmt.Sprint("state version ", uint64(1<<63)) ||
		x.lines[2] != fmt.Sprint("fragment ", 62, 64, MaxFragmentBytes) {
		t.Errorf("handler calls %q and error %v, want the header, the state version and the fragment", x.lines, err)
	}
	bad := AppendFragment(AppendHeader(nil, "s", Header{From: "a", Address: "b", Incarnation: 1, Count: 1, ReceiverIncarnation: 1, Kind: Fragment, Number: 1}), 3, 3, nil)
	if err := Open(Seal(bad, key, "c"), key, "s", "c", &recorder{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("fragment with index 3 of 3: error %v, want ErrMalformed", err)
	}
}
