package nodeidentity

import (
	"testing"

	"ravenpond/internal/decide/nodefailure"
	"ravenpond/logic"
)

func connection(dialed, established, received float64) *nodefailure.Connection {
	return &nodefailure.Connection{DialedAt: dialed, EstablishedAt: established, ReceivedAt: received}
}

// TestIdentity checks after which events a connection that was made at 20000 ms, unless the case says otherwise, is known to lead to its node at 25000 ms.
func TestIdentity(t *testing.T) {
	early, late := connection(1000, 1001, 9000), connection(19999, 20000, 0)
	slow := connection(18900, 20000, 0)
	for _, c := range []struct {
		name   string
		events func(i *Identity)
		conn   *nodefailure.Connection
		want   bool
	}{
		{"no sign", func(*Identity) {}, late, true},
		{"no sign, so new that the list may tell of another node yet", func(*Identity) {}, connection(23999, 24000, 0), false},
		{"being made", func(*Identity) {}, connection(19999, 0, 0), false},
		{"a dial was refused before", func(i *Identity) { i.OnConnectFailed(connection(19000, 0, 0), 9000); i.OnConnected(late) }, late, false},
		{"a dial was refused, on a connection from before", func(i *Identity) { i.OnConnectFailed(connection(19000, 0, 0), 9000) }, early, true},
		{"the connection was slow", func(i *Identity) { i.OnConnected(slow) }, slow, false},
		{"the connection was fast", func(i *Identity) { i.OnConnected(late) }, late, true},
		{"the only connection was reset", func(i *Identity) { i.OnDisconnected(early, false); i.OnConnected(late) }, late, false},
		{"one of several was reset", func(i *Identity) { i.OnDisconnected(early, true); i.OnConnected(late) }, late, true},
		{"a health check was not answered", func(i *Identity) { i.OnUnanswered(early); i.OnConnected(late) }, late, false},
		{"an earlier connection lives", func(i *Identity) { i.OnConnectFailed(connection(19000, 0, 0), 0); i.OnReceived(early) }, late, true},
		{"only the new connection lives", func(i *Identity) { i.OnConnectFailed(connection(19000, 0, 0), 0); i.OnReceived(late) }, late, false},
		{"a task from before is reported", func(i *Identity) { i.OnDisconnected(early, false); i.OnTaskReported(8000) }, late, true},
		{"a task from after is reported", func(i *Identity) { i.OnDisconnected(early, false); i.OnTaskReported(20500) }, late, false},
		{"the list tells of a later start", func(i *Identity) { i.OnConnectFailed(connection(19000, 0, 0), 0); i.OnStartListed() }, late, true},
		{"another node has the address", func(i *Identity) { i.OnDisplaced(24000, 19000) }, late, false},
		{"another node has the address, on a connection from before", func(i *Identity) { i.OnDisplaced(24000, 19000) }, early, true},
		{"another node has the address, and an earlier connection lives", func(i *Identity) { i.OnDisplaced(24000, 19000); i.OnReceived(early) }, late, false},
	} {
		var i Identity
		c.events(&i)
		if got := i.Knows(25000, c.conn); got != c.want {
			t.Errorf("%s: got known %t, want %t", c.name, got, c.want)
		}
	}
}

// TestListIsNotCurrent checks that a connection is not known to lead to its node while the list can't tell of another one there.
func TestListIsNotCurrent(t *testing.T) {
	var i Identity
	if i.Knows(22999, connection(19999, 20000, 0)) || !i.Knows(23000, connection(19999, 20000, 0)) {
		t.Error("got a connection known to lead to its node before the list can have told, or not known after")
	}
}

// TestIdentityIsConfirmed checks that connections are known again, and that no task counts as ended for an earlier sign, once the node was reached for long
// enough without another sign.
func TestIdentityIsConfirmed(t *testing.T) {
	var i Identity
	conn := connection(1999, 2000, 0)
	knows := func(now float64) bool {
		i.Confirm(now)
		return i.Knows(now, conn)
	}
	i.OnConnectFailed(connection(1000, 0, 0), 0)
	if knows(1000 + 10*confirmationTime) {
		t.Error("a node that was not reached since: got known")
	}
	i.OnConnected(conn)
	if knows(2000 + confirmationTime - 1) {
		t.Error("got a node that is known again before the confirmation time")
	}
	i.OnConnectFailed(connection(3000, 0, 0), 2000)
	if knows(2000 + confirmationTime) {
		t.Error("another dial failed since: got known")
	}
	i.OnConnected(connection(3999, 4000, 0))
	if !knows(4000+confirmationTime) || i.HasPresumablyEnded(100000, false, true, 500) {
		t.Error("got a node that is not known again after the confirmation time, or a task that counts as ended for the earlier sign")
	}
}

