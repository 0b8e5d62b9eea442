package members

import (
	"fmt"
	"strings"
	"testing"
)

// recorder writes down what it is given.
type recorder struct {
	lines []string
	stop  bool
}

func (t *recorder) OnHeader(from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64, after,
	until string,
) bool {
	t.lines = append(t.lines, fmt.Sprint(from, address, life, count, toLife, kind, number, target, view, after, until))
	return !t.stop
}

func (t *recorder) OnLease(place int, given bool, counted []byte, lent bool, lentCounted []byte) {
	t.lines = append(t.lines, fmt.Sprint("place ", place, given, counted, lent, lentCounted))
}

func (t *recorder) OnNodeState(node uint32, version uint64, gone bool) {
	t.lines = append(t.lines, fmt.Sprint("word ", node, version, gone))
}

func (t *recorder) OnStateVersion(version uint64) {
	t.lines = append(t.lines, fmt.Sprint("book ", version))
}

func (t *recorder) OnFragment(index, of int, body []byte) {
	t.lines = append(t.lines, fmt.Sprint("part ", index, of, len(body)))
}

func (t *recorder) OnNodeQuery(node uint32) { t.lines = append(t.lines, fmt.Sprint("silent ", node)) }

func (t *recorder) OnNodeReply(node uint32, life uint64, ago float64) {
	t.lines = append(t.lines, fmt.Sprint("hears ", node, life, ago))
}

func (t *recorder) OnMember(name, address string, life, version uint64, state uint32, by string) {
	t.lines = append(t.lines, fmt.Sprint(name, address, life, version, state, by))
}

var key = []byte("a member key of some length")

func datagram() []byte {
	b := AppendHeader(nil, "site", "s1", "1.2.3.4:5", 7, 9, 3, Ping, 11, "s2", 0xfeed, "a", "b")
	b = AppendLease(b, 4, true, []byte{3, 1}, true, []byte{5})
	b, _ = AppendMember(b, "s3", "1.2.3.5:5", 4, 6, Suspect, "s1")
	b, _ = AppendMember(b, "s4", "1.2.3.6:5", 1, 0, Alive, "")
	b, _ = AppendNodeState(b, 1<<32-1, 77, true)
	b, _ = AppendNodeQuery(b, 1<<32-1)
	b, _ = AppendNodeReply(b, 7, 1<<63, 1234.5)
	return b
}

func TestBothWays(t *testing.T) {
	var x recorder
	if err := Open(Seal(datagram(), key, "9.9.9.9:1"), key, "site", "9.9.9.9:1", &x); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprint("s1", "1.2.3.4:5", 7, 9, 3, Ping, 11, "s2", 0xfeed, "a", "b") + "\n" + fmt.Sprint("place ", 4, true, []byte{3, 1}, true, []byte{5}) + "\n" + fmt.Sprint("s3", "1.2.3.5:5", 4, 6, Suspect, "s1") +
		"\n" + fmt.Sprint("s4", "1.2.3.6:5", 1, 0, Alive, "") + "\n" + fmt.Sprint("word ", 1<<32-1, 77, true) + "\n" + fmt.Sprint("silent ", uint32(1<<32-1)) + "\n" + fmt.Sprint("hears ", 7, uint64(1<<63), 1235.0)
	if got := strings.Join(x.lines, "\n"); got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
	x = recorder{stop: true}
	if err := Open(Seal(datagram(), key, "r"), key, "site", "r", &x); err != nil || len(x.lines) != 1 {
		t.Errorf("%v, %q: nothing after a head that is turned away", err, x.lines)
	}
}

// TestForeign turns away what is not sealed for this receiver with this site's key, whole.
func TestForeign(t *testing.T) {
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
		{"nothing", nil, string(key), "site", "r"},
		{"cut short", good[:len(good)-1], string(key), "site", "r"},
		{"too long", Seal(append(datagram(), make([]byte, MaxDatagramBytes)...), key, "r"), string(key), "site", "r"},
		{"no sender", Seal(AppendHeader(nil, "site", "", "a", 1, 1, 1, Ping, 1, "", 0, "", ""), key, "r"), string(key), "site", "r"},
		{"no life", Seal(AppendHeader(nil, "site", "s", "a", 0, 1, 1, Ping, 1, "", 0, "", ""), key, "r"), string(key), "site", "r"},
		{
			"a name too long", Seal(AppendHeader(nil, "site", strings.Repeat("s", 65), "a", 1, 1, 1, Ping, 1, "", 0, "", ""), key, "r"), string(key),
			"site", "r",
		},
	} {
		var x recorder
		if err := Open(c.b, []byte(c.key), c.site, c.to, &x); err == nil || len(x.lines) > 0 {
			t.Errorf("%s: %v, %q", c.name, err, x.lines)
		}
	}
	for i := range good {
		bad := append([]byte{}, good...)
		bad[i] ^= 1
		if err := Open(bad, key, "site", "r", &recorder{}); err == nil {
			t.Errorf("byte %d changed, and taken", i)
		}
	}
}

// TestFits fills datagrams with news: none is longer than it may be, sealed.
func TestFits(t *testing.T) {
	b, n := datagram(), 0
	for ok := true; ok; n++ {
		b, ok = AppendMember(b, fmt.Sprint("scheduler-", n), "127.0.0.1:12345", 1, 2, Alive, "scheduler-1")
	}
	if b = Seal(b, key, "r"); len(b) > MaxDatagramBytes || n < 20 {
		t.Errorf("%d items in %d bytes", n, len(b))
	}
	if err := Open(b, key, "site", "r", &recorder{}); err != nil {
		t.Error(err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(datagram())
	f.Fuzz(func(_ *testing.T, b []byte) { _ = Open(Seal(b, key, "r"), key, "site", "r", &recorder{}) })
}

// TestPart holds that the longest part fits a datagram with the longest head, and comes out as it went in.
func TestPart(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes)
	b := AppendHeader(nil, long, long, long, 1<<63, 1<<63, 1<<63, Fragment, 1<<63, long, 1<<63, long, long)
	b = AppendFragment(AppendStateVersion(b, 1<<63), 62, 64, make([]byte, MaxFragmentBytes))
	if b = Seal(b, key, "9.9.9.9:1"); len(b) > MaxDatagramBytes {
		t.Errorf("%d bytes", len(b))
	}
	var x recorder
	if err := Open(b, key, long, "9.9.9.9:1", &x); err != nil || len(x.lines) != 3 || x.lines[1] != fmt.Sprint("book ", uint64(1<<63)) ||
		x.lines[2] != fmt.Sprint("part ", 62, 64, MaxFragmentBytes) {
		t.Errorf("%q, %v", x.lines, err)
	}
	bad := AppendFragment(AppendHeader(nil, "s", "a", "b", 1, 1, 1, Fragment, 1, "", 0, "", ""), 3, 3, nil)
	if err := Open(Seal(bad, key, "c"), key, "s", "c", &recorder{}); err != ErrMalformed {
		t.Errorf("a part beyond the last: %v", err)
	}
}
