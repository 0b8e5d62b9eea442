package standin

import (
	"net"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/env"
)

// TestRestartRebindsPort crashes a node and opens an outgoing connection from 127.0.0.1 and the node's port number: the node must still be able
// to restart at its address.
//
// The test guards against the failure "node ...: listen tcp 127.0.0.1:39493: bind: address already in use" when a node restarts after a fault.
// While a node is down, its port is in the range from which the system assigns ports to outgoing connections of all processes. Once such a
// connection has the port, the node cannot listen on it until that connection ends.
func TestRestartRebindsPort(t *testing.T) {
	environment := env.NewReal()
	defer environment.Close(time.Second)
	testbed := NewTestbed(environment)
	n := &Node{ID: 7, Jobs: 1, Tenants: 1}
	if err := testbed.StartNode(n, NodeStart{Group: NewGroup()}); err != nil {
		t.Fatal(err)
	}
	_, port, _ := strings.Cut(n.Address(), ":")
	testbed.WithLock(func(now float64) { n.Crash(now) })
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	local, err := net.ResolveTCPAddr("tcp", "127.0.0.1:"+port)
	if err != nil {
		t.Fatal(err)
	}
	var outgoing net.Conn
	eventually(t, func() error { // the node's listener may close with a delay
		outgoing, err = (&net.Dialer{LocalAddr: local}).Dial("tcp", peer.Addr().String())
		return err
	})
	defer func() { _ = outgoing.Close() }()
	eventually(t, n.Restart)
}

// eventually calls f until it succeeds, and fails the test after 2 s.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	end := time.Now().Add(2 * time.Second)
	for err := f(); err != nil; err = f() {
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
