package membership

import (
	"fmt"
	"testing"
)

// network records what a detector sends and reports.
type network struct {
	sent    []string // addresses
	last    map[string][]byte
	changes []string
}

func (n *network) Send(address string, b []byte) {
	n.sent = append(n.sent, address)
	n.last[address] = b
}

func (n *network) OnMemberChanged(m Member, was State) {
	n.changes = append(n.changes, fmt.Sprint(m.Name, " ", was, " ", m.State))
}
func (n *network) OnNameConflict(string) {}

func (n *network) LastNodeContact(uint32) (incarnation uint64, lastContact float64, ok bool) {
	return 0, 0, false
}

func newDetector(name string, faults Faults, seeds ...string) (*Detector, *network) {
	n := &network{last: map[string][]byte{}}
	return New(n, 1000, Config{Site: "s", Name: name, Address: name + ":1", Incarnation: 1, Key: []byte("k"), Seeds: seeds, Seed: 1, Faults: faults}), n
}

// newPair returns one of two detectors that know each other, and its network.
func newPair(t *testing.T, faults Faults) (*Detector, *network) {
	t.Helper()
	a, na := newDetector("a", faults, "b:1")
	b, nb := newDetector("b", faults)
	a.Tick(1001)                       // hello
	b.OnDatagram(1002, na.last["b:1"]) // welcome
	a.OnDatagram(1003, nb.last["a:1"]) // ping, pages
	b.OnDatagram(1004, na.last["b:1"]) // the page: the ping before it is lost here
	if n := a.Count().Alive; n != 1 {
		t.Fatal("they do not know each other")
	}
	if n := b.Count().Alive; n != 1 {
		t.Fatal("only one knows the other")
	}
	return a, na
}

// TestPause pauses a process with a probe out: when it resumes it accuses nobody, unless it ignores its local health.
func TestPause(t *testing.T) {
	for _, ignoresLocalHealth := range []bool{false, true} {
		a, effects := newPair(t, Faults{IgnoreLocalHealth: ignoresLocalHealth})
		now := a.Next()
		for a.Stats.Probes == 0 {
			now = a.Next()
			a.Tick(now)
		}
		a.Tick(now + 5000) // nothing was read in the meantime
		if n := len(effects.changes); ignoresLocalHealth && n < 2 || !ignoresLocalHealth && n > 1 || !ignoresLocalHealth && (a.Stats.Pauses != 1 || a.Health() < 2) {
			t.Errorf("healthy %t: %q, %d stalls, health %d", ignoresLocalHealth, effects.changes, a.Stats.Pauses, a.Health())
		}
	}
}

// TestHello checks that hellos change nothing, however many arrive, and that their answers are limited.
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
		t.Errorf("%d known, %d answers", alive, len(nb.sent))
	}
}

// TestAcceptCount checks counts in any order and more than once.
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
			t.Errorf("count %d: %t", c.count, got)
		}
	}
}

// TestBounds checks that a suspicion gets shorter with each accuser, and not below its lower bound.
func TestBounds(t *testing.T) {
	a, _ := newPair(t, Faults{})
	for i := range 30 {
		if m := a.addMember(fmt.Sprint("x", i), fmt.Sprintf("x%d:1", i), 1, 0); m != nil {
			a.setState(m, Alive, "a")
		}
	}
	minDuration, maxDuration := a.Bounds()
	if minDuration < 800 || maxDuration != maxSuspicionFactor*minDuration {
		t.Fatalf("%g, %g", minDuration, maxDuration)
	}
	for reporters := 1; reporters <= maxConfirmations+1; reporters++ {
		minDuration, maxDuration = a.Bounds() // of the remaining members
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
			t.Errorf("%d accusers: %g ms", reporters, lasted)
		}
	}
}