// TestEachSignRestartsConfirmation guards against a doubt that ends too early: a second sign, of any kind, comes before the node is confirmed.
func TestEachSignRestartsConfirmation(t *testing.T) {
	first := connection(1999, 2000, 2100)
	for name, sign := range map[string]func(i *Identity){
		"a break":                 func(i *Identity) { i.OnDisconnected(first, false) },
		"an unanswered check":     func(i *Identity) { i.OnUnanswered(first) },
		"a slow connection":       func(i *Identity) { i.OnConnected(connection(20000, 21000, 0)) },
		"a connection that fails": func(i *Identity) { i.OnConnectFailed(connection(20000, 0, 0), 2100) },
	} {
		var i Identity
		i.OnDisconnected(connection(500, 501, 1000), false)
		i.OnConnected(first)
		sign(&i)
		later := connection(22000, 22001, 0)
		i.OnConnected(later)
		if i.Confirm(2000 + confirmationTime); i.Knows(2000+confirmationTime, later) {
			t.Errorf("%s: got the node confirmed by the time since before it", name)
		}
		if i.Confirm(22001 + confirmationTime); !i.Knows(22001+confirmationTime, later) {
			t.Errorf("%s: got the node not confirmed after the time since it", name)
		}
	}
}

// TestHasPresumablyEnded checks when a task at a node that fell silent after 9000 ms, and accepts connections again, counts as ended.
func TestHasPresumablyEnded(t *testing.T) {
	for _, c := range []struct {
		name           string
		now, startedAt float64
		current        bool
		outOfReach     bool
		want           bool
	}{
		{"the list is current", 30000, 5000, true, false, false},
		{"the list is current, the node is out of reach again", 30000, 5000, true, true, true},
		{"the list is not current", 9000 + proofTime, 5000, false, false, true},
		{"too early", 9000 + proofTime - 1, 5000, false, true, false},
		{"started since", 30000, 12000, false, true, false},
	} {
		var i Identity
		i.OnConnectFailed(connection(10000, 0, 0), 9000)
		i.OnConnected(connection(10999, 11000, 11000))
		if got := i.HasPresumablyEnded(c.now, c.current, c.outOfReach, c.startedAt); got != c.want {
			t.Errorf("%s: got ended %t, want %t", c.name, got, c.want)
		}
	}
	var i Identity
	if i.HasPresumablyEnded(100000, false, true, 5000) {
		t.Error("without a sign that the process has ended: got ended")
	}
}

// TestMaySend checks which attempts need a connection that is known to lead to its node.
func TestMaySend(t *testing.T) {
	inZone := &logic.JobClass{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone}
	for _, c := range []struct {
		name              string
		class             *logic.JobClass
		mayHaveRun, known bool
		want              bool
	}{
		{"a first attempt", inZone, false, false, true},
		{"a retry to a known node", inZone, true, true, true},
		{"a retry to an unknown node", inZone, true, false, false},
		{"repeats are recognised everywhere", &logic.JobClass{Semantics: logic.Idempotent}, true, false, true},
		{"restartable", &logic.JobClass{}, true, false, true},
	} {
		if got := MaySend(c.class, c.mayHaveRun, c.known); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

// TestAddresses checks which of several listed nodes has an address.
func TestAddresses(t *testing.T) {
	const address = "10.0.0.1:5060"
	a := NewAddresses()
	for _, c := range []struct {
		name      string
		node      uint32
		startedAt float64
		want      Claimed
	}{
		{"first", 1, 0, Claimed{Owns: true}},
		{"the same again", 1, 0, Claimed{Owns: true}},
		{"a new node", 2, 5000, Claimed{Owns: true, Displaced: true, Former: 1}},
		{"the former one repeated", 1, 0, Claimed{}},
		{"an earlier one told late", 3, 4000, Claimed{}},
		{"the former one started again", 1, 9000, Claimed{Owns: true, Displaced: true, Former: 2}},
		{"one that started at the same time, listed later", 4, 9000, Claimed{Owns: true, Displaced: true, Former: 1}},
		{"the one before repeated", 1, 9000, Claimed{}},
	} {
		if got := a.Claim(address, c.node, c.startedAt); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	a.Release(address, 1)
	if got := a.Claim(address, 1, 9000); got.Owns {
		t.Error("the release of a former owner: got the address free")
	}
	a.Release(address, 4)
	if got := a.Claim(address, 1, 9000); got != (Claimed{Owns: true}) || a.Len() != 1 {
		t.Errorf("after the release: got %+v, want the address owned", got)
	}
}

// TestFormerOwnersAreBounded checks that an address that many nodes take in turn is remembered for a limited number of them.
func TestFormerOwnersAreBounded(t *testing.T) {
	a := NewAddresses()
	for node := range uint32(1000) {
		if !a.Claim("x", node, 0).Owns {
			t.Fatalf("node %d does not own the address", node)
		}
	}
	if got := len(a.owners["x"].former); got != maxFormer {
		t.Errorf("got %d former owners, want %d", got, maxFormer)
	}
}
