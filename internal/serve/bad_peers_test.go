package serve

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
)

// startBadNode accepts connections, sends the text of a bad peer on them, and keeps the last BYE that it receives. ID in the text stands for the
// node's ID. then may be nil.
func startBadNode(t *testing.T, id uint32, text string, then func(net.Conn)) (addr string, lastBye func() string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	last := ""
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for line, err := in.ReadString('\n'); err == nil && line != "\r\n"; line, err = in.ReadString('\n') {
				}
				_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", fmt.Sprint(id))))
				if then != nil {
					then(conn)
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				for line, err := in.ReadString('\n'); err == nil; line, err = in.ReadString('\n') {
					if strings.HasPrefix(line, "BYE") {
						mu.Lock()
						last = line
						mu.Unlock()
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), func() string { mu.Lock(); defer mu.Unlock(); return last }
}

// refusingHost is the number of the loopback host at which nothing listens. Nodes of the test cluster have lower numbers.
const refusingHost = 249

// TestBadPeers runs bad nodes beside good ones: each bad connection ends with the expected reason, and no audit rule is violated.
func TestBadPeers(t *testing.T) {
	hello := node.GreetingLine + "\r\nNode: ID\r\nLife: 3\r\n\r\n"
	s := newTestCluster(t, 1, 4, false)
	cases := []struct {
		name, text, wantBye string
		then                func(net.Conn)
	}{
		{"endless line", hello + "HELD-ALL\n" + strings.Repeat("x", 100000), "too-long", nil},
		{"endless header", node.GreetingLine + "\r\n" + strings.Repeat("X-A: "+strings.Repeat("y", 900)+"\r\n", 300), "", nil},
		{"wrong node ID", strings.ReplaceAll(hello, "ID", "999"), "", nil},
		{"bad ticket", hello + "HELD-ALL\nSTARTED zz 0 1\n", "bad-ticket", nil},
		{"unknown attempt", hello + "HELD-ALL\nSTARTED ff 0 1\n", "unknown-try", nil},
		{"answer before HELD-ALL", hello + "STARTED ff 0 1\n", "HELD", nil},
		{"report without a probe", hello + "HELD-ALL\nREPORTED 9999999 1 2\n", "never-sent", nil},
		{"half closed", hello + "HELD-ALL\n", "EOF", func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }},
		{"silent", "", "", nil},
		{"immediate farewell", hello + "BYE enough\n", "farewell", nil},
	}
	var lastByes []func() string
	for i, c := range cases {
		addr, lastBye := startBadNode(t, uint32(100+i), c.text, c.then)
		lastByes = append(lastByes, lastBye)
		s.list.AddUnreachable(uint32(100+i), addr, "east", "east", "plain")
	}
	closed, err := net.Listen("tcp", standin.LoopbackHost(refusingHost)+":0") // on 127.0.0.1 another process could listen there soon
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 { // ten more nodes refuse connections
		s.list.AddUnreachable(uint32(200+i), closed.Addr().String(), "west", "west", "plain")
	}
	_ = closed.Close()
	s.start(0, *s.siteConfig, Faults{})
	s.load(2500, 40, "0012")
	violations, served := s.violations()
	if len(violations) > 0 || served < 30 {
		t.Errorf("%d requests served, want at least 30; got violations %v, want none", served, violations)
	}
	for i, c := range cases {
		if got := lastByes[i](); !strings.Contains(got, c.wantBye) {
			t.Errorf("%s: received BYE %q, want one with %q", c.name, got, c.wantBye)
		}
	}
}
