package membership

import (
	"fmt"
	"testing"
)

// wire carries datagrams between detectors by hand.
type wire struct {
	sent    []string // addresses
	last    map[string][]byte
	changes []string
}

func (w *wire) Send(address string, b []byte) {
	w.sent = append(w.sent, address)
	w.last[address] = b
}

func (w *wire) OnMemberChanged(m Member, was State) {
	w.changes = append(w.changes, fmt.Sprint(m.Name, " ", was, " ", m.State))
}
func (w *wire) OnNameConflict(string) {}

func (w *wire) LastNodeContact(uint32) (life uint64, heard float64, ok bool) { return 0, 0, false }

func detector(name string, plant Faults, seeds ...string) (*Detector, *wire) {
	w := &wire{last: map[string][]byte{}}
	return New(w, 1000, Config{Site: "s", Name: name, Address: name + ":1", Incarnation: 1, Key: []byte("k"), Seeds: seeds, Seed: 1, Faults: plant}), w
}

// meet has two detectors know each other.
func meet(t *testing.T, plant Faults) (a, b *Detector, wa, wb *wire) {
	a, wa = detector("a", plant, "b:1")
	b, wb = detector("b", plant)
	a.Tick(1001)                       // hello
	b.OnDatagram(1002, wa.last["b:1"]) // welcome
	a.OnDatagram(1003, wb.last["a:1"]) // ping, pages
	b.OnDatagram(1004, wa.last["b:1"]) // the page: the ping before it is lost here
	if n, _, _, _ := a.Count(); n != 1 {
		t.Fatal("they do not meet")
	}
	if n, _, _, _ := b.Count(); n != 1 {
		t.Fatal("one alone knows the other")
	}
	return a, b, wa, wb
}

// TestStood has a process stand still with a probe out: when it wakes it accuses nobody, unless it trusts itself always.
func TestStood(t *testing.T) {
	for _, healthy := range []bool{false, true} {
		a, _, wa, _ := meet(t, Faults{IgnoreLocalHealth: healthy})
		now := a.Next()
		for a.Stats.Probes == 0 {
			now = a.Next()
			a.Tick(now)
		}
		a.Tick(now + 5000) // no answer was read, as nothing was
		if n := len(wa.changes); healthy && n < 2 || !healthy && n > 1 || !healthy && (a.Stats.Stalls != 1 || a.Health() < 2) {
			t.Errorf("healthy %t: %q, %d stalls, health %d", healthy, wa.changes, a.Stats.Stalls, a.Health())
		}
	}
}

// TestHello holds that a hello changes nothing, whoever says it and however often, and that its answers are bounded.
func TestHello(t *testing.T) {
	a, wa := detector("a", Faults{}, "b:1")
	b, wb := detector("b", Faults{})
	a.Tick(1001)
	hello := wa.last["b:1"]
	view := b.Digest()
	for i := range 1000 {
		b.OnDatagram(1002+float64(i)/10, hello)
	}
	if alive, _, _, _ := b.Count(); alive != 0 || b.Digest() != view || len(wb.sent) > maxHellosPerSecond || len(wb.sent) == 0 {
		t.Errorf("%d known, %d answers", alive, len(wb.sent))
	}
}

// TestOnce walks counts that come in any order and more than once.
func TestOnce(t *testing.T) {
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

// TestBounds holds that a suspicion shrinks with each who shares it, and never below what is promised.
func TestBounds(t *testing.T) {
	a, _, _, _ := meet(t, Faults{})
	for i := range 30 {
		if m := a.addMember(fmt.Sprint("x", i), fmt.Sprintf("x%d:1", i), 1, 0); m != nil {
			a.setState(m, Alive, "a")
		}
	}
	least, most := a.Bounds()
	if least < 800 || most != maxSuspicionFactor*least {
		t.Fatalf("%g, %g", least, most)
	}
	for accusers := 1; accusers <= maxAccusers+1; accusers++ {
		least, most = a.Bounds() // of those who are left
		x := a.members[fmt.Sprint("x", accusers)]
		a.now = 5000
		a.suspect(x, "a")
		for i := 1; i < accusers; i++ {
			a.suspect(x, fmt.Sprint("y", i))
		}
		at := 5000.0
		for ; x.State == Suspect; at += 10 {
			a.now = at
			a.evaluateSuspicion(x)
		}
		lasted := at - 10 - 5000
		if accusers == 1 && lasted < most-20 || accusers == maxAccusers+1 && lasted > least+20 || lasted < least-20 {
			t.Errorf("%d accusers: %g ms", accusers, lasted)
		}
	}
}
