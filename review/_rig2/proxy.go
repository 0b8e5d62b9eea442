package main

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"
)

// proxy stands between schedulers and a node. It can reset a connection under a release of the node.
type proxy struct {
	record *record
	to     string
	l      net.Listener

	mu    sync.Mutex
	reset map[uint64]bool // tasks whose release is lost with its connection
}

func startProxy(r *record, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{record: r, to: to, l: l, reset: map[uint64]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

// resetUnder makes the connection on which the release of a task comes be reset, once.
func (p *proxy) resetUnder(task uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset[task] = true
}

func (p *proxy) serve(c net.Conn) {
	node, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.copy(node, c, false)
	p.copy(c, node, true)
}

// copy passes on what comes until the connection ends or is reset.
func (p *proxy) copy(to, from net.Conn, fromNode bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if fromNode && p.isLost(b[:n]) {
			for _, c := range []net.Conn{to, from} {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return
		}
		if _, writeErr := to.Write(b[:n]); writeErr != nil || err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// isLost reports whether bytes hold a release that is to be lost with its connection.
func (p *proxy) isLost(b []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for task := range p.reset {
		if bytes.Contains(b, binary.BigEndian.AppendUint64([]byte{kindEnd}, task)) {
			delete(p.reset, task)
			p.record.add("proxy: the connection is reset under the release of task %d", task)
			return true
		}
	}
	return false
}
