package membership

import (
	"fmt"
	"testing"
)

// network records the datagrams and membership changes of a detector. It implements Effects.
type network struct {
	sent    []string          // receivers' addresses of all datagrams
	last    map[string][]byte // the last datagram by receiver's address
	changes []string          // "name previous-state state"
}

func (n *network) Send(address string, b []byte) {
	n.sent = append(n.sent, address)
	n.last[address] = b
}

func (n *network) OnMemberChanged(m Member, previous State) {
	n.changes = append(n.changes, fmt.Sprint(m.Name, " ", previous, " ", m.State))
}

func (n *network) OnNameConflict(string) {}

func (n *network) LastNodeContact(uint32) (incarnation uint64, lastContact float64, ok bool) {
	return 0, 0, false
}

func newDetector(name string, faults Faults, seeds ...string) (*Detector, *network) {
	n := &network{last: map[string][]byte{}}
	return New(n, 1000, Config{Site: "s", Name: name, Address: name + ":1", Incarnation: 1, Key: []byte("k"), Seeds: seeds, Seed: 1, Faults: faults}), n
}

// newPair connects two detectors, a and b, and returns a and its network. Datagrams between them are delivered here only.
func newPair(t *testing.T, faults Faults) (*Detector, *network) {
	t.Helper()
	a, na := newDetector("a", faults, "b:1")
	b, nb := newDetector("b", faults)
	a.Tick(1001)                       // sends a hello
	b.OnDatagram(1002, na.last["b:1"]) // sends a welcome
	a.OnDatagram(1003, nb.last["a:1"]) // sends a ping and a page
	b.OnDatagram(1004, na.last["b:1"]) // receives the page; the ping, which was sent before it, is dropped
	if n := a.Count().Alive; n != 1 {
		t.Fatal("a does not have exactly one other alive member")
	}
	if n := b.Count().Alive; n != 1 {
		t.Fatal("b does not have exactly one other alive member")
	}
	return a, na
}

// TestPause guards against suspicions by a process that was paused while a probe was outstanding: it has not read the ack. With the fault
// IgnoreLocalHealth it does suspect the member.
func TestPause(t *testing.T) {
	for _, ignoresLocalHealth := range []bool{false, true} {
		a, effects := newPair(t, Faults{IgnoreLocalHealth: ignoresLocalHealth})
		now := a.Next()
		for a.Stats.Probes == 0 {
			now = a.Next()
			a.Tick(now)
		}
		a.Tick(now + 5000) // a pause of 5 s, in which no datagram is read
		if n := len(effects.changes); ignoresLocalHealth && n < 2 || !ignoresLocalHealth && n > 1 || !ignoresLocalHealth && (a.Stats.Pauses != 1 || a.Health() < 2) {
			t.Errorf("IgnoreLocalHealth %t: got changes %q, %d pauses, health score %d; want a suspicion only if true, else 1 pause and a score of 2 or more", ignoresLocalHealth, effects.changes, a.Stats.Pauses, a.Health())
		}
	}
}

// TestHello checks that any number of hellos leaves the membership state unchanged, and that the answers are limited.
func TestHello(t *testing.T) {
	a, na := newDetector("a", Faults{}, "b:1")
	b, nb := newDetector("b", Faults{})
	a.Tick(1001)
	hello := na.last["b:1"]
	digest := b.Digest()
	for i := range 1000 {
		b.OnDatagram(1002+float64(i)/10, hello)
	}
	if alive := b.Count().Alive; alive != 0 || b.Digest() != digest || len(nb.sent) > maxHellosPerSecond || len(nb.sent) == 0 {
		t.Errorf("got %d alive members and %d answers; want 0, an unchanged digest, and 1 to maxHellosPerSecond answers", alive, len(nb.sent))
	}
}

// TestAcceptCount checks that each count is accepted once, in any order within a window of 64.
func TestAcceptCount(t *testing.T) {
	m := &member{}
	for _, c := range []struct {
		count uint64
		want  bool
	}{
		{1, true},
		{1, false},
		{3, true},
		{2, true},
		{2, false},
		{3, false},
		{80, true},
		{17, true},
		{16, false},
		{17, false},
		{79, true},
		{1000, true},
		{80, false},
		{937, true},
		{936, false},
	} {
		if got := m.acceptCount(c.count); got != c.want {
			t.Errorf("count %d: got accepted %t, want the opposite", c.count, got)
		}
	}
}

// TestBounds checks that a suspicion has the longest time-out with one reporter and the shortest one with maxConfirmations more, and never
// ends before the shortest one.
func TestBounds(t *testing.T) {
	a, _ := newPair(t, Faults{})
	for i := range 30 {
		if m := a.addMember(fmt.Sprint("x", i), fmt.Sprintf("x%d:1", i), 1, 0); m != nil {
			a.setState(m, Alive, "a")
		}
	}
	minDuration, maxDuration := a.SuspicionBounds()
	if minDuration < 800 || maxDuration != maxSuspicionFactor*minDuration {
		t.Fatalf("got time-outs from %g to %g ms, want at least 800 ms and maxSuspicionFactor times the shortest", minDuration, maxDuration)
	}
	for reporters := 1; reporters <= maxConfirmations+1; reporters++ {
		minDuration, maxDuration = a.SuspicionBounds() // depend on the number of remaining members
		x := a.members[fmt.Sprint("x", reporters)]
		a.now = 5000
		a.suspect(x, "a")
		for i := 1; i < reporters; i++ {
			a.suspect(x, fmt.Sprint("y", i))
		}
		at := 5000.0
		for ; x.State == Suspect; at += 10 {
			a.now = at
			a.evaluateSuspicion(x)
		}
		lasted := at - 10 - 5000
		if reporters == 1 && lasted < maxDuration-20 || reporters == maxConfirmations+1 && lasted > minDuration+20 || lasted < minDuration-20 {
			t.Errorf("%d reporters: got a suspicion of %g ms, want the longest with 1, the shortest with maxConfirmations+1, and never less", reporters, lasted)
		}
	}
}
